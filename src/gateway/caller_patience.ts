/**
 * How long a caller has been asking, from the time that it is still willing to wait.
 *
 * Pattern: in a burst callers are sent away and come back, each time as a new request with less time left. Callers that ask for
 * the first time share a few round figures, so a time that nobody else states is what is left of the next longer one of these.
 */

/** Time for which figures are counted, in milliseconds; they are forgotten after twice as long. */
const countingMs = 10_000
/** Times that lie closer together count as the same, in milliseconds. */
const grainMs = 10
/** Part of the recent requests that a figure must have to be one of first attempts, and the least number of them. */
const commonPart = 0.1
const leastCommon = 3

interface Figures {
  sinceMs: number
  current: Map<number, number>
  previous: ReadonlyMap<number, number>
}

export class CallerPatience {
  private readonly routes = new Map<string, Figures>()

  /** Notes a request; returns how long its caller has probably waited before, in milliseconds. */
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
