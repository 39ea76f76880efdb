/**
 * A watchdog that reports when there has been no activity for a given time. Recording activity is cheap, because the
 * single timer is set again only when it expires.
 */
import * as host from '../host/types.js'

export class IdleWatchdog {
  private lastActivityMs = 0
  private stopTimer: host.Stop | undefined

  /** Calls `onIdle` after each `limitMs` milliseconds without activity, starting with the first activity. */
  constructor (
    private readonly clock: host.Clock,
    private readonly limitMs: number,
    private readonly onIdle: () => void
  ) {}

  recordActivity (): void {
    this.lastActivityMs = this.clock.monotonicMs()
    this.stopTimer ??= this.startTimer(this.limitMs)
  }

  /** Stops the watchdog. No activity may be recorded afterwards. */
  stop (): void {
    this.stopTimer?.()
  }

  private startTimer (delayMs: number): host.Stop {
    return this.clock.after(delayMs, () => this.check())
  }

  private check (): void {
    const leftMs = this.lastActivityMs + this.limitMs - this.clock.monotonicMs()
    this.stopTimer = this.startTimer(leftMs > 0 ? leftMs : this.limitMs)
    if (leftMs <= 0) {
      this.onIdle()
    }
  }
}
