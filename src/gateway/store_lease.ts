/**
 * One key of this process in the store, kept under a lease: present while the process lives and reaches the store.
 */
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'

/** Renewals within the life of a lease; two may be lost. */
const renewalsPerLease = 3
/** Within this time a key that was lost is tried for again, in milliseconds: many processes may lose theirs at once. */
const reentryMs = 300
/** Time by which the right counts as lost before the store would end it, in milliseconds. */
const safetyMs = 300

export abstract class LeaseObserver {
  /** The key is held; `revision` only grows from one holder to the next. */
  abstract held (revision: number): void
  /** The key may be another's. */
  abstract lost (reason: string): void
}

export interface LeasedKey {
  readonly key: string
  readonly value: string
  readonly ttlMs: number
  /** Whether only one process may hold the key; otherwise it is overwritten. */
  readonly isExclusive: boolean
  /** Whether the key seems to be free; without it the store is not asked. */
  readonly mayTry: () => boolean
}

/** One moment on both clocks, in milliseconds. */
interface Moment {
  readonly steadyMs: number
  readonly wallMs: number
}

export class StoreLease {
  private lease: string | undefined
  private revision: number | undefined
  private confirmed: Moment = { steadyMs: -Infinity, wallMs: -Infinity }
  private isAnnounced = false
  private isStopped = false
  private isStepping = false
  private stopTimer: host.Stop | undefined

  constructor (
    private readonly store: host.Store,
    private readonly system: host.System,
    private readonly leased: LeasedKey,
    private readonly observer: LeaseObserver
  ) {}

  /** Whether the key is still held by both clocks: the steady one stands still while the machine is suspended. */
  get isHeld (): boolean {
    const limitMs = this.leased.ttlMs - safetyMs
    const { steadyMs, wallMs } = this.mark()
    return this.revision !== undefined && steadyMs - this.confirmed.steadyMs < limitMs && wallMs - this.confirmed.wallMs < limitMs
  }

  /** Asks the store whether the key is still held; needed before an act that must not follow one of the next holder. */
  async verify (): Promise<boolean> {
    if (this.revision === undefined) {
      return false
    }
    const failure = await this.renew()
    return failure === undefined && this.isHeld
  }

  start (): void {
    this.isStepping = true
    this.step().catch((error: unknown) => {
      this.system.log.error('lease stopped', { key: this.leased.key, error: String(error) })
    }).finally(() => {
      this.isStepping = false
    })
  }

  /** Gives the key up, so that another process can have it at once. */
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

  /** Tries for the key, or for the next renewal, now: the key was seen to be gone. */
  recheck (): void {
    if (!this.isStopped && !this.isStepping) {
      this.stopTimer?.()
      this.start()
    }
  }

  private async step (): Promise<void> {
    const isIdle = this.revision === undefined && !this.leased.mayTry()
    const wasHeld = this.revision !== undefined
    const failure = isIdle ? undefined : this.revision === undefined ? await this.acquire() : await this.renew()
    if (this.isStopped) {
      return
    }
    if (failure !== undefined && this.revision !== undefined && !this.isHeld) {
      this.lose(failure)
    }
    const isLost = wasHeld && this.revision === undefined
    const unit = this.system.random.nextUnit()
    const waitMs = isLost ? reentryMs * unit : this.leased.ttlMs / renewalsPerLease * (0.8 + unit * 0.2)
    this.stopTimer = this.system.clock.after(waitMs, () => this.start())
  }

  private async acquire (): Promise<string | undefined> {
    if (this.lease === undefined) {
      const sent = this.mark()
      const granted = await this.store.grantLease(this.leased.ttlMs)
      if (granted.isLeft()) {
        return describe(granted.extract())
      }
      this.lease = granted.unsafeCoerce().id
      this.confirm(sent)
    }
    const { key, value, isExclusive } = this.leased
    const committed = await this.store.commit({
      compare: isExclusive ? [{ key, target: 'mod', revision: 0 }] : [],
      success: [{ kind: 'put', key, value, lease: this.lease }],
      failure: []
    })
    if (committed.isLeft()) {
      // The lease may have ended, or the key may have been written: both are settled with a lease of its own.
      await this.dropLease()
      return describe(committed.extract())
    }
    const { succeeded, revision } = committed.unsafeCoerce()
    if (!succeeded) {
      await this.dropLease()
      return 'another process holds the key'
    }
    this.revision = revision
    this.announce()
    return undefined
  }

  /** Tells the observer once that the key is held; after slow answers only when a renewal has made it certain. */
  private announce (): void {
    if (this.revision !== undefined && this.isHeld && !this.isAnnounced && !this.isStopped) {
      this.isAnnounced = true
      this.observer.held(this.revision)
    }
  }

  private async renew (): Promise<string | undefined> {
    const sent = this.mark()
    const lease = this.lease ?? ''
    const renewed = await this.store.renewLease(lease)
    if (this.lease !== lease) {
      return 'the lease was given up meanwhile'
    }
    if (renewed.isRight()) {
      this.confirm(sent)
      this.announce()
      return undefined
    }
    const failure = renewed.extract() as failures.Failure
    if (failure.code === 'store_conflict') {
      this.lose(failure.message)
    }
    return failure.message
  }

  private async dropLease (): Promise<void> {
    const lease = this.lease
    this.lease = undefined
    if (lease !== undefined) {
      await this.store.revokeLease(lease)
    }
  }

  private lose (reason: string): void {
    this.revision = undefined
    this.lease = undefined
    this.isAnnounced = false
    this.observer.lost(reason)
  }

  private mark (): Moment {
    return { steadyMs: this.system.clock.monotonicMs(), wallMs: this.system.clock.wallMs() }
  }

  private confirm (sent: Moment): void {
    if (sent.steadyMs > this.confirmed.steadyMs) {
      this.confirmed = sent
    }
  }
}

function describe (failure: unknown): string {
  return (failure as failures.Failure).message
}
