/**
 * A read replica of the keys below a prefix of the store. A watch keeps it up to date; while the store does not answer,
 * a newer replica is copied from another gateway. The RPC method that reads a replica is `mirror.read`.
 */
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as positions from '../contracts/store_position.js'

/** Initial retry delay after the store fails, in milliseconds; doubled with each consecutive failure. */
const firstRetryDelayMs = 60
const maximumRetryDelayMs = 500
/** Time without an answer from the store, in addition to the hold time of a watch, that counts as an outage, in milliseconds: a stalled watch is detected earlier. */
const outageMarginMs = 600
/** Time after an outage in which missing keys may be written again, in milliseconds. */
const returnWindowMs = 2_000
/** Longest time for which a missing key is still treated as present, in milliseconds: shorter than the time within which a leaving server must stop getting work. */
const maximumRetentionMs = 1_400
/** Time for which another gateway must be ahead before its replica is copied, in milliseconds: the events of the own watch may be in transit. */
const lagToleranceMs = 250

/** One key of the replica. */
export interface ReplicaItem {
  readonly key: string
  readonly value: string
  readonly revision: number
}

/** All keys of the replica as of a revision. */
export interface ReplicaSnapshot {
  readonly revision: number
  readonly items: readonly ReplicaItem[]
}

export abstract class ReplicaObserver {
  abstract put (item: ReplicaItem): void
  /** Called when a key is removed. `returnsUntilMs`: the key expired around an outage of the store, and its writer may write it again until then. */
  abstract removed (key: string, returnsUntilMs: number | undefined): void
  /** Called after a batch of events or a full read has been applied. */
  abstract updated (): void
}

/** Forwards changes to several observers, each of which selects its own keys. */
export class CompositeObserver extends ReplicaObserver {
  constructor (private readonly observers: readonly ReplicaObserver[], private readonly log: host.Log) {
    super()
  }

  override put (item: ReplicaItem): void {
    for (const observer of this.observers) {
      this.handle(item.key, () => observer.put(item))
    }
  }

  override removed (key: string, returnsUntilMs: number | undefined): void {
    for (const observer of this.observers) {
      this.handle(key, () => observer.removed(key, returnsUntilMs))
    }
  }

  /** An entry that an observer fails on must not end the watch, which would find it again and again. */
  private handle (key: string | undefined, change: () => void): void {
    try {
      change()
    } catch (error) {
      this.log.error('entry of the store not handled', { key, error: error instanceof Error ? error.stack : String(error) })
    }
  }

  override updated (): void {
    for (const observer of this.observers) {
      this.handle(undefined, () => observer.updated())
    }
  }
}

export class StoreReplica {
  private readonly items = new Map<string, ReplicaItem>()
  private knownRevision = 0
  private confirmedMs: number | undefined
  private outageEndedMs = -Infinity
  private stopWatch: host.Stop | undefined
  private isStopped = false
  private failuresInRow = 0
  private laggingSinceMs: number | undefined

  /** `watchHoldMs` is the time for which the store holds a watch without events, in milliseconds. */
  constructor (
    private readonly store: host.Store,
    private readonly prefix: string,
    private readonly system: host.System,
    private readonly observer: ReplicaObserver,
    private readonly watchHoldMs: number
  ) {}

  /** Highest revision of the store that this replica is known to include. */
  get revision (): number {
    return this.knownRevision
  }

  get isLoaded (): boolean {
    return this.knownRevision > 0
  }

  /** Milliseconds since the last answer from the store. */
  getAgeMs (nowMs: number): number {
    return this.confirmedMs === undefined ? Infinity : nowMs - this.confirmedMs
  }

  /** Whether the store has answered lately, so that the replica includes what was written a moment ago. */
  isCurrent (nowMs: number): boolean {
    return this.getAgeMs(nowMs) <= this.watchHoldMs + outageMarginMs
  }

  start (): void {
    this.load().catch((error: unknown) => this.system.log.error('store replica stopped', { error: String(error) }))
  }

  stop (): void {
    this.isStopped = true
    this.stopWatch?.()
  }

  takeSnapshot (): ReplicaSnapshot {
    return { revision: this.knownRevision, items: [...this.items.values()] }
  }

  /** Tells whether another gateway has been at a newer revision for so long that the own watch must have stalled. */
  isLagging (revision: number): boolean {
    if (revision <= this.knownRevision) {
      return false
    }
    const nowMs = this.system.clock.monotonicMs()
    this.laggingSinceMs ??= nowMs
    return nowMs - this.laggingSinceMs >= lagToleranceMs
  }

  /** Replaces this replica by another gateway's if that is newer. */
  accept (snapshot: ReplicaSnapshot): boolean {
    if (snapshot.revision <= this.knownRevision) {
      return false
    }
    this.replace(snapshot, false)
    return true
  }

  private async load (): Promise<void> {
    while (!this.isStopped) {
      const read = await this.readAll()
      if (this.isStopped) {
        return
      }
      if (read.isRight()) {
        const snapshot = read.unsafeCoerce()
        const wasOutage = this.confirm()
        if (snapshot.revision >= this.knownRevision) {
          this.replace(snapshot, wasOutage)
        }
        this.watch(Math.max(snapshot.revision, this.knownRevision))
        return
      }
      this.recordFailure(read.extract() as failures.Failure)
      await this.system.clock.sleep(this.getRetryDelayMs())
    }
  }

