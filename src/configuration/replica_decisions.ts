/**
 * Decides which source a replica reads its configuration from and when it is ready. A state machine without input
 * or output.
 *
 * An entry reads and watches the store, and reads from other entries when the store is slow or down. An agent reads
 * from entries, or from agents that have reported a version. The replica is behind while any process has reported a
 * version higher than its own.
 */
import * as identities from '../contracts/identity.js'
import * as verdicts from '../contracts/verdict.js'

/** How long a replica that is behind waits for the change to arrive without a read from a peer, in milliseconds. */
const readGraceMs = 150

/** How long a replica does not read from a peer again after a failure, in milliseconds. */
const peerRetryDelayMs = 1_000

/** Bounds of the exponential backoff between reads of the store, in milliseconds. It doubles with each failure. */
const minimumStoreBackoffMs = 200
const maximumStoreBackoffMs = 5_000

/** Shortest time between searches for a source, in milliseconds. */
const searchIntervalMs = 1_000

/** Maximum number of peers kept as sources. */
const maximumSources = 64

export type ReplicaEvent =
  | { readonly kind: 'started' }
  /** A process reported a version. `peer` is absent if no process is known to read it from. */
  | { readonly kind: 'heard', readonly version: number, readonly peer?: identities.Identity }
  /** The document has advanced to a version. */
  | { readonly kind: 'advanced', readonly version: number }
  /** The store has been read and is watched from the revision of that read. */
  | { readonly kind: 'store_read' }
  /** The read of the store failed, or the watch ended. `jitter` is a random number in [0, 1). */
  | { readonly kind: 'store_failed', readonly jitter: number }
  | { readonly kind: 'peer_answered', readonly node: string, readonly version: number }
  | { readonly kind: 'peer_failed', readonly node: string }
  /** The probe of randomly chosen entries is over; the versions of those that answered have been reported. */
  | { readonly kind: 'probed' }
  /** The time returned by `getDueMs` has passed. */
  | { readonly kind: 'due' }

export type ReplicaAction =
  /** Read new changes from the store, then watch it. Replaces a running watch. */
  | { readonly kind: 'read_store' }
  | { readonly kind: 'ask_peer', readonly peer: identities.Identity, readonly since: number }
  /** Request the versions of a few entries. */
  | { readonly kind: 'probe_entries' }
  | { readonly kind: 'become_ready' }

interface Source {
  readonly peer: identities.Identity
  readonly version: number
  readonly retryAtMs: number
}

type StoreState = 'none' | 'reading' | 'watching' | 'paused'

export class ReplicaDecisions {
  private version = 0
  private highestReportedVersion = 0
  private ready = false
  private started = false
  private wasStoreRead = false
  private isProbing = false
  private wasProbed = false
  private store: StoreState = 'none'
  private storeRetryAtMs = 0
  private storeBackoffMs = minimumStoreBackoffMs
  private behindSinceMs: number | undefined
  private lastSearchMs: number | undefined
  private pendingNode: string | undefined
  private readonly sources = new Map<string, Source>()

  constructor (private readonly role: identities.Role) {}

  get isReady (): boolean {
    return this.ready
  }

  decide (event: ReplicaEvent, nowMs: number): readonly ReplicaAction[] {
    const actions: ReplicaAction[] = []
    this.handleEvent(event, nowMs, actions)
    if (!this.started) {
      return actions
    }
    this.planStore(nowMs, actions)
    this.planPeers(nowMs, actions)
    this.planReadiness(actions)
    return actions
  }

  /** Returns when the `due` event is to be reported, or `undefined` if no timer is needed. */
  getDueMs (): number | undefined {
    const dues: number[] = []
    if (this.store === 'paused') {
      dues.push(this.storeRetryAtMs)
    }
    if (this.behindSinceMs !== undefined && this.pendingNode === undefined) {
      dues.push(Math.max(this.behindSinceMs + readGraceMs, this.getSourceDueMs()))
    }
    return dues.length === 0 ? undefined : Math.min(...dues)
  }

  private handleEvent (event: ReplicaEvent, nowMs: number, actions: ReplicaAction[]): void {
    switch (event.kind) {
      case 'started':
        this.start(actions)
        return
      case 'heard':
        this.observeVersion(event.version, event.peer)
        return
      case 'advanced':
        this.advance(event.version)
        return
      case 'store_read':
        this.store = 'watching'
        this.storeBackoffMs = minimumStoreBackoffMs
        this.wasStoreRead = true
        return
      case 'store_failed':
        this.delayStoreRead(event.jitter, nowMs)
        return
      case 'peer_answered':
        this.clearPendingNode(event.node)
        this.updateSource(event.node, event.version, nowMs)
        return
      case 'peer_failed':
        this.clearPendingNode(event.node)
        this.delaySource(event.node, nowMs + peerRetryDelayMs)
        return
      case 'probed':
        this.isProbing = false
        this.wasProbed = true
        return
      case 'due':
        return
      default:
        verdicts.assertNever(event)
    }
  }

