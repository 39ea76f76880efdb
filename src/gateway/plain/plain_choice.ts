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

/** Servers with the score of each, in the same order. */
export interface RatedServers {
  readonly candidates: readonly routing.RoutedServer[]
  readonly scores: readonly number[]
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
    const { candidates, scores } = this.rate(servers, excluded, isRepeatable, nowMs)
    return pickServer(candidates, scores, tieBreaker)
  }

  /** Returns the scores of the servers that are not excluded; the lowest is the best. With `parts` that are observed, nothing changes. */
  rate (
    servers: readonly routing.RoutedServer[], excluded: ReadonlySet<string>, isRepeatable: boolean, nowMs: number, parts = this.parts
  ): RatedServers {
    const candidates = servers.filter(({ id }) => !excluded.has(id))
    const rates = candidates.map(({ id }) => this.health.getFailureRate(id, nowMs))
    const leastRate = Math.min(...rates)
    const weight = isRepeatable ? delayWeight : lossWeight
    const scores: number[] = []
    for (const server of candidates) {
      scores.push(this.score(server, nowMs, parts) + weight * ((rates[scores.length] ?? 0) - leastRate))
    }
    return { candidates, scores }
  }

  /** Returns the calls that count as running at a server, and the age of the report that was used. */
  getQueue (server: string, nowMs: number): serverLoads.QueueState {
    const load = this.loads.get(server)
    const isReported = load?.reported !== undefined && nowMs - load.reportedMs < maximumReportAgeMs
    return { ahead: this.countBusy(server, nowMs), reportAgeMs: isReported ? nowMs - load.reportedMs : undefined }
  }

  private countBusy (server: string, nowMs: number): number {
    const load = this.loads.get(server)
    const reported = load?.reported !== undefined && nowMs - load.reportedMs < maximumReportAgeMs
      ? load.reported.running + load.reported.waiting
      : 0
    return Math.max(load?.inFlight ?? 0, reported)
  }

  private score (server: routing.RoutedServer, nowMs: number, parts: capacityParts.CapacityParts): number {
    const busy = this.countBusy(server.id, nowMs)
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
export function pickServer (candidates: readonly routing.RoutedServer[], scores: readonly number[], tieBreaker: number): routing.RoutedServer | undefined {
  let best: routing.RoutedServer | undefined
  let bestScore = Infinity
  let index = 0
  for (const server of candidates) {
    const score = (scores[index] ?? Infinity) + tieBreaker * 1e-3 * (server.id < (best?.id ?? '') ? 1 : -1)
    if (score < bestScore) {
      best = server
      bestScore = score
    }
    index += 1
  }
  return best
}
