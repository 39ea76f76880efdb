/**
 * Links between processes: a session that outlives its connections, and RPC calls over it.
 *
 * The process that opens a link is its client; the other one accepts the session. Both may send notifications;
 * only the client makes calls.
 */
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as protocol from '../contracts/protocol.js'
import * as work from '../contracts/work.js'

/** The client's end of a session. Reconnects automatically until closed. */
export abstract class Link {
  abstract readonly address: identities.Address
  /** Identity of the other end; `undefined` until the first connection has opened. */
  abstract readonly remote: identities.Identity | undefined
  /** Whether a connection is open. While the link is in use, an unresponsive one is closed after `silenceMs`. */
  abstract readonly isOpen: boolean

  /**
   * Calls the other end. The verdict of a failure is `not_run` only if the call never left this process or the other
   * end reports it; it is `may_have_run` after a lost connection or a time-out.
   */
  abstract call<Method extends protocol.MethodName> (
    method: Method,
    params: protocol.Params<Method>,
    timeoutMs: number
  ): Promise<failures.Result<protocol.Answer<Method>>>

  /** Sends a notification; dropped when no connection is open. */
  abstract notify<Name extends protocol.NotificationName> (name: Name, notice: protocol.Notice<Name>): void

  /**
   * Marks the link as in use until the returned function is called. Heartbeats are sent, and a lost connection is
   * replaced, while at least one caller retains the link.
   */
  abstract retain (): host.Stop

  abstract close (): void
}

/** Events on the links of a process. Every method may be overridden. */
export class LinkObserver {
  /** A connection was opened. `resumed` is whether the other end still had the session. */
  opened (_link: Link, _resumed: boolean): void {}
  /** The connection was lost or stopped responding; the link reconnects. */
  lost (_link: Link): void {}
  /** The answer to a heartbeat carried the load of the other end's server. */
  loadReported (_link: Link, _load: work.Load): void {}
  notified<Name extends protocol.NotificationName> (
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
  /** Sends a notification; dropped when no connection is open, so that the other end has to request it again. */
  abstract notify<Name extends protocol.NotificationName> (name: Name, notice: protocol.Notice<Name>): void
  /** Bytes buffered and not sent yet. */
  abstract readonly bufferedBytes: number
}

/** Handlers of calls by method. Calls of other methods are refused. */
export type Handlers = {
  readonly [Method in protocol.MethodName]?: (
    params: protocol.Params<Method>, session: Session
  ) => Promise<failures.Result<protocol.Answer<Method>>>
}

/** Events on the sessions of a process. */
export class SessionObserver {
  opened (_session: Session): void {}
  /** Nothing was received from the other end for the session lease, or it closed the session. Its work has to be cancelled. */
  expired (_session: Session): void {}
  notified<Name extends protocol.NotificationName> (
    _session: Session, _name: Name, _notice: protocol.Notice<Name>
  ): void {}
}

/** Timing of links. */
export interface LinkTiming {
  readonly connectTimeoutMs: number
  readonly heartbeatMs: number
  /** A connection in use that receives nothing for this long is taken to be unresponsive. */
  readonly silenceMs: number
  /** A listener keeps a session for this long without receiving anything. */
  readonly sessionLeaseMs: number
  /** An unused connection is closed after this long. */
  readonly idleMs: number
  readonly reconnectMs: number
  /** Rate of load requests, over all links in use together. */
  readonly loadReportsPerSecond: number
}

/** Data piggybacked on every message. */
export abstract class Piggyback {
  /** Returns the Lamport time and configuration version to send. */
  abstract stamp (): Stamp
  /** Records a received stamp. */
  abstract accept (stamp: Stamp, from: identities.Identity | undefined): void
}

/** Certificates and key in PEM for mutual TLS between processes. */
export interface Security {
  readonly authority: string
  readonly certificate: string
  readonly key: string
}

/** Lamport time and configuration version of the sender. */
export interface Stamp {
  readonly tick: number
  readonly version: number
}
