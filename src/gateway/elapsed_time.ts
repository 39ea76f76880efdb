/**
 * Time that includes suspensions of the VM, in which the monotonic clock stands still: what must expire in time is measured by it. A
 * wall clock that is set forward looks like a suspension; one that is set back changes nothing.
 */
import * as host from '../host/types.js'

/** Lead of the wall clock over the monotonic one that is not a suspension, in milliseconds: rounding and adjustments of its rate. */
const toleratedLeadMs = 100

export class ElapsedTime {
  /** Difference between the two clocks when it was last taken over. */
  private differenceMs: number
  private suspendedMs = 0

  constructor (private readonly clock: host.Clock) {
    this.differenceMs = clock.wallMs() - clock.monotonicMs()
  }

  /** Returns milliseconds since an arbitrary start; never decreases. */
  read (): number {
    const monotonicMs = this.clock.monotonicMs()
    const differenceMs = this.clock.wallMs() - monotonicMs
    if (Math.abs(differenceMs - this.differenceMs) > toleratedLeadMs) {
      this.suspendedMs += Math.max(0, differenceMs - this.differenceMs)
      this.differenceMs = differenceMs
    }
    return monotonicMs + this.suspendedMs
  }
}
