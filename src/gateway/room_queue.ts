/**
 * Generations that wait for room at a decode server, and the order in which they get it.
 *
 * Pattern: more generations arrive than the decode servers' memory holds. Those that are more urgent go first; among
 * equals the one that brings most for the memory and time it takes; nobody waits longer than it can be in time.
 */

/** Output tokens at which the time of a generation no longer counts as short, in tokens. */
const shortOutputTokens = 16
/** What the time that a request has waited adds to its rank, for each millisecond: old requests overtake better ones. */
const rankPerMs = 1 / 400

/** A generation that waits. */
export interface Waiter {
  readonly id: string
  /** 0 is the most urgent. */
  readonly priority: number
  readonly promptTokens: number
  readonly expectedOutputTokens: number
  readonly sinceMs: number
  /** Latest time at which a start still serves the caller in time. */
  readonly latestMs: number
  /** Tries to take room; false when there is none for it. */
  readonly tryTake: () => boolean
  /** Called once: the room was taken, or the request cannot be in time any more. */
  readonly settle: (taken: boolean) => void
}

export class RoomQueue {
  private readonly waiters = new Map<string, Waiter>()

  get length (): number {
    return this.waiters.size
  }

  add (waiter: Waiter): void {
    this.waiters.set(waiter.id, waiter)
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
    for (const waiter of [...this.waiters.values()].sort((a, b) => compare(a, b, nowMs))) {
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

/** Returns what a generation brings for the memory and time that it takes; larger is better. */
export function rankGeneration (promptTokens: number, outputTokens: number): number {
  const value = promptTokens + 10 * outputTokens
  const cost = (promptTokens + outputTokens / 2) * (outputTokens + shortOutputTokens)
  return value / cost * shortOutputTokens
}

function compare (a: Waiter, b: Waiter, nowMs: number): number {
  if (a.priority !== b.priority) {
    return a.priority - b.priority
  }
  return rankAt(b, nowMs) - rankAt(a, nowMs)
}

function rankAt (waiter: Waiter, nowMs: number): number {
  return rankGeneration(waiter.promptTokens, waiter.expectedOutputTokens) + (nowMs - waiter.sinceMs) * rankPerMs
}
