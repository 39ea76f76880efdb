/**
 * Links between processes: a session that outlives its connections, and the calls over it.
 *
 * The process that opens a link is its client; the other accepts the session. Both may notify; only the
 * client calls.
 */
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as protocol from '../contracts/protocol.js'
import * as work from '../contracts/work.js'

/** The client's end of a session. Reconnects by itself until closed. */
export abstract class Link {
  abstract readonly address: identities.Address
  /** Identity of the other end; `undefined` until the first connection has opened. */
  abstract readonly remote: identities.Identity | undefined
  /** Whether a connection is open and not silent. */
  abstract readonly isOpen: boolean

  /**
   * Calls the other end. A failure is `not_run` only if the call never left this process or the other end
   * says so; a lost connection or a timeout is `may_have_run`.
   */
  abstract call<Method extends protocol.MethodName> (
    method: Method,
    params: protocol.Params<Method>,
    timeoutMs: number
  ): Promise<failures.Result<protocol.Answer<Method>>>

  /** Sends a notification; dropped when no connection is open. */
  abstract notify<Name extends protocol.NotificationName> (name: Name, notice: protocol.Notice<Name>): void

  /** Marks work under way: heartbeats are sent while at least one hold is not released. */
  abstract hold (): host.Stop

  abstract close (): void
}

/** What happens on the links of a process; every method may be overridden. */
export class LinkObserver {
  /** A connection opened. `resumed` tells that the other end still had the session. */
  opened (_link: Link, _resumed: boolean): void {}
  /** The connection was lost or has gone silent; the link connects again. */
  lost (_link: Link): void {}
  /** A heartbeat's answer carried the load of the other end's server. */
  loadReported (_link: Link, _load: work.Load): void {}
  noticed<Name extends protocol.NotificationName> (
    _link: Link, _name: Name, _notice: protocol.Notice<Name>
  ): void {}
}

/** The links of a process, opened on first use and closed when idle. */
export abstract class LinkPool {
  abstract get (address: identities.Address): Link
  abstract list (): readonly Link[]
  abstract observe (observer: LinkObserver): host.Stop
  abstract close (): void
}

/** The listener's end of a session. */
export abstract class Session {
  abstract readonly id: string
  abstract readonly remote: identities.Identity
  abstract readonly isOpen: boolean
  /** Sends a notification; dropped when no connection is open, for the other end to ask again. */
  abstract notify<Name extends protocol.NotificationName> (name: Name, notice: protocol.Notice<Name>): void
  /** Bytes not yet taken by the connection. */
  abstract readonly bufferedBytes: number
}

/** Answers calls. A method that is left out is refused. */
export type Handlers = {
  readonly [Method in protocol.MethodName]?: (
    params: protocol.Params<Method>, session: Session
  ) => Promise<failures.Result<protocol.Answer<Method>>>
}

/** What happens on the sessions of a process. */
export class SessionObserver {
  opened (_session: Session): void {}
  /** The other end has not been heard for the session lease; its work is to be cancelled. */
  expired (_session: Session): void {}
  noticed<Name extends protocol.NotificationName> (
    _session: Session, _name: Name, _notice: protocol.Notice<Name>
  ): void {}
}

/** Times of links, in milliseconds. */
export interface LinkTiming {
  readonly connectTimeoutMs: number
  readonly heartbeatMs: number
  /** Without a message for this long, a connection with work under way counts as silent. */
  readonly silenceMs: number
  /** A listener keeps a session without a connection for this long. */
  readonly sessionLeaseMs: number
  /** A connection without work is closed after this long. */
  readonly idleMs: number
  readonly reconnectMs: number
  /** How often this process asks for loads, over all links with work under way. */
  readonly loadReportsPerSecond: number
}

/** What every message carries besides its JSON-RPC content. */
export abstract class Piggyback {
  /** Returns Lamport time and configuration version to send. */
  abstract stamp (): Stamp
  /** Takes note of a received stamp. */
  abstract accept (stamp: Stamp, from: identities.Identity | undefined): void
}

/** Certificates in PEM for mutual TLS between processes. */
export interface Security {
  readonly authority: string
  readonly certificate: string
  readonly key: string
}

export interface Stamp {
  readonly tick: number
  readonly version: number
}
