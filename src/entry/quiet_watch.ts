/**
 * Notices that nothing has been heard for a while. Hearing something is cheap: the one timer is set again only
 * when it expires.
 */
import * as host from '../host/types.js'

export class QuietWatch {
  private heardAtMs = 0
  private stopTimer: host.Stop | undefined

  /** `act` is called after each `limitMs` milliseconds without anything heard, from the first time on. */
  constructor (
    private readonly clock: host.Clock,
    private readonly limitMs: number,
    private readonly act: () => void
  ) {}

  heard (): void {
    this.heardAtMs = this.clock.monotonicMs()
    this.stopTimer ??= this.startTimer(this.limitMs)
  }

  /** Ends the watch; nothing may be heard afterwards. */
  stop (): void {
    this.stopTimer?.()
  }

  private startTimer (delayMs: number): host.Stop {
    return this.clock.after(delayMs, () => this.check())
  }

  private check (): void {
    const leftMs = this.heardAtMs + this.limitMs - this.clock.monotonicMs()
    this.stopTimer = this.startTimer(leftMs > 0 ? leftMs : this.limitMs)
    if (leftMs <= 0) {
      this.act()
    }
  }
}
