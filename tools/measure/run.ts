/**
 * One run: starts a fleet, sends the workload while the scenario disturbs it, and gathers the figures.
 */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as timers from 'node:timers/promises'
import * as balancers from './balancer.js'
import * as callers from './callers.js'
import * as deployments from './deployment.js'
import * as figures from './figures.js'
import * as fleets from '../fleet.js'
import * as fleetPlans from '../fleet_plan.js'
import * as observations from './observations.js'
import * as operators from '../operator.js'
import * as scenarios from './scenario.js'
import * as settings from '../../src/contracts/settings.js'
import * as summaries from './summary.js'
import * as workloads from './workload.js'

export interface RunOptions {
  readonly deployment: deployments.Deployment
  readonly scenario: scenarios.Scenario
  readonly policy: settings.PolicyName
  readonly seed: number
  readonly seconds: number
  readonly requestsPerSecond: number
  /** File for the events of the requests that were not answered whole. */
  readonly eventsFile: string | undefined
}

const service = 'bookings'
/** Pause between the start of the fleet and the first request, in milliseconds. */
const settleMs = 3_000
/** Time after the last answer until what is held counts, in milliseconds. */
const releaseMs = 2_000

export async function run (options: RunOptions): Promise<summaries.Summary> {
  const conditions = createConditions(options)
  const keys = new Map<string, string>()
  const fleet = await fleets.startFleet(createPlan(options), started => seed(started, conditions, keys))
  try {
    await timers.setTimeout(settleMs)
    return summaries.summarize(conditions, await observe(fleet, options, keys))
  } finally {
    await fleet.stop()
  }
}

function createConditions (options: RunOptions): summaries.Conditions {
  const { deployment } = options
  const tokensPerSecond = deployment.requestsPerSecond * workloads.getMeanTokens(deployment.mix)
  const allowances = new Map<string, figures.Allowance>()
  for (const tenant of deployment.tenants) {
    allowances.set(tenant.name, deployments.getAllowance(tenant, tokensPerSecond))
  }
  return { ...options, scenario: options.scenario.name, allowances }
}

function createPlan (options: RunOptions): fleetPlans.FleetPlan {
  return { zones: options.deployment.zones, services: [service], entrySettings: { policy: options.policy } }
}

async function seed (
  fleet: fleets.Fleet, conditions: summaries.Conditions, keys: Map<string, string>
): Promise<void> {
  const operator = new operators.Operator(fleet.entries[0]?.administrationUrl ?? '', fleet.secrets.administrator)
  const sections = new Map(fleet.listSections())
  for (const [name, { rate, burst }] of conditions.allowances) {
    sections.set(`workspaces/${name}`, { allowance: { tokensPerSecond: rate, burstTokens: burst } })
  }
  await operator.addSections(sections)
  for (const name of conditions.allowances.keys()) {
    const { key } = await operator.ask('key', 'create', name, '--id', 'load')
    keys.set(name, key)
  }
}

async function observe (
  fleet: fleets.Fleet, options: RunOptions, keys: ReadonlyMap<string, string>
): Promise<summaries.Observed> {
  const { deployment, scenario } = options
  const workload = workloads.createWorkload({ ...options, factors: scenario.factors })
  const balancer = new balancers.Balancer(fleet)
  const sender = new callers.Callers(balancer, deployment.mix, keys, service)
  const engines = new observations.EngineWatch(fleet)
  const before = await observations.readStore(fleet)
  const disturbance = scenario.disturb(fleet, options.seconds * 1000)
  const { outcomes, calls } = await sender.run(workload)
  const after = await observations.readStore(fleet)
  await disturbance
  balancer.stop()
  const [loadAverage] = os.loadavg()
  await timers.setTimeout(releaseMs)
  if (options.eventsFile !== undefined) {
    await writeEvents(fleet, outcomes, options.eventsFile)
  }
  return {
    outcomes,
    calls,
    store: { ...after, reads: after.reads - before.reads, writes: after.writes - before.writes },
    engines: await engines.finish(),
    serviceRuns: await observations.readServiceRuns(fleet),
    loadAverage: loadAverage as number
  }
}

/** Appends the events of the requests that were not answered whole, one line of JSON each. */
async function writeEvents (
  fleet: fleets.Fleet, outcomes: readonly callers.Outcome[], file: string
): Promise<void> {
  const failed = new Set(outcomes.filter(outcome => outcome.end !== 'whole').map(outcome => outcome.request))
  for (const event of await observations.readEvents(fleet)) {
    if (event.request !== undefined && failed.has(event.request)) {
      fs.appendFileSync(file, `${JSON.stringify(event)}\n`)
    }
  }
}
