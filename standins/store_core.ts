/**
 * Key-value core of the store stand-in: revisions, transactions, leases and watches, in memory.
 */
import * as host from '../src/host/types.js'

/** A key with what the store keeps beside it. */
export interface Row extends host.StoreEntry {
  /** Counts the writes of the key since it was created, from 1. */
  readonly version: number
  readonly lease: string | undefined
}

/** Keys from `from` on and before `to`; without `to`, all keys from `from` on. */
export interface Span {
  readonly from: string
  readonly to: string | undefined
}

/** The rows at one moment. */
export interface Copy {
  readonly rows: readonly Row[]
  readonly revision: number
}

interface Lease {
  readonly id: string
  readonly ttlMs: number
  expiresAtMs: number
}

interface Watcher {
  readonly covers: (key: string) => boolean
  readonly changed: (events: readonly host.StoreEvent[]) => void
}

interface Recorded {
  readonly revision: number
  readonly events: readonly host.StoreEvent[]
}

const standardHistoryLength = 10_000

export class StoreCore {
  private readonly rows = new Map<string, Row>()
  private sortedKeys: readonly string[] | undefined
  private readonly leases = new Map<string, Lease>()
  private readonly watchers = new Set<Watcher>()
  private readonly history: Recorded[] = []
  private nextLease = 1
  private currentRevision = 1
  private lastForgotten = 0

  /** Events of the last `historyLength` commits are kept for watches that start at an earlier revision. */
  constructor (private readonly clock: host.Clock, private readonly historyLength = standardHistoryLength) {}

  /** Returns a store that holds a copy's rows, without their leases, and goes on from its revision. */
  static restore (clock: host.Clock, copy: Copy): StoreCore {
    const core = new StoreCore(clock)
    core.currentRevision = copy.revision
    core.lastForgotten = copy.revision
    for (const row of copy.rows) {
      core.rows.set(row.key, { ...row, lease: undefined })
    }
    return core
  }

  get revision (): number {
    return this.currentRevision
  }

  /** Highest revision whose events are no longer kept; 0 while all are. */
  get compactedRevision (): number {
    return this.lastForgotten
  }

  read (key: string): host.StoreEntry | undefined {
    this.expireLeases()
    return this.rows.get(key)
  }

  readRange (range: host.StoreRange): host.StorePage {
    this.expireLeases()
    const limit = range.limit ?? Number.POSITIVE_INFINITY
    const entries: host.StoreEntry[] = []
    for (const key of this.getSortedKeys()) {
      if (!key.startsWith(range.prefix) || (range.after !== undefined && key <= range.after)) {
        continue
      }
      if (entries.length === limit) {
        return { entries, revision: this.currentRevision, more: true }
      }
      entries.push(this.rows.get(key) as Row)
    }
    return { entries, revision: this.currentRevision, more: false }
  }

  /** Returns the rows of a span in the order of their keys. */
  readSpan (span: Span): readonly Row[] {
    this.expireLeases()
    const rows: Row[] = []
    for (const key of this.getSortedKeys()) {
      if (span.to !== undefined && key >= span.to) {
        break
      }
      if (key >= span.from) {
        rows.push(this.rows.get(key) as Row)
      }
    }
    return rows
  }

  readRow (key: string): Row | undefined {
    this.expireLeases()
    return this.rows.get(key)
  }

  /** Returns all rows as they are now, unaffected by later commits. */
  copy (): Copy {
    return { rows: this.readSpan({ from: '', to: undefined }), revision: this.currentRevision }
  }

  hasLease (id: string): boolean {
    this.expireLeases()
    return this.leases.has(id)
  }

  commit (transaction: host.StoreTransaction): host.StoreCommit {
    this.expireLeases()
    const succeeded = transaction.compare.every(comparison => this.holds(comparison))
    const operations = succeeded ? transaction.success : transaction.failure
    const reads = this.run(operations)
    return { succeeded, revision: this.currentRevision, reads }
  }

  grantLease (ttlMs: number): host.StoreLease {
    const id = String(this.nextLease)
    this.nextLease += 1
    this.leases.set(id, { id, ttlMs, expiresAtMs: this.clock.monotonicMs() + ttlMs })
    return { id, ttlMs }
  }

