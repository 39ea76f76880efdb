/**
 * The sessions that other processes have opened here, which end when their lease is over.
 */
import * as connections from './connection.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as protocol from '../contracts/protocol.js'
import * as types from './types.js'

/** How often sessions are checked against their lease, as a share of it. */
const leaseChecksPerLease = 15

export class ListenerSession extends types.Session {
  private connection: connections.Connection | undefined
  private heardAtMs = 0
  /** Whether the last check found the lease over. */
  isOverdue = false
  hasExpired = false

  constructor (override readonly id: string, override readonly remote: identities.Identity) {
    super()
  }

  override get isOpen (): boolean {
    return this.connection?.isOpen ?? false
  }

  override get bufferedBytes (): number {
    return this.connection?.bufferedBytes ?? 0
  }

  get lastHeardMs (): number {
    return Math.max(this.heardAtMs, this.connection?.lastHeardMs ?? 0)
  }

  override notify<Name extends protocol.NotificationName> (name: Name, notice: protocol.Notice<Name>): void {
    this.connection?.notify(name, notice)
  }

  /** Moves the session to a newer connection. */
  attach (connection: connections.Connection): void {
    const previous = this.connection
    this.connection = connection
    previous?.terminate()
  }

  /** Forgets the connection if it is still the session's. */
  detach (connection: connections.Connection): void {
    if (this.connection !== connection) {
      return
    }
    this.heardAtMs = connection.lastHeardMs
    this.connection = undefined
  }

  close (): void {
    this.connection?.close()
  }
}

export class Sessions {
  private readonly sessions = new Map<string, ListenerSession>()
  private stopChecks: host.Stop = () => {}

  /** `leaseMs` is how long a session lasts that is not heard, in milliseconds. */
  constructor (
    private readonly clock: host.Clock, private readonly leaseMs: number, private readonly observer: types.SessionObserver
  ) {}

  /** Starts to check the leases. */
  start (): void {
    this.stopChecks = this.clock.every(this.leaseMs / leaseChecksPerLease, () => this.checkLeases())
  }

  close (): void {
    this.stopChecks()
    for (const session of this.sessions.values()) {
      session.close()
    }
  }

  /** Returns the session of the same process that has not ended. */
  find (id: string, identity: identities.Identity): ListenerSession | undefined {
    const known = this.sessions.get(id)
    if (known === undefined || known.remote.boot !== identity.boot || known.hasExpired) {
      return undefined
    }
    return known
  }

  /** Takes on a session, new or taken up again. */
  admit (session: ListenerSession): void {
    const isKnown = this.sessions.get(session.id) === session
    this.sessions.set(session.id, session)
    if (!isKnown) {
      this.observer.opened(session)
    }
  }

  /** A session that was heard again after its lease starts anew, without its former work. */
  revive (session: ListenerSession): void {
    if (!session.hasExpired) {
      return
    }
    session.hasExpired = false
    this.observer.opened(session)
  }

  /** Ends a session with its work. */
  expire (session: ListenerSession): void {
    if (!session.isOpen) {
      this.sessions.delete(session.id)
    }
    if (!session.hasExpired) {
      session.hasExpired = true
      this.observer.expired(session)
    }
  }

  private checkLeases (): void {
    const now = this.clock.monotonicMs()
    for (const session of [...this.sessions.values()]) {
      const isOverdue = now - session.lastHeardMs >= this.leaseMs
      // What arrived while this process was paused is read between two checks, so that its own pause ends no session.
      if (isOverdue && session.isOverdue) {
        this.expire(session)
      }
      session.isOverdue = isOverdue
    }
  }
}
