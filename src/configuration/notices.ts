/**
 * Observes links and sessions for changes that other processes send.
 */
import * as configuration from '../contracts/configuration.js'
import * as identities from '../contracts/identity.js'
import * as links from '../links/types.js'
import * as protocol from '../contracts/protocol.js'

export type ChangeHandler = (change: configuration.Change, from: identities.Identity) => void

/** Holds the sessions that changes are sent to. */
export interface SessionRegistry {
  openSession (session: links.Session): void
  closeSession (session: links.Session): void
}

export class ChangeLinkObserver extends links.LinkObserver {
  constructor (private readonly handleChange: ChangeHandler) {
    super()
  }

  override notified<Name extends protocol.NotificationName> (
    link: links.Link, name: Name, notice: protocol.Notice<Name>
  ): void {
    if (link.remote !== undefined && isChangeNotice(name, notice)) {
      this.handleChange(notice.change, link.remote)
    }
  }
}

export class ChangeSessionObserver extends links.SessionObserver {
  constructor (private readonly handleChange: ChangeHandler, private readonly registry: SessionRegistry) {
    super()
  }

  override opened (session: links.Session): void {
    this.registry.openSession(session)
  }

  override expired (session: links.Session): void {
    this.registry.closeSession(session)
  }

  override notified<Name extends protocol.NotificationName> (
    session: links.Session, name: Name, notice: protocol.Notice<Name>
  ): void {
    if (isChangeNotice(name, notice)) {
      this.handleChange(notice.change, session.remote)
    }
  }
}

function isChangeNotice (
  name: protocol.NotificationName, _notice: unknown
): _notice is protocol.Notice<'configuration.changed'> {
  return name === 'configuration.changed'
}
