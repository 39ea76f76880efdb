/**
 * The configured servers with their current state and links.
 */
import * as configuration from '../contracts/configuration.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as links from '../links/types.js'
import * as pictures from './picture.js'
import * as protocol from '../contracts/protocol.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

/** Selects the servers that could take a task. */
export interface Purpose {
  readonly role: configuration.Server['role']
  /** Name of a model or of a plain service. */
  readonly subject: string
  /** Preferred region. Servers of other regions are used only if none of this one is usable. */
  readonly region: string
}

export class Servers extends links.LinkObserver {
  readonly picture = new pictures.Picture()
  private indexedVersion = -1
  private names = new Map<string, string>()

  constructor (private readonly surroundings: types.Surroundings) {
    super()
  }

  getLink (server: configuration.Server): links.Link {
    return this.surroundings.links.get(server.agent)
  }

  /**
   * Returns the usable servers that match the filter, of the preferred region if there are any. Servers in `avoid` are
   * included only if there is no other.
   */
  listStandings (purpose: Purpose, avoid: ReadonlySet<string>): ReadonlyMap<string, pictures.Standing> {
    const others = this.listUsable(purpose, avoid)
    return others.size > 0 || avoid.size === 0 ? others : this.listUsable(purpose, new Set())
  }

  /** Counts a KV cache transfer on the links of both servers until the returned function is called. */
  startTransfer (source: string, target: string): host.Stop {
    let isOver = false
    this.picture.noteTransfer(source, 1)
    this.picture.noteTransfer(target, 1)
    return () => {
      if (isOver) {
        return
      }
      isOver = true
      this.picture.noteTransfer(source, -1)
      this.picture.noteTransfer(target, -1)
    }
  }

  override loadReported (link: links.Link, load: work.Load): void {
    const name = this.findName(link)
    if (name !== undefined) {
      this.picture.noteLoad(name, load, this.surroundings.system.clock.monotonicMs())
    }
  }

  override lost (link: links.Link): void {
    const name = this.findName(link)
    if (name !== undefined) {
      this.picture.noteFailure(name, this.surroundings.system.clock.monotonicMs())
    }
  }

  override opened (link: links.Link): void {
    const name = this.findName(link)
    if (name !== undefined) {
      this.picture.noteAnswered(name)
    }
  }

  override noticed<Name extends protocol.NotificationName> (
    link: links.Link, notification: Name, _notice: protocol.Notice<Name>
  ): void {
    const name = notification === 'server.leaving' ? this.findName(link) : undefined
    if (name !== undefined) {
      this.picture.noteLeaving(name, this.surroundings.system.clock.monotonicMs())
    }
  }

  private listUsable (purpose: Purpose, except: ReadonlySet<string>): ReadonlyMap<string, pictures.Standing> {
    const near = new Map<string, pictures.Standing>()
    const far = new Map<string, pictures.Standing>()
    const nowMs = this.surroundings.system.clock.monotonicMs()
    for (const [name, server] of this.surroundings.configuration.listServers()) {
      if (except.has(name) || !isFor(server, purpose)) {
        continue
      }
      const standing = this.picture.getStanding(name, server, nowMs)
      if (standing.isUsable) {
        (server.region === purpose.region ? near : far).set(name, standing)
      }
    }
    return near.size > 0 ? near : far
  }

  private findName (link: links.Link): string | undefined {
    this.index()
    return this.names.get(identities.formatAddress(link.address))
  }

  private index (): void {
    const { configuration: view } = this.surroundings
    if (view.version === this.indexedVersion) {
      return
    }
    this.indexedVersion = view.version
    this.names = new Map()
    for (const [name, server] of view.listServers()) {
      this.names.set(identities.formatAddress(server.agent), name)
    }
    this.picture.retain(new Set(view.listServers().keys()))
  }
}

function isFor (server: configuration.Server, purpose: Purpose): boolean {
  if (server.role !== purpose.role) {
    return false
  }
  const subjects = purpose.role === 'service' ? server.services : server.models
  return subjects.includes(purpose.subject)
}
