/**
 * How long a keeper may believe that it holds its shard: as long as its lease in the store lasts, or as long as
 * every successor has promised not to take over.
 */
import * as timings from './timing.js'

export class Right {
  private leaseUntilMs = Number.NEGATIVE_INFINITY
  private storeContactMs = Number.NEGATIVE_INFINITY
  private readonly promises = new Map<string, number>()
  private required: readonly string[] = []

  constructor (private readonly timing: timings.KeeperTiming) {}

  /** Names the entries that may take over according to any version of the record that may be in force. */
  setRequired (nodes: readonly string[]): void {
    this.required = nodes
  }

  /** Takes note of a lease, granted or renewed by a request that was sent at `sentMs`. */
  noteLease (sentMs: number): void {
    const untilMs = sentMs + timings.getBelievedMs(this.timing.leaseTtlMs, this.timing)
    this.leaseUntilMs = Math.max(this.leaseUntilMs, untilMs)
    this.storeContactMs = Math.max(this.storeContactMs, sentMs)
  }

  /** Takes note that the holder key is no longer bound to a live lease. */
  dropLease (): void {
    this.leaseUntilMs = Number.NEGATIVE_INFINITY
  }

  /** Takes note of a successor's promise, asked for by a request that was sent at `sentMs`. */
  notePromise (node: string, sentMs: number): void {
    const untilMs = sentMs + timings.getBelievedMs(this.timing.promiseMs, this.timing)
    this.promises.set(node, Math.max(untilMs, this.promises.get(node) ?? untilMs))
  }

  /** Returns the time until which the right is believed by the lease alone. */
  getLeaseUntilMs (): number {
    return this.leaseUntilMs
  }

  getUntilMs (): number {
    return Math.max(this.leaseUntilMs, this.getPromisedUntilMs())
  }

  isHeld (nowMs: number): boolean {
    return nowMs < this.getUntilMs()
  }

  /** When the lease was last granted or renewed, by the sending of the request; nobody had taken over before. */
  getContactMs (): number {
    return this.storeContactMs
  }

  /** Returns the latest time until which anything may be used after the last contact with the store. */
  getExtensionUntilMs (): number {
    return this.storeContactMs + timings.getBelievedMs(this.timing.maximumExtensionMs, this.timing)
  }

  /** The earliest end of the promises; without named successors anyone may take over, so nothing is promised. */
  private getPromisedUntilMs (): number {
    if (this.required.length === 0) {
      return Number.NEGATIVE_INFINITY
    }
    let untilMs = this.getExtensionUntilMs()
    for (const node of this.required) {
      untilMs = Math.min(untilMs, this.promises.get(node) ?? Number.NEGATIVE_INFINITY)
    }
    return untilMs
  }
}
