/**
 * The token buckets of one shard of allowances, one for each workspace, and the charges that are not yet settled. Used
 * by the leaseholder of the shard, and by a standby for its local quota.
 */
import * as buckets from './bucket.js'
import * as configuration from '../contracts/configuration.js'
import * as timings from './timing.js'
import * as types from './types.js'

/** What is known of the buckets of a shard at the start. */
export interface InitialBalances {
  /** Low-water marks: the buckets had at least these levels when the lease of the earlier leaseholder ended. */
  readonly lowWaterMarks: ReadonlyMap<string, number>
  /** Whether a workspace without a low-water mark has certainly never been charged. */
  readonly isComplete: boolean
  /** Fraction of the low-water marks that buckets start with. */
  readonly part: number
}

export const emptyBalances: InitialBalances = { lowWaterMarks: new Map(), isComplete: false, part: 1 }
export const fullBalances: InitialBalances = { lowWaterMarks: new Map(), isComplete: true, part: 1 }

/** Returns the level below which a workspace's bucket must not go now. */
export type ReserveLookup = (workspace: string) => number

export type Decision =
  | { readonly kind: 'granted' }
  | { readonly kind: 'exhausted', readonly retryAfterMs: number }
  | { readonly kind: 'exceeds_burst', readonly burstTokens: number }
  /** The level suffices, but the standbys must first acknowledge a lower low-water mark. */
  | { readonly kind: 'floor_reached' }
  /** The charge was settled before it arrived. */
  | { readonly kind: 'settled' }
  | { readonly kind: 'unknown_workspace' }

interface OpenCharge {
  readonly workspace: string
  readonly tokens: number
  readonly number: number
  readonly atMs: number
}

export class ShardBuckets {
  private readonly buckets = new Map<string, buckets.Bucket>()
  /** The whole allowances, not scaled to the part in use. */
  private readonly allowances = new Map<string, configuration.Allowance>()
  /** Charges by identifier, oldest first. */
  private readonly open = new Map<string, OpenCharge>()
  /** When each settled charge was settled, oldest first. */
  private readonly tombstones = new Map<string, number>()
  /** Fraction of its low-water mark that a bucket not created yet would hold now, without refill. */
  private untouchedPart: number

  /** The buckets hold `currentPart` of the allowances and are refilled from `startedMs` on. */
  constructor (
    private startedMs: number,
    private readonly initialBalances: InitialBalances,
    private readonly timing: timings.LeaseTiming,
    private currentPart = 1
  ) {
    this.untouchedPart = initialBalances.part
  }

  /** Fraction of each allowance that the buckets hold. */
  get part (): number {
    return this.currentPart
  }

  get openCharges (): number {
    return this.open.size
  }

  listWorkspaces (): Iterable<string> {
    return this.buckets.keys()
  }

  /** Returns the levels of workspaces whose allowance is not known to this process yet. */
  listUnclaimedLevels (): ReadonlyMap<string, number> {
    const unclaimed = new Map<string, number>()
    for (const [workspace, mark] of this.initialBalances.lowWaterMarks) {
      if (!this.buckets.has(workspace)) {
        unclaimed.set(workspace, mark * this.untouchedPart)
      }
    }
    return unclaimed
  }

  getBucket (workspace: string): buckets.Bucket | undefined {
    return this.buckets.get(workspace)
  }

  /** Sets the allowance of a workspace of the shard, and creates its bucket the first time. */
  setAllowance (workspace: string, allowance: configuration.Allowance, nowMs: number): void {
    const known = this.allowances.get(workspace)
    this.allowances.set(workspace, allowance)
    if (known === undefined) {
      this.buckets.set(workspace, this.createBucket(workspace, allowance))
      return
    }
    if (!isSameAllowance(known, allowance)) {
      this.buckets.get(workspace)?.setAllowance(scale(allowance, this.currentPart), nowMs)
    }
  }

  /** Returns the burst of a workspace's whole allowance. */
  getBurst (workspace: string): number {
    return this.allowances.get(workspace)?.burstTokens ?? 0
  }

