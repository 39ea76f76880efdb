/**
 * A link of limited rate, shared equally among the transfers under way.
 */
import * as host from '../src/host/types.js'

interface Transfer {
  leftBytes: number
  readonly done: () => void
}

const secondMs = 1000
/** Rest below which a transfer counts as complete, in bytes. */
const roundingBytes = 1

export class SharedLink {
  private readonly transfers = new Set<Transfer>()
  private countedAtMs = 0
  private rate = 0
  private stopTimer: host.Stop = () => {}

  /** `getRate` returns the rate of the whole link in bytes a second; 0 while it is stalled. */
  constructor (private readonly clock: host.Clock, private readonly getRate: () => number) {}

  get active (): number {
    return this.transfers.size
  }

  /** Starts a transfer; `done` is called at its end unless it is stopped before. */
  start (bytes: number, done: () => void): host.Stop {
    this.progress()
    const transfer = { leftBytes: bytes, done }
    this.transfers.add(transfer)
    this.plan()
    return () => {
      this.progress()
      this.transfers.delete(transfer)
      this.plan()
    }
  }

  /** Takes note of a changed rate. */
  update (): void {
    this.progress()
    this.plan()
  }

  private progress (): void {
    const now = this.clock.monotonicMs()
    const share = this.rate / Math.max(1, this.transfers.size)
    const moved = share * (now - this.countedAtMs) / secondMs
    this.countedAtMs = now
    for (const transfer of this.transfers) {
      transfer.leftBytes -= moved
    }
  }

  private plan (): void {
    this.stopTimer()
    this.rate = this.getRate()
    if (this.transfers.size === 0 || this.rate === 0) {
      return
    }
    const least = Math.min(...[...this.transfers].map(transfer => transfer.leftBytes))
    const delayMs = Math.max(0, least) * this.transfers.size / this.rate * secondMs
    this.stopTimer = this.clock.after(delayMs, () => this.finish())
  }

  private finish (): void {
    this.progress()
    for (const transfer of [...this.transfers]) {
      if (transfer.leftBytes <= roundingBytes) {
        this.transfers.delete(transfer)
        transfer.done()
      }
    }
    this.plan()
  }
}
