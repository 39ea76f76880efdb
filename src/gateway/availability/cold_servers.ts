/**
 * Which servers are cold, and what all gateways together may send to them.
 *
 * Pattern: a server takes few requests for some seconds after it has started, and may turn cold again. Its entry in the store says so
 * up to two seconds later. A server that comes back counts as cold until something that it stated since then says otherwise. Performs
 * no input or output.
 */
import * as coldLimits from './cold_limit.js'
import * as host from '../../host/types.js'
import * as messages from '../peer_messages.js'
import * as routing from '../../contracts/routing.js'

/** Longest time that is believed, in milliseconds; longer ones are taken for faults. */
export const maximumColdMs = 600_000
/** Time after which an entry without a number of writes was written after an event, in milliseconds: the interval and the delay of entries. */
const entryDelayMs = 2_000
/** Age up to which statements are passed on to other gateways, in milliseconds: later ones are in the store. */
const reportedMs = 3_000
/** Limit on the statements in one message to another gateway. */
const maximumReported = 16
/** Least difference in age with which a statement of another gateway counts as later, in milliseconds. */
const refreshMs = 100

/** Why a server counts as cold without having said so. */
export type ReturnReason = 'new' | 'connection_failed' | 'evacuation_ended'

/** What a server stated. Times are on the monotonic clock, in milliseconds. */
interface Statement {
  readonly untilMs: number
  readonly observedMs: number
  readonly source: 'entry' | 'answer'
}

/** One process of a server. Times are on the monotonic clock, in milliseconds. */
interface ColdState {
  readonly service: string
  readonly bornMs: number
  writes: number | undefined
  returnedMs: number
  reason: ReturnReason
  /** The latest statement since it returned. */
  told: Statement | undefined
  /** An entry counts as written since the return if it has more writes or, without a number, comes later. */
  entriesAfterWrites: number
  entriesFromMs: number
}

/** Returns the cold time in milliseconds and the limit of a service; undefined if its servers are never cold. */
export type ColdProfileSource = (service: string) => { readonly coldMs: number, readonly limit: coldLimits.ColdLimit } | undefined

export class ColdServers {
  private readonly states = new Map<string, ColdState>()
  private readonly logged = new Set<string>()

  constructor (private readonly getProfile: ColdProfileSource, private readonly log: host.Log) {}

  /** Returns the limit of a cold server; undefined for any other. */
  getLimit (server: string, nowMs: number): coldLimits.ColdLimit | undefined {
    const state = this.states.get(server)
    const profile = state === undefined ? undefined : this.getProfile(state.service)
    return state === undefined || profile === undefined || nowMs >= getEndMs(state, profile.coldMs) ? undefined : profile.limit
  }

  /** Time until a server is no longer cold, in milliseconds. */
  getLeftMs (server: string, nowMs: number): number {
    const state = this.states.get(server)
    const profile = state === undefined ? undefined : this.getProfile(state.service)
    return state === undefined || profile === undefined ? 0 : Math.max(0, getEndMs(state, profile.coldMs) - nowMs)
  }

  /** Records an entry of a server as read from the store. An entry of a process that is not known yet says that it has started. */
  recordEntry (server: routing.RoutedServer, nowMs: number): void {
    const bornMs = server.bornMs ?? 0
    const known = this.states.get(server.id)
    const state = known?.bornMs === bornMs && known.service === server.service ? known : this.add(server, nowMs)
    const isSinceReturn = server.writes === undefined || state.writes === undefined
      ? nowMs >= state.entriesFromMs
      : server.writes > state.entriesAfterWrites
    state.writes = server.writes
    if (server.coldLeftMs !== undefined && isSinceReturn) {
      state.told = { untilMs: nowMs + server.coldLeftMs, observedMs: nowMs, source: 'entry' }
    }
    this.logChange(server.id, nowMs)
  }

  /** Records the time that a server's answer states, in milliseconds, for a request that was sent at a time on the monotonic clock. */
  recordAnswer (server: routing.RoutedServer, leftMs: number, sentMs: number, nowMs: number): void {
    const state = this.states.get(server.id)
    if (state === undefined || state.bornMs !== (server.bornMs ?? 0) || leftMs > maximumColdMs || (leftMs <= 0 && sentMs < state.returnedMs)) {
      return
    }
    state.told = { untilMs: nowMs + leftMs, observedMs: nowMs, source: 'answer' }
    this.logChange(server.id, nowMs)
  }

