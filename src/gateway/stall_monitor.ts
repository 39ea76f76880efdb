/**
 * Measures how long the event loop stands still: the process was stopped, had no processor, or held its thread.
 */
import * as host from '../host/types.js'

/** Delays of a timer up to this are no stall. */
const toleranceMs = 100
/** Stalls from this length on are logged. */
const loggedStallMs = 500
/** Time for which the longest stall is reported: several collections of the metrics. */
const reportMs = 60_000

export class StallMonitor {
  private expectedMs: number | undefined
  private longestStallMs = 0
  private longestAtMs = 0

  constructor (private readonly log: host.Log) {}

  /** Records a tick of a periodic timer; `periodMs` is the time until the next one. Times are on the monotonic clock. */
  tick (nowMs: number, periodMs: number): void {
    const stallMs = this.expectedMs === undefined ? 0 : nowMs - this.expectedMs
    this.expectedMs = nowMs + periodMs
    if (stallMs >= loggedStallMs) {
      this.log.warn('event loop stalled', { stallMs: Math.round(stallMs) })
    }
    if (stallMs > toleranceMs && stallMs >= this.getLongestMs(nowMs)) {
      this.longestStallMs = stallMs
      this.longestAtMs = nowMs
    }
  }

  /** Returns the longest stall of the last minute in milliseconds, 0 without one. */
  getLongestMs (nowMs: number): number {
    return nowMs - this.longestAtMs <= reportMs ? this.longestStallMs : 0
  }
}
