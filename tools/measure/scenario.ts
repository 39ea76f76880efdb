/**
 * The scenarios: what happens to the fleet while requests arrive.
 */
import * as timers from 'node:timers/promises'
import * as fleets from '../fleet.js'

export interface Scenario {
  readonly name: string
  readonly title: string
  /** Factors on the rates of some workspaces. */
  readonly factors: Readonly<Record<string, number>>
  /** Runs beside the requests; `runMs` is the length of the run in milliseconds. */
  readonly disturb: (fleet: fleets.Fleet, runMs: number) => Promise<void>
}

/** Shares of a run after which a fault begins and ends. */
const beginShare = 0.3
const endShare = 0.6

async function keepPeace (): Promise<void> {}

/** The workspace that floods is of middling size. */
const flood = { cedar: 5 }

function getName (fleet: fleets.Fleet, role: 'prefill' | 'decode'): string {
  return fleet.servers.find(server => server.vm.role === role)?.vm.name ?? ''
}

async function loseServers (fleet: fleets.Fleet, runMs: number): Promise<void> {
  await timers.setTimeout(runMs * beginShare)
  await fleet.killServerVm(getName(fleet, 'decode'))
}

async function stopStore (fleet: fleets.Fleet, runMs: number): Promise<void> {
  await timers.setTimeout(runMs * beginShare)
  await fleet.store.setFaults({ outage: 'hang' })
  await timers.setTimeout(runMs * (endShare - beginShare))
  await fleet.store.setFaults({ outage: 'none' })
}

async function stallLink (fleet: fleets.Fleet, runMs: number): Promise<void> {
  const { standin } = fleet.getServer(getName(fleet, 'prefill'))
  await timers.setTimeout(runMs * beginShare)
  await standin.setFaults({ stallTransfers: true })
  await timers.setTimeout(runMs * (endShare - beginShare))
  await standin.setFaults({ stallTransfers: false })
}

async function drainEntry (fleet: fleets.Fleet, runMs: number): Promise<void> {
  await timers.setTimeout(runMs * beginShare)
  await fleet.entries.at(-1)?.process.drain(runMs)
}

async function drainServer (fleet: fleets.Fleet, runMs: number): Promise<void> {
  await timers.setTimeout(runMs * beginShare)
  await fleet.getServer(getName(fleet, 'decode')).process.drain(runMs)
}

export const scenarios: readonly Scenario[] = [
  { name: 'steady', title: 'steady peak', factors: {}, disturb: keepPeace },
  { name: 'flood', title: 'one workspace at five times its rate', factors: flood, disturb: keepPeace },
  { name: 'server_lost', title: 'a decode server and its agent killed', factors: {}, disturb: loseServers },
  { name: 'store_outage', title: 'the store silent for three tenths of the run', factors: {}, disturb: stopStore },
  { name: 'stalled_link', title: 'transfers out of a prefill server stalled', factors: {}, disturb: stallLink },
  { name: 'entry_drain', title: 'an entry drained', factors: {}, disturb: drainEntry },
  { name: 'server_drain', title: 'a decode server drained', factors: {}, disturb: drainServer }
]
