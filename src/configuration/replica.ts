/**
 * Read replica of the configuration: keeps the document of this process current from the store and from other
 * processes.
 */
import * as configuration from '../contracts/configuration.js'
import * as currentDocuments from './current_document.js'
import * as decisions from './replica_decisions.js'
import * as documents from './document.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as links from '../links/types.js'
import * as metrics from '../metrics/types.js'
import * as notices from './notices.js'
import * as peerReaders from './peer_reader.js'
import * as peersModule from './peers.js'
import * as protocol from '../contracts/protocol.js'
import * as publishers from './publisher.js'
import * as replicaDocuments from './replica_document.js'
import * as storeFollowers from './store_follower.js'
import * as storeSources from './store_source.js'
import * as timelines from '../timeline/types.js'

export interface ReplicaOptions {
  readonly identity: identities.Identity
  /** Control listener of this process. */
  readonly address: identities.Address
  /** Entries only. */
  readonly store?: host.Store
  readonly peers: peersModule.Peers
  readonly clock: host.Clock
  readonly random: host.Random
  readonly log: host.Log
  readonly meter: metrics.Meter
  readonly recorder: timelines.Recorder
}

/** Called after the document has advanced to a version, with the names of the sections that changed. */
export type ChangeListener = (version: number, sections: readonly string[]) => void

export class Replica extends currentDocuments.CurrentDocument {
  override readonly document: documents.Document
  /** Request handlers for the control listener. */
  readonly handlers: links.Handlers
  readonly linkObserver: links.LinkObserver
  readonly sessionObserver: links.SessionObserver

  private readonly decisions: decisions.ReplicaDecisions
  private readonly replicaDocument = new replicaDocuments.ReplicaDocument()
  private readonly publisher: publishers.Publisher
  private readonly peerReader: peerReaders.PeerReader
  private readonly source: storeSources.StoreSource | undefined
  private readonly listeners = new Set<ChangeListener>()
  private readonly waiters = new Set<() => void>()
  private readonly follower: storeFollowers.StoreFollower | undefined
  private stopTimer: host.Stop | undefined
  private stopped = false
  /** Whether the store has been read and is being watched. */
  private isFollowing = false

  constructor (private readonly options: ReplicaOptions) {
    super()
    this.document = this.replicaDocument.document
    this.decisions = new decisions.ReplicaDecisions(options.identity.role)
    this.source = options.store === undefined ? undefined : new storeSources.StoreSource(options.store)
    this.follower = this.source === undefined ? undefined : this.createFollower(this.source)
    this.peerReader = new peerReaders.PeerReader(options.peers, options.random)
    this.publisher = new publishers.Publisher(
      this.document, options.peers, options.address, options.clock, options.random
    )
    this.handlers = { 'configuration.read': async (params, session) => this.answer(params, session.remote.role) }
    const handleChange: notices.ChangeHandler = (change, from) => this.handleChange(change, from)
    this.linkObserver = new notices.ChangeLinkObserver(handleChange)
    this.sessionObserver = new notices.ChangeSessionObserver(handleChange, this.publisher)
  }

  /** Whether the first synchronization is over: the version was then at least the highest that any process had reported. */
  get isReady (): boolean {
    return this.decisions.isReady
  }

  start (): void {
    this.report({ kind: 'started' })
  }

  stop (): void {
    this.stopped = true
    this.follower?.stop()
    this.stopTimer?.()
    this.publisher.stop()
  }

  /** Resolves once the replica is ready. */
  whenReady (): Promise<void> {
    if (this.isReady) {
      return Promise.resolve()
    }
    return new Promise(resolve => this.waiters.add(resolve))
  }

