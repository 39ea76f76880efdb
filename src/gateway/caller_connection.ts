/**
 * A caller's connection: which of its requests are handled, and how it ends.
 *
 * Requests are handled one at a time, so that none has been passed on when the answer before it closes the connection. Once the close is decided
 * no further request is handled. The gateway then closes its sending side behind the last answer, and reads and discards what the caller still
 * sends: closing a socket with unread bytes would reset the connection, and the answer with it.
 */
import type * as buffer from 'node:buffer'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as bodyIntakes from './caller_memory/body_intake.js'
import * as deliveries from './answer_delivery.js'
import * as eventLoop from '../host/event_loop.js'
import * as httpParsers from '../host/http_parser.js'
import * as host from '../host/types.js'
import * as replies from './caller_reply.js'
import * as requestHeads from '../host/request_head.js'

/** How long the caller may take to close its side: a round trip and a lost packet. */
const lingerMs = 1_000

/** Requests that may wait for the answer to one before them on the same connection. */
const maximumWaiting = 32

/** Memory of a request's objects, and of each line of its head beside the text, estimated from the sizes of V8's strings and arrays. */
const requestBytes = 8_192
const lineBytes = 128
/** Lines above which a head counts although no request is before it; its memory is several times its text then. */
const uncountedLines = 128

const lateHeadCode = 'ERR_HTTP_REQUEST_TIMEOUT'
const headOverflowCode = 'HPE_HEADER_OVERFLOW'
const callerEndCode = 'HPE_INVALID_EOF_STATE'
const parserCodes = /^(HPE_|ERR_HTTP_)/

const badRequestStatus = 400
const methodNotAllowedStatus = 405
const requestTimeoutStatus = 408
const headOverflowStatus = 431

/** A request and its response. */
interface CallerExchange {
  readonly request: http.IncomingMessage
  readonly response: http.ServerResponse
  readonly body: bodyIntakes.BodyIntake
  /** On the monotonic clock. */
  readonly readMs: number
  /** Bytes of the head in the account. */
  headBytes: number
}

/** Why a request that was read is not handled. */
export type DropReason = 'caller_gone' | 'connection_closing'

/** Receives the requests of callers. */
export abstract class RequestListener {
  abstract received (request: http.IncomingMessage, response: http.ServerResponse, delivery: deliveries.AnswerDelivery, body: bodyIntakes.BodyIntake): void
  /** A request that was read and is not handled, because no answer could reach its caller; `ageMs` is the time since it was read. */
  abstract dropped (request: http.IncomingMessage, reason: DropReason, ageMs: number): void
}

export class CallerConnection {
  private readonly waiting: CallerExchange[] = []
  private current: CallerExchange | undefined
  private requestCount = 0
  private lastEndMs: number
  private isClosing = false
  /** Why the connection closes once what was taken is answered, if it does; nothing more is taken then. */
  private idleCloseReason: deliveries.CloseReason | undefined
  private stopLinger: host.Stop | undefined
  private closing: deliveries.Closing = { closedBy: 'nobody' }
  /** Of the request that is handled. */
  private delivery: deliveries.AnswerDelivery | undefined

  constructor (
    private readonly socket: net.Socket,
    private readonly listener: RequestListener,
    private readonly clock: host.Clock,
    private readonly log: host.Log,
    private readonly intake: bodyIntakes.IntakeOptions
  ) {
    this.lastEndMs = clock.monotonicMs()
    // Node's server ends a connection so after its last answer, and destroys it with what lies unread.
    socket.destroySoon = () => this.close('last_answer')
    // Ahead of Node's own listeners, which close the other side.
    socket.prependListener('end', () => this.recordCallerEnd())
    socket.prependListener('error', () => this.recordCallerEnd())
    socket.on('close', () => {
      this.stopLinger?.()
      this.dropWaiting('caller_gone')
    })
  }

  /** Whether a request has no complete answer yet. */
  get isBusy (): boolean {
    return this.current !== undefined || this.waiting.length > 0
  }

  /** Whether the connection has been used for a request. */
  get isUsed (): boolean {
    return this.requestCount > 0
  }

  /** Since when the caller has kept the connection without a request, on the monotonic clock; `undefined` with one. */
  get idleSinceMs (): number | undefined {
    return this.isBusy || this.isClosing ? undefined : this.lastEndMs
  }

  /** The body that the caller still sends, if no answer has been begun. */
  get openBody (): bodyIntakes.BodyIntake | undefined {
    const { current } = this
    return current === undefined || current.response.headersSent || current.body.openSinceMs === undefined ? undefined : current.body
  }

