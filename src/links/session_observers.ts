/**
 * Forwards the session events of one listener to several observers.
 */
import * as protocol from '../contracts/protocol.js'
import * as types from './types.js'

export class SessionObservers extends types.SessionObserver {
  constructor (private readonly observers: readonly types.SessionObserver[]) {
    super()
  }

  override opened (session: types.Session): void {
    for (const observer of this.observers) {
      observer.opened(session)
    }
  }

  override expired (session: types.Session): void {
    for (const observer of this.observers) {
      observer.expired(session)
    }
  }

  override notified<Name extends protocol.NotificationName> (
    session: types.Session, name: Name, notice: protocol.Notice<Name>
  ): void {
    for (const observer of this.observers) {
      observer.notified(session, name, notice)
    }
  }
}
