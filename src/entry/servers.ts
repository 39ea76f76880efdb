/**
 * The configured servers with their current state and links.
 */
import * as configuration from '../contracts/configuration.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as links from '../links/types.js'
import * as clusterViews from './cluster_view.js'
import * as protocol from '../contracts/protocol.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

/** Selects the servers that could take a task. */
export interface ServerFilter {
  readonly role: configuration.Server['role']
  /** Name of a model or of a plain service. */
  readonly subject: string
  /** Preferred region. Servers of other regions are used only if none of this one is usable. */
  readonly region: string
}

export class Servers extends links.LinkObserver {
  readonly clusterView = new clusterViews.ClusterView()
  private indexedVersion = -1
  private namesByAddress = new Map<string, string>()

  constructor (private readonly context: types.EntryContext) {
    super()
  }

  getLink (server: configuration.Server): links.Link {
    return this.context.links.get(server.agent)
  }

  /**
   * Returns the usable servers that match the filter, of the preferred region if there are any. Servers in `avoid` are
   * included only if there is no other.
   */
  listSnapshots (filter: ServerFilter, avoid: ReadonlySet<string>): ReadonlyMap<string, clusterViews.ServerSnapshot> {
    const others = this.listUsable(filter, avoid)
    return others.size > 0 || avoid.size === 0 ? others : this.listUsable(filter, new Set())
  }

  /** Counts a KV cache transfer on the links of both servers until the returned function is called. */
  startTransfer (source: string, target: string): host.Stop {
    let isOver = false
    this.clusterView.recordTransfer(source, 1)
    this.clusterView.recordTransfer(target, 1)
    return () => {
      if (isOver) {
        return
      }
      isOver = true
      this.clusterView.recordTransfer(source, -1)
      this.clusterView.recordTransfer(target, -1)
    }
  }

  override loadReported (link: links.Link, load: work.Load): void {
    const name = this.findName(link)
    if (name !== undefined) {
      this.clusterView.recordLoad(name, load, this.context.system.clock.monotonicMs())
    }
  }

  override lost (link: links.Link): void {
    const name = this.findName(link)
    if (name !== undefined) {
      this.clusterView.recordFailure(name, this.context.system.clock.monotonicMs())
    }
  }

  override opened (link: links.Link): void {
    const name = this.findName(link)
    if (name !== undefined) {
      this.clusterView.recordAnswer(name)
    }
  }

  override notified<Name extends protocol.NotificationName> (
    link: links.Link, notification: Name, _notice: protocol.Notice<Name>
  ): void {
    const name = notification === 'server.leaving' ? this.findName(link) : undefined
    if (name !== undefined) {
      this.clusterView.recordLeaving(name, this.context.system.clock.monotonicMs())
    }
  }

  private listUsable (filter: ServerFilter, except: ReadonlySet<string>): ReadonlyMap<string, clusterViews.ServerSnapshot> {
    const inRegion = new Map<string, clusterViews.ServerSnapshot>()
    const outsideRegion = new Map<string, clusterViews.ServerSnapshot>()
    const nowMs = this.context.system.clock.monotonicMs()
    for (const [name, server] of this.context.configuration.listServers()) {
      if (except.has(name) || !matchesFilter(server, filter)) {
        continue
      }
      const snapshot = this.clusterView.getSnapshot(name, server, nowMs)
      if (snapshot.isUsable) {
        (server.region === filter.region ? inRegion : outsideRegion).set(name, snapshot)
      }
    }
    return inRegion.size > 0 ? inRegion : outsideRegion
  }

  private findName (link: links.Link): string | undefined {
    this.updateIndex()
    return this.namesByAddress.get(identities.formatAddress(link.address))
  }

  private updateIndex (): void {
    const { configuration: view } = this.context
    if (view.version === this.indexedVersion) {
      return
    }
    this.indexedVersion = view.version
    this.namesByAddress = new Map()
    for (const [name, server] of view.listServers()) {
      this.namesByAddress.set(identities.formatAddress(server.agent), name)
    }
    this.clusterView.retain(new Set(view.listServers().keys()))
  }
}

function matchesFilter (server: configuration.Server, filter: ServerFilter): boolean {
  if (server.role !== filter.role) {
    return false
  }
  const subjects = filter.role === 'service' ? server.services : server.models
  return subjects.includes(filter.subject)
}
