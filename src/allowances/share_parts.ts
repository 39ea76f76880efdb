/**
 * Which part of its shard's allowances a keeper may use.
 *
 * Each process that may use a share has the same part of them. A keeper with the full right uses all that nobody
 * else may; one that has lost it uses its own share and those of the successors that have promised to use none.
 */
import * as rights from './right.js'
import * as timings from './timing.js'

/** From `atMs` on the keeper may use this part. */
export interface Step {
  readonly atMs: number
  readonly part: number
}

export class ShareParts {
  /** Until when each other process with a share has lent it to this keeper. */
  private readonly lentUntilMs = new Map<string, number>()
  /** Until when each successor has promised, whether or not its share was free. */
  private readonly promisedUntilMs = new Map<string, number>()
  private checkedMs: number

  /** The processes of `nodes` may have been using their shares before. */
  constructor (nodes: readonly string[], startedMs: number, private readonly timing: timings.KeeperTiming) {
    this.checkedMs = startedMs
    for (const node of nodes) {
      this.lentUntilMs.set(node, Number.NEGATIVE_INFINITY)
    }
  }

  /** Counts a process as one with a share, which is lent to this keeper until then. */
  lend (node: string, untilMs: number): void {
    this.notePromise(node, untilMs)
    this.lentUntilMs.set(node, untilMs)
  }

  /** Takes note of a promise of a successor that knows of shares. */
  notePromise (node: string, untilMs: number): void {
    this.promisedUntilMs.set(node, untilMs)
  }

  /** The process may begin to use its share. */
  recall (node: string): void {
    if (this.lentUntilMs.has(node)) {
      this.lentUntilMs.set(node, Number.NEGATIVE_INFINITY)
    }
  }

  /** The process has no share any more. */
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
   * Returns the time until which shares may be used: so long after the time at which the last of the successors
   * has promised. Whoever takes over later keeps clear of the shares for as long.
   */
  getUntilMs (right: rights.Right, successors: readonly string[]): number {
    const { promiseMs, shareMs } = this.timing
    const addedMs = timings.getBelievedMs(shareMs, this.timing) - timings.getBelievedMs(promiseMs, this.timing)
    let untilMs = successors.length === 0 ? Number.NEGATIVE_INFINITY : right.getExtensionUntilMs()
    for (const node of successors) {
      untilMs = Math.min(untilMs, (this.promisedUntilMs.get(node) ?? Number.NEGATIVE_INFINITY) + addedMs)
    }
    return untilMs
  }

  /**
   * Returns the time until which the keeper may use its own share: also so long after its last contact with the store,
   * since nobody had taken over before.
   */
  getOwnUntilMs (right: rights.Right, successors: readonly string[]): number {
    const ownMs = right.getContactMs() + timings.getBelievedMs(this.timing.shareMs, this.timing)
    return Math.max(ownMs, this.getUntilMs(right, successors))
  }

  /** Returns the changes since the last call, in the order of time. The right must be as it was since then. */
  advance (right: rights.Right, successors: readonly string[], nowMs: number): readonly Step[] {
    const lentEndMs = this.getUntilMs(right, successors)
    const ends = [right.getUntilMs(), lentEndMs, ...this.lentUntilMs.values()]
    const times = ends.filter(endMs => endMs > this.checkedMs && endMs < nowMs).sort((one, other) => one - other)
    this.checkedMs = Math.max(this.checkedMs, nowMs)
    return [...times, this.checkedMs].map(atMs => ({ atMs, part: this.getPart(right, lentEndMs, atMs) }))
  }

  private getPart (right: rights.Right, lentEndMs: number, nowMs: number): number {
    let lent = 0
    for (const node of this.lentUntilMs.keys()) {
      lent += this.isLent(node, nowMs) ? 1 : 0
    }
    const share = this.timing.shareOfAllowance
    if (right.isHeld(nowMs)) {
      return 1 - share * (this.lentUntilMs.size - lent)
    }
    return nowMs < lentEndMs ? share * (1 + lent) : share
  }
}
