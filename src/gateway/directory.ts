/**
 * The backend servers, as the store lists them.
 */
import * as host from '../host/types.js'
import * as mirrors from './mirror.js'
import * as routing from '../contracts/routing.js'
import * as types from './types.js'

/** How long a server that answered in place of another is left out, in milliseconds: until the store has told of the change. */
const misdirectedMs = 3_000
/** Longest time that a server is left alone because it asked for it, in milliseconds: beyond any planned pause. */
const longestBackOffMs = 600_000
/** How long it is remembered that a server said that it leaves, in milliseconds: longer than any server takes to end. */
const leavingMemoryMs = 600_000

/** That a server has said in an answer that it leaves; true of this life of the server only. */
interface Leaving {
  readonly bornMs: number | undefined
  readonly untilMs: number
}

/** The last entry of a server that left the list while the store was sound. */
interface Departure {
  readonly server: routing.RoutedServer
  readonly untilMs: number
}

interface Lapse {
  readonly server: routing.RoutedServer
  readonly untilMs: number
}

export class Directory extends mirrors.MirrorObserver {
  private readonly servers = new Map<string, routing.RoutedServer>()
  private readonly lapses = new Map<string, Lapse>()
  private readonly departures = new Map<string, Departure>()
  private readonly misdirected = new Map<string, number>()
  private readonly leaving = new Map<string, Leaving>()
  /** Until when a server is left alone, in milliseconds. */
  private readonly backOffs = new Map<string, number>()
  private readonly unreadable = new Set<string>()
  private byService = new Map<string, routing.RoutedServer[]>()

  constructor (
    private readonly documents: types.StoredDocuments,
    private readonly system: host.System,
    private readonly departed: (server: routing.RoutedServer) => void
  ) {
    super()
  }

  override put (item: mirrors.MirrorItem): void {
    if (!item.key.startsWith(this.documents.serverPrefix)) {
      return
    }
    const id = item.key.slice(this.documents.serverPrefix.length)
    const read = this.documents.readServer(id, item.value)
    if (read.isLeft()) {
      this.skip(id, item)
      return
    }
    this.unreadable.delete(id)
    const server = read.unsafeCoerce()
    if (this.isOutdated(server)) {
      this.system.log.info('older entry of a server passed over', { server: id, state: server.state, writes: server.writes, revision: item.revision })
      return
    }
    this.lapses.delete(id)
    this.departures.delete(id)
    const before = this.servers.get(id)
    this.servers.set(id, server)
    this.byService.clear()
    if (before?.bornMs !== server.bornMs) {
      this.backOffs.delete(id)
    }
    if (before === undefined || before.state !== server.state || before.stage !== server.stage || before.bornMs !== server.bornMs) {
      this.misdirected.delete(id)
      this.system.log.info('server', {
        server: id, service: server.service, state: server.state, stage: server.stage, address: server.address, revision: item.revision
      })
    }
  }

  override removed (key: string, returnsUntilMs: number | undefined): void {
    const id = key.slice(this.documents.serverPrefix.length)
    const server = this.servers.get(id)
    if (!key.startsWith(this.documents.serverPrefix) || server === undefined) {
      return
    }
    this.servers.delete(id)
    this.byService.clear()
    this.system.log.info('server gone', { server: id, service: server.service, mayReturn: returnsUntilMs !== undefined })
    if (returnsUntilMs !== undefined && server.state === 'ready') {
      this.lapses.set(id, { server, untilMs: returnsUntilMs })
      return
    }
    this.noteDeparture(server)
    this.departed(server)
  }

  override updated (): void {}

  /** Returns the servers of a service that take new work. */
  listReady (service: string): readonly routing.RoutedServer[] {
    this.dropLapses()
    let list = this.byService.get(service)
    if (list === undefined) {
      list = []
      for (const server of [...this.servers.values(), ...[...this.lapses.values()].map(lapse => lapse.server)]) {
        if (server.service === service && server.state === 'ready') {
          list.push(server)
        }
      }
      this.byService.set(service, list)
    }
    if (this.misdirected.size + this.leaving.size + this.backOffs.size === 0) {
      return list
    }
    const nowMs = this.system.clock.monotonicMs()
    return list.filter(server => this.isOpen(server, nowMs))
  }

  /** Tells whether a server has asked to be left alone for now. */
  isBackingOff (id: string, nowMs: number): boolean {
    return (this.backOffs.get(id) ?? 0) > nowMs
  }

  /** Milliseconds until the first server of a service that asked to be left alone may get work again, if any did. */
  getBackOffMs (service: string): number | undefined {
    const nowMs = this.system.clock.monotonicMs()
    let leastMs: number | undefined
    for (const [id, untilMs] of this.backOffs) {
      if (untilMs <= nowMs) {
        this.backOffs.delete(id)
      } else if (this.servers.get(id)?.service === service) {
        leastMs = Math.min(leastMs ?? Infinity, untilMs - nowMs)
      }
    }
    return leastMs
  }

