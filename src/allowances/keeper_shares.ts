/**
 * Tracks the local quotas of the other processes, and scales the buckets of the leaseholder to the part of the
 * allowances that these leave to it. A local quota is a `share` on the wire.
 */
import * as formerMembers from './former.js'
import * as keepers from './keeper.js'
import * as records from './record.js'
import * as rights from './right.js'
import * as shareParts from './share_parts.js'
import * as succession from './succession.js'
import * as timings from './timing.js'

export interface KeeperSharesContext {
  readonly right: rights.Right
  readonly keeper: keepers.Keeper
  /** Returns the highest low-water mark that a standby may hold for a workspace. */
  readonly floorOf: keepers.ReserveOf
  readonly timing: timings.KeeperTiming
}

/** Returns the processes that may have been using local quotas when a leaseholder took over. */
export function listOthers (record: records.TermRecord): readonly string[] {
  return [...record.successors, ...record.former ?? []].map(member => member.node)
}

export class KeeperShares {
  private readonly former: formerMembers.FormerMembers
  private readonly parts: shareParts.ShareParts
  private required: readonly string[] = []

  /** The processes of `others` may have been using their local quotas before. */
  constructor (private readonly context: KeeperSharesContext, others: readonly string[], private syncedMs: number) {
    this.former = new formerMembers.FormerMembers(context.timing)
    this.parts = new shareParts.ShareParts(others, syncedMs, context.timing)
  }

  /** Resizes the buckets to the part that the leaseholder may use now. */
  sync (nowMs: number): void {
    this.syncedMs = Math.max(this.syncedMs, nowMs)
    for (const node of this.former.expire(this.syncedMs)) {
      this.parts.remove(node)
    }
    this.apply()
  }

  /**
   * Accounts for standbys that the record no longer names. Those of `previous`, which the record named before, may know
   * of their local quota and use it; the others have none.
   */
  recallOthers (record: records.TermRecord, told: readonly records.Member[]): void {
    for (const node of this.required) {
      if (record.successors.some(member => member.node === node)) {
        continue
      }
      if (told.some(member => member.node === node)) {
        this.parts.recall(node)
      } else {
        this.parts.remove(node)
      }
    }
    this.apply()
  }

  setFormer (members: readonly records.Member[]): void {
    this.former.adopt(members, this.syncedMs)
  }

  /** Sets the standbys according to any version of the record that may be in force. */
  setRequired (nodes: readonly string[]): void {
    this.required = nodes
  }

  /** Returns the time until which local quotas may be used. */
  getUntilMs (): number {
    return this.parts.getUntilMs(this.context.right, this.required)
  }

  /** Returns the time until which this leaseholder may use its own local quota. */
  getOwnUntilMs (): number {
    return this.parts.getOwnUntilMs(this.context.right, this.required)
  }

  isFormer (node: string): boolean {
    return this.former.has(node)
  }

  /** Returns the removed members that may still use a local quota. */
  listFormer (): readonly records.Member[] {
    return this.former.list()
  }

  isLent (node: string, nowMs: number): boolean {
    return this.parts.isLent(node, nowMs)
  }

  /**
   * Records a promise of a standby. Returns whether it returned the local quota of the standby. A quota comes back
   * without tokens, so that the low-water marks must be lowered before others are announced.
   */
  noteLent (node: string, sentMs: number, answer: succession.PromiseAnswer, nowMs: number): boolean {
    const untilMs = sentMs + timings.getBelievedMs(this.context.timing.promiseMs, this.context.timing)
    if (answer.atMs > 0) {
      this.parts.notePromise(node, untilMs)
    }
    if (!answer.free || nowMs >= untilMs || !this.required.includes(node)) {
      return false
    }
    const isBack = this.parts.has(node) && !this.parts.isLent(node, nowMs)
    this.parts.lend(node, untilMs)
    this.apply()
    return isBack
  }

  noteForgone (node: string, sentMs: number, answer: succession.PromiseAnswer): void {
    if (answer.forgone && this.former.free(node, sentMs)) {
      this.parts.remove(node)
      this.apply()
    }
  }

  /** Applies the changes up to now. The validity and the quotas must not have changed between the last call and now. */
  private apply (): void {
    const { right, keeper, floorOf } = this.context
    for (const step of this.parts.advance(right, this.required, this.syncedMs)) {
      keeper.setPart(step.part, step.atMs, floorOf)
    }
  }
}