  private start (actions: ReplicaAction[]): void {
    this.started = true
    if (this.role === 'agent') {
      return
    }
    this.store = 'reading'
    this.isProbing = true
    actions.push({ kind: 'read_store' }, { kind: 'probe_entries' })
  }

  private observeVersion (version: number, peer: identities.Identity | undefined): void {
    this.highestReportedVersion = Math.max(this.highestReportedVersion, version)
    if (peer === undefined || version <= this.version || !this.isSource(peer)) {
      return
    }
    const known = this.sources.get(peer.node)
    if (known === undefined && this.sources.size >= maximumSources) {
      return
    }
    const retryAtMs = known?.peer.boot === peer.boot ? known.retryAtMs : Number.NEGATIVE_INFINITY
    this.sources.set(peer.node, { peer, version: Math.max(version, known?.version ?? 0), retryAtMs })
  }

  /** An entry never reads its configuration from an agent, because agents do not hold the secret sections. */
  private isSource (peer: identities.Identity): boolean {
    return this.role === 'agent' || peer.role === 'entry'
  }

  private advance (version: number): void {
    this.version = Math.max(this.version, version)
    for (const [node, source] of this.sources) {
      if (source.version <= this.version) {
        this.sources.delete(node)
      }
    }
  }

  private delayStoreRead (jitter: number, nowMs: number): void {
    this.store = 'paused'
    this.storeRetryAtMs = nowMs + this.storeBackoffMs * (0.5 + jitter)
    this.storeBackoffMs = Math.min(maximumStoreBackoffMs, this.storeBackoffMs * 2)
  }

  private clearPendingNode (node: string): void {
    if (this.pendingNode === node) {
      this.pendingNode = undefined
    }
  }

  /** If the answer of a peer did not bring the document to the peer's version, the next read from it is delayed. */
  private updateSource (node: string, version: number, nowMs: number): void {
    const source = this.sources.get(node)
    if (source === undefined) {
      return
    }
    if (version <= this.version) {
      this.sources.delete(node)
      return
    }
    this.sources.set(node, { ...source, version, retryAtMs: nowMs + peerRetryDelayMs })
  }

  private delaySource (node: string, retryAtMs: number): void {
    const source = this.sources.get(node)
    if (source !== undefined) {
      this.sources.set(node, { ...source, retryAtMs })
    }
  }

  private planStore (nowMs: number, actions: ReplicaAction[]): void {
    if (this.store === 'paused' && nowMs >= this.storeRetryAtMs) {
      this.store = 'reading'
      actions.push({ kind: 'read_store' })
    }
  }

  private planPeers (nowMs: number, actions: ReplicaAction[]): void {
    if (this.highestReportedVersion <= this.version) {
      this.behindSinceMs = undefined
      return
    }
    this.behindSinceMs ??= nowMs
    if (this.pendingNode !== undefined || nowMs < this.behindSinceMs + readGraceMs) {
      return
    }
    const source = this.chooseSource(nowMs)
    if (source === undefined) {
      this.search(nowMs, actions)
      return
    }
    this.pendingNode = source.peer.node
    actions.push({ kind: 'ask_peer', peer: source.peer, since: this.version })
  }

  /** Returns the source with the highest version; among equals, the one that was added first. */
  private chooseSource (nowMs: number): Source | undefined {
    let best: Source | undefined
    for (const source of this.sources.values()) {
      if (source.retryAtMs > nowMs) {
        continue
      }
      if (best === undefined || source.version > best.version) {
        best = source
      }
    }
    return best
  }

  /** No known source has the version. An entry reads the store again and probes other entries. */
  private search (nowMs: number, actions: ReplicaAction[]): void {
    if (this.role === 'agent' || (this.lastSearchMs !== undefined && nowMs < this.lastSearchMs + searchIntervalMs)) {
      return
    }
    this.lastSearchMs = nowMs
    if (this.store === 'watching') {
      this.store = 'reading'
      actions.push({ kind: 'read_store' })
    }
    if (!this.isProbing) {
      this.isProbing = true
      actions.push({ kind: 'probe_entries' })
    }
  }

  private planReadiness (actions: ReplicaAction[]): void {
    if (this.ready || !this.isComplete()) {
      return
    }
    this.ready = true
    actions.push({ kind: 'become_ready' })
  }

  private isComplete (): boolean {
    if (this.version < this.highestReportedVersion) {
      return false
    }
    if (this.role === 'agent') {
      return this.version > 0
    }
    return this.wasProbed && (this.wasStoreRead || this.version > 0)
  }

  /** Returns the earliest time at which a source may be read from, or an entry may search. */
  private getSourceDueMs (): number {
    const dues: number[] = []
    for (const source of this.sources.values()) {
      dues.push(source.retryAtMs)
    }
    if (this.role === 'entry') {
      dues.push(this.lastSearchMs === undefined ? Number.NEGATIVE_INFINITY : this.lastSearchMs + searchIntervalMs)
    }
    return dues.length === 0 ? Number.POSITIVE_INFINITY : Math.min(...dues)
  }
}
