/**
 * Decides charges against this process's local quota of a shard's allowances, while it has one and is not the
 * leaseholder.
 */
import * as configuration from '../contracts/configuration.js'
import * as keepers from './keeper.js'
import * as succession from './succession.js'
import * as timings from './timing.js'
import * as types from './types.js'

interface Use {
  readonly keeper: keepers.Keeper
  readonly serveFromMs: number
}

export class ShareUser {
  private use: Use | undefined

  constructor (
    private readonly shard: number,
    private readonly succession: succession.Succession,
    private readonly timing: timings.KeeperTiming
  ) {}

  get isActive (): boolean {
    return this.use !== undefined
  }

  /** Whether this process would decide a charge now. */
  isServing (nowMs: number): boolean {
    const fromMs = this.use?.serveFromMs ?? Number.POSITIVE_INFINITY
    return nowMs >= fromMs && this.succession.getShareFromMs(this.shard, nowMs) !== undefined
  }

  /** Activates the local quota once it may be used, and deactivates it when it may not. Returns whether this call activated it. */
  update (nowMs: number): boolean {
    const fromMs = this.succession.getShareFromMs(this.shard, nowMs)
    if (fromMs === undefined) {
      this.end(nowMs)
      return false
    }
    if (this.use !== undefined) {
      return false
    }
    const part = this.timing.shareOfAllowance
    const inheritance = { ...this.succession.getKnownFloors(this.shard), part }
    const keeper = new keepers.Keeper(fromMs, inheritance, this.timing, part)
    this.use = { keeper, serveFromMs: fromMs + timings.getOutwaitMs(this.timing.grantTtlMs, this.timing) }
    return true
  }

  /** Deactivates the local quota and drops the known low-water marks: they do not apply to a later use. */
  end (nowMs: number): void {
    if (this.use !== undefined) {
      this.use = undefined
      this.succession.dropFloors(this.shard, nowMs)
    }
  }

  charge (charge: types.Charge, nowMs: number): keepers.Decision | undefined {
    return this.isServing(nowMs) ? this.use?.keeper.charge(charge, nowMs, () => 0) : undefined
  }

  settle (id: string, usedTokens: number, nowMs: number): void {
    this.use?.keeper.settle(id, usedTokens, nowMs)
  }

  setAllowance (workspace: string, allowance: configuration.Allowance, nowMs: number): void {
    this.use?.keeper.setAllowance(workspace, allowance, nowMs)
  }
}
