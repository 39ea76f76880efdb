/**
 * The lease of this process in the store, which the holder keys of all its shards are bound to.
 */
import * as host from '../host/types.js'
import * as shardTypes from './shard_types.js'
import * as timings from './timing.js'

export class ProcessLease {
  private lease: shardTypes.ProcessLease | undefined
  private isBusy = false
  private requestedMs = Number.NEGATIVE_INFINITY

  /** `changed` is called on each grant, renewal and loss. */
  constructor (
    private readonly store: host.Store,
    private readonly clock: host.Clock,
    private readonly timing: timings.LeaseTiming,
    private readonly changed: (lease: shardTypes.ProcessLease | undefined) => void
  ) {}

  get current (): shardTypes.ProcessLease | undefined {
    return this.lease
  }

  /** Grants a lease if there is none, or renews it when that is due. */
  async maintain (): Promise<void> {
    const nowMs = this.clock.monotonicMs()
    if (this.isBusy || nowMs - this.requestedMs < this.timing.renewMs) {
      return
    }
    this.isBusy = true
    this.requestedMs = nowMs
    await (this.lease === undefined ? this.grant(nowMs) : this.renew(this.lease.id, nowMs))
    this.isBusy = false
  }

  /** Drops a lease that may have expired. Must be called only while no key is bound to it. */
  dropExpired (): void {
    const lease = this.lease
    if (lease === undefined) {
      return
    }
    const untilMs = lease.sentMs + timings.getUsableMs(this.timing.leaseTtlMs, this.timing)
    if (this.clock.monotonicMs() >= untilMs) {
      this.set(undefined)
    }
  }

  /** Revokes the lease, which deletes the keys bound to it. */
  async revoke (): Promise<void> {
    const lease = this.lease
    if (lease !== undefined) {
      this.set(undefined)
      await this.store.revokeLease(lease.id)
    }
  }

  private async grant (sentMs: number): Promise<void> {
    const result = await this.store.grantLease(this.timing.leaseTtlMs)
    result.ifRight(lease => this.set({ id: lease.id, sentMs }))
  }

  private async renew (id: string, sentMs: number): Promise<void> {
    const result = await this.store.renewLease(id)
    result
      .ifRight(() => this.set({ id, sentMs }))
      .ifLeft(failure => {
        if (failure.code === 'store_conflict') {
          this.set(undefined)
        }
      })
  }

  private set (lease: shardTypes.ProcessLease | undefined): void {
    this.lease = lease
    this.changed(lease)
  }
}
