/**
 * Estimates from a caller's time-out how long ago its first attempt was.
 *
 * Pattern: in a burst callers are refused and retry, each time as a new request with less time left. First attempts share a few
 * common time-outs, so an uncommon time-out is the remainder of the next longer common one.
 */

/** Window over which time-outs are counted; counts expire after two windows at most. */
const countingWindowMs = 10_000
/** Resolution of the counts: time-outs are rounded to multiples of it. */
const resolutionMs = 10
/** Part of the recent requests, and least number of them, that makes a time-out common: it belongs to first attempts. */
const commonTimeoutPart = 0.1
const minimumCommonCount = 3

interface TimeoutCounts {
  sinceMs: number
  current: Map<number, number>
  previous: ReadonlyMap<number, number>
}

export class FirstAttemptEstimate {
  private readonly routes = new Map<string, TimeoutCounts>()

  /** Records a request and returns the estimated time since its caller's first attempt, in milliseconds. */
  estimateElapsedMs (route: string, callerTimeoutMs: number, nowMs: number): number {
    const timeouts = this.getCounts(route, nowMs)
    const rounded = Math.round(callerTimeoutMs / resolutionMs)
    timeouts.current.set(rounded, (timeouts.current.get(rounded) ?? 0) + 1)
    const counts = new Map(timeouts.previous)
    let total = 0
    for (const [timeout, count] of timeouts.current) {
      counts.set(timeout, (counts.get(timeout) ?? 0) + count)
    }
    for (const count of counts.values()) {
      total += count
    }
    let next = Infinity
    for (const [timeout, count] of counts) {
      if (timeout >= rounded && timeout < next && count >= Math.max(minimumCommonCount, total * commonTimeoutPart)) {
        next = timeout
      }
    }
    return Number.isFinite(next) ? (next - rounded) * resolutionMs : 0
  }

  private getCounts (route: string, nowMs: number): TimeoutCounts {
    const timeouts = this.routes.get(route) ?? { sinceMs: nowMs, current: new Map(), previous: new Map() }
    this.routes.set(route, timeouts)
    if (nowMs - timeouts.sinceMs >= countingWindowMs) {
      timeouts.previous = nowMs - timeouts.sinceMs >= 2 * countingWindowMs ? new Map() : timeouts.current
      timeouts.current = new Map()
      timeouts.sinceMs = nowMs
    }
    return timeouts
  }
}
