/**
 * Queue of generations that wait for capacity at a decode server.
 *
 * Pattern: more generations arrive than fit into the memory of the decode servers. More urgent ones go first; at equal priority,
 * short ones have a head start over long ones; a generation is refused once it can no longer finish in time. Requests that were
 * refused before and are late in any case use the capacity that is left over, and are not refused again while they can still be
 * served.
 */

/** Head start of a generation over one that is a token longer, in milliseconds: roughly the additional time for which the longer one occupies capacity, scaled to the remaining wait. */
const headStartMsPerToken = 0.2
/** Upper bound of the head start, in milliseconds: a long generation goes before any that arrived so much later. */
const maximumHeadStartMs = 200

/** A queued generation. */
export interface Waiter {
  readonly id: string
  /** 0 is the most urgent. */
  readonly priority: number
  readonly expectedOutputTokens: number
  readonly sinceMs: number
  /** Latest start that is of use to the caller, on the clock of `dispatch`: the answer still is in time or, if it is late in any case, still is accepted. */
  readonly latestMs: number
  /** The request was refused before and can no longer be served in time. */
  readonly isLate: boolean
  /** Tries to reserve capacity; returns false if there is not enough. */
  readonly tryReserve: () => boolean
  /** Called once: capacity was reserved, or the deadline has passed. */
  readonly settle: (taken: boolean) => void
}

export class CapacityQueue {
  private readonly waiters = new Map<string, Waiter>()

  /** `begin` is called when the queue becomes non-empty. */
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

  /** Removes a waiter whose caller has disconnected. */
  remove (id: string): void {
    this.waiters.delete(id)
  }

  /** Assigns capacity to the waiters in order, and refuses those whose deadline has passed. */
  dispatch (nowMs: number): void {
    if (this.waiters.size === 0) {
      return
    }
    for (const waiter of [...this.waiters.values()].sort(compareWaiters)) {
      if (nowMs >= waiter.latestMs) {
        this.waiters.delete(waiter.id)
        waiter.settle(false)
        continue
      }
      if (waiter.tryReserve()) {
        this.waiters.delete(waiter.id)
        waiter.settle(true)
      }
    }
  }
}

function compareWaiters (a: Waiter, b: Waiter): number {
  if (a.priority !== b.priority) {
    return a.priority - b.priority
  }
  if (a.isLate !== b.isLate) {
    return a.isLate ? 1 : -1
  }
  return rank(a) - rank(b)
}

/** Lower goes first: by arrival time, with a head start for generations that occupy capacity for a short time. */
function rank (waiter: Waiter): number {
  return waiter.sinceMs + Math.min(maximumHeadStartMs, waiter.expectedOutputTokens * headStartMsPerToken)
}
