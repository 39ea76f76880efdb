/**
 * A pool of idle connections for each server, and calls over them.
 */
import type * as buffer from 'node:buffer'
import * as net from 'node:net'
import * as answerMemories from './caller_memory/answer_memory.js'
import * as connections from './connection.js'
import * as eventLoop from '../host/event_loop.js'
import * as host from '../host/types.js'
import * as routing from '../contracts/routing.js'
import * as types from './types.js'

/** Limit on the idle connections kept for a server; the oldest ones are closed above it. */
const maximumIdleConnections = 24
/** Part of the connections that a server accepts which all gateways together may keep idle; the rest is for requests in progress. */
const idleConnectionsPart = 0.75
/** Longest idle time of a connection for a request that must not be sent twice, if the server names none. */
const maximumIdleForOnceMs = 1_000
/** Longest idle time of a connection for other requests; a dead connection is then detected by a time-out. */
const maximumIdleMs = 10_000
/** Margin before the idle time-out that the server names. */
const idleMarginMs = 700
/** Limit on a buffered answer, equal to the default limit on a caller's body: a server may send without end. */
const maximumAnswerBytes = 4_194_304
/** Limit on answers to the gateway's own calls, which have a few fields. */
const maximumOwnAnswerBytes = 65_536

interface IdleConnection {
  readonly connection: connections.ServerConnection
  readonly sinceMs: number
  /** Idle time-out that the server named. */
  readonly idleMs: number | undefined
  /** Whether the sockets have been read since its last answer. A server that closes behind an answer is seen to one turn of the event loop later. */
  isSettled: boolean
}

/** A complete answer, or why there is none. */
export type CallOutcome =
  | { readonly kind: 'answered', readonly status: number, readonly rawHeaders: readonly string[], readonly body: buffer.Buffer }
  | { readonly kind: 'unsent' | 'lost' | 'silent', readonly reason: string }

/** An answer's head, with the request that it came on. */
export interface AnswerHead {
  readonly server: routing.RoutedServer
  readonly facts: types.AnswerFacts
  /** When the request was sent, on the monotonic clock, in milliseconds. */
  readonly sentMs: number
  /** Whether the answer belongs to the request. */
  readonly isMatching: boolean
}

/** Receives the requests that are sent to servers, and the heads of their answers. */
export abstract class SendListener {
  abstract sent (server: routing.RoutedServer): void
  abstract answered (head: AnswerHead): void
  /** Called when the connection to a server failed, unless this gateway ended it. */
  connectionFailed (_server: routing.RoutedServer): void {}
}

/** A request that is not sent. */
const noSend: connections.ActiveSend = { abort: () => {}, pause: () => {}, resume: () => {} }

export class ConnectionPool {
  private readonly idle = new Map<string, IdleConnection[]>()
  private gateways = 1

  constructor (
    private readonly clock: host.Clock,
    private readonly dialect: types.Dialect,
    private readonly listener: SendListener,
    /** Returns the number of connections that a server accepts from all gateways together, if it is known. */
    private readonly getMaximumConnections: (server: routing.RoutedServer) => number | undefined,
    /** Returns why nothing may be sent to a server now, whatever it is; undefined if requests may be sent. */
    private readonly getObstacle: (server: routing.RoutedServer) => string | undefined = () => undefined,
    private readonly memory?: answerMemories.AnswerMemory
  ) {}

  /** Sets the number of gateways that share the connections of each server. */
  setGatewayCount (count: number): void {
    this.gateways = Math.max(1, count)
  }

