/**
 * Tracks the local quotas of the other processes, and scales the buckets of the leaseholder to the part of the
 * allowances that these leave to it. A local quota is a `share` on the wire.
 */
import * as removedMembers from './removed_members.js'
import * as shardBuckets from './shard_buckets.js'
import * as records from './record.js'
import * as leaseValidities from './lease_validity.js'
import * as quotaParts from './quota_parts.js'
import * as standbys from './standby.js'
import * as timings from './timing.js'

export interface QuotaLedgerContext {
  readonly validity: leaseValidities.LeaseValidity
  readonly buckets: shardBuckets.ShardBuckets
  /** Returns the highest low-water mark that a standby may hold for a workspace. */
  readonly reserveOf: shardBuckets.ReserveLookup
  readonly timing: timings.LeaseTiming
}

/** Returns the processes that may have been using local quotas when a leaseholder took over. */
export function listQuotaUsers (record: records.TermRecord): readonly string[] {
  return [...record.successors, ...record.former ?? []].map(member => member.node)
}

export class QuotaLedger {
  private readonly removed: removedMembers.RemovedMembers
  private readonly parts: quotaParts.QuotaParts
  private standbys: readonly string[] = []

  /** The processes of `others` may have been using their local quotas before. */
  constructor (private readonly context: QuotaLedgerContext, others: readonly string[], private syncedMs: number) {
    this.removed = new removedMembers.RemovedMembers(context.timing)
    this.parts = new quotaParts.QuotaParts(others, syncedMs, context.timing)
  }

  /** Resizes the buckets to the part that the leaseholder may use now. */
  sync (nowMs: number): void {
    this.syncedMs = Math.max(this.syncedMs, nowMs)
    for (const node of this.removed.expire(this.syncedMs)) {
      this.parts.remove(node)
    }
    this.apply()
  }

  /**
   * Accounts for standbys that the record no longer names. Those of `previous`, which the record named before, may know
   * of their local quota and use it; the others have none.
   */
  recallUnnamed (record: records.TermRecord, previous: readonly records.Member[]): void {
    for (const node of this.standbys) {
      if (record.successors.some(member => member.node === node)) {
        continue
      }
      if (previous.some(member => member.node === node)) {
        this.parts.endLoan(node)
      } else {
        this.parts.remove(node)
      }
    }
    this.apply()
  }

  setRemoved (members: readonly records.Member[]): void {
    this.removed.update(members, this.syncedMs)
  }

  /** Sets the standbys according to any version of the record that may be in force. */
  setStandbys (nodes: readonly string[]): void {
    this.standbys = nodes
  }

  /** Returns the time until which local quotas may be used. */
  getUntilMs (): number {
    return this.parts.getUsableUntilMs(this.context.validity, this.standbys)
  }

  /** Returns the time until which this leaseholder may use its own local quota. */
  getOwnUntilMs (): number {
    return this.parts.getOwnUsableUntilMs(this.context.validity, this.standbys)
  }

  isRemoved (node: string): boolean {
    return this.removed.has(node)
  }

  /** Returns the removed members that may still use a local quota. */
  listRemoved (): readonly records.Member[] {
    return this.removed.list()
  }

  isLent (node: string, nowMs: number): boolean {
    return this.parts.isLent(node, nowMs)
  }

  /**
   * Records a promise of a standby. Returns whether it returned the local quota of the standby. A quota comes back
   * without tokens, so that the low-water marks must be lowered before others are announced.
   */
  recordPromise (node: string, sentMs: number, answer: standbys.PromiseAnswer, nowMs: number): boolean {
    const untilMs = sentMs + timings.getUsableMs(this.context.timing.promiseMs, this.context.timing)
    if (answer.atMs > 0) {
      this.parts.recordPromise(node, untilMs)
    }
    if (!answer.free || nowMs >= untilMs || !this.standbys.includes(node)) {
      return false
    }
    const isBack = this.parts.has(node) && !this.parts.isLent(node, nowMs)
    this.parts.lend(node, untilMs)
    this.apply()
    return isBack
  }

  recordForgone (node: string, sentMs: number, answer: standbys.PromiseAnswer): void {
    if (answer.forgone && this.removed.recordForgone(node, sentMs)) {
      this.parts.remove(node)
      this.apply()
    }
  }

  /** Applies the changes up to now. The validity and the quotas must not have changed between the last call and now. */
  private apply (): void {
    const { validity, buckets, reserveOf } = this.context
    for (const step of this.parts.advance(validity, this.standbys, this.syncedMs)) {
      buckets.setPart(step.part, step.atMs, reserveOf)
    }
  }
}