  /** Closes a connection without a request at once, because its descriptor is needed. */
  closeForConnection (): void {
    this.isClosing = true
    this.recordClosing({ closedBy: 'gateway', closeReason: 'too_many_connections' })
    this.socket.destroy()
  }

  /** Takes a request from the parser. It is handled in its turn, and unless its caller has left. */
  receive (request: http.IncomingMessage, response: http.ServerResponse): void {
    const exchange = { request, response, body: new bodyIntakes.BodyIntake(request, this.intake), readMs: this.clock.monotonicMs(), headBytes: 0 }
    this.requestCount += 1
    const headBytes = this.estimateHead(request)
    const isClosing = this.isClosing || this.idleCloseReason !== undefined
    if (isClosing || this.waiting.length >= maximumWaiting || !this.intake.account.takeHead(headBytes)) {
      this.idleCloseReason ??= 'too_many_waiting'
      this.drop(exchange, 'connection_closing')
      // Node.js keeps the response, and with it the request, until the connection ends.
      request.rawHeaders.length = 0
      request.headers = {}
      if (!this.isBusy) {
        this.close(this.idleCloseReason)
      } else if (!isClosing) {
        this.stopParsing()
      }
      return
    }
    exchange.headBytes = headBytes
    this.waiting.push(exchange)
    eventLoop.afterSocketReads(() => this.handleNext())
  }

  /** Returns the bytes of a head that count: none of an ordinary one without a request before it. */
  private estimateHead ({ rawHeaders, url = '' }: http.IncomingMessage): number {
    const lines = rawHeaders.length / 2
    if (!this.isBusy && lines <= uncountedLines) {
      return 0
    }
    let bytes = requestBytes + lines * lineBytes + url.length
    for (const text of rawHeaders) {
      bytes += text.length
    }
    return bytes
  }

  /** Closes the connection behind the answer in progress. */
  close (reason: deliveries.CloseReason): void {
    if (this.isClosing) {
      return
    }
    this.isClosing = true
    this.recordClosing({ closedBy: 'gateway', closeReason: reason })
    this.dropWaiting('connection_closing')
    if (this.current === undefined) {
      this.endSending()
    }
  }

  /** Reports the answer in progress as it is, because the process ends. */
  abandon (): void {
    this.delivery?.settle()
  }

  /** Closes the connection if the caller has sent nothing when its idle time-out has expired. */
  expireIdle (): void {
    if (this.current?.response.writableEnded === true) {
      this.expireUnread()
      return
    }
    const { bytesRead } = this.socket
    eventLoop.afterSocketReads(() => {
      if (this.socket.bytesRead === bytesRead && !this.isBusy) {
        this.close('idle')
      }
    })
  }

  /** Cuts an answer of which the caller has taken nothing for a time, if others wait for its memory. */
  private expireUnread (): void {
    if (!this.intake.account.isScarce(this.clock.monotonicMs())) {
      this.socket.setTimeout(replies.unreadAnswerMs)
      return
    }
    this.log.warn('unread answer cut for lack of memory', { unwrittenBytes: this.current?.response.writableLength })
    this.socket.destroy()
  }

  /** Answers what the parser cannot read. An error of the connection itself ends it. */
  refuse (error: NodeJS.ErrnoException): void {
    if (this.isClosing) {
      return
    }
    if (error.code === lateHeadCode) {
      const { requestCount } = this
      eventLoop.afterSocketReads(() => {
        if (this.requestCount === requestCount) {
          this.refuseLateHead()
        }
      })
      return
    }
    if (!this.socket.writable || !parserCodes.test(error.code ?? '') || (error.code === callerEndCode && this.isBusy)) {
      this.socket.destroy()
      return
    }
    this.answerUnreadable(error.code === headOverflowCode ? headOverflowStatus : badRequestStatus, error.code)
  }

  /** Answers a request to open a tunnel, after which the server no longer reads the connection. */
  refuseTunnel (): void {
    this.socket.on('error', () => {})
    this.socket.resume()
    this.answerUnreadable(methodNotAllowedStatus, 'CONNECT')
  }

  /** A caller that has sent nothing gets no status, which its first request could be taken to be answered by. */
  private refuseLateHead (): void {
    if (this.socket.bytesRead === 0 && !this.socket.destroyed) {
      this.log.info('connection closed', { reason: 'no request in time' })
      this.close('idle')
      return
    }
    this.answerUnreadable(requestTimeoutStatus, lateHeadCode)
  }

