/**
 * A copy of the keys below a prefix of the store, kept by a watch, or taken from another gateway while the store
 * does not answer.
 */
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as positions from '../contracts/store_position.js'

/** Pause before the store is asked again after a failure, in milliseconds; grows with each failure in a row. */
const firstPauseMs = 60
const longestPauseMs = 500
/** Time without a word from the store beyond the hold of a watch that counts as an outage, in milliseconds: a silent watch is found before. */
const outageMarginMs = 600
/** Time after an outage in which keys that are missing may still come back, in milliseconds. */
const returnMs = 2_000
/** Longest time that a missing key is still believed in, in milliseconds: below the time in which a server that leaves must get no more work. */
const longestBeliefMs = 1_400
/** Time for which another gateway must be ahead before its copy is taken, in milliseconds: the own watch may be on its way. */
const behindMs = 250

/** One key of the copy. */
export interface MirrorItem {
  readonly key: string
  readonly value: string
  readonly revision: number
}

/** The whole copy as of a revision. */
export interface MirrorSnapshot {
  readonly revision: number
  readonly items: readonly MirrorItem[]
}

export abstract class MirrorObserver {
  abstract put (item: MirrorItem): void
  /** `returnsUntilMs`: the key lapsed around an outage of the store, and its writer may put it again until then. */
  abstract removed (key: string, returnsUntilMs: number | undefined): void
  /** A state of the store was taken in whole or in part. */
  abstract updated (): void
}

/** Passes changes on to several observers, each of which picks its own keys. */
export class SplitObserver extends MirrorObserver {
  constructor (private readonly observers: readonly MirrorObserver[]) {
    super()
  }

  override put (item: MirrorItem): void {
    for (const observer of this.observers) {
      observer.put(item)
    }
  }

  override removed (key: string, returnsUntilMs: number | undefined): void {
    for (const observer of this.observers) {
      observer.removed(key, returnsUntilMs)
    }
  }

  override updated (): void {
    for (const observer of this.observers) {
      observer.updated()
    }
  }
}

export class StoreMirror {
  private readonly items = new Map<string, MirrorItem>()
  private knownRevision = 0
  private confirmedMs: number | undefined
  private outageEndedMs = -Infinity
  private stopWatch: host.Stop | undefined
  private isStopped = false
  private failuresInRow = 0
  private behindSinceMs: number | undefined

  /** `watchHoldMs` is how long the store holds a watch without events, in milliseconds. */
  constructor (
    private readonly store: host.Store,
    private readonly prefix: string,
    private readonly system: host.System,
    private readonly observer: MirrorObserver,
    private readonly watchHoldMs: number
  ) {}

  /** Highest revision of the store that this copy is known to include. */
  get revision (): number {
    return this.knownRevision
  }

  get isLoaded (): boolean {
    return this.knownRevision > 0
  }

  /** Milliseconds since the store last confirmed the copy. */
  getAgeMs (nowMs: number): number {
    return this.confirmedMs === undefined ? Infinity : nowMs - this.confirmedMs
  }

  start (): void {
    this.load().catch((error: unknown) => this.system.log.error('store copy stopped', { error: String(error) }))
  }

  stop (): void {
    this.isStopped = true
    this.stopWatch?.()
  }

  takeSnapshot (): MirrorSnapshot {
    return { revision: this.knownRevision, items: [...this.items.values()] }
  }

  /** Tells whether another gateway that is at the revision has been ahead for so long that the own watch must be silent. */
  isLeftBehind (revision: number): boolean {
    if (revision <= this.knownRevision) {
      return false
    }
    const nowMs = this.system.clock.monotonicMs()
    this.behindSinceMs ??= nowMs
    return nowMs - this.behindSinceMs >= behindMs
  }

  /** Takes in another gateway's copy if it is newer. */
  accept (snapshot: MirrorSnapshot): boolean {
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
      this.noteFailure(read.extract() as failures.Failure)
      await this.system.clock.sleep(this.getPauseMs())
    }
  }

  private async readAll (): Promise<failures.Result<MirrorSnapshot>> {
    const items: MirrorItem[] = []
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
      this.noteFailure(failure)
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
        this.observer.removed(key, this.getReturnLimit())
      }
    }
    if (events.length > 0) {
      this.observer.updated()
    }
  }

  private replace (snapshot: MirrorSnapshot, mayLapse: boolean): void {
    const mayReturn = this.noteRestoration(snapshot) || mayLapse
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
        this.observer.removed(key, mayReturn ? this.getReturnLimit() : undefined)
      }
    }
    this.advance(snapshot.revision)
    this.observer.updated()
  }

  /** Tells whether the store has been restored since the copy was made: what is missing then may be written again. */
  private noteRestoration (snapshot: MirrorSnapshot): boolean {
    const generation = positions.getGeneration(snapshot.revision)
    if (!this.isLoaded || generation <= positions.getGeneration(this.knownRevision)) {
      return false
    }
    this.outageEndedMs = this.system.clock.monotonicMs()
    this.system.log.warn('store restored from a copy', {
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
      this.behindSinceMs = undefined
    }
  }

  private put (item: MirrorItem): void {
    this.items.set(item.key, item)
    this.observer.put(item)
  }

  /** Notes a word from the store; tells whether an outage has just ended. */
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

  /** Returns until when a key that is missing now may come back. */
  private getReturnLimit (): number | undefined {
    const nowMs = this.system.clock.monotonicMs()
    const limitMs = Math.min(this.outageEndedMs + returnMs, nowMs + longestBeliefMs)
    return limitMs > nowMs ? limitMs : undefined
  }

  private noteFailure (failure: failures.Failure): void {
    this.failuresInRow += 1
    if (this.failuresInRow === 1) {
      const ageMs = Math.round(this.getAgeMs(this.system.clock.monotonicMs()))
      this.system.log.warn('store does not answer', { reason: failure.message, revision: this.knownRevision, ageMs })
    }
  }

  private getPauseMs (): number {
    const longest = Math.min(longestPauseMs, firstPauseMs * 2 ** Math.min(this.failuresInRow, 8))
    return longest * (0.5 + this.system.random.nextUnit() / 2)
  }
}
