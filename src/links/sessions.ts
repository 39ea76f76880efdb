/**
 * Sessions opened by other processes; each expires when its lease does.
 */
import * as connections from './connection.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as protocol from '../contracts/protocol.js'
import * as types from './types.js'

/** Number of checks for expired sessions per lease period. */
const leaseChecksPerLease = 15

export class ListenerSession extends types.Session {
  private connection: connections.Connection | undefined
  private detachedLastReceivedMs = 0
  /** Whether the lease had run out at the last check. */
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

  get lastReceivedMs (): number {
    return Math.max(this.detachedLastReceivedMs, this.connection?.lastReceivedMs ?? 0)
  }

  override notify<Name extends protocol.NotificationName> (name: Name, notice: protocol.Notice<Name>): void {
    this.connection?.notify(name, notice)
  }

  /** Moves the session to a new connection and terminates the previous one. */
  attach (connection: connections.Connection): void {
    const previous = this.connection
    this.connection = connection
    previous?.terminate()
  }

  /** Removes the connection unless the session has moved to another. */
  detach (connection: connections.Connection): void {
    if (this.connection !== connection) {
      return
    }
    this.detachedLastReceivedMs = connection.lastReceivedMs
    this.connection = undefined
  }

  close (): void {
    this.connection?.close()
  }
}

export class Sessions {
  private readonly sessions = new Map<string, ListenerSession>()
  private stopChecks: host.Stop = () => {}

  /** A session expires when nothing has been received for `leaseMs`. */
  constructor (
    private readonly clock: host.Clock, private readonly leaseMs: number, private readonly observer: types.SessionObserver
  ) {}

  /** Starts the periodic lease checks. */
  start (): void {
    this.stopChecks = this.clock.every(this.leaseMs / leaseChecksPerLease, () => this.checkLeases())
  }

  close (): void {
    this.stopChecks()
    for (const session of this.sessions.values()) {
      session.close()
    }
  }

  /** Returns the session if it belongs to the same run of the process (boot) and has not expired. */
  find (id: string, identity: identities.Identity): ListenerSession | undefined {
    const known = this.sessions.get(id)
    if (known === undefined || known.remote.boot !== identity.boot || known.hasExpired) {
      return undefined
    }
    return known
  }

  /** Adds a new session; a resumed one is not reported as opened again. */
  add (session: ListenerSession): void {
    const isKnown = this.sessions.get(session.id) === session
    this.sessions.set(session.id, session)
    if (!isKnown) {
      this.observer.opened(session)
    }
  }

  /** Reopens an expired session whose process sends again. Its work was cancelled when it expired. */
  reopen (session: ListenerSession): void {
    if (!session.hasExpired) {
      return
    }
    session.hasExpired = false
    this.observer.opened(session)
  }

  /** Expires a session; observers cancel its work. */
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
      const isOverdue = now - session.lastReceivedMs >= this.leaseMs
      // Two checks in a row: messages that arrived while this process was paused are read between them, so that its own
      // pause expires no session.
      if (isOverdue && session.isOverdue) {
        this.expire(session)
      }
      session.isOverdue = isOverdue
    }
  }
}
