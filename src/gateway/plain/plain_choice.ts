/**
 * Chooses the server of a plain service (one without an engine) for a call.
 *
 * Pattern: some servers lose answers, while the healthy ones have just enough capacity for the calls that must run only once. Those
 * calls go to the healthy servers until these are overloaded; repeatable calls move to the others.
 */
import * as capacityParts from '../pace/capacity_parts.js'
import * as healths from '../server_health.js'
import * as routing from '../../contracts/routing.js'
import type * as serverLoads from './server_loads.js'
import * as types from '../types.js'

/**
 * Weights of a server's failure rate relative to its load, where 1 is the load that fills its slots. A call that must run only once
 * is lost with its answer, a repeatable one is delayed. Rates are taken relative to the best server's, because some requests fail
 * on every server.
 */
const lossWeight = 20
const delayWeight = 7
/** Added to the load of a server in another zone; equals a load of more than half of its slots. */
const otherZonePenalty = 0.6
/** Age after which a reported load is ignored. */
const maximumReportAgeMs = 500

export interface RatedServer {
  readonly server: routing.RoutedServer
  readonly score: number
}

interface Load {
  inFlight: number
  reported: types.ReportedLoad | undefined
  reportedMs: number
}

export class PlainChoice {
  private readonly loads = new Map<string, Load>()

  constructor (private readonly zone: string, private readonly health: healths.ServerHealth, private readonly parts: capacityParts.CapacityParts = new capacityParts.FullCapacity()) {}

  /** Records the start of a call at a server. */
  start (server: string): void {
    this.getLoad(server).inFlight += 1
  }

  /** Records the end of a call, and the load that its answer reports. */
  finish (server: string, reported: types.ReportedLoad | undefined, nowMs: number): void {
    const load = this.getLoad(server)
    load.inFlight -= 1
    if (reported !== undefined) {
      load.reported = reported
      load.reportedMs = nowMs
    }
  }

  forget (server: string): void {
    this.loads.delete(server)
  }

  /** Returns the best server that is not excluded; a paused one only if there is no other. `tieBreaker` is from 0 to 1. */
  choose (
    servers: readonly routing.RoutedServer[], excluded: ReadonlySet<string>, isRepeatable: boolean, nowMs: number, tieBreaker: number
  ): routing.RoutedServer | undefined {
    return pickServer(this.rate(servers, excluded, isRepeatable, nowMs), tieBreaker)
  }

  /** Returns the scores of the servers that are not excluded; the lowest is the best. With `parts` that are observed, nothing changes. */
  rate (
    servers: readonly routing.RoutedServer[], excluded: ReadonlySet<string>, isRepeatable: boolean, nowMs: number, parts = this.parts
  ): readonly RatedServer[] {
    const candidates = servers.filter(({ id }) => !excluded.has(id))
    const rates = candidates.map(({ id }) => this.health.getFailureRate(id, nowMs))
    const leastRate = Math.min(...rates)
    const weight = isRepeatable ? delayWeight : lossWeight
    return candidates.map((server, index) => {
      const failurePenalty = weight * ((rates[index] ?? 0) - leastRate)
      return { server, score: this.score(server, nowMs, parts) + failurePenalty }
    })
  }

  /** Returns the calls that count as running at a server, and the age of the report that was used. */
  getQueue (server: string, nowMs: number): serverLoads.QueueState {
    const load = this.loads.get(server)
    const inFlight = load?.inFlight ?? 0
    if (load?.reported === undefined || nowMs - load.reportedMs >= maximumReportAgeMs) {
      return { ahead: inFlight, reportAgeMs: undefined }
    }
    return { ahead: Math.max(inFlight, load.reported.running + load.reported.waiting), reportAgeMs: nowMs - load.reportedMs }
  }

  private score (server: routing.RoutedServer, nowMs: number, parts: capacityParts.CapacityParts): number {
    const { ahead: busy } = this.getQueue(server.id, nowMs)
    const answerMs = this.health.getAnswerMs(server.id) ?? 0
    const pausePenalty = this.health.isPaused(server.id, nowMs) ? 1_000 : 0
    const zonePenalty = server.zone === this.zone ? 0 : otherZonePenalty
    return (busy + 0.5) / (server.slots * parts.getPart(server, nowMs)) * (1 + answerMs / 100) + zonePenalty + pausePenalty
  }

  private getLoad (server: string): Load {
    const found = this.loads.get(server)
    if (found !== undefined) {
      return found
    }
    const created = { inFlight: 0, reported: undefined, reportedMs: 0 }
    this.loads.set(server, created)
    return created
  }
}

/** Returns the server with the lowest score; `tieBreaker`, from 0 to 1, decides between scores that hardly differ. */
export function pickServer (rated: readonly RatedServer[], tieBreaker: number): routing.RoutedServer | undefined {
  let best: routing.RoutedServer | undefined
  let bestScore = Infinity
  for (const { server, score: rating } of rated) {
    const score = rating + tieBreaker * 1e-3 * (server.id < (best?.id ?? '') ? 1 : -1)
    if (score < bestScore) {
      best = server
      bestScore = score
    }
  }
  return best
}
