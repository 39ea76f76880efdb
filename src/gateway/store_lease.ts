/**
 * One key of this process in the store, kept under a lease: present while the process is alive and reaches the store.
 */
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'

/** Renewals within the time to live of a lease; two of them may be lost. */
const renewalsPerLease = 3
/** Upper bound of the random delay before a lost key is acquired again, in milliseconds: many processes may lose theirs at the same time. */
const maximumReacquireDelayMs = 300
/** Safety margin before the expiry in the store from which the lease counts as lost, in milliseconds. */
const safetyMarginMs = 300

export abstract class LeaseObserver {
  /** Called when the key is held; `revision` increases from one holder to the next. */
  abstract held (revision: number): void
  /** Called when the key may be held by another process. */
  abstract lost (reason: string): void
}

export interface LeasedKey {
  readonly key: string
  readonly value: string
  readonly ttlMs: number
  /** Whether only one process may hold the key; otherwise the key is overwritten. */
  readonly isExclusive: boolean
  /** Whether the key seems to be free; if not, no acquisition is attempted. */
  readonly mayTry: () => boolean
}

/** One moment on the monotonic and the wall clock, in milliseconds. */
interface ClockReading {
  readonly monotonicMs: number
  readonly wallMs: number
}

export class StoreLease {
  private lease: string | undefined
  private revision: number | undefined
  private confirmed: ClockReading = { monotonicMs: -Infinity, wallMs: -Infinity }
  private isAnnounced = false
  private isStopped = false
  private isStepping = false
  /** Whether the key was seen to be deleted since it was acquired or read. */
  private isInDoubt = false
  private stopTimer: host.Stop | undefined

  constructor (
    private readonly store: host.Store,
    private readonly system: host.System,
    private readonly leased: LeasedKey,
    private readonly observer: LeaseObserver
  ) {}

  /** Whether the lease is valid by both clocks: the monotonic one stands still while the VM is suspended. */
  get isHeld (): boolean {
    const limitMs = this.leased.ttlMs - safetyMarginMs
    const { monotonicMs: nowMs, wallMs } = this.readClocks()
    return this.revision !== undefined && nowMs - this.confirmed.monotonicMs < limitMs && wallMs - this.confirmed.wallMs < limitMs
  }

  /** Renews the lease to confirm that the key is still held; required before an action that must not follow one of the next holder. */
  async verify (): Promise<boolean> {
    if (this.revision === undefined) {
      return false
    }
    const failure = await this.renew()
    return failure === undefined && this.isHeld
  }

  /** Acquires the key and keeps it, unless it was released before. */
  start (): void {
    if (this.isStopped) {
      return
    }
    this.isStepping = true
    this.step().catch((error: unknown) => {
      this.system.log.error('lease stopped', { key: this.leased.key, error: String(error) })
    }).finally(() => {
      this.isStepping = false
    })
  }

  /** Releases the key, so that another process can acquire it immediately. */
  async stop (): Promise<void> {
    this.isStopped = true
    this.stopTimer?.()
    const lease = this.lease
    this.lease = undefined
    this.revision = undefined
    if (lease !== undefined) {
      await this.store.revokeLease(lease)
    }
  }

  /** Acquires the key, or makes sure that it is still held, without waiting for the timer; for a key that was seen to be deleted. */
  recheck (): void {
    this.isInDoubt = true
    if (!this.isStopped && !this.isStepping) {
      this.stopTimer?.()
      this.start()
    }
  }

  private async step (): Promise<void> {
    const isIdle = this.revision === undefined && !this.leased.mayTry()
    const wasHeld = this.revision !== undefined
    const failure = isIdle ? undefined : this.revision === undefined ? await this.acquire() : await this.confirmKey()
    if (this.isStopped) {
      return
    }
    if (failure !== undefined && this.revision !== undefined && !this.isHeld) {
      this.handleLoss(failure)
    }
    const isLost = wasHeld && this.revision === undefined
    const unit = this.system.random.nextUnit()
    const waitMs = isLost ? maximumReacquireDelayMs * unit : this.leased.ttlMs / renewalsPerLease * (0.8 + unit * 0.2)
    this.stopTimer = this.system.clock.after(waitMs, () => this.start())
  }

  private async acquire (): Promise<string | undefined> {
    if (this.lease === undefined) {
      const sent = this.readClocks()
      const granted = await this.store.grantLease(this.leased.ttlMs)
      if (granted.isLeft()) {
        return describe(granted.extract())
      }
      const { id } = granted.unsafeCoerce()
      if (this.isStopped) {
        await this.store.revokeLease(id)
        return 'the key was released while the lease was granted'
      }
      this.lease = id
      this.confirm(sent)
    }
    const { key, value, isExclusive } = this.leased
    const committed = await this.store.commit({
      compare: isExclusive ? [{ key, target: 'mod', revision: 0 }] : [],
      success: [{ kind: 'put', key, value, lease: this.lease }],
      failure: []
    })
    if (committed.isLeft()) {
      // The lease may have expired, or the write may have succeeded. Revoking the lease settles both; the next attempt uses a new one.
      await this.dropLease()
      return describe(committed.extract())
    }
    const { succeeded, revision } = committed.unsafeCoerce()
    if (!succeeded) {
      await this.dropLease()
      return 'another process holds the key'
    }
    this.revision = revision
    this.isInDoubt = false
    this.announce()
    return undefined
  }

  /** Notifies the observer once that the key is held; after slow answers, only when a renewal has made it certain. */
  private announce (): void {
    if (this.revision !== undefined && this.isHeld && !this.isAnnounced && !this.isStopped) {
      this.isAnnounced = true
      this.observer.held(this.revision)
    }
  }

  private async renew (): Promise<string | undefined> {
    const sent = this.readClocks()
    const lease = this.lease ?? ''
    const renewed = await this.store.renewLease(lease)
    if (this.lease !== lease) {
      return 'the lease was released during its renewal'
    }
    if (renewed.isRight()) {
      this.confirm(sent)
      this.announce()
      return undefined
    }
    const failure = renewed.extract() as failures.Failure
    if (failure.code === 'store_conflict') {
      this.handleLoss(failure.message)
    }
    return failure.message
  }

  /** Renews the lease, and reads the key if it is in doubt: a delayed write of an earlier process may have replaced it, and its lease deleted it. */
  private async confirmKey (): Promise<string | undefined> {
    const failure = await this.renew()
    if (failure !== undefined || !this.isInDoubt) {
      return failure
    }
    const { revision } = this
    const found = await this.store.read(this.leased.key)
    if (found.isLeft()) {
      return describe(found.extract())
    }
    this.isInDoubt = false
    if (this.revision === undefined || this.revision !== revision || found.unsafeCoerce()?.modRevision === revision) {
      return undefined
    }
    await this.dropLease()
    this.handleLoss('the key was deleted or overwritten')
    return undefined
  }

  private async dropLease (): Promise<void> {
    const lease = this.lease
    this.lease = undefined
    if (lease !== undefined) {
      await this.store.revokeLease(lease)
    }
  }

  private handleLoss (reason: string): void {
    this.revision = undefined
    this.lease = undefined
    this.isAnnounced = false
    this.observer.lost(reason)
  }

  private readClocks (): ClockReading {
    return { monotonicMs: this.system.clock.monotonicMs(), wallMs: this.system.clock.wallMs() }
  }

  private confirm (sent: ClockReading): void {
    if (sent.monotonicMs > this.confirmed.monotonicMs) {
      this.confirmed = sent
    }
  }
}

function describe (failure: unknown): string {
  return (failure as failures.Failure).message
}
