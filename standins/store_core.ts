/**
 * Key-value core of the store stand-in: revisions, transactions, leases and watches, in memory.
 */
import * as host from '../src/host/types.js'

interface Row extends host.StoreEntry {
  readonly lease: string | undefined
}

interface Lease {
  readonly id: string
  readonly ttlMs: number
  expiresAtMs: number
}

interface Watcher {
  readonly prefix: string
  readonly changed: (events: readonly host.StoreEvent[]) => void
}

interface Recorded {
  readonly revision: number
  readonly events: readonly host.StoreEvent[]
}

/** Commits kept for watches that start at an earlier revision. */
const historyLength = 10_000

export class StoreCore {
  private readonly rows = new Map<string, Row>()
  private readonly leases = new Map<string, Lease>()
  private readonly watchers = new Set<Watcher>()
  private readonly history: Recorded[] = []
  private nextLease = 1
  private currentRevision = 1

  constructor (private readonly clock: host.Clock) {}

  get revision (): number {
    return this.currentRevision
  }

  read (key: string): host.StoreEntry | undefined {
    this.expireLeases()
    return this.rows.get(key)
  }

  readRange (range: host.StoreRange): host.StorePage {
    this.expireLeases()
    const limit = range.limit ?? Number.POSITIVE_INFINITY
    const entries: host.StoreEntry[] = []
    for (const key of [...this.rows.keys()].sort()) {
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
    const watcher = { prefix, changed }
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
    const createRevision = this.rows.get(key)?.createRevision ?? revision
    const entry = { key, value, createRevision, modRevision: revision }
    this.rows.set(key, { ...entry, lease })
    return { kind: 'put', entry }
  }

  private remove (key: string, revision: number): host.StoreEvent | undefined {
    if (!this.rows.delete(key)) {
      return undefined
    }
    return { kind: 'delete', key, modRevision: revision }
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
    if (this.history.length > historyLength) {
      this.history.shift()
    }
    for (const watcher of [...this.watchers]) {
      report(watcher, events)
    }
  }
}

function report (watcher: Watcher, events: readonly host.StoreEvent[]): void {
  const matching = events.filter(event => getKey(event).startsWith(watcher.prefix))
  if (matching.length > 0) {
    watcher.changed(matching)
  }
}

function getKey (event: host.StoreEvent): string {
  return event.kind === 'put' ? event.entry.key : event.key
}
