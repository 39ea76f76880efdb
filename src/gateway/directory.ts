/**
 * The backend servers, as the store lists them.
 */
import * as host from '../host/types.js'
import * as mirrors from './mirror.js'
import * as routing from '../contracts/routing.js'
import * as types from './types.js'

/** How long a server that answered in place of another is left out, in milliseconds: until the store has told of the change. */
const misdirectedMs = 3_000

interface Lapse {
  readonly server: routing.RoutedServer
  readonly untilMs: number
}

export class Directory extends mirrors.MirrorObserver {
  private readonly servers = new Map<string, routing.RoutedServer>()
  private readonly lapses = new Map<string, Lapse>()
  private readonly misdirected = new Map<string, number>()
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
    this.lapses.delete(id)
    const server = read.unsafeCoerce()
    const before = this.servers.get(id)
    this.servers.set(id, server)
    this.byService.clear()
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
    if (this.misdirected.size === 0) {
      return list
    }
    const nowMs = this.system.clock.monotonicMs()
    return list.filter(server => (this.misdirected.get(server.id) ?? 0) <= nowMs)
  }

  /** Returns whether a server still takes new work. */
  isReady (id: string): boolean {
    this.dropLapses()
    return this.servers.get(id)?.state === 'ready' || this.lapses.has(id)
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
