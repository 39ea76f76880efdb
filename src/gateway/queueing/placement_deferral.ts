/**
 * Whether a gateway leaves free memory to more urgent requests that wait at other gateways.
 *
 * Pattern: memory becomes free at a moment when a more urgent request waits at a gateway that does not know of it yet, while a less urgent
 * one waits here. The memory is left for as long as the other gateway needs to learn of it. If it is still free then, the news is stale
 * or the memory is of no use to the other, and this gateway uses it. The other learns of the memory by the next message, which travels as long
 * as the news did: memory is idle for at most a period and the age of the news.
 */
import * as host from '../../host/types.js'
import type * as metrics from '../../metrics/types.js'
import type * as waitingDemands from './waiting_demand.js'

/** Upper bound of a deferral, in milliseconds: a quarter of the least time after which callers leave, and of the validity of the gossip. */
const maximumDeferralMs = 500
/** Least time between two log lines, in milliseconds. */
const logPauseMs = 1_000

/** A request that finds memory. */
export interface Candidate {
  readonly id: string | undefined
  readonly service: string
  readonly rank: number
  /** Returns how many requests that need so many tokens each fit into the free memory of the decode servers. */
  readonly countPlaces: (tokens: number) => number
}

interface Deferral {
  readonly untilMs: number
  lastMs: number
  /** Whether it has ended without effect; free memory is used until there is none. */
  isExpired: boolean
}

export class PlacementDeferral {
  /** By service and rank. */
  private readonly deferrals = new Map<string, Deferral>()
  private loggedMs = -Infinity

  constructor (private readonly demand: waitingDemands.WaitingDemand, private readonly log: host.Log, private readonly meter: metrics.Meter) {}

  /** Tells whether a request is not to be placed now; `periodMs` is the time between two messages of a gateway. */
  shouldDefer (candidate: Candidate, periodMs: number, nowMs: number): boolean {
    const { service, rank } = candidate
    const key = `${rank} ${service}`
    const demand = this.demand.getMoreUrgent(service, rank, nowMs)
    const places = demand.count === 0 ? 0 : candidate.countPlaces(demand.tokens / demand.count)
    if (places === 0 || places > demand.count) {
      this.deferrals.delete(key)
      return false
    }
    const known = this.deferrals.get(key)
    if (known === undefined || nowMs - known.lastMs > maximumDeferralMs) {
      const untilMs = nowMs + Math.min(maximumDeferralMs, periodMs + Math.max(periodMs, demand.newsMs))
      this.deferrals.set(key, { untilMs, lastMs: nowMs, isExpired: false })
      this.report('begun', candidate, demand, places, nowMs)
      return true
    }
    known.lastMs = nowMs
    if (nowMs < known.untilMs) {
      return true
    }
    if (!known.isExpired) {
      known.isExpired = true
      this.report('expired', candidate, demand, places, nowMs)
    }
    return false
  }

  /** Returns what `shouldDefer` would, without a change of state. */
  observe ({ service, rank, countPlaces }: Candidate, nowMs: number): boolean {
    const demand = this.demand.getMoreUrgent(service, rank, nowMs)
    const places = demand.count === 0 ? 0 : countPlaces(demand.tokens / demand.count)
    if (places === 0 || places > demand.count) {
      return false
    }
    const known = this.deferrals.get(`${rank} ${service}`)
    return known === undefined || nowMs - known.lastMs > maximumDeferralMs || nowMs < known.untilMs
  }

  private report (outcome: string, { id, service, rank }: Candidate, demand: waitingDemands.Demand, places: number, nowMs: number): void {
    this.meter.count('gateway_deferrals_total', { outcome })
    if (nowMs - this.loggedMs >= logPauseMs) {
      this.loggedMs = nowMs
      this.log.info('placement deferred', {
        request: id,
        outcome,
        service,
        rank,
        urgentWaiting: demand.count,
        urgentWaitedMs: Math.round(demand.oldestMs),
        newsMs: Math.round(demand.newsMs),
        places
      })
    }
  }
}