  private async readAll (): Promise<failures.Result<ReplicaSnapshot>> {
    const items: ReplicaItem[] = []
    let revision: number | undefined
    let after: string | undefined
    while (true) {
      const read = await this.store.readRange(after === undefined ? { prefix: this.prefix } : { prefix: this.prefix, after })
      if (read.isLeft()) {
        return failures.fail(read.extract() as failures.Failure)
      }
      const page = read.unsafeCoerce()
      revision ??= page.revision
      if (positions.getGeneration(page.revision) !== positions.getGeneration(revision)) {
        return failures.fail(failures.createFailure('not_run', 'store_conflict', ['the store was restored between two pages']))
      }
      for (const entry of page.entries) {
        items.push({ key: entry.key, value: entry.value, revision: entry.modRevision })
      }
      after = page.entries.at(-1)?.key
      if (!page.more || after === undefined) {
        return failures.succeed({ revision, items })
      }
    }
  }

  private watch (revision: number): void {
    this.stopWatch = this.store.watch(this.prefix, revision + 1, events => {
      this.confirm()
      this.apply(events)
    }, failure => {
      this.stopWatch?.()
      this.recordFailure(failure)
      if (!this.isStopped) {
        this.start()
      }
    })
  }

  private apply (events: readonly host.StoreEvent[]): void {
    for (const event of events) {
      const key = event.kind === 'put' ? event.entry.key : event.key
      const revision = event.kind === 'put' ? event.entry.modRevision : event.modRevision
      this.advance(revision)
      if (revision <= (this.items.get(key)?.revision ?? 0)) {
        continue
      }
      if (event.kind === 'put') {
        this.put({ key, value: event.entry.value, revision })
      } else if (this.items.delete(key)) {
        this.observer.removed(key, this.getReturnDeadlineMs())
      }
    }
    if (events.length > 0) {
      this.observer.updated()
    }
  }

  private replace (snapshot: ReplicaSnapshot, mayLapse: boolean): void {
    const mayReturn = this.detectRestoration(snapshot) || mayLapse
    const found = new Set<string>()
    for (const item of snapshot.items) {
      found.add(item.key)
      if (item.revision > (this.items.get(item.key)?.revision ?? 0)) {
        this.put(item)
      }
    }
    for (const key of [...this.items.keys()]) {
      if (!found.has(key) && (this.items.get(key)?.revision ?? 0) <= snapshot.revision) {
        this.items.delete(key)
        this.observer.removed(key, mayReturn ? this.getReturnDeadlineMs() : undefined)
      }
    }
    this.advance(snapshot.revision)
    this.observer.updated()
  }

  /** Tells whether the store has been restored from a backup since the last read: keys that are missing now may be written again. */
  private detectRestoration (snapshot: ReplicaSnapshot): boolean {
    const generation = positions.getGeneration(snapshot.revision)
    if (!this.isLoaded || generation <= positions.getGeneration(this.knownRevision)) {
      return false
    }
    this.outageEndedMs = this.system.clock.monotonicMs()
    this.system.log.warn('store restored from a backup', {
      generation,
      revision: positions.getRevision(snapshot.revision),
      before: positions.getRevision(this.knownRevision),
      items: snapshot.items.length,
      itemsBefore: this.items.size
    })
    return true
  }

  private advance (revision: number): void {
    if (revision > this.knownRevision) {
      this.knownRevision = revision
      this.laggingSinceMs = undefined
    }
  }

  private put (item: ReplicaItem): void {
    this.items.set(item.key, item)
    this.observer.put(item)
  }

  /** Records an answer from the store; tells whether it ended an outage. */
  private confirm (): boolean {
    const nowMs = this.system.clock.monotonicMs()
    const wasOutage = this.confirmedMs !== undefined && this.getAgeMs(nowMs) > this.watchHoldMs + outageMarginMs
    this.confirmedMs = nowMs
    if (wasOutage) {
      this.outageEndedMs = nowMs
    }
    if (this.failuresInRow > 0) {
      this.system.log.info('store answers again', { failures: this.failuresInRow, revision: this.knownRevision })
      this.failuresInRow = 0
    }
    return wasOutage
  }

  /** Returns the time until which a key that is missing now may be written again. */
  private getReturnDeadlineMs (): number | undefined {
    const nowMs = this.system.clock.monotonicMs()
    const deadlineMs = Math.min(this.outageEndedMs + returnWindowMs, nowMs + maximumRetentionMs)
    return deadlineMs > nowMs ? deadlineMs : undefined
  }

  private recordFailure (failure: failures.Failure): void {
    this.failuresInRow += 1
    if (this.failuresInRow === 1) {
      const ageMs = Math.round(this.getAgeMs(this.system.clock.monotonicMs()))
      this.system.log.warn('store does not answer', { reason: failure.message, revision: this.knownRevision, ageMs })
    }
  }

  private getRetryDelayMs (): number {
    const longest = Math.min(maximumRetryDelayMs, firstRetryDelayMs * 2 ** Math.min(this.failuresInRow, 8))
    return longest * (0.5 + this.system.random.nextUnit() / 2)
  }
}
