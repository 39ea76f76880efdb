/**
 * Load and experiment tool: runs deployments of real processes and stand-ins under seeded, open-loop load.
 */
import * as fs from 'node:fs'
import * as commander from 'commander'
import * as deployments from './measure/deployment.js'
import * as pages from './measure/page.js'
import * as runs from './measure/run.js'
import * as scenarios from './measure/scenario.js'
import * as settings from '../src/contracts/settings.js'
import * as summaries from './measure/summary.js'

interface Flags {
  readonly deployment: string
  readonly scenario: string
  readonly policy: string
  readonly seed: string
  readonly seconds: string
  readonly rate?: string
  readonly json?: string
  readonly events?: string
  readonly write?: string
}

const page = 'docs/MEASUREMENTS.md'

/** Longest run, in seconds. */
const maximumSeconds = 120

function parseList (text: string): string[] {
  return text.split(',').map(part => part.trim()).filter(part => part !== '')
}

function find<Item extends { readonly name: string }> (items: readonly Item[], name: string): Item {
  const item = items.find(candidate => candidate.name === name)
  if (item === undefined) {
    throw new commander.InvalidArgumentError(`"${name}" is none of ${items.map(each => each.name).join(', ')}.`)
  }
  return item
}

function * listRuns (flags: Flags): Iterable<runs.RunOptions> {
  const deployment = find(deployments.deployments, flags.deployment)
  const names = flags.scenario === 'all' ? scenarios.scenarios.map(each => each.name) : parseList(flags.scenario)
  const seconds = Math.min(maximumSeconds, Number(flags.seconds))
  const requestsPerSecond = Number(flags.rate ?? deployment.requestsPerSecond)
  for (const name of names) {
    const scenario = find(scenarios.scenarios, name)
    for (const policy of parseList(flags.policy)) {
      for (const seed of parseList(flags.seed)) {
        yield { deployment, scenario, policy: settings.PolicyName.parse(policy), seed: Number(seed), seconds, requestsPerSecond, eventsFile: flags.events }
      }
    }
  }
}

function format (summary: summaries.Summary): string {
  const { deployment, scenario, policy, seed, engines, tenants, ...rest } = summary
  return `${deployment} ${scenario} ${policy} seed ${seed}: ${JSON.stringify(rest)}`
}

/** Rewrites the page from a file with one summary a line. */
function writePage (file: string): void {
  const lines = fs.readFileSync(file, 'utf8').split('\n').filter(line => line !== '')
  const results = lines.map(line => JSON.parse(line) as summaries.Summary)
  fs.writeFileSync(page, pages.rewritePage(fs.readFileSync(page, 'utf8'), results))
}

async function measure (flags: Flags): Promise<void> {
  if (flags.write !== undefined) {
    writePage(flags.write)
    return
  }
  for (const options of listRuns(flags)) {
    const summary = await runs.run(options)
    console.log(format(summary))
    if (flags.json !== undefined) {
      fs.appendFileSync(flags.json, `${JSON.stringify(summary)}\n`)
    }
  }
}

const program = new commander.Command('measure')
program
  .option('--deployment <name>', deployments.deployments.map(each => each.name).join(', '), 'small')
  .option('--scenario <names>', `all, or some of ${scenarios.scenarios.map(each => each.name).join(', ')}`, 'steady')
  .option('--policy <names>', `some of ${settings.PolicyName.options.join(', ')}`, 'mulberryflow')
  .option('--seed <numbers>', 'seeds of the workload', '1')
  .option('--seconds <number>', 'length of the arrivals of a run', '20')
  .option('--rate <number>', 'generations a second at the steady peak, for other allowances than the deployment\'s')
  .option('--json <file>', 'file to which each run adds one line of JSON')
  .option('--events <file>', 'file for the events of the requests that were not answered whole, as lines of JSON')
  .option('--write <file>', `rewrite the tables of ${page} from the lines of a file instead of running`)
  .action(measure)
await program.parseAsync()
process.exit(0)