  /**
   * Changes the fraction of the allowances that the buckets hold. A part given away takes its fraction of the low-water
   * mark with it, since another process may start at that level; a part taken back comes without tokens.
   */
  setPart (part: number, nowMs: number, reserveOf: ReserveLookup): void {
    const added = part - this.currentPart
    if (added === 0) {
      return
    }
    this.currentPart = part
    this.untouchedPart = Math.max(0, Math.min(this.untouchedPart, this.untouchedPart + added))
    this.startedMs = Math.max(this.startedMs, nowMs)
    for (const [workspace, bucket] of this.buckets) {
      const allowance = this.allowances.get(workspace) as configuration.Allowance
      const reserve = reserveOf(workspace)
      const mark = Number.isFinite(reserve) ? reserve : allowance.burstTokens
      const debt = added > 0 ? added * allowance.burstTokens : added * (allowance.burstTokens - mark)
      bucket.resize(scale(allowance, part), debt, nowMs)
    }
  }

  /** Decides a charge. A repeated charge that was granted is granted again and counted once. */
  charge (charge: types.Charge, nowMs: number, reserveOf: ReserveLookup): Decision {
    this.expire(nowMs)
    if (this.open.has(charge.id)) {
      return { kind: 'granted' }
    }
    if (this.tombstones.has(charge.id)) {
      return { kind: 'settled' }
    }
    const bucket = this.buckets.get(charge.workspace)
    if (bucket === undefined) {
      return { kind: 'unknown_workspace' }
    }
    return this.chargeBucket(bucket, charge, nowMs, reserveOf(charge.workspace))
  }

  /** Settles a charge. An unknown one leaves a tombstone, so that it is not granted if it arrives late. */
  settle (id: string, usedTokens: number, nowMs: number): void {
    this.expire(nowMs)
    if (!this.tombstones.has(id)) {
      this.close(id, usedTokens, nowMs)
    }
  }

  private close (id: string, usedTokens: number, nowMs: number): void {
    this.tombstones.set(id, nowMs)
    const charge = this.open.get(id)
    if (charge === undefined) {
      return
    }
    this.open.delete(id)
    this.buckets.get(charge.workspace)?.settle(charge.number, charge.tokens, usedTokens, nowMs)
  }

  private chargeBucket (bucket: buckets.Bucket, charge: types.Charge, nowMs: number, reserve: number): Decision {
    const burstTokens = this.getBurst(charge.workspace)
    if (charge.tokens > burstTokens) {
      return { kind: 'exceeds_burst', burstTokens }
    }
    const retryAfterMs = bucket.getWaitMs(charge.tokens, nowMs)
    const number = bucket.tryCharge(charge.tokens, nowMs, Math.max(0, reserve))
    if (number !== undefined) {
      this.open.set(charge.id, { workspace: charge.workspace, tokens: charge.tokens, number, atMs: nowMs })
      return { kind: 'granted' }
    }
    return retryAfterMs > 0 ? { kind: 'exhausted', retryAfterMs } : { kind: 'floor_reached' }
  }

  private createBucket (workspace: string, allowance: configuration.Allowance): buckets.Bucket {
    const unknown = this.initialBalances.isComplete ? allowance.burstTokens : 0
    const mark = Math.min(this.initialBalances.lowWaterMarks.get(workspace) ?? unknown, allowance.burstTokens)
    return new buckets.Bucket(scale(allowance, this.currentPart), this.startedMs, mark * this.untouchedPart)
  }

  private expire (nowMs: number): void {
    for (const [id, charge] of this.open) {
      if (nowMs - charge.atMs < this.timing.chargeRetentionMs) {
        break
      }
      this.close(id, charge.tokens, nowMs)
    }
    for (const [id, atMs] of this.tombstones) {
      if (nowMs - atMs < this.timing.tombstoneMs) {
        break
      }
      this.tombstones.delete(id)
    }
  }
}

function scale (allowance: configuration.Allowance, part: number): configuration.Allowance {
  return { tokensPerSecond: allowance.tokensPerSecond * part, burstTokens: allowance.burstTokens * part }
}

function isSameAllowance (one: configuration.Allowance, other: configuration.Allowance): boolean {
  return one.tokensPerSecond === other.tokensPerSecond && one.burstTokens === other.burstTokens
}
