/**
 * The backend servers, as listed in the store.
 */
import type * as coldServers from './availability/cold_servers.js'
import * as evacuatedZones from './availability/evacuated_zones.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as replicas from './store_replica.js'
import * as routing from '../contracts/routing.js'
import * as types from './types.js'

/** Time for which a server is excluded after another server answered at its address, in milliseconds: until the store reports the change. */
const misdirectedExclusionMs = 3_000
/** Longest back-off that a server may request, in milliseconds: longer than any planned pause. */
const maximumBackOffMs = 600_000
/** Time for which a server's announcement that it is leaving is remembered, in milliseconds: longer than any server takes to shut down. */
const leavingRetentionMs = 600_000

/** A server's announcement that it is leaving, in one of its answers; valid only for this incarnation of the server. */
interface LeavingServer {
  readonly bornMs: number | undefined
  readonly untilMs: number
}

/** The last entry of a server that was removed while the store was reachable. */
interface RemovedServer {
  readonly server: routing.RoutedServer
  readonly untilMs: number
}

/**
 * Why a listed server gets no new work: its entry says that it drains; the operator has evacuated its zone; another process answered at its
 * address; it asked for a back-off, or announced that it is leaving.
 */
export type ServerObstacle = 'draining' | 'evacuated' | 'misdirected' | 'backing_off' | 'leaving'

export interface InspectedServer {
  readonly server: routing.RoutedServer
  readonly obstacle: ServerObstacle | undefined
}

interface ExpiredServer {
  readonly server: routing.RoutedServer
  readonly untilMs: number
}

export class Directory extends replicas.ReplicaObserver {
  private readonly servers = new Map<string, routing.RoutedServer>()
  private readonly expiredServers = new Map<string, ExpiredServer>()
  private readonly removedServers = new Map<string, RemovedServer>()
  private readonly misdirected = new Map<string, number>()
  private readonly leaving = new Map<string, LeavingServer>()
  /** Time until which a server must not be sent requests, in milliseconds. */
  private readonly backOffs = new Map<string, number>()
  private readonly unreadable = new Set<string>()
  /** The faults in the latest entry of each server that has some, as logged. */
  private readonly loggedFaults = new Map<string, string>()
  private readonly evacuated: evacuatedZones.EvacuatedZones
  private byService = new Map<string, routing.RoutedServer[]>()

  constructor (
    private readonly documents: types.StoredDocuments,
    private readonly system: host.System,
    private readonly onRemoved: (server: routing.RoutedServer) => void,
    /** Called for a server, or a process of a server, that was not known before, and for those of a zone whose evacuation ends. */
    private readonly onReturned: (server: routing.RoutedServer, reason: 'start' | 'evacuation') => void = () => {},
    private readonly cold?: coldServers.ColdServers
  ) {
    super()
    this.evacuated = new evacuatedZones.EvacuatedZones(system.log)
  }

  /** Number of evacuated zones. */
  get evacuatedCount (): number {
    return this.evacuated.count
  }

  override put (item: replicas.ReplicaItem): void {
    const evacuatedZone = this.readEvacuation(item.key)
    if (evacuatedZone !== undefined) {
      this.evacuated.add(evacuatedZone, item.revision)
      return
    }
    if (!item.key.startsWith(this.documents.serverPrefix)) {
      return
    }
    const id = item.key.slice(this.documents.serverPrefix.length)
    const read = this.documents.readServer(id, item.value)
    if (read.isLeft()) {
      this.ignoreEntry(id, item, (read.extract() as failures.Failure).message)
      return
    }
    this.unreadable.delete(id)
    const server = read.unsafeCoerce()
    if (this.isOutdated(server)) {
      this.system.log.info('ignored a server entry older than the known one', { server: id, state: server.state, writes: server.writes, revision: item.revision })
      return
    }
    const before = this.servers.get(id)
    const known = before ?? this.expiredServers.get(id)?.server
    this.expiredServers.delete(id)
    this.removedServers.delete(id)
    this.servers.set(id, server)
    this.byService.clear()
    this.recordColdState(server, before === undefined)
    if (before?.bornMs !== server.bornMs) {
      this.backOffs.delete(id)
    }
    if (before === undefined || before.state !== server.state || before.stage !== server.stage || before.bornMs !== server.bornMs) {
      this.misdirected.delete(id)
      this.system.log.info('server added or changed', {
        server: id, service: server.service, state: server.state, stage: server.stage, address: server.address, revision: item.revision
      })
    }
    if (known === undefined || known.bornMs !== server.bornMs) {
      this.onReturned(server, 'start')
    }
  }

  override removed (key: string, returnsUntilMs: number | undefined): void {
    const evacuatedZone = this.readEvacuation(key)
    if (evacuatedZone !== undefined) {
      this.endEvacuation(evacuatedZone)
      return
    }
    const id = key.slice(this.documents.serverPrefix.length)
    const server = this.servers.get(id)
    if (!key.startsWith(this.documents.serverPrefix) || server === undefined) {
      return
    }
    this.servers.delete(id)
    this.loggedFaults.delete(id)
    this.byService.clear()
    this.system.log.info('server removed', { server: id, service: server.service, mayReturn: returnsUntilMs !== undefined })
    if (returnsUntilMs !== undefined && server.state === 'ready') {
      this.expiredServers.set(id, { server, untilMs: returnsUntilMs })
      return
    }
    this.recordRemoval(server)
    this.onRemoved(server)
  }

