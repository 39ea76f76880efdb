/**
 * The links of a process, by address.
 */
import * as clientLinks from './client_link.js'
import * as linkContexts from './link_context.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as protocol from '../contracts/protocol.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

const millisecondsPerSecond = 1000

/** Forwards link events to every observer. */
class ObserverList extends types.LinkObserver {
  private readonly observers = new Set<types.LinkObserver>()

  add (observer: types.LinkObserver): host.Stop {
    this.observers.add(observer)
    return () => this.observers.delete(observer)
  }

  override opened (link: types.Link, resumed: boolean): void {
    for (const observer of [...this.observers]) {
      observer.opened(link, resumed)
    }
  }

  override lost (link: types.Link): void {
    for (const observer of [...this.observers]) {
      observer.lost(link)
    }
  }

  override notified<Name extends protocol.NotificationName> (
    link: types.Link, name: Name, notice: protocol.Notice<Name>
  ): void {
    for (const observer of [...this.observers]) {
      observer.notified(link, name, notice)
    }
  }

  override loadReported (link: types.Link, load: work.Load): void {
    for (const observer of [...this.observers]) {
      observer.loadReported(link, load)
    }
  }
}

class ProcessLinkPool extends types.LinkPool {
  private readonly links = new Map<string, clientLinks.ClientLink>()
  private readonly observers = new ObserverList()
  private readonly stopLoadRequests: host.Stop
  private loadRequestCount = 0

  constructor (private readonly context: linkContexts.LinkContext) {
    super()
    const periodMs = millisecondsPerSecond / context.timing.loadReportsPerSecond
    this.stopLoadRequests = context.system.clock.every(periodMs, () => this.requestNextLoad())
  }

  override get (address: identities.Address): types.Link {
    const name = identities.formatAddress(address)
    const known = this.links.get(name)
    if (known !== undefined) {
      return known
    }
    const link = new clientLinks.ClientLink(address, this.context, this.observers)
    this.links.set(name, link)
    return link
  }

  override list (): readonly types.Link[] {
    return [...this.links.values()]
  }

  override observe (observer: types.LinkObserver): host.Stop {
    return this.observers.add(observer)
  }

  override close (): void {
    this.stopLoadRequests()
    for (const link of this.links.values()) {
      link.close()
    }
    this.links.clear()
  }

  /** Requests the load on one busy link, round robin, so that the traffic does not grow with their number. */
  private requestNextLoad (): void {
    const busy = [...this.links.values()].filter(link => link.isBusy)
    const next = busy[this.loadRequestCount % Math.max(1, busy.length)]
    this.loadRequestCount += 1
    next?.requestLoad()
  }
}

/** Creates an empty pool. Links are opened on first use. */
export function createLinkPool (context: linkContexts.LinkContext): types.LinkPool {
  return new ProcessLinkPool(context)
}
