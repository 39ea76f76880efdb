/**
 * Decides where a replica takes its configuration from, and when it is ready. No input or output.
 *
 * An entry reads and watches the store; it asks other entries when the store is slow or down. An agent asks
 * entries, or agents that have heard of a version. The replica is behind while it knows of a version higher
 * than its own, whoever told it.
 */
import * as identities from '../contracts/identity.js'
import * as verdicts from '../contracts/verdict.js'

/** How long a replica that is behind waits for the change to come by itself, in milliseconds. */
const graceMs = 150

/** How long a peer that failed is not asked again, in milliseconds. */
const peerRetryMs = 1_000

/** Pauses before reading the store again, in milliseconds; doubled with each failure. */
const firstStorePauseMs = 200
const longestStorePauseMs = 5_000

/** Shortest time between searches for a source, in milliseconds. */
const searchMs = 1_000

/** Most peers remembered as sources. */
const maximumSources = 64

export type ReplicaEvent =
  | { readonly kind: 'started' }
  /** Somebody knows of a version. `peer` is absent if nobody can be asked for it. */
  | { readonly kind: 'heard', readonly version: number, readonly peer?: identities.Identity }
  /** The document has moved on to a version. */
  | { readonly kind: 'advanced', readonly version: number }
  /** The store has been read, and is being watched from there on. */
  | { readonly kind: 'store_read' }
  /** The store was not read, or the watch ended. `jitter` is a random number in [0, 1). */
  | { readonly kind: 'store_failed', readonly jitter: number }
  | { readonly kind: 'peer_answered', readonly node: string, readonly version: number }
  | { readonly kind: 'peer_failed', readonly node: string }
  /** The entries chosen at random have been asked for their versions, as far as they answered. */
  | { readonly kind: 'probed' }
  /** The time named by `dueMs` has come. */
  | { readonly kind: 'due' }

export type ReplicaAction =
  /** Read what is new in the store, then watch it; a watch under way is replaced. */
  | { readonly kind: 'read_store' }
  | { readonly kind: 'ask_peer', readonly peer: identities.Identity, readonly since: number }
  /** Ask some entries for their versions. */
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
  private highest = 0
  private ready = false
  private started = false
  private wasStoreRead = false
  private isProbing = false
  private wasProbed = false
  private store: StoreState = 'none'
  private storeDueMs = 0
  private storePauseMs = firstStorePauseMs
  private behindSinceMs: number | undefined
  private searchedMs: number | undefined
  private asking: string | undefined
  private readonly sources = new Map<string, Source>()

  constructor (private readonly role: identities.Role) {}

  get isReady (): boolean {
    return this.ready
  }

  decide (event: ReplicaEvent, nowMs: number): readonly ReplicaAction[] {
    const actions: ReplicaAction[] = []
    this.take(event, nowMs, actions)
    if (!this.started) {
      return actions
    }
    this.planStore(nowMs, actions)
    this.planPeers(nowMs, actions)
    this.planReadiness(actions)
    return actions
  }

  /** Returns when `due` is to be reported, or `undefined` if nothing waits for a time. */
  getDueMs (): number | undefined {
    const dues: number[] = []
    if (this.store === 'paused') {
      dues.push(this.storeDueMs)
    }
    if (this.behindSinceMs !== undefined && this.asking === undefined) {
      dues.push(Math.max(this.behindSinceMs + graceMs, this.getSourceDueMs()))
    }
    return dues.length === 0 ? undefined : Math.min(...dues)
  }

  private take (event: ReplicaEvent, nowMs: number, actions: ReplicaAction[]): void {
    switch (event.kind) {
      case 'started':
        this.start(actions)
        return
      case 'heard':
        this.hear(event.version, event.peer)
        return
      case 'advanced':
        this.advance(event.version)
        return
      case 'store_read':
        this.store = 'watching'
        this.storePauseMs = firstStorePauseMs
        this.wasStoreRead = true
        return
      case 'store_failed':
        this.pauseStore(event.jitter, nowMs)
        return
      case 'peer_answered':
        this.endAsking(event.node)
        this.correctSource(event.node, event.version, nowMs)
        return
      case 'peer_failed':
        this.endAsking(event.node)
        this.delaySource(event.node, nowMs + peerRetryMs)
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

  private hear (version: number, peer: identities.Identity | undefined): void {
    this.highest = Math.max(this.highest, version)
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

  /** An entry never takes its configuration from an agent, which lacks the secret sections. */
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

  private pauseStore (jitter: number, nowMs: number): void {
    this.store = 'paused'
    this.storeDueMs = nowMs + this.storePauseMs * (0.5 + jitter)
    this.storePauseMs = Math.min(longestStorePauseMs, this.storePauseMs * 2)
  }

  private endAsking (node: string): void {
    if (this.asking === node) {
      this.asking = undefined
    }
  }

  /** A peer whose answer did not bring the document to the peer's version is not asked again at once. */
  private correctSource (node: string, version: number, nowMs: number): void {
    const source = this.sources.get(node)
    if (source === undefined) {
      return
    }
    if (version <= this.version) {
      this.sources.delete(node)
      return
    }
    this.sources.set(node, { ...source, version, retryAtMs: nowMs + peerRetryMs })
  }

  private delaySource (node: string, retryAtMs: number): void {
    const source = this.sources.get(node)
    if (source !== undefined) {
      this.sources.set(node, { ...source, retryAtMs })
    }
  }

  private planStore (nowMs: number, actions: ReplicaAction[]): void {
    if (this.store === 'paused' && nowMs >= this.storeDueMs) {
      this.store = 'reading'
      actions.push({ kind: 'read_store' })
    }
  }

  private planPeers (nowMs: number, actions: ReplicaAction[]): void {
    if (this.highest <= this.version) {
      this.behindSinceMs = undefined
      return
    }
    this.behindSinceMs ??= nowMs
    if (this.asking !== undefined || nowMs < this.behindSinceMs + graceMs) {
      return
    }
    const source = this.chooseSource(nowMs)
    if (source === undefined) {
      this.search(nowMs, actions)
      return
    }
    this.asking = source.peer.node
    actions.push({ kind: 'ask_peer', peer: source.peer, since: this.version })
  }

  /** Returns the source with the highest version, the one heard first among equals. */
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

  /** Nobody who can be asked is known to have the version: an entry looks for one. */
  private search (nowMs: number, actions: ReplicaAction[]): void {
    if (this.role === 'agent' || (this.searchedMs !== undefined && nowMs < this.searchedMs + searchMs)) {
      return
    }
    this.searchedMs = nowMs
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
    if (this.version < this.highest) {
      return false
    }
    if (this.role === 'agent') {
      return this.version > 0
    }
    return this.wasProbed && (this.wasStoreRead || this.version > 0)
  }

  /** Returns when a source may be asked again, or an entry may search. */
  private getSourceDueMs (): number {
    const dues: number[] = []
    for (const source of this.sources.values()) {
      dues.push(source.retryAtMs)
    }
    if (this.role === 'entry') {
      dues.push(this.searchedMs === undefined ? Number.NEGATIVE_INFINITY : this.searchedMs + searchMs)
    }
    return dues.length === 0 ? Number.POSITIVE_INFINITY : Math.min(...dues)
  }
}