  override updated (): void {
    this.evacuated.check(new Set([...this.servers.values()].map(({ zone }) => zone)))
  }

  /** Tells whether the operator has evacuated the zone of a server, so that nothing may be sent to it. */
  isEvacuated ({ zone }: routing.RoutedServer): boolean {
    return this.evacuated.has(zone)
  }

  /** Returns the servers of a service that accept new work. */
  listReady (service: string): readonly routing.RoutedServer[] {
    this.removeExpired()
    let list = this.byService.get(service)
    if (list === undefined) {
      list = []
      for (const server of [...this.servers.values(), ...[...this.expiredServers.values()].map(expired => expired.server)]) {
        if (server.service === service && server.state === 'ready') {
          list.push(server)
        }
      }
      this.byService.set(service, list)
    }
    if (this.misdirected.size + this.leaving.size + this.backOffs.size + this.evacuated.count === 0) {
      return list
    }
    const nowMs = this.system.clock.monotonicMs()
    return list.filter(server => this.isAvailable(server, nowMs))
  }

  /** Returns each known server of a service with what keeps it from new work, if anything does. Changes nothing. */
  inspect (service: string): readonly InspectedServer[] {
    const nowMs = this.system.clock.monotonicMs()
    const expired = [...this.expiredServers.values()].filter(({ untilMs }) => untilMs > nowMs)
    const inspected: InspectedServer[] = []
    for (const server of [...this.servers.values(), ...expired.map(({ server }) => server)]) {
      if (server.service === service) {
        inspected.push({ server, obstacle: server.state === 'ready' ? this.findObstacle(server, nowMs) : 'draining' })
      }
    }
    return inspected
  }

  /** Tells whether a server has requested a back-off that is still running. */
  isBackingOff (id: string, nowMs: number): boolean {
    return (this.backOffs.get(id) ?? 0) > nowMs
  }

  /** When the back-off of a server ends; undefined if none is running. */
  getBackOffEndMs (id: string, nowMs: number): number | undefined {
    return this.isBackingOff(id, nowMs) ? this.backOffs.get(id) : undefined
  }

  /** Milliseconds until the first back-off among the servers of a service ends, if any is running. */
  getBackOffMs (service: string): number | undefined {
    removePast(this.backOffs, this.system.clock.monotonicMs())
    return this.observeBackOffMs(service)
  }

  /** Returns what `getBackOffMs` would, without a change of state. */
  observeBackOffMs (service: string): number | undefined {
    const nowMs = this.system.clock.monotonicMs()
    let leastMs: number | undefined
    for (const [id, untilMs] of this.backOffs) {
      if (untilMs > nowMs && this.servers.get(id)?.service === service) {
        leastMs = Math.min(leastMs ?? Infinity, untilMs - nowMs)
      }
    }
    return leastMs
  }

  find (id: string): routing.RoutedServer | undefined {
    return this.servers.get(id)
  }

  /** Returns the latest entry of a server that was selected earlier, unless it has moved: its process may have been restarted since. */
  findCurrent (server: routing.RoutedServer): routing.RoutedServer {
    const listed = this.servers.get(server.id)
    return listed?.address === server.address ? listed : server
  }

  listAll (): readonly routing.RoutedServer[] {
    return [...this.servers.values()]
  }

  /** Records that another server answered at a server's address. */
  recordMisdirected (id: string): void {
    this.misdirected.set(id, this.system.clock.monotonicMs() + misdirectedExclusionMs)
  }

  /** Records that a server has requested a back-off for a time in milliseconds. */
  recordBackOff (server: routing.RoutedServer, forMs: number): void {
    const nowMs = this.system.clock.monotonicMs()
    const untilMs = nowMs + Math.min(forMs, maximumBackOffMs)
    const before = this.backOffs.get(server.id) ?? 0
    if (untilMs <= before || this.isOtherIncarnation(server)) {
      return
    }
    this.backOffs.set(server.id, untilMs)
    if (before <= nowMs) {
      this.system.log.info('server requested back-off', { server: server.id, service: server.service, forMs: Math.round(forMs) })
    }
  }

  /** Records that a server is leaving; `teller` is the gateway that received its answer. */
  recordLeaving (id: string, bornMs: number | undefined, teller: string): void {
    const nowMs = this.system.clock.monotonicMs()
    const before = this.leaving.get(id)
    if (before !== undefined && before.bornMs === bornMs) {
      return
    }
    this.leaving.set(id, { bornMs, untilMs: nowMs + leavingRetentionMs })
    this.system.log.info('server announced that it is leaving', { server: id, bornMs, teller })
    removeOutdated(this.leaving, nowMs)
  }

