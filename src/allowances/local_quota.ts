/**
 * Decides charges against this process's local quota of a shard's allowances, while it has one and is not the
 * leaseholder.
 */
import * as configuration from '../contracts/configuration.js'
import * as shardBuckets from './shard_buckets.js'
import * as standbys from './standby.js'
import * as timings from './timing.js'
import * as types from './types.js'

interface Activation {
  readonly decider: shardBuckets.ShardBuckets
  readonly serveFromMs: number
}

export class LocalQuota {
  private activation: Activation | undefined

  constructor (
    private readonly shard: number,
    private readonly succession: standbys.Standby,
    private readonly timing: timings.LeaseTiming
  ) {}

  get isActive (): boolean {
    return this.activation !== undefined
  }

  /** Whether this process would decide a charge now. */
  isServing (nowMs: number): boolean {
    const fromMs = this.activation?.serveFromMs ?? Number.POSITIVE_INFINITY
    return nowMs >= fromMs && this.succession.getQuotaStartMs(this.shard, nowMs) !== undefined
  }

  /** Activates the local quota once it may be used, and deactivates it when it may not. Returns whether this call activated it. */
  update (nowMs: number): boolean {
    const fromMs = this.succession.getQuotaStartMs(this.shard, nowMs)
    if (fromMs === undefined) {
      this.deactivate(nowMs)
      return false
    }
    if (this.activation !== undefined) {
      return false
    }
    const part = this.timing.localQuotaFraction
    const initialBalances = { ...this.succession.getCurrentBalances(this.shard), part }
    const decider = new shardBuckets.ShardBuckets(fromMs, initialBalances, this.timing, part)
    this.activation = { decider, serveFromMs: fromMs + timings.getExpiryWaitMs(this.timing.grantTtlMs, this.timing) }
    return true
  }

  /** Deactivates the local quota and drops the known low-water marks: they do not apply to a later use. */
  deactivate (nowMs: number): void {
    if (this.activation !== undefined) {
      this.activation = undefined
      this.succession.dropLowWaterMarks(this.shard, nowMs)
    }
  }

  charge (charge: types.Charge, nowMs: number): shardBuckets.Decision | undefined {
    return this.isServing(nowMs) ? this.activation?.decider.charge(charge, nowMs, () => 0) : undefined
  }

  settle (id: string, usedTokens: number, nowMs: number): void {
    this.activation?.decider.settle(id, usedTokens, nowMs)
  }

  setAllowance (workspace: string, allowance: configuration.Allowance, nowMs: number): void {
    this.activation?.decider.setAllowance(workspace, allowance, nowMs)
  }
}
