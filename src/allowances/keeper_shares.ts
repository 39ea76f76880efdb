/**
 * What a keeper knows of the shares of the others, and the part of the allowances that this leaves to it.
 */
import * as formerMembers from './former.js'
import * as keepers from './keeper.js'
import * as records from './record.js'
import * as rights from './right.js'
import * as shareParts from './share_parts.js'
import * as succession from './succession.js'
import * as timings from './timing.js'

/** What shares depend on. */
export interface KeeperSharesContext {
  readonly right: rights.Right
  readonly keeper: keepers.Keeper
  /** Returns the highest floor that a successor may hold for a workspace. */
  readonly floorOf: keepers.ReserveOf
  readonly timing: timings.KeeperTiming
}

/** Returns the processes that may have been using shares when a keeper took over. */
export function listOthers (record: records.TermRecord): readonly string[] {
  return [...record.successors, ...record.former ?? []].map(member => member.node)
}

export class KeeperShares {
  private readonly former: formerMembers.FormerMembers
  private readonly parts: shareParts.ShareParts
  private required: readonly string[] = []

  /** The processes of `others` may have been using their shares before. */
  constructor (private readonly context: KeeperSharesContext, others: readonly string[], private syncedMs: number) {
    this.former = new formerMembers.FormerMembers(context.timing)
    this.parts = new shareParts.ShareParts(others, syncedMs, context.timing)
  }

  /** Brings the buckets to the part that the keeper may use now. */
  sync (nowMs: number): void {
    this.syncedMs = Math.max(this.syncedMs, nowMs)
    for (const node of this.former.expire(this.syncedMs)) {
      this.parts.remove(node)
    }
    this.apply()
  }

  /** Takes the shares of successors back that a record names no more; `told` are those that may know of theirs. */
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

  /** Names the successors according to any version of the record that may be in force. */
  setRequired (nodes: readonly string[]): void {
    this.required = nodes
  }

  /** Returns until when shares may be used. */
  getUntilMs (): number {
    return this.parts.getUntilMs(this.context.right, this.required)
  }

  /** Returns until when this keeper may use its own share. */
  getOwnUntilMs (): number {
    return this.parts.getOwnUntilMs(this.context.right, this.required)
  }

  isFormer (node: string): boolean {
    return this.former.has(node)
  }

  /** Returns the former members that may still use a share. */
  listFormer (): readonly records.Member[] {
    return this.former.list()
  }

  isLent (node: string, nowMs: number): boolean {
    return this.parts.isLent(node, nowMs)
  }

  /**
   * Takes note of a successor's promise. Returns whether its share has come back by it: without tokens, so that
   * floors must be lowered to what is left before others are announced.
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

  /** Applies what has changed until now; the right and the shares must be as they were, or have changed now. */
  private apply (): void {
    const { right, keeper, floorOf } = this.context
    for (const step of this.parts.advance(right, this.required, this.syncedMs)) {
      keeper.setPart(step.part, step.atMs, floorOf)
    }
  }
}
