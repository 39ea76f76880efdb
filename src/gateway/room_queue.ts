/**
 * Generations that wait for room at a decode server, and the order in which they get it.
 *
 * Pattern: more generations arrive than the decode servers' memory holds. Those that are more urgent go first; among
 * equals short ones have a head start over long ones; nobody waits longer than it can be in time. Callers that were sent away
 * and are late in any case take what the others leave, and are not sent away again while they can be served.
 */

/** Head start of a generation over one that is a token longer, in milliseconds: about the time for which each holds room beyond the other, scaled to the wait that is left. */
const headStartMsPerToken = 0.2
/** Longest head start, in milliseconds: a long generation overtakes all that came so much later. */
const longestHeadStartMs = 200

/** A generation that waits. */
export interface Waiter {
  readonly id: string
  /** 0 is the most urgent. */
  readonly priority: number
  readonly expectedOutputTokens: number
  readonly sinceMs: number
  /** Latest time at which a start still serves the caller: in time, or at all where it is late in any case. */
  readonly latestMs: number
  /** The caller was sent away before and cannot be served in time any more. */
  readonly isLate: boolean
  /** Tries to take room; false when there is none for it. */
  readonly tryTake: () => boolean
  /** Called once: the room was taken, or the request cannot be in time any more. */
  readonly settle: (taken: boolean) => void
}

export class RoomQueue {
  private readonly waiters = new Map<string, Waiter>()

  /** `begin` is called when the first one begins to wait. */
  constructor (private readonly begin: () => void = () => {}) {}

  get length (): number {
    return this.waiters.size
  }

  add (waiter: Waiter): void {
    this.waiters.set(waiter.id, waiter)
    if (this.waiters.size === 1) {
      this.begin()
    }
  }

  /** Takes a waiter out whose caller has left. */
  remove (id: string): void {
    this.waiters.delete(id)
  }

  /** Gives room to those that can have it, best first, and turns away those that have become too late. */
  pump (nowMs: number): void {
    if (this.waiters.size === 0) {
      return
    }
    for (const waiter of [...this.waiters.values()].sort(compare)) {
      if (nowMs >= waiter.latestMs) {
        this.waiters.delete(waiter.id)
        waiter.settle(false)
        continue
      }
      if (waiter.tryTake()) {
        this.waiters.delete(waiter.id)
        waiter.settle(true)
      }
    }
  }
}

function compare (a: Waiter, b: Waiter): number {
  if (a.priority !== b.priority) {
    return a.priority - b.priority
  }
  if (a.isLate !== b.isLate) {
    return a.isLate ? 1 : -1
  }
  return rank(a) - rank(b)
}

/** Lower goes first: by arrival, with a head start for generations that hold their room for a short time. */
function rank (waiter: Waiter): number {
  return waiter.sinceMs + Math.min(longestHeadStartMs, waiter.expectedOutputTokens * headStartMsPerToken)
}
