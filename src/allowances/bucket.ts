/**
 * Token bucket with refunds: over every window of time, the tokens used by the charges made in it stay within
 * rate x window + burst. A token counts at the time of its charge.
 *
 * A refund that merely raised the level would break that bound: once the bucket has refilled and been emptied
 * again, giving back an older charge would allow the burst twice within one window. The bucket therefore keeps
 * its deficit in segments, one for each window start that still limits the level. A refund repays the segment
 * of its charge and older ones, never newer ones.
 */
import * as configuration from '../contracts/configuration.js'

/** Rounding tolerance when two amounts of tokens are compared. */
const toleranceTokens = 1e-6

interface Segment {
  /** Number of the earliest charge that belongs to the segment. */
  firstCharge: number
  /** Tokens charged since the segment's start less the refill since then. */
  deficit: number
  /** Charges not yet settled. */
  openCharges: number
}

export class Bucket {
  private readonly segments: Segment[] = []
  private chargeCount = 0

  /** Starts at `level` tokens, at most the burst. */
  constructor (private current: configuration.Allowance, private updatedMs: number, level: number) {
    const deficit = current.burstTokens - level
    if (deficit > 0) {
      this.segments.push({ firstCharge: 0, deficit, openCharges: 0 })
    }
  }

  get allowance (): configuration.Allowance {
    return this.current
  }

  /** At most one more than the number of charges not yet settled. */
  get segmentCount (): number {
    return this.segments.length
  }

  /** Returns the tokens that may be charged; negative while the workspace is in debt. */
  getLevel (nowMs: number): number {
    this.refill(nowMs)
    let level = this.current.burstTokens
    for (const segment of this.segments) {
      level -= segment.deficit
    }
    return level
  }

  /**
   * Takes the tokens if that leaves at least `reserve` tokens. Returns the number of the charge, to settle it
   * by, or `undefined` if the level is too low.
   */
  tryCharge (tokens: number, nowMs: number, reserve = 0): number | undefined {
    if (this.getLevel(nowMs) - tokens < reserve - toleranceTokens) {
      return undefined
    }
    this.chargeCount += 1
    const newest = this.segments.at(-1)
    if (newest?.openCharges === 0) {
      newest.firstCharge = this.chargeCount
      newest.deficit += tokens
      newest.openCharges = 1
    } else {
      this.segments.push({ firstCharge: this.chargeCount, deficit: tokens, openCharges: 1 })
    }
    return this.chargeCount
  }

  /** Returns the milliseconds until the refill alone raises the level to `tokens`. */
  getWaitMs (tokens: number, nowMs: number): number {
    const missing = tokens - this.getLevel(nowMs)
    return missing <= 0 ? 0 : missing / this.current.tokensPerSecond * 1000
  }

  /** Settles a charge once: gives back `charged - used` tokens, or charges what was used above. */
  settle (charge: number, charged: number, used: number, nowMs: number): void {
    this.refill(nowMs)
    const index = this.findSegment(charge)
    const segment = this.segments[index]
    if (segment !== undefined) {
      segment.openCharges -= 1
    }
    if (used > charged) {
      this.addDeficit(used - charged)
    } else {
      this.repay(index, charged - used)
    }
    this.mergeSettled(charge)
  }

  /** Replaces the allowance from now on; tokens already charged keep counting. */
  setAllowance (allowance: configuration.Allowance, nowMs: number): void {
    this.refill(nowMs)
    this.current = allowance
  }

  /** Replaces the allowance, and charges `tokens` now, or refunds them if negative. */
  resize (allowance: configuration.Allowance, tokens: number, nowMs: number): void {
    this.setAllowance(allowance, nowMs)
    if (tokens > 0) {
      this.addDeficit(tokens)
    } else {
      this.repay(this.segments.length - 1, -tokens)
    }
  }

  private refill (nowMs: number): void {
    const elapsedMs = nowMs - this.updatedMs
    if (elapsedMs <= 0) {
      return
    }
    this.updatedMs = nowMs
    this.repay(this.segments.length - 1, elapsedMs * this.current.tokensPerSecond / 1000)
  }

  /** Repays deficits from the segment at `index` back to the oldest; tokens that remain are discarded. */
  private repay (index: number, tokens: number): void {
    let left = tokens
    for (let i = index; i >= 0 && left > 0; i -= 1) {
      const segment = this.segments[i] as Segment
      if (left < segment.deficit) {
        segment.deficit -= left
        return
      }
      left -= segment.deficit
      this.removeSegment(i)
    }
  }

  /** Removes a segment without deficit; its charges then belong to the next older segment. */
  private removeSegment (index: number): void {
    const [removed] = this.segments.splice(index, 1)
    const before = this.segments[index - 1]
    if (before !== undefined && removed !== undefined) {
      before.openCharges += removed.openCharges
    }
  }

  /** Merges the segment of a charge into the next newer one if all its charges are settled: no refund can reach it separately. */
  private mergeSettled (charge: number): void {
    const index = this.findSegment(charge)
    const segment = this.segments[index]
    const newer = this.segments[index + 1]
    if (segment === undefined || newer === undefined || segment.openCharges > 0) {
      return
    }
    newer.deficit += segment.deficit
    this.segments.splice(index, 1)
  }

  private addDeficit (tokens: number): void {
    const newest = this.segments.at(-1)
    if (newest === undefined || newest.openCharges > 0) {
      this.segments.push({ firstCharge: this.chargeCount + 1, deficit: tokens, openCharges: 0 })
      return
    }
    newest.deficit += tokens
  }

  /** Returns the index of the segment that a charge belongs to, or -1 once a refund of it no longer raises the level. */
  private findSegment (charge: number): number {
    let low = 0
    let high = this.segments.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.segments[middle] as Segment).firstCharge <= charge) {
        low = middle + 1
      } else {
        high = middle
      }
    }
    return low - 1
  }
}
