/**
 * When callers that were refused for lack of decode memory are to come back: one after the other, the urgent ones first.
 *
 * Pattern: callers refused in a burst come back together after a constant time, find the memory taken by the first of them, and are refused
 * again. Each gateway gives out its share of the memory that is expected to become free. Callers do not honour more than a third of the time
 * that they have left; those for whom there is no turn within that come back at different times of its second half.
 */
import * as host from '../../host/types.js'

/** Part of the time that a caller has left up to which it honours the time to come back. */
const honouredPart = 1 / 3
/** Earliest time at which callers without a turn come back, in parts of the longest that they honour. */
const earliestSpreadPart = 0.5

/** A refused request. */
export interface RefusedRequest {
  readonly service: string
  /** 0 is the most urgent. */
  readonly rank: number
  /** Time until memory is expected to be free for it, in milliseconds; infinite if that is not known. */
  readonly waitMs: number
  /** Time in which this gateway's share of the memory that becomes free is enough for the request, in milliseconds. */
  readonly intervalMs: number
  /** Time that the caller has left, in milliseconds. */
  readonly remainingMs: number
}

/** Range of the times after which a caller may be told to come back, in milliseconds. */
export interface ReturnRange {
  readonly earliestMs: number
  readonly latestMs: number
}

export class CapacityReturns {
  /** Latest turn given out, by service and rank, on the monotonic clock, in milliseconds. */
  private readonly turns = new Map<string, Map<number, number>>()

  constructor (private readonly random: host.Random) {}

  /** Returns the range of the times that `schedule` would draw from, without giving out a turn. */
  observe ({ service, rank, waitMs, intervalMs, remainingMs }: RefusedRequest, nowMs: number): ReturnRange {
    const honouredMs = Math.max(0, remainingMs * honouredPart)
    let earliestMs = waitMs
    let latestMs = waitMs + intervalMs
    for (const [other, lastMs] of this.turns.get(service) ?? []) {
      if (lastMs > nowMs && other <= rank) {
        earliestMs = Math.max(earliestMs, lastMs - nowMs + intervalMs)
        latestMs = Math.max(latestMs, lastMs - nowMs + intervalMs)
      }
    }
    const spreadMs = Math.floor(honouredMs * earliestSpreadPart)
    if (!(earliestMs <= honouredMs)) {
      return { earliestMs: spreadMs, latestMs: Math.floor(honouredMs) }
    }
    return latestMs <= honouredMs
      ? { earliestMs: Math.floor(earliestMs), latestMs: Math.floor(latestMs) }
      : { earliestMs: Math.floor(Math.min(earliestMs, spreadMs)), latestMs: Math.floor(honouredMs) }
  }

  /** Returns the time after which the caller is to come back, in milliseconds. */
  schedule ({ service, rank, waitMs, intervalMs, remainingMs }: RefusedRequest, nowMs: number): number {
    const honouredMs = Math.max(0, remainingMs * honouredPart)
    const turns = this.turns.get(service) ?? new Map<number, number>()
    this.turns.set(service, turns)
    // The turns of the gateways lie between each other; without the draw the first ones would coincide.
    let turnMs = nowMs + waitMs + this.random.nextUnit() * intervalMs
    for (const [other, lastMs] of turns) {
      if (lastMs <= nowMs) {
        turns.delete(other)
      } else if (other <= rank) {
        turnMs = Math.max(turnMs, lastMs + intervalMs)
      }
    }
    if (!(turnMs <= nowMs + honouredMs)) {
      return Math.floor(honouredMs * (earliestSpreadPart + (1 - earliestSpreadPart) * this.random.nextUnit()))
    }
    turns.set(rank, turnMs)
    for (const [other, lastMs] of turns) {
      if (other > rank && lastMs >= turnMs) {
        turns.set(other, lastMs + intervalMs)
      }
    }
    return Math.floor(turnMs - nowMs)
  }
}
