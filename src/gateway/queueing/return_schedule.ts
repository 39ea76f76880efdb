/**
 * When callers that were refused for the limits of the servers are to come back: one after the other, as fast as the limits allow.
 *
 * Pattern: far more callers than the servers may take. If all were given the time of the next permit, they would return together and
 * all but one would be refused again.
 */

/** Latest time that is given to a caller, in milliseconds. */
const latestReturnMs = 10_000

export class ReturnSchedule {
  /** Last time given out for each service, on the monotonic clock, in milliseconds. */
  private readonly lastReturns = new Map<string, number>()

  /** Returns the time after which the next caller of a service is to come back, in milliseconds; `waitMs` is the time until a permit may be had. */
  schedule (service: string, waitMs: number, perSecond: number, nowMs: number): number {
    const returnMs = this.getNextMs(service, waitMs, perSecond, nowMs)
    this.lastReturns.set(service, returnMs)
    return Math.ceil(returnMs - nowMs)
  }

  /** Returns what `schedule` would, without giving out a time. */
  observe (service: string, waitMs: number, perSecond: number, nowMs: number): number {
    return Math.ceil(this.getNextMs(service, waitMs, perSecond, nowMs) - nowMs)
  }

  private getNextMs (service: string, waitMs: number, perSecond: number, nowMs: number): number {
    const intervalMs = 1000 / Math.max(perSecond, Number.EPSILON)
    return Math.min(nowMs + latestReturnMs, Math.max(nowMs + waitMs, (this.lastReturns.get(service) ?? -Infinity) + intervalMs))
  }
}