  /** Records that the connection to a server failed: its process may have ended, and its entry may have been written before. */
  recordFailure (server: routing.RoutedServer, nowMs: number): void {
    const state = this.states.get(server.id)
    if (state !== undefined && state.bornMs === (server.bornMs ?? 0)) {
      // One entry more than the known one may be on its way.
      this.markReturn(server.id, state, 'connection_failed', (state.writes ?? 0) + 1, nowMs + entryDelayMs, nowMs)
    }
  }

  /** Records that an evacuation has ended for a server. Entries that come later were written later, because the store keeps their order. */
  recordEvacuationEnd (server: string, nowMs: number): void {
    const state = this.states.get(server)
    if (state !== undefined) {
      this.markReturn(server, state, 'evacuation_ended', state.writes ?? 0, nowMs, nowMs)
    }
  }

  forget (server: string): void {
    this.states.delete(server)
    this.logged.delete(server)
  }

  /** Number of cold servers. */
  count (nowMs: number): number {
    let count = 0
    for (const server of this.states.keys()) {
      this.logChange(server, nowMs)
      count += this.getLimit(server, nowMs) === undefined ? 0 : 1
    }
    return count
  }

  /** Returns what answers stated lately, for a message to other gateways; undefined if there is nothing. */
  listReported (nowMs: number): Record<string, messages.ColdStatement> | undefined {
    const recent: [string, ColdState, Statement][] = []
    for (const [server, state] of this.states) {
      if (state.told?.source === 'answer' && nowMs - state.told.observedMs <= reportedMs && this.getProfile(state.service) !== undefined) {
        recent.push([server, state, state.told])
      }
    }
    if (recent.length === 0) {
      return undefined
    }
    recent.sort(([, , a], [, , b]) => b.observedMs - a.observedMs)
    return Object.fromEntries(recent.slice(0, maximumReported).map(([server, { bornMs }, { untilMs, observedMs }]): [string, messages.ColdStatement] => [
      server, [Math.round(Math.max(0, untilMs - nowMs)), bornMs, Math.round(nowMs - observedMs)]
    ]))
  }

  /** Merges what another gateway reported as of a time on the monotonic clock. */
  merge (reported: Readonly<Record<string, messages.ColdStatement>>, asOfMs: number, nowMs: number): void {
    for (const [server, [leftMs, bornMs, ageMs]] of Object.entries(reported)) {
      const state = this.states.get(server)
      const observedMs = asOfMs - Math.max(0, ageMs)
      if (state === undefined || state.bornMs !== bornMs || leftMs < 0 || leftMs > maximumColdMs ||
        observedMs <= Math.max(state.returnedMs, state.told?.observedMs ?? -Infinity) + refreshMs) {
        continue
      }
      state.told = { untilMs: asOfMs + leftMs, observedMs, source: 'answer' }
      this.logChange(server, nowMs)
    }
  }

  private add ({ id, service, bornMs }: routing.RoutedServer, nowMs: number): ColdState {
    const state: ColdState = {
      service, bornMs: bornMs ?? 0, writes: undefined, returnedMs: nowMs, reason: 'new', told: undefined, entriesAfterWrites: -1, entriesFromMs: nowMs
    }
    this.states.set(id, state)
    return state
  }

  private markReturn (server: string, state: ColdState, reason: ReturnReason, entriesAfterWrites: number, entriesFromMs: number, nowMs: number): void {
    state.returnedMs = nowMs
    state.reason = reason
    state.told = undefined
    state.entriesAfterWrites = entriesAfterWrites
    state.entriesFromMs = entriesFromMs
    this.logChange(server, nowMs)
  }

  /** Logs the beginning and the end of a server's cold time, once each. */
  private logChange (server: string, nowMs: number): void {
    const state = this.states.get(server)
    const limit = this.getLimit(server, nowMs)
    if (state === undefined || (limit !== undefined) === this.logged.has(server)) {
      return
    }
    if (limit === undefined) {
      this.logged.delete(server)
      this.log.info('server no longer cold', { server, service: state.service })
      return
    }
    this.logged.add(server)
    this.log.info('server cold', {
      server,
      service: state.service,
      source: state.told?.source ?? state.reason,
      ageMs: Math.round(nowMs - (state.told?.observedMs ?? state.returnedMs)),
      leftMs: Math.round(this.getLeftMs(server, nowMs)),
      grantsPerSecond: Number(limit.perSecond.toFixed(2))
    })
  }
}

/** Returns when a server stops being cold, on the monotonic clock. */
function getEndMs ({ told, returnedMs }: ColdState, coldMs: number): number {
  return told?.untilMs ?? returnedMs + coldMs
}
