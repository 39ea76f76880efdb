/**
 * A clock that moves only when told to.
 */
import * as host from '../../src/host/types.js'

interface Timer {
  readonly atMs: number
  readonly order: number
  readonly action: () => void
}

export class ManualClock extends host.Clock {
  private nowMs = 0
  private order = 0
  private readonly timers = new Set<Timer>()

  /** `wallOffsetMs` is what the wall clock shows at the start, in milliseconds. */
  constructor (private wallOffsetMs = 1_700_000_000_000) {
    super()
  }

  override monotonicMs (): number {
    return this.nowMs
  }

  override wallMs (): number {
    return this.nowMs + this.wallOffsetMs
  }

  override after (delayMs: number, action: () => void): host.Stop {
    this.order += 1
    const timer = { atMs: this.nowMs + delayMs, order: this.order, action }
    this.timers.add(timer)
    return () => this.timers.delete(timer)
  }

  /** Steps the wall clock alone, in milliseconds. */
  stepWall (byMs: number): void {
    this.wallOffsetMs += byMs
  }

  /** Moves time on without running the timers, as when the process is paused. */
  pause (byMs: number): void {
    this.nowMs += byMs
  }

  /** Moves time on, running the timers that come due, and lets promises settle between them. */
  async advance (byMs: number): Promise<void> {
    const untilMs = this.nowMs + byMs
    await settlePromises()
    for (;;) {
      const timer = this.getNextTimer(untilMs)
      if (timer === undefined) {
        break
      }
      this.timers.delete(timer)
      this.nowMs = Math.max(this.nowMs, timer.atMs)
      timer.action()
      await settlePromises()
    }
    this.nowMs = untilMs
  }

  private getNextTimer (untilMs: number): Timer | undefined {
    let next: Timer | undefined
    for (const timer of this.timers) {
      if (timer.atMs > untilMs) {
        continue
      }
      if (next === undefined || timer.atMs < next.atMs || (timer.atMs === next.atMs && timer.order < next.order)) {
        next = timer
      }
    }
    return next
  }
}

/** Lets the promises that are ready run, and what they make ready. */
export function settlePromises (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}
