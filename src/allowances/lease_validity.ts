/**
 * How long the leaseholder of a shard may act as such: while its lease in the store is valid, or while every standby
 * has promised not to take over.
 */
import * as timings from './timing.js'

export class LeaseValidity {
  private leaseUntilMs = Number.NEGATIVE_INFINITY
  private lastRenewalMs = Number.NEGATIVE_INFINITY
  private readonly promises = new Map<string, number>()
  private standbys: readonly string[] = []

  constructor (private readonly timing: timings.LeaseTiming) {}

  /** Sets the entries that may take over according to any version of the term record that may be in force. */
  setStandbys (nodes: readonly string[]): void {
    this.standbys = nodes
  }

  /** Records a grant or renewal of the lease; `sentMs` is when its request was sent. */
  recordLease (sentMs: number): void {
    const untilMs = sentMs + timings.getUsableMs(this.timing.leaseTtlMs, this.timing)
    this.leaseUntilMs = Math.max(this.leaseUntilMs, untilMs)
    this.lastRenewalMs = Math.max(this.lastRenewalMs, sentMs)
  }

  /** Records that the holder key is no longer bound to a valid lease. */
  recordLeaseLoss (): void {
    this.leaseUntilMs = Number.NEGATIVE_INFINITY
  }

  /** Records a promise of a standby; `sentMs` is when the request for it was sent. */
  recordPromise (node: string, sentMs: number): void {
    const untilMs = sentMs + timings.getUsableMs(this.timing.promiseMs, this.timing)
    this.promises.set(node, Math.max(untilMs, this.promises.get(node) ?? untilMs))
  }

  /** Returns the end of the validity that follows from the lease alone, without promises. */
  getLeaseUntilMs (): number {
    return this.leaseUntilMs
  }

  getUntilMs (): number {
    return Math.max(this.leaseUntilMs, this.getPromisedUntilMs())
  }

  isValid (nowMs: number): boolean {
    return nowMs < this.getUntilMs()
  }

  /** Returns when the last successful grant or renewal was sent. Until then no other process had taken over. */
  getLastRenewalMs (): number {
    return this.lastRenewalMs
  }

  /** Returns the time at which all use ends unless the store is reached again. */
  getExtensionUntilMs (): number {
    return this.lastRenewalMs + timings.getUsableMs(this.timing.maximumExtensionMs, this.timing)
  }

  /** Returns the earliest end of the promises. Without named standbys any entry may take over, so there is none. */
  private getPromisedUntilMs (): number {
    if (this.standbys.length === 0) {
      return Number.NEGATIVE_INFINITY
    }
    let untilMs = this.getExtensionUntilMs()
    for (const node of this.standbys) {
      untilMs = Math.min(untilMs, this.promises.get(node) ?? Number.NEGATIVE_INFINITY)
    }
    return untilMs
  }
}
