/**
 * A log that passes on a bounded number of lines a second and counts the others.
 */
import * as host from './types.js'

/** Lines a second in the long run: some lines for each of a hundred requests a second. */
const linesPerSecond = 400
/** Lines that may come at once. */
const burstLines = 1_200

export class BoundedLog extends host.Log {
  private tokens = burstLines
  private refilledMs: number
  private dropped = 0

  constructor (private readonly log: host.Log, private readonly clock: host.Clock) {
    super()
    this.refilledMs = clock.monotonicMs()
  }

  override info (message: string, fields?: host.LogFields): void {
    if (this.take()) {
      this.log.info(message, fields)
    }
  }

  override warn (message: string, fields?: host.LogFields): void {
    if (this.take()) {
      this.log.warn(message, fields)
    }
  }

  /** Errors are rare and always written. */
  override error (message: string, fields?: host.LogFields): void {
    this.log.error(message, fields)
  }

  private take (): boolean {
    const nowMs = this.clock.monotonicMs()
    this.tokens = Math.min(burstLines, this.tokens + (nowMs - this.refilledMs) * linesPerSecond / 1000)
    this.refilledMs = nowMs
    if (this.tokens < 1) {
      this.dropped += 1
      return false
    }
    this.tokens -= 1
    if (this.dropped > 0) {
      this.log.warn('log lines left out', { lines: this.dropped })
      this.dropped = 0
    }
    return true
  }
}