  /** Merges the leaving servers known to another gateway, with the start time of each incarnation, or 0 where it is unknown. */
  mergeLeaving (servers: Readonly<Record<string, number>>, teller: string): void {
    for (const [id, bornMs] of Object.entries(servers)) {
      this.recordLeaving(id, bornMs === 0 ? undefined : bornMs, teller)
    }
  }

  /** Returns the listed servers that have announced that they are leaving, with the start time of each incarnation, or 0 where it is unknown. */
  listLeaving (): Record<string, number> {
    const nowMs = this.system.clock.monotonicMs()
    const listed: Record<string, number> = {}
    for (const id of this.leaving.keys()) {
      const server = this.servers.get(id)
      if (server !== undefined && this.isLeaving(server, nowMs)) {
        listed[id] = server.bornMs ?? 0
      }
    }
    return listed
  }

  /** Tells whether a server that the store lists as ready may get new work, judging by its own answers. */
  private isAvailable (server: routing.RoutedServer, nowMs: number): boolean {
    return this.findObstacle(server, nowMs) === undefined
  }

  private findObstacle (server: routing.RoutedServer, nowMs: number): ServerObstacle | undefined {
    if (this.isEvacuated(server)) {
      return 'evacuated'
    }
    if ((this.misdirected.get(server.id) ?? 0) > nowMs) {
      return 'misdirected'
    }
    if (this.isBackingOff(server.id, nowMs)) {
      return 'backing_off'
    }
    return this.isLeaving(server, nowMs) ? 'leaving' : undefined
  }

  private isLeaving (server: routing.RoutedServer, nowMs: number): boolean {
    const leaving = this.leaving.get(server.id)
    return leaving !== undefined && leaving.bornMs === server.bornMs && leaving.untilMs > nowMs
  }

  /** Tells whether a server has been restarted under the same identifier since it was selected. */
  private isOtherIncarnation (server: routing.RoutedServer): boolean {
    const listed = this.servers.get(server.id)
    return listed !== undefined && listed.bornMs !== server.bornMs
  }

  /** Tells whether an entry is older than the known one of the same incarnation of the server; a restored store contains such entries. */
  private isOutdated (server: routing.RoutedServer): boolean {
    const removed = this.removedServers.get(server.id)
    const known = this.servers.get(server.id) ?? this.expiredServers.get(server.id)?.server ?? removed?.server
    if (known?.writes === undefined || server.writes === undefined || server.bornMs === undefined || known.bornMs !== server.bornMs) {
      return false
    }
    return server.writes < known.writes || (known === removed?.server && server.writes === known.writes)
  }

  /** Returns the zone that a key of the store evacuates, if it is such a key. */
  private readEvacuation (key: string): string | undefined {
    const prefix = this.documents.evacuationPrefix
    return prefix !== undefined && key.startsWith(prefix) ? key.slice(prefix.length) : undefined
  }

  private endEvacuation (zone: string): void {
    if (!this.evacuated.remove(zone)) {
      return
    }
    const nowMs = this.system.clock.monotonicMs()
    for (const server of this.servers.values()) {
      if (server.zone === zone) {
        this.cold?.recordEvacuationEnd(server.id, nowMs)
        this.onReturned(server, 'evacuation')
      }
    }
  }

  /** Passes on what an entry says about a cold server; an entry of a server that was not listed says that it has come back. */
  private recordColdState (server: routing.RoutedServer, isReturned: boolean): void {
    if (isReturned) {
      this.cold?.forget(server.id)
    }
    this.cold?.recordEntry(server, this.system.clock.monotonicMs())
    const faults = server.faults?.join('; ')
    if (faults === undefined) {
      this.loggedFaults.delete(server.id)
    } else if (!this.loggedFaults.has(server.id)) {
      this.loggedFaults.set(server.id, faults)
      this.system.log.warn('figures of a server entry ignored', { server: server.id, faults })
    }
  }

  private recordRemoval (server: routing.RoutedServer): void {
    const nowMs = this.system.clock.monotonicMs()
    removeOutdated(this.removedServers, nowMs)
    this.removedServers.set(server.id, { server, untilMs: nowMs + leavingRetentionMs })
  }

  private removeExpired (): void {
    if (this.expiredServers.size === 0) {
      return
    }
    const nowMs = this.system.clock.monotonicMs()
    for (const [id, { server, untilMs }] of this.expiredServers) {
      if (untilMs <= nowMs) {
        this.expiredServers.delete(id)
        this.byService.clear()
        this.onRemoved(server)
      }
    }
  }

  private ignoreEntry (id: string, item: replicas.ReplicaItem, reason: string): void {
    if (!this.unreadable.has(id)) {
      this.unreadable.add(id)
      this.system.log.warn('cannot parse a server entry', { server: id, revision: item.revision, reason })
    }
    if (this.servers.delete(id)) {
      this.byService.clear()
    }
  }
}

function removePast (times: Map<string, number>, nowMs: number): void {
  for (const [id, untilMs] of times) {
    if (untilMs <= nowMs) {
      times.delete(id)
    }
  }
}

function removeOutdated (items: Map<string, { readonly untilMs: number }>, nowMs: number): void {
  for (const [id, { untilMs }] of items) {
    if (untilMs <= nowMs) {
      items.delete(id)
    }
  }
}
