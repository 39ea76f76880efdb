/**
 * Idle connections to each server, and calls over them.
 */
import * as buffer from 'node:buffer'
import * as connections from './connection.js'
import * as host from '../host/types.js'
import * as types from './types.js'

/** Idle connections kept for a server; further ones are closed after use. */
const maximumIdle = 24
/** Longest idle time of a connection for a request that may not be sent twice, where the server names none, in milliseconds. */
const freshMs = 1_000
/** Longest idle time of a connection for other requests, in milliseconds: silent ones are then found by a timeout. */
const reusableMs = 10_000
/** Margin before the idle time that the server names, in milliseconds. */
const idleMarginMs = 700

interface Idle {
  readonly connection: connections.ServerConnection
  readonly sinceMs: number
  /** Idle time that the server named. */
  readonly idleMs: number | undefined
}

/** A whole answer, or what came of the request instead. */
export type CallOutcome =
  | { readonly kind: 'answered', readonly status: number, readonly rawHeaders: readonly string[], readonly body: buffer.Buffer }
  | { readonly kind: 'unsent' | 'lost' | 'silent', readonly reason: string }

export class ConnectionPool {
  private readonly idle = new Map<string, Idle[]>()

  constructor (private readonly clock: host.Clock) {}

  /** Sends a request on an idle or new connection. `once`: it must not meet a connection that the server may be closing. */
  send (address: string, request: types.OutgoingRequest, once: boolean, observer: connections.AnswerObserver, readIdleMs: (rawHeaders: readonly string[]) => number | undefined): connections.Sending {
    const connection = this.take(address, once) ?? new connections.ServerConnection(address)
    return connection.send(request, new ReturningObserver(observer, readIdleMs, (isClean, idleMs) => {
      if (isClean && !connection.isBroken) {
        this.keep(address, { connection, sinceMs: this.clock.monotonicMs(), idleMs })
      } else {
        connection.close()
      }
    }))
  }

  /** Calls a server and reads the whole answer; `silent` after the timeout in milliseconds. */
  call (
    address: string, request: types.OutgoingRequest, timeoutMs: number, dialect: types.Dialect, cancelled?: AbortSignal,
    once = false
  ): Promise<CallOutcome> {
    return new Promise(resolve => {
      const observer = new CollectingObserver(outcome => {
        stopTimer()
        cancelled?.removeEventListener('abort', cancel)
        resolve(outcome)
      })
      const cancel = (): void => {
        observer.give({ kind: 'lost', reason: 'cancelled' })
        sending.abort()
      }
      const stopTimer = this.clock.after(timeoutMs, () => {
        observer.give({ kind: 'silent', reason: `no answer within ${Math.round(timeoutMs)} ms` })
        sending.abort()
      })
      const sending = this.send(address, request, once, observer, rawHeaders => dialect.readAnswer(rawHeaders).idleMs)
      cancelled?.addEventListener('abort', cancel)
    })
  }

  /** Closes the idle connections to an address. */
  forget (address: string): void {
    for (const { connection } of this.idle.get(address) ?? []) {
      connection.close()
    }
    this.idle.delete(address)
  }

  close (): void {
    for (const address of [...this.idle.keys()]) {
      this.forget(address)
    }
  }

  private take (address: string, once: boolean): connections.ServerConnection | undefined {
    const list = this.idle.get(address)
    const nowMs = this.clock.monotonicMs()
    for (let kept = list?.pop(); kept !== undefined; kept = list?.pop()) {
      const longestMs = kept.idleMs === undefined
        ? (once ? freshMs : reusableMs)
        : Math.min(kept.idleMs - idleMarginMs, reusableMs)
      if (!kept.connection.isBroken && nowMs - kept.sinceMs <= longestMs) {
        return kept.connection
      }
      kept.connection.close()
    }
    return undefined
  }

  private keep (address: string, idle: Idle): void {
    const list = this.idle.get(address) ?? []
    this.idle.set(address, list)
    list.push(idle)
    if (list.length > maximumIdle) {
      list.shift()?.connection.close()
    }
  }
}

/** Passes an answer on, and gives the connection back when it has ended. */
class ReturningObserver extends connections.AnswerObserver {
  private idleMs: number | undefined

  constructor (
    private readonly observer: connections.AnswerObserver,
    private readonly readIdleMs: (rawHeaders: readonly string[]) => number | undefined,
    private readonly giveBack: (isClean: boolean, idleMs: number | undefined) => void
  ) {
    super()
  }

  override started (status: number, rawHeaders: readonly string[]): void {
    this.idleMs = this.readIdleMs(rawHeaders)
    this.observer.started(status, rawHeaders)
  }

  override received (chunk: buffer.Buffer): void {
    this.observer.received(chunk)
  }

  override ended (isClean: boolean): void {
    this.giveBack(isClean, this.idleMs)
    this.observer.ended(isClean)
  }

  override failed (failure: connections.TransportFailure): void {
    this.giveBack(false, undefined)
    this.observer.failed(failure)
  }
}

/** Collects a whole answer. */
class CollectingObserver extends connections.AnswerObserver {
  private status = 0
  private rawHeaders: readonly string[] = []
  private readonly chunks: buffer.Buffer[] = []
  private isGiven = false

  constructor (private readonly resolve: (outcome: CallOutcome) => void) {
    super()
  }

  give (outcome: CallOutcome): void {
    if (!this.isGiven) {
      this.isGiven = true
      this.resolve(outcome)
    }
  }

  override started (status: number, rawHeaders: readonly string[]): void {
    this.status = status
    this.rawHeaders = rawHeaders
  }

  override received (chunk: buffer.Buffer): void {
    this.chunks.push(chunk)
  }

  override ended (): void {
    this.give({ kind: 'answered', status: this.status, rawHeaders: this.rawHeaders, body: buffer.Buffer.concat(this.chunks) })
  }

  override failed (failure: connections.TransportFailure): void {
    this.give(failure)
  }
}
