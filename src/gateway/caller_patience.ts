/**
 * Estimates from a caller's time-out how long ago its first attempt was.
 *
 * Pattern: in a burst callers are refused and retry, each time as a new request with less time left. First attempts share a few
 * common time-outs, so an uncommon time-out is the remainder of the next longer common one.
 */

/** Window over which time-outs are counted; counts expire after two windows at most. */
const countingMs = 10_000
/** Resolution of the counts: time-outs are rounded to multiples of it. */
const grainMs = 10
/** Part of the recent requests, and least number of them, that makes a time-out common: it belongs to first attempts. */
const commonPart = 0.1
const leastCommon = 3

interface Figures {
  sinceMs: number
  current: Map<number, number>
  previous: ReadonlyMap<number, number>
}

export class CallerPatience {
  private readonly routes = new Map<string, Figures>()

  /** Records a request and returns the estimated time since its caller's first attempt, in milliseconds. */
  note (route: string, patienceMs: number, nowMs: number): number {
    const figures = this.getFigures(route, nowMs)
    const grain = Math.round(patienceMs / grainMs)
    figures.current.set(grain, (figures.current.get(grain) ?? 0) + 1)
    const counts = new Map(figures.previous)
    let total = 0
    for (const [figure, count] of figures.current) {
      counts.set(figure, (counts.get(figure) ?? 0) + count)
    }
    for (const count of counts.values()) {
      total += count
    }
    let next = Infinity
    for (const [figure, count] of counts) {
      if (figure >= grain && figure < next && count >= Math.max(leastCommon, total * commonPart)) {
        next = figure
      }
    }
    return Number.isFinite(next) ? (next - grain) * grainMs : 0
  }

  private getFigures (route: string, nowMs: number): Figures {
    const figures = this.routes.get(route) ?? { sinceMs: nowMs, current: new Map(), previous: new Map() }
    this.routes.set(route, figures)
    if (nowMs - figures.sinceMs >= countingMs) {
      figures.previous = nowMs - figures.sinceMs >= 2 * countingMs ? new Map() : figures.current
      figures.current = new Map()
      figures.sinceMs = nowMs
    }
    return figures
  }
}
