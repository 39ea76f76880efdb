/**
 * One HTTP connection to a server, used for one request at a time.
 */
import type * as net from 'node:net'
import * as buffer from 'node:buffer'
import * as undici from 'undici'
import * as host from '../host/types.js'
import * as types from './types.js'

/** Covers several round trips between zones and one lost packet. */
const connectTimeoutMs = 450
/** Idle time after which a connection is closed if the server names none. */
const defaultIdleMs = 30_000
/** How long before the server's idle time-out a connection is closed. */
const idleMarginMs = 500
/** Upper bound on the idle time that a server's hint may set. */
const maximumIdleMs = 600_000
/** Limit on the identifiers that are kept for a connection: more requests than a request is sent again within. */
const maximumRequestIds = 32
/** Code of the error of a connection that was reset. */
const resetCode = 'CONNECTION_RESET'
/** Limit on the head of a server's answer. */
const maximumHeadBytes = 65_536

/** Limit on the heads before the final one of an answer. */
const maximumInterimHeads = 32
/** Pieces of a body, with fewer bytes on average, that may come within a time: each piece takes the thread for a moment. */
const maximumSmallPieces = 16_384
const smallPieceBytes = 16
const smallPiecesMs = 1_000

/** `unsent`: no byte of the request was sent; `lost`: the server may have run it. */
export type TransportFailure = { readonly kind: 'unsent' | 'lost', readonly reason: string }

/** Receives one answer. Exactly one of `ended` and `failed` is called, last. */
export abstract class AnswerObserver {
  abstract started (status: number, rawHeaders: readonly string[]): void
  abstract received (chunk: buffer.Buffer): void
  /** `isClean`: the connection may be reused. */
  abstract ended (isClean: boolean): void
  abstract failed (failure: TransportFailure): void
}

/** A request in flight. */
export interface ActiveSend {
  /** Closes the connection, so that the server drops the request. */
  abort (): void
  pause (): void
  resume (): void
}

export class ServerConnection {
  lastUsedMs = 0
  isBroken = false
  /** Identifiers of the latest requests that were sent on the connection. */
  private readonly requestIds: string[] = []
  private readonly client: undici.Client
  private wasReset = false

  constructor (address: string, private readonly clock: host.Clock) {
    const connect = undici.buildConnector({ timeout: connectTimeoutMs, keepAlive: true })
    this.client = new undici.Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: defaultIdleMs,
      keepAliveTimeoutThreshold: idleMarginMs,
      keepAliveMaxTimeout: maximumIdleMs,
      maxHeaderSize: maximumHeadBytes,
      connect: (options, callback) => {
        connect(options, (error, socket) => {
          if (error !== null) {
            callback(error, null)
            return
          }
          this.watchSocket(socket)
          callback(null, socket)
        })
      }
    })
    this.client.on('disconnect', () => {
      this.isBroken = true
    })
  }

  /** Tells whether a request with the identifier was sent on the connection; another answer to it may still come. */
  hasCarried (requestId: string | undefined): boolean {
    return requestId !== undefined && this.requestIds.includes(requestId)
  }

  send (request: types.OutgoingRequest, observer: AnswerObserver): ActiveSend {
    const handler = new AnswerHandler(observer, this.clock, () => this.wasReset)
    if (request.requestId !== undefined) {
      this.requestIds.push(request.requestId)
      this.requestIds.splice(0, this.requestIds.length - maximumRequestIds)
    }
    this.client.dispatch({
      method: request.method as undici.Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers as string[],
      body: request.body ?? null
    }, handler)
    return {
      abort: () => {
        this.isBroken = true
        handler.abort()
        this.close()
      },
      pause: () => handler.pause(),
      resume: () => handler.resume()
    }
  }

  close (): void {
    this.isBroken = true
    this.client.destroy().catch(() => {})
  }

  /**
   * Detects resets ahead of the HTTP client, which takes a reset for the end of an answer without a length, and fails an assertion, without
   * an end of the request, if the answer is paused then. It does not know the code that the error gets.
   */
  private watchSocket (socket: net.Socket): void {
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.wasReset = true
      this.isBroken = true
      if (error.code === 'ECONNRESET') {
        error.code = resetCode
      }
    })
    socket.on('end', () => {
      // A reset that is found together with the last bytes is reported as an end; the connection then has no other side any more.
      this.wasReset ||= socket.remoteAddress === undefined
      this.isBroken = true
    })
  }
}