  /** Calls the listener after each change, until the returned function is called. */
  onChange (listener: ChangeListener): host.Stop {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Version of the document in force. */
  get version (): number {
    return this.document.version
  }

  /** Records the version that another process reports. The caller passes it on from every message received. */
  hear (version: number, from: identities.Identity | undefined): void {
    if (version <= this.document.version) {
      return
    }
    this.report(from === undefined ? { kind: 'heard', version } : { kind: 'heard', version, peer: from })
  }

  override async catchUp (version: number): Promise<failures.Result<void>> {
    if (this.document.version < version && this.source !== undefined) {
      const update = await this.source.readSince(this.document.version)
      if (update.isLeft()) {
        return failures.fail(update.swap().unsafeCoerce())
      }
      this.applyUpdate(update.unsafeCoerce())
    }
    if (this.document.version < version) {
      return failures.fail(failures.createFailure('not_run', 'store_unavailable', ['the read is stale']))
    }
    return failures.succeed(undefined)
  }

  override publish (change: configuration.Change): void {
    this.applyChanges([change])
    this.publisher.send(change)
  }

  /** Handles a change that another process sent. */
  private handleChange (change: configuration.Change, from: identities.Identity): void {
    if (this.isTrusted(from)) {
      this.applyChanges([change])
    }
    this.hear(change.version, from)
  }

  /** An entry accepts no content from agents, because agents do not hold the secret sections. */
  private isTrusted (from: identities.Identity): boolean {
    return this.options.identity.role === 'agent' || from.role === 'entry'
  }

  private async answer (
    { since }: protocol.Params<'configuration.read'>, audience: identities.Role
  ): Promise<failures.Result<protocol.Answer<'configuration.read'>>> {
    if (audience === 'entry' && this.options.identity.role === 'agent') {
      return failures.fail(failures.createFailure('not_run', 'configuration_forbidden', [audience]))
    }
    return failures.succeed(this.replicaDocument.createAnswer(since, audience))
  }

  private report (event: decisions.ReplicaEvent): void {
    if (this.stopped) {
      return
    }
    for (const action of this.decisions.decide(event, this.options.clock.monotonicMs())) {
      this.perform(action)
    }
    this.setTimer()
  }

  private setTimer (): void {
    this.stopTimer?.()
    const dueMs = this.decisions.getDueMs()
    if (dueMs === undefined || dueMs === Number.POSITIVE_INFINITY) {
      return
    }
    const delayMs = Math.max(1, dueMs - this.options.clock.monotonicMs())
    this.stopTimer = this.options.clock.after(delayMs, () => this.report({ kind: 'due' }))
  }

  private perform (action: decisions.ReplicaAction): void {
    switch (action.kind) {
      case 'read_store':
        this.follower?.follow(this.document.version).catch(() => this.handleStoreFailure())
        return
      case 'ask_peer':
        this.readFromPeer(action.peer, action.since).catch(() => this.report({ kind: 'peer_failed', node: action.peer.node }))
        return
      case 'probe_entries':
        this.peerReader.probe((version, from) => this.hear(version, from)).catch(() => {}).finally(() => this.report({ kind: 'probed' }))
        return
      case 'become_ready':
        this.becomeReady()
    }
  }

  private becomeReady (): void {
    this.options.log.info('configuration ready', { version: this.document.version })
    for (const resolve of this.waiters) {
      resolve()
    }
    this.waiters.clear()
  }

  private createFollower (source: storeSources.StoreSource): storeFollowers.StoreFollower {
    return new storeFollowers.StoreFollower(source, {
      read: update => {
        this.applyUpdate(update)
        this.recordFollowing()
        this.report({ kind: 'store_read' })
      },
      changed: change => this.handleWatchedChange(change),
      failed: () => this.handleStoreFailure()
    })
  }

  private recordFollowing (): void {
    if (!this.isFollowing) {
      this.isFollowing = true
      this.options.log.info('following configuration store', { version: this.document.version })
    }
  }

  private handleStoreFailure (): void {
    if (this.isFollowing) {
      this.isFollowing = false
      this.options.log.warn('configuration store unavailable', { version: this.document.version })
    }
    this.options.meter.count('configuration_store_failures', {})
    this.report({ kind: 'store_failed', jitter: this.options.random.nextUnit() })
  }

  private applyUpdate (update: storeSources.StoreUpdate): void {
    if (update.snapshot !== undefined) {
      this.applySnapshot(update.snapshot)
    }
    this.applyChanges(update.changes)
  }

  /** A change that leaves a gap after the document's version makes the replica read the missing changes. */
  private handleWatchedChange (change: configuration.Change): void {
    this.applyChanges([change])
    this.hear(change.version, undefined)
  }

  private async readFromPeer (peer: identities.Identity, since: number): Promise<void> {
    const answer = await this.peerReader.readSince(peer, since)
    if (answer.isLeft()) {
      this.report({ kind: 'peer_failed', node: peer.node })
      return
    }
    const { version, changes, snapshot } = answer.unsafeCoerce()
    this.options.meter.count('configuration_peer_reads', {})
    if (snapshot !== undefined) {
      this.applySnapshot(snapshot)
    }
    this.applyChanges(changes)
    this.report({ kind: 'peer_answered', node: peer.node, version })
  }

  private applyChanges (changes: readonly configuration.Change[]): void {
    this.notifyListeners(this.replicaDocument.applyChanges(changes))
  }

  private applySnapshot (snapshot: configuration.Snapshot): void {
    this.notifyListeners(this.replicaDocument.applySnapshot(snapshot))
  }

  private notifyListeners (sections: readonly string[] | undefined): void {
    if (sections === undefined) {
      return
    }
    const { version } = this.document
    this.options.recorder.record({ kind: 'configuration.changed', details: { version, sections: sections.length } })
    this.options.meter.gauge('configuration_version', {}, version)
    for (const listener of this.listeners) {
      listener(version, sections)
    }
    if (this.options.identity.role === 'entry') {
      this.publisher.schedule()
    }
    this.report({ kind: 'advanced', version })
  }
}
