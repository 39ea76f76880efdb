/**
 * Limits the rate of log lines with a token bucket and logs the number of lines dropped.
 */
import * as host from './types.js'

/** Refill rate, enough for several lines for each of a hundred requests per second. */
const linesPerSecond = 400
/** Capacity of the bucket. */
const burstLines = 1_200

export class RateLimitedLog extends host.Log {
  private tokens = burstLines
  private refilledMs: number
  private droppedLines = 0

  constructor (private readonly log: host.Log, private readonly clock: host.Clock) {
    super()
    this.refilledMs = clock.monotonicMs()
  }

  override info (message: string, fields?: host.LogFields): void {
    if (this.takeToken()) {
      this.log.info(message, fields)
    }
  }

  override warn (message: string, fields?: host.LogFields): void {
    if (this.takeToken()) {
      this.log.warn(message, fields)
    }
  }

  /** Errors are rare and not limited. */
  override error (message: string, fields?: host.LogFields): void {
    this.log.error(message, fields)
  }

  private takeToken (): boolean {
    const nowMs = this.clock.monotonicMs()
    this.tokens = Math.min(burstLines, this.tokens + (nowMs - this.refilledMs) * linesPerSecond / 1000)
    this.refilledMs = nowMs
    if (this.tokens < 1) {
      this.droppedLines += 1
      return false
    }
    this.tokens -= 1
    if (this.droppedLines > 0) {
      this.log.warn('log lines dropped by the rate limit', { lines: this.droppedLines })
      this.droppedLines = 0
    }
    return true
  }
}