class AnswerHandler implements undici.Dispatcher.DispatchHandler {
  private controller: undici.Dispatcher.DispatchController | undefined
  private isAborted = false
  private isDone = false
  private hasFraming = false
  private mayKeepAlive = true
  private interimHeads = 0
  private pieces = 0
  /** Bytes of the latest pieces, and when they began to be counted. */
  private bytes = 0
  private countedFromMs = 0

  constructor (private readonly observer: AnswerObserver, private readonly clock: host.Clock, private readonly wasReset: () => boolean) {}

  abort (): void {
    this.isAborted = true
    this.controller?.abort(new Error('aborted'))
  }

  pause (): void {
    this.controller?.pause()
  }

  resume (): void {
    this.controller?.resume()
  }

  onRequestStart (controller: undici.Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.isAborted) {
      controller.abort(new Error('aborted'))
    }
  }

  onResponseStart (controller: undici.Dispatcher.DispatchController, status: number): void {
    if (status < 200) {
      this.interimHeads += 1
      if (this.interimHeads > maximumInterimHeads) {
        controller.abort(new Error(`more than ${maximumInterimHeads} heads before the final one`))
      }
      return
    }
    const rawHeaders = decodeHeaders(controller.rawHeaders)
    for (let index = 0; index < rawHeaders.length; index += 2) {
      const name = (rawHeaders[index] as string).toLowerCase()
      if (name === 'content-length' || name === 'transfer-encoding') {
        this.hasFraming = true
      }
      if (name === 'connection' && /close/i.test(rawHeaders[index + 1] as string)) {
        this.mayKeepAlive = false
      }
    }
    this.observer.started(status, rawHeaders)
  }

  onResponseData (controller: undici.Dispatcher.DispatchController, chunk: buffer.Buffer): void {
    if (this.comesInTooManyPieces(chunk.length)) {
      controller.abort(new Error(`${maximumSmallPieces} pieces of ${this.bytes} bytes in all within ${smallPiecesMs} ms`))
      return
    }
    this.observer.received(chunk)
  }

  private comesInTooManyPieces (bytes: number): boolean {
    const nowMs = this.pieces % maximumSmallPieces === 0 ? this.clock.monotonicMs() : undefined
    if (nowMs !== undefined) {
      if (this.pieces > 0 && this.bytes < maximumSmallPieces * smallPieceBytes && nowMs - this.countedFromMs < smallPiecesMs) {
        return true
      }
      this.countedFromMs = nowMs
      this.bytes = 0
    }
    this.pieces += 1
    this.bytes += bytes
    return false
  }

  onResponseEnd (): void {
    if (this.isDone) {
      return
    }
    this.isDone = true
    if (!this.hasFraming && this.wasReset()) {
      this.observer.failed({ kind: 'lost', reason: 'connection reset during an answer without a length' })
      return
    }
    this.observer.ended(this.hasFraming && this.mayKeepAlive)
  }

  onResponseError (_controller: undici.Dispatcher.DispatchController | undefined, error: Error): void {
    if (this.isDone) {
      return
    }
    this.isDone = true
    const code = (error as { readonly code?: unknown }).code
    const reason = typeof code === 'string' ? code : error.message
    this.observer.failed({ kind: this.controller === undefined ? 'unsent' : 'lost', reason })
  }
}

function decodeHeaders (raw: unknown): string[] {
  const headers: string[] = []
  for (const part of raw as readonly (buffer.Buffer | string)[]) {
    headers.push(typeof part === 'string' ? part : part.toString('latin1'))
  }
  return headers
}