  find (id: string): routing.RoutedServer | undefined {
    return this.servers.get(id)
  }

  listAll (): readonly routing.RoutedServer[] {
    return [...this.servers.values()]
  }

  /** Notes that another server answered at a server's address. */
  noteMisdirected (id: string): void {
    this.misdirected.set(id, this.system.clock.monotonicMs() + misdirectedMs)
  }

  /** Notes that a server wants nothing for a time in milliseconds. */
  noteBackOff (server: routing.RoutedServer, forMs: number): void {
    const nowMs = this.system.clock.monotonicMs()
    const untilMs = nowMs + Math.min(forMs, longestBackOffMs)
    const before = this.backOffs.get(server.id) ?? 0
    if (untilMs <= before || this.isOtherLife(server)) {
      return
    }
    this.backOffs.set(server.id, untilMs)
    if (before <= nowMs) {
      this.system.log.info('server asked to back off', { server: server.id, service: server.service, forMs: Math.round(forMs) })
    }
  }

  /** Notes that a server says that it leaves; `teller` is the gateway that met its answer. */
  noteLeaving (id: string, bornMs: number | undefined, teller: string): void {
    const nowMs = this.system.clock.monotonicMs()
    const before = this.leaving.get(id)
    if (before !== undefined && before.bornMs === bornMs) {
      return
    }
    this.leaving.set(id, { bornMs, untilMs: nowMs + leavingMemoryMs })
    this.system.log.info('server says that it leaves', { server: id, bornMs, teller })
    dropExpired(this.leaving, nowMs)
  }

  /** Takes in which servers another gateway knows to leave, with the start of their life, or 0 where it is not known. */
  noteAllLeaving (servers: Readonly<Record<string, number>>, teller: string): void {
    for (const [id, bornMs] of Object.entries(servers)) {
      this.noteLeaving(id, bornMs === 0 ? undefined : bornMs, teller)
    }
  }

  /** Returns the listed servers that have said that they leave, with the start of their life, or 0 where it is not known. */
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

  /** Tells whether a server that the store lists as ready may get new work, as far as its own answers go. */
  private isOpen (server: routing.RoutedServer, nowMs: number): boolean {
    return (this.misdirected.get(server.id) ?? 0) <= nowMs && !this.isBackingOff(server.id, nowMs) && !this.isLeaving(server, nowMs)
  }

  private isLeaving (server: routing.RoutedServer, nowMs: number): boolean {
    const leaving = this.leaving.get(server.id)
    return leaving !== undefined && leaving.bornMs === server.bornMs && leaving.untilMs > nowMs
  }

  /** Tells whether a server has been restarted under the same identifier since it was chosen. */
  private isOtherLife (server: routing.RoutedServer): boolean {
    const listed = this.servers.get(server.id)
    return listed !== undefined && listed.bornMs !== server.bornMs
  }

  /** Tells whether an entry is older than what is known of the same life of the server: a restored store holds such ones. */
  private isOutdated (server: routing.RoutedServer): boolean {
    const departure = this.departures.get(server.id)
    const known = this.servers.get(server.id) ?? this.lapses.get(server.id)?.server ?? departure?.server
    if (known?.writes === undefined || server.writes === undefined || server.bornMs === undefined || known.bornMs !== server.bornMs) {
      return false
    }
    return server.writes < known.writes || (known === departure?.server && server.writes === known.writes)
  }

  private noteDeparture (server: routing.RoutedServer): void {
    const nowMs = this.system.clock.monotonicMs()
    dropExpired(this.departures, nowMs)
    this.departures.set(server.id, { server, untilMs: nowMs + leavingMemoryMs })
  }

  private dropLapses (): void {
    if (this.lapses.size === 0) {
      return
    }
    const nowMs = this.system.clock.monotonicMs()
    for (const [id, { server, untilMs }] of this.lapses) {
      if (untilMs <= nowMs) {
        this.lapses.delete(id)
        this.byService.clear()
        this.departed(server)
      }
    }
  }

  private skip (id: string, item: mirrors.MirrorItem): void {
    if (!this.unreadable.has(id)) {
      this.unreadable.add(id)
      this.system.log.warn('server entry cannot be read', { server: id, revision: item.revision })
    }
    if (this.servers.delete(id)) {
      this.byService.clear()
    }
  }
}

function dropExpired (items: Map<string, { readonly untilMs: number }>, nowMs: number): void {
  for (const [id, { untilMs }] of items) {
    if (untilMs <= nowMs) {
      items.delete(id)
    }
  }
}