  /** Returns `undefined` when the lease has expired or never existed. */
  renewLease (id: string): host.StoreLease | undefined {
    this.expireLeases()
    const lease = this.leases.get(id)
    if (lease === undefined) {
      return undefined
    }
    lease.expiresAtMs = this.clock.monotonicMs() + lease.ttlMs
    return { id, ttlMs: lease.ttlMs }
  }

  revokeLease (id: string): void {
    this.leases.delete(id)
    this.deleteRowsOf(id)
  }

  /** Reports events from the revision on, past ones at once. */
  watch (prefix: string, fromRevision: number, changed: Watcher['changed']): host.Stop {
    return this.addWatcher({ covers: key => key.startsWith(prefix), changed }, fromRevision)
  }

  /** Reports events of a span of keys from the revision on, past ones at once. */
  watchSpan (span: Span, fromRevision: number, changed: Watcher['changed']): host.Stop {
    return this.addWatcher({ covers: key => isWithin(span, key), changed }, fromRevision)
  }

  private addWatcher (watcher: Watcher, fromRevision: number): host.Stop {
    for (const recorded of this.history) {
      if (recorded.revision >= fromRevision) {
        report(watcher, recorded.events)
      }
    }
    this.watchers.add(watcher)
    return () => this.watchers.delete(watcher)
  }

  /** Deletes what expired leases hold. Called before every operation; also worth calling now and then. */
  expireLeases (): void {
    const now = this.clock.monotonicMs()
    for (const lease of [...this.leases.values()]) {
      if (lease.expiresAtMs <= now) {
        this.revokeLease(lease.id)
      }
    }
  }

  private holds (comparison: host.StoreComparison): boolean {
    const row = this.rows.get(comparison.key)
    const revision = comparison.target === 'mod' ? row?.modRevision : row?.createRevision
    return (revision ?? 0) === comparison.revision
  }

  private run (operations: readonly host.StoreOperation[]): (host.StoreEntry | undefined)[] {
    const reads: (host.StoreEntry | undefined)[] = []
    const events: host.StoreEvent[] = []
    const revision = this.currentRevision + 1
    for (const operation of operations) {
      if (operation.kind === 'get') {
        reads.push(this.rows.get(operation.key))
        continue
      }
      const event = operation.kind === 'put'
        ? this.put(operation.key, operation.value, operation.lease, revision)
        : this.remove(operation.key, revision)
      if (event !== undefined) {
        events.push(event)
      }
    }
    this.record(events, revision)
    return reads
  }

  private put (key: string, value: string, lease: string | undefined, revision: number): host.StoreEvent {
    const earlier = this.rows.get(key)
    if (earlier === undefined) {
      this.sortedKeys = undefined
    }
    const createRevision = earlier?.createRevision ?? revision
    const entry = { key, value, createRevision, modRevision: revision }
    this.rows.set(key, { ...entry, version: (earlier?.version ?? 0) + 1, lease })
    return { kind: 'put', entry }
  }

  private remove (key: string, revision: number): host.StoreEvent | undefined {
    if (!this.rows.delete(key)) {
      return undefined
    }
    this.sortedKeys = undefined
    return { kind: 'delete', key, modRevision: revision }
  }

  private getSortedKeys (): readonly string[] {
    this.sortedKeys ??= [...this.rows.keys()].sort()
    return this.sortedKeys
  }

  private deleteRowsOf (lease: string): void {
    const operations: host.StoreOperation[] = []
    for (const row of this.rows.values()) {
      if (row.lease === lease) {
        operations.push({ kind: 'delete', key: row.key })
      }
    }
    this.run(operations)
  }

  private record (events: readonly host.StoreEvent[], revision: number): void {
    if (events.length === 0) {
      return
    }
    this.currentRevision = revision
    this.history.push({ revision, events })
    if (this.history.length > this.historyLength) {
      this.lastForgotten = this.history.shift()?.revision ?? this.lastForgotten
    }
    for (const watcher of [...this.watchers]) {
      report(watcher, events)
    }
  }
}

/** Tells whether a key lies within a span. */
export function isWithin (span: Span, key: string): boolean {
  return key >= span.from && (span.to === undefined || key < span.to)
}

function report (watcher: Watcher, events: readonly host.StoreEvent[]): void {
  const matching = events.filter(event => watcher.covers(getKey(event)))
  if (matching.length > 0) {
    watcher.changed(matching)
  }
}

function getKey (event: host.StoreEvent): string {
  return event.kind === 'put' ? event.entry.key : event.key
}
