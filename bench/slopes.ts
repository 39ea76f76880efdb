/**
 * The slopes that docs/CAPACITY.md is worked out from: decisions, links and configuration. Prints figure, unit
 * and fitted line; `--json` prints everything.
 */
import * as childProcess from 'node:child_process'
import * as os from 'node:os'
import * as url from 'node:url'
import * as util from 'node:util'
import * as agentDecisions from './agent_decisions.js'
import * as decisions from './decisions.js'

const execute = util.promisify(childProcess.execFile)
const programTimeoutMs = 180_000
const outputBytes = 16 * 1024 * 1024

/** Runs another benchmark and returns what it prints. */
async function runProgram (name: string, ...args: readonly string[]): Promise<unknown> {
  const program = url.fileURLToPath(new URL(name, import.meta.url))
  const { stdout } = await execute(process.execPath, [program, ...args], {
    timeout: programTimeoutMs, maxBuffer: outputBytes
  })
  return JSON.parse(stdout)
}

function print (slopes: readonly decisions.Slope[]): void {
  for (const slope of slopes) {
    console.log(decisions.formatSlope(slope))
  }
}

async function main (): Promise<void> {
  const before = os.loadavg()[0]
  const measured = [...decisions.measureDecisions(), ...agentDecisions.measureAgentDecisions()]
  const links = await runProgram('./links.js')
  const configuration = await runProgram('./configuration.js', '--json')
  const machine = { cores: os.availableParallelism(), loadAverageBefore: before, loadAverageAfter: os.loadavg()[0] }
  if (process.argv.includes('--json')) {
    console.log(JSON.stringify({ machine, decisions: measured, links, configuration }, undefined, 2))
    return
  }
  print(measured)
  console.log(JSON.stringify({ machine, links, configuration }, undefined, 2))
}

await main()
