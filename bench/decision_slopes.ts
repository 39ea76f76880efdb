/**
 * Prints the cost of every decision with its fitted line; `--json` prints the points too.
 */
import * as process from 'node:process'
import * as agentDecisions from './agent_decisions.js'
import * as decisions from './decisions.js'
import * as permitDecisions from './permit_decisions.js'
import * as plainDecisions from './plain_decisions.js'

const measured = [...decisions.measureDecisions(), ...agentDecisions.measureAgentDecisions(), ...permitDecisions.measurePermitDecisions(), ...plainDecisions.measurePlainDecisions()]
if (process.argv.includes('--json')) {
  console.log(JSON.stringify(measured, undefined, 2))
} else {
  for (const slope of measured) {
    console.log(decisions.formatSlope(slope))
  }
}