  /** Sends a request on an idle or new connection. With `mustSendOnce`, connections that the server may be closing are avoided. */
  send (server: routing.RoutedServer, request: types.OutgoingRequest, mustSendOnce: boolean, observer: connections.AnswerObserver): connections.ActiveSend {
    const obstacle = this.getObstacle(server)
    if (obstacle !== undefined) {
      queueMicrotask(() => observer.failed({ kind: 'unsent', reason: obstacle }))
      return noSend
    }
    const { address } = server
    const connection = this.take(address, mustSendOnce, request.requestId) ?? new connections.ServerConnection(address, this.clock)
    const sentMs = this.clock.monotonicMs()
    const readFacts = (status: number, rawHeaders: readonly string[]): types.AnswerFacts => {
      const facts = this.dialect.readAnswer(status, rawHeaders)
      this.listener.answered({ server, facts, sentMs, isMatching: facts.requestId === request.requestId })
      return facts
    }
    this.listener.sent(server)
    const poolingObserver = new PoolingObserver(observer, request.requestId, readFacts, (isClean, idleMs) => {
      if (isClean && !connection.isBroken) {
        this.keep(server, { connection, sinceMs: this.clock.monotonicMs(), idleMs, isSettled: false })
      } else {
        connection.close()
      }
    }, () => this.listener.connectionFailed(server))
    const activeSend = connection.send(request, poolingObserver)
    return {
      abort: () => {
        poolingObserver.isAborted = true
        activeSend.abort()
      },
      pause: () => activeSend.pause(),
      resume: () => activeSend.resume()
    }
  }

  /** Calls a server and buffers the answer; the outcome is `silent` after `timeoutMs`. */
  call (
    server: routing.RoutedServer, request: types.OutgoingRequest, timeoutMs: number, cancelled?: AbortSignal, mustSendOnce = false
  ): Promise<CallOutcome> {
    return new Promise(resolve => {
      const limitBytes = request.requestId === undefined ? maximumOwnAnswerBytes : maximumAnswerBytes
      const stops: host.Stop[] = []
      const body = new answerMemories.AnswerBuffer(limitBytes, request.requestId === undefined ? undefined : this.memory, {
        pause: () => activeSend.pause(),
        resume: () => activeSend.resume()
      })
      const observer = new BufferingObserver(limitBytes, body, () => activeSend.abort(), outcome => {
        for (const stop of stops) {
          stop()
        }
        resolve(outcome)
      })
      // First, because a send that throws must leave no timer behind.
      const activeSend = this.send(server, request, mustSendOnce, observer)
      if (observer.isSettled) {
        return
      }
      const cancel = (): void => {
        observer.settle({ kind: 'lost', reason: `cancelled: ${String(cancelled?.reason)}` })
        activeSend.abort()
      }
      stops.push(() => cancelled?.removeEventListener('abort', cancel), eventLoop.afterTimeout(this.clock, timeoutMs, () => {
        observer.settle({ kind: 'silent', reason: `no answer within ${Math.round(timeoutMs)} ms` })
        activeSend.abort()
      }))
      cancelled?.addEventListener('abort', cancel)
    })
  }

  /** Tells whether a server refuses connections because no process listens at its address; false if it does not answer in time. */
  isRefusing ({ address }: routing.RoutedServer, timeoutMs: number): Promise<boolean> {
    const { hostname, port } = new URL(`http://${address}`)
    return new Promise(resolve => {
      const socket = net.connect(Number(port), hostname)
      const settle = (isRefusing: boolean): void => {
        stopTimer()
        socket.destroy()
        resolve(isRefusing)
      }
      const stopTimer = this.clock.after(timeoutMs, () => settle(false))
      socket.on('connect', () => settle(false))
      socket.on('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNREFUSED'))
    })
  }

  /** Closes the idle connections to an address. */
  closeIdle (address: string): void {
    for (const { connection } of this.idle.get(address) ?? []) {
      connection.close()
    }
    this.idle.delete(address)
  }

  close (): void {
    for (const address of [...this.idle.keys()]) {
      this.closeIdle(address)
    }
  }

  /** A request is not sent twice on a connection: an answer to the first send that comes again would look like that to the second. */
  private take (address: string, mustSendOnce: boolean, requestId: string | undefined): connections.ServerConnection | undefined {
    const list = this.idle.get(address) ?? []
    const nowMs = this.clock.monotonicMs()
    const usable = mustSendOnce ? list.findLastIndex(({ isSettled }) => isSettled) + 1 : list.length
    for (const kept of list.slice(0, usable).reverse()) {
      list.splice(list.indexOf(kept), 1)
      if (kept.connection.hasCarried(requestId)) {
        kept.connection.close()
        continue
      }
      const longestMs = kept.idleMs === undefined
        ? (mustSendOnce ? maximumIdleForOnceMs : maximumIdleMs)
        : Math.min(kept.idleMs - idleMarginMs, maximumIdleMs)
      if (!kept.connection.isBroken && nowMs - kept.sinceMs <= longestMs) {
        return kept.connection
      }
      kept.connection.close()
    }
    return undefined
  }

  private keep (server: routing.RoutedServer, idle: IdleConnection): void {
    const list = this.idle.get(server.address) ?? []
    this.idle.set(server.address, list)
    list.push(idle)
    // The HTTP client reads the socket once more before it writes the next request, which reads the end behind the answer only from then on.
    setImmediate(() => {
      idle.isSettled = true
    })
    const share = (this.getMaximumConnections(server) ?? Infinity) * idleConnectionsPart / this.gateways
    const limit = Math.max(1, Math.min(maximumIdleConnections, Math.floor(share)))
    for (const { connection } of list.splice(0, Math.max(0, list.length - limit))) {
      connection.close()
    }
  }
}