  /**
   * Closes the connection, with a status if that can only be taken for the answer to what could not be read. Behind earlier requests it closes
   * without one, once they are answered.
   */
  private answerUnreadable (status: number, reason: string | undefined): void {
    if (this.isClosing || this.socket.destroyed) {
      return
    }
    const broken = this.findBroken()
    const isAnswered = broken !== undefined || !this.isBusy
    this.log.info('request not readable', { reason, status: isAnswered ? status : undefined })
    if (broken !== undefined) {
      this.waiting.length = 0
      broken.body.discard()
      this.begin(broken)
      broken.response.writeHead(status, { 'Content-Length': '0', Connection: 'close' }).end()
      this.close('unreadable')
    } else if (isAnswered) {
      this.socket.write(`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
      this.close('unreadable')
    } else {
      this.idleCloseReason ??= 'unreadable'
    }
  }

  /** Returns the only request without an answer if its body is what cannot be read. */
  private findBroken (): CallerExchange | undefined {
    const open = [this.current, ...this.waiting].filter(exchange => exchange !== undefined)
    const [first] = open
    return first !== undefined && open.length === 1 && !first.request.complete && !first.response.headersSent ? first : undefined
  }

  private handleNext (): void {
    if (this.current !== undefined) {
      return
    }
    const next = this.waiting.shift()
    if (next === undefined) {
      return
    }
    if (this.socket.destroyed || this.socket.readableEnded) {
      this.drop(next, 'caller_gone')
      this.handleNext()
      return
    }
    const delivery = this.begin(next)
    const status = requestHeads.refuseInvalidHead(next.request, next.response)
    if (status !== undefined) {
      next.body.discard()
      this.log.info('request not readable', { reason: 'invalid head', status })
      return
    }
    this.listener.received(next.request, next.response, delivery, next.body)
  }

  private begin (exchange: CallerExchange): deliveries.AnswerDelivery {
    if (this.current === exchange && this.delivery !== undefined) {
      return this.delivery
    }
    this.current = exchange
    const delivery = new deliveries.AnswerDelivery(exchange.response, this.socket, () => this.closing)
    this.delivery = delivery
    exchange.response.once('close', () => {
      if (this.socket.destroyed) {
        this.recordClosing({ closedBy: 'gateway', closeReason: 'destroyed' })
      }
      delivery.settle()
      this.giveBackHead(exchange)
      this.current = undefined
      this.delivery = undefined
      this.lastEndMs = this.clock.monotonicMs()
      if (this.isClosing) {
        this.endSending()
      } else if (this.idleCloseReason !== undefined && this.waiting.length === 0) {
        this.close(this.idleCloseReason)
      } else {
        this.handleNext()
      }
    })
    return delivery
  }

  private recordCallerEnd (): void {
    this.recordClosing(this.socket.writableEnded ? { closedBy: 'gateway', closeReason: 'other' } : { closedBy: 'caller' })
  }

  /** Records which side closes the connection, unless the other one has before. */
  private recordClosing (closing: deliveries.Closing): void {
    if (this.closing.closedBy === 'nobody') {
      this.closing = closing
    }
  }

  private dropWaiting (reason: DropReason): void {
    for (const exchange of this.waiting.splice(0)) {
      this.drop(exchange, reason)
    }
  }

  private drop (exchange: CallerExchange, reason: DropReason): void {
    const { request, body, readMs } = exchange
    this.listener.dropped(request, reason, this.clock.monotonicMs() - readMs)
    this.giveBackHead(exchange)
    body.discard()
  }

  private giveBackHead (exchange: CallerExchange): void {
    this.intake.account.giveBackHead(exchange.headBytes)
    exchange.headBytes = 0
  }

  /** From now on what still comes is not parsed any more: the parser would make an object of every chunk and request. */
  private discardInput (): void {
    this.socket.removeAllListeners('data')
    this.socket.on('data', (piece: buffer.Buffer) => bodyIntakes.recordRead(this.intake, piece.length))
  }

  /** Handles nothing more of what the caller sends, nor of what has been read. */
  private stopParsing (): void {
    httpParsers.skipRequests(this.socket)
    // Behind the parser's callback.
    process.nextTick(() => this.discardInput())
  }

  private endSending (): void {
    this.discardInput()
    this.socket.end(() => {
      if (!this.socket.destroyed) {
        this.stopLinger = this.clock.after(lingerMs, () => this.socket.destroy())
      }
    })
  }
}
