/**
 * One entry under more than it can serve, by each signal of overload: open-loop arrivals from several processes, and
 * the share of them that met both targets. Prints JSON.
 */
import * as childProcess from 'node:child_process'
import * as url from 'node:url'
import * as contract from './support/overload_contract.js'
import * as fleets from '../tools/fleet.js'
import * as operators from '../tools/operator.js'
import * as percentiles from './support/percentile.js'

const zones = [{ zone: 'zone-a', entries: 1, prefill: 2, decode: 4 }]
const engine = { prefillOverheadMs: 1, stepMs: 10, stepMsPerRequest: 0, slots: 1000, prefillTokensPerSecond: 1_000_000, memoryPieces: 20_000 }
/** Limits of the entry, by name of the signal. */
const signals = {
  inFlight: {},
  inFlightLow: { requestsInFlight: 250 },
  loopDelay10: { loopDelayMs: 10 },
  loopDelay30: { loopDelayMs: 30 }
} as const
const requestsPerSecond = [150, 250, 350, 500, 700, 900]
const callerProcesses = 4
const seconds = 6
const workspace = 'bench'

type SignalName = keyof typeof signals

async function measureSignal (name: SignalName): Promise<readonly object[]> {
  const fleet = await fleets.startFleet({ zones, engine, entrySettings: { limits: signals[name] } }, async started => {
    await createOperator(started).addSections(started.listSections())
  })
  try {
    const operator = createOperator(fleet)
    await operator.run('workspace', 'create', workspace, '--rate', '100000000', '--burst', '1000000000')
    const { key } = await operator.ask('key', 'create', workspace, '--id', 'bench')
    const target = { url: fleet.entries[0]?.callersUrl ?? '', key: String(key) }
    await sendFor(target, requestsPerSecond[0] as number)
    const rows: object[] = []
    for (const rate of requestsPerSecond) {
      rows.push({ signal: name, requestsPerSecond: rate, ...summarize(await sendFor(target, rate)) })
    }
    return rows
  } finally {
    await fleet.stop()
  }
}

function createOperator (fleet: fleets.Fleet): operators.Operator {
  return new operators.Operator(fleet.entries[0]?.administrationUrl ?? '', fleet.secrets.administrator)
}

async function sendFor (target: contract.Target, rate: number): Promise<readonly contract.Outcome[]> {
  const order = { target, requestsPerSecond: rate / callerProcesses, seconds }
  const outcomes = await Promise.all(Array.from({ length: callerProcesses }, () => runCaller(order)))
  return outcomes.flat()
}

function runCaller (order: contract.Order): Promise<readonly contract.Outcome[]> {
  const child = childProcess.fork(url.fileURLToPath(new URL('overload_caller.js', import.meta.url)))
  return new Promise((resolve, reject) => {
    child.once('message', outcomes => resolve(outcomes as readonly contract.Outcome[]))
    child.once('exit', code => reject(new Error(`a caller ended with ${code}`)))
    child.send(order)
  })
}

function summarize (outcomes: readonly contract.Outcome[]): object {
  const served = outcomes.filter(outcome => outcome.isServed)
  const good = served.filter(outcome => outcome.firstTokenMs <= contract.firstTokenTargetMs && outcome.betweenTokensMs <= contract.betweenTokensTargetMs)
  return {
    goodPerSecond: good.length / seconds,
    servedShare: served.length / outcomes.length,
    goodShareOfServed: good.length / Math.max(1, served.length),
    firstTokenP95Ms: percentiles.getPercentile(served.map(outcome => outcome.firstTokenMs), 0.95),
    betweenTokensP95Ms: percentiles.getPercentile(served.map(outcome => outcome.betweenTokensMs), 0.95)
  }
}

const asked = process.argv.slice(2).filter(name => name in signals) as SignalName[]
for (const name of asked.length > 0 ? asked : Object.keys(signals) as SignalName[]) {
  for (const row of await measureSignal(name)) {
    console.log(JSON.stringify(row))
  }
}
process.exit(0)
