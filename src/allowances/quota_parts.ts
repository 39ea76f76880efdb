/**
 * Computes which part of its shard's allowances a leaseholder may use.
 *
 * All local quotas are the same part of the allowances. A leaseholder with a valid lease uses everything except the
 * local quotas that other processes may use. One whose lease has lapsed uses its own local quota and those of the
 * standbys that have promised not to use theirs, which are lent to it. On the wire and in the timing constants a local
 * quota is called a share.
 */
import * as leaseValidities from './lease_validity.js'
import * as timings from './timing.js'

/** From `atMs` on the leaseholder may use this part. */
export interface PartChange {
  readonly atMs: number
  readonly part: number
}

export class QuotaParts {
  /** Until when each other process with a local quota has lent it to this leaseholder. */
  private readonly lentUntilMs = new Map<string, number>()
  /** Until when each standby has promised, whether or not its local quota was free. */
  private readonly promisedUntilMs = new Map<string, number>()
  private checkedMs: number

  /** The processes of `nodes` may already be using their local quotas, so none of these is lent at the start. */
  constructor (nodes: readonly string[], startedMs: number, private readonly timing: timings.LeaseTiming) {
    this.checkedMs = startedMs
    for (const node of nodes) {
      this.lentUntilMs.set(node, Number.NEGATIVE_INFINITY)
    }
  }

  /** Adds a process with a local quota that is lent to this leaseholder until `untilMs`. */
  lend (node: string, untilMs: number): void {
    this.recordPromise(node, untilMs)
    this.lentUntilMs.set(node, untilMs)
  }

  /** Records a promise of a standby that supports local quotas. */
  recordPromise (node: string, untilMs: number): void {
    this.promisedUntilMs.set(node, untilMs)
  }

  /** Ends the loan: the process may begin to use its local quota. */
  endLoan (node: string): void {
    if (this.lentUntilMs.has(node)) {
      this.lentUntilMs.set(node, Number.NEGATIVE_INFINITY)
    }
  }

  /** Removes a process that has no local quota any more. */
  remove (node: string): void {
    this.lentUntilMs.delete(node)
  }

  has (node: string): boolean {
    return this.lentUntilMs.has(node)
  }

  isLent (node: string, nowMs: number): boolean {
    return nowMs < (this.lentUntilMs.get(node) ?? Number.NEGATIVE_INFINITY)
  }

  /**
   * Returns the time until which local quotas may be used: `shareMs`, less clock drift, after the earliest of the
   * standbys' last promises. A later leaseholder leaves the local quotas unused for as long.
   */
  getUsableUntilMs (validity: leaseValidities.LeaseValidity, standbys: readonly string[]): number {
    const { promiseMs, localQuotaMs: shareMs } = this.timing
    const addedMs = timings.getUsableMs(shareMs, this.timing) - timings.getUsableMs(promiseMs, this.timing)
    let untilMs = standbys.length === 0 ? Number.NEGATIVE_INFINITY : validity.getExtensionUntilMs()
    for (const node of standbys) {
      untilMs = Math.min(untilMs, (this.promisedUntilMs.get(node) ?? Number.NEGATIVE_INFINITY) + addedMs)
    }
    return untilMs
  }

  /**
   * Returns the time until which the leaseholder may use its own local quota: at least `shareMs`, less clock drift, after its
   * last contact with the store, since no other process had taken over by then.
   */
  getOwnUsableUntilMs (validity: leaseValidities.LeaseValidity, standbys: readonly string[]): number {
    const ownMs = validity.getLastRenewalMs() + timings.getUsableMs(this.timing.localQuotaMs, this.timing)
    return Math.max(ownMs, this.getUsableUntilMs(validity, standbys))
  }

  /** Returns the changes since the last call, ordered by time. The lease validity must not have changed since then. */
  advance (validity: leaseValidities.LeaseValidity, standbys: readonly string[], nowMs: number): readonly PartChange[] {
    const lentEndMs = this.getUsableUntilMs(validity, standbys)
    const ends = [validity.getUntilMs(), lentEndMs, ...this.lentUntilMs.values()]
    const times = ends.filter(endMs => endMs > this.checkedMs && endMs < nowMs).sort((one, other) => one - other)
    this.checkedMs = Math.max(this.checkedMs, nowMs)
    return [...times, this.checkedMs].map(atMs => ({ atMs, part: this.getPart(validity, lentEndMs, atMs) }))
  }

  private getPart (validity: leaseValidities.LeaseValidity, lentEndMs: number, nowMs: number): number {
    let lentCount = 0
    for (const node of this.lentUntilMs.keys()) {
      lentCount += this.isLent(node, nowMs) ? 1 : 0
    }
    const quotaPart = this.timing.localQuotaFraction
    if (validity.isValid(nowMs)) {
      return 1 - quotaPart * (this.lentUntilMs.size - lentCount)
    }
    return nowMs < lentEndMs ? quotaPart * (1 + lentCount) : quotaPart
  }
}