/**
 * Forwards an answer and returns the connection to the pool at its end. An answer to another request, such as a late duplicate
 * of an earlier answer, closes the connection, because all answers after it would be off by one.
 */
class PoolingObserver extends connections.AnswerObserver {
  private idleMs: number | undefined
  private isMismatched = false
  /** Whether this gateway has closed the connection. */
  isAborted = false

  constructor (
    private readonly observer: connections.AnswerObserver,
    private readonly requestId: string | undefined,
    private readonly readFacts: (status: number, rawHeaders: readonly string[]) => types.AnswerFacts,
    private readonly returnConnection: (isClean: boolean, idleMs: number | undefined) => void,
    private readonly recordFailure: () => void
  ) {
    super()
  }

  override started (status: number, rawHeaders: readonly string[]): void {
    const { requestId, idleMs } = this.readFacts(status, rawHeaders)
    this.idleMs = idleMs
    if (requestId !== this.requestId) {
      this.isMismatched = true
      this.returnConnection(false, undefined)
      this.observer.failed({ kind: 'lost', reason: 'the answer belongs to another request' })
      return
    }
    this.observer.started(status, rawHeaders)
  }

  override received (chunk: buffer.Buffer): void {
    if (!this.isMismatched) {
      this.observer.received(chunk)
    }
  }

  override ended (isClean: boolean): void {
    if (!this.isMismatched) {
      this.returnConnection(isClean, this.idleMs)
      this.observer.ended(isClean)
    }
  }

  override failed (failure: connections.TransportFailure): void {
    if (!this.isMismatched) {
      if (!this.isAborted) {
        this.recordFailure()
      }
      this.returnConnection(false, undefined)
      this.observer.failed(failure)
    }
  }
}

/** Buffers an answer. */
class BufferingObserver extends connections.AnswerObserver {
  private status = 0
  private rawHeaders: readonly string[] = []
  isSettled = false

  constructor (
    private readonly limitBytes: number,
    private readonly bytes: answerMemories.AnswerBuffer,
    private readonly abort: () => void,
    private readonly resolve: (outcome: CallOutcome) => void
  ) {
    super()
  }

  settle (outcome: CallOutcome): void {
    if (!this.isSettled) {
      this.isSettled = true
      if (outcome.kind !== 'answered') {
        this.bytes.clear()
      }
      this.resolve(outcome)
    }
  }

  override started (status: number, rawHeaders: readonly string[]): void {
    this.status = status
    this.rawHeaders = rawHeaders
  }

  override received (chunk: buffer.Buffer): void {
    if (this.isSettled) {
      return
    }
    if (this.bytes.length + chunk.length > this.limitBytes) {
      this.settle({ kind: 'lost', reason: `the answer is longer than ${this.limitBytes} bytes` })
      this.abort()
      return
    }
    this.bytes.add(chunk)
  }

  override ended (): void {
    if (!this.isSettled) {
      this.bytes.finish(body => this.settle({ kind: 'answered', status: this.status, rawHeaders: this.rawHeaders, body }))
    }
  }

  override failed (failure: connections.TransportFailure): void {
    this.settle(failure)
  }
}
