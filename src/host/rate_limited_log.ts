/**
 * Limits the rate of log lines with a token bucket and logs the number of lines dropped.
 */
import * as host from './types.js'

/** Refill rate, enough for several lines for each of a hundred requests per second. */
const linesPerSecond = 400
/** Capacity of the bucket. */
const burstLines = 1_200
/** Part of the capacity that only warnings use: a load that fills the log must not hide them. */
const warningLines = 400

export class RateLimitedLog extends host.Log {
  private tokens = burstLines
  private refilledMs: number
  private droppedLines = 0

  constructor (private readonly log: host.Log, private readonly clock: host.Clock) {
    super()
    this.refilledMs = clock.monotonicMs()
  }

  override info (message: string, fields?: host.LogFields): void {
    if (this.takeToken(warningLines)) {
      this.log.info(message, fields)
    }
  }

  override warn (message: string, fields?: host.LogFields): void {
    if (this.takeToken(0)) {
      this.log.warn(message, fields)
    }
  }

  /** Errors are rare and not limited. */
  override error (message: string, fields?: host.LogFields): void {
    this.log.error(message, fields)
  }

  /** Takes a token, unless only `reserved` ones are left. */
  private takeToken (reserved: number): boolean {
    const nowMs = this.clock.monotonicMs()
    this.tokens = Math.min(burstLines, this.tokens + (nowMs - this.refilledMs) * linesPerSecond / 1000)
    this.refilledMs = nowMs
    if (this.tokens < reserved + 1) {
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
