/**
 * Pauses orders of a kind that end the engines they are given to, so that one engine after the other is not lost to them.
 *
 * Pattern: the coordinator needs an engine at another stage; the engine that gets the order ends, which makes the next order more urgent.
 */

/** Lost engines in a row that may be due to chance. */
const tolerableLosses = 1
/** Pause after the first lost engine beyond that, in milliseconds: longer than an engine takes to start again; multiplied with each further one. */
const firstPauseMs = 15_000
const pauseFactor = 4
/** Longest pause, in milliseconds: then one engine is tried again. */
const longestPauseMs = 600_000

interface Backoff {
  readonly losses: number
  readonly untilMs: number
}

export class OrderBackoff {
  private readonly backoffs = new Map<string, Backoff>()

  isPaused (kind: string, nowMs: number): boolean {
    return (this.backoffs.get(kind)?.untilMs ?? 0) > nowMs
  }

  /** Records that an engine was lost while it had an order; returns the pause in milliseconds. */
  recordLoss (kind: string, nowMs: number): number {
    const losses = (this.backoffs.get(kind)?.losses ?? 0) + 1
    const excess = losses - tolerableLosses
    const pauseMs = excess <= 0 ? 0 : Math.min(longestPauseMs, firstPauseMs * pauseFactor ** (excess - 1))
    this.backoffs.set(kind, { losses, untilMs: nowMs + pauseMs })
    return pauseMs
  }

  recordSuccess (kind: string): void {
    this.backoffs.delete(kind)
  }
}
