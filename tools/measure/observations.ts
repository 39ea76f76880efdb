/**
 * What the stand-ins and the time line have seen of a run.
 */
import * as undici from 'undici'
import * as events from '../../src/contracts/events.js'
import * as fleetNodes from '../fleet_nodes.js'
import * as fleets from '../fleet.js'

/** Sums over all engines. */
export interface EngineTotals {
  readonly prefilledTokens: number
  readonly decodedTokens: number
  readonly generatedTokens: number
  readonly preemptions: number
  readonly recomputedTokens: number
  readonly missingKvCaches: number
  readonly heldPieces: number
}

export interface StoreCalls {
  readonly reads: number
  readonly writes: number
  readonly peakPerSecond: number
}

/** Period of reading the engines' states, in milliseconds. */
const watchMs = 200

/** Events asked of each process. */
const eventLimit = 20_000

/** Reads the engines' states again and again, so that those of an engine that is lost are known until then. */
export class EngineWatch {
  private readonly states = new Map<string, any>()
  private readonly timer: NodeJS.Timeout

  constructor (private readonly fleet: fleets.Fleet) {
    this.timer = setInterval(() => this.read(), watchMs)
  }

  /** Reads once more, and returns the sums; memory counts for the engines that still run. */
  async finish (): Promise<EngineTotals> {
    clearInterval(this.timer)
    await this.read()
    const states = [...this.states.values()]
    const sum = (get: (state: any) => number): number => states.reduce((total, state) => total + get(state), 0)
    const running = new Set(this.listRunning().map(server => server.vm.name))
    return {
      prefilledTokens: sum(state => state.counts.prefilledTokens),
      decodedTokens: sum(state => state.counts.importedDecodedTokens + state.counts.localDecodedTokens),
      generatedTokens: sum(state => state.counts.generatedTokens),
      preemptions: sum(state => state.counts.preemptions),
      recomputedTokens: sum(state => state.counts.recomputedTokens),
      missingKvCaches: sum(state => state.counts.missingKvCaches),
      heldPieces: sum(state => running.has(state.id) ? state.memory.used : 0)
    }
  }

  private async read (): Promise<void> {
    await Promise.all(this.listRunning().map(async ({ vm, standin }) => {
      const state = await standin.readState(true).catch(() => undefined)
      this.states.set(vm.name, state ?? this.states.get(vm.name))
    }))
  }

  private listRunning (): readonly fleetNodes.ServerNode[] {
    return this.fleet.servers.filter(({ vm, standin }) => vm.role !== 'service' && standin.process.isRunning)
  }
}

export async function readStore (fleet: fleets.Fleet): Promise<StoreCalls> {
  const { calls } = await fleet.store.readState()
  return { reads: calls.read ?? 0, writes: calls.write ?? 0, peakPerSecond: calls.peakPerSecond }
}

/** Returns how often each call of the plain service has run, by its number. */
export async function readServiceRuns (fleet: fleets.Fleet): Promise<ReadonlyMap<number, number>> {
  const runs = new Map<number, number>()
  for (const server of fleet.servers.filter(candidate => candidate.vm.role === 'service')) {
    const { runsByBody } = await server.standin.readState() as { runsByBody: Record<string, number> }
    for (const [key, count] of Object.entries(runsByBody)) {
      const { call } = JSON.parse(key.slice(key.indexOf('{'))) as { call: number }
      runs.set(call, (runs.get(call) ?? 0) + count)
    }
  }
  return runs
}

/** Reads the time line of the processes that still run, through an entry that is ready. */
export async function readEvents (fleet: fleets.Fleet): Promise<readonly events.Event[]> {
  const entry = fleet.entries.find(candidate => candidate.process.isRunning)
  const response = await undici.request(`${entry?.administrationUrl}/admin/v1/timeline?limit=${eventLimit}`, {
    headers: { authorization: `Bearer ${fleet.secrets.administrator}` }
  })
  const body = await response.body.json() as { events?: readonly events.Event[] }
  return body.events ?? []
}
