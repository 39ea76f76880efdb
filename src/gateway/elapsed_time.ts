/**
 * Time by the faster of the monotonic and the wall clock. The monotonic clock stands still while the VM is suspended, and the wall
 * clock may be set back; what must expire in time is measured by this.
 */
import * as host from '../host/types.js'

export class ElapsedTime {
  private monotonicMs: number
  private wallMs: number
  private totalMs = 0

  constructor (private readonly clock: host.Clock) {
    this.monotonicMs = clock.monotonicMs()
    this.wallMs = clock.wallMs()
  }

  /** Returns the time since the construction, in milliseconds. */
  read (): number {
    const monotonicMs = this.clock.monotonicMs()
    const wallMs = this.clock.wallMs()
    this.totalMs += Math.max(0, monotonicMs - this.monotonicMs, wallMs - this.wallMs)
    this.monotonicMs = monotonicMs
    this.wallMs = wallMs
    return this.totalMs
  }
}
