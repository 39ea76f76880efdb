/**
 * The response to a caller: the server's bytes, or a failure of the gateway.
 *
 * What the caller gets states its own end: by a length if the whole answer is known, by chunks otherwise. The last chunk is sent only
 * when the server's answer is known to be whole, so an answer that breaks off is seen to, also when the gateway is killed.
 */
import type * as buffer from 'node:buffer'
import type * as http from 'node:http'
import type * as deliveries from './answer_delivery.js'
import * as byteCollectors from './byte_collector.js'
import * as diagnostics from '../contracts/diagnostics.js'
import * as failures from '../contracts/failure.js'
import * as types from './types.js'

/** Bytes buffered for a slow caller before the server's stream is paused. */
const highWaterMarkBytes = 131_072

/** Limit on an answer that is held back, equal to the default limit on a caller's body. */
const maximumHeldBytes = 4_194_304

/** Answers longer than this are looked at when their callers take nothing of them for a time, in milliseconds. */
const smallAnswerBytes = 65_536
export const unreadAnswerMs = 15_000

const noContentStatus = 204
const notModifiedStatus = 304
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503])
const badGatewayStatus = 502

/** An answer that is held back until it is whole, because its caller does not understand chunks. */
interface HeldAnswer {
  readonly status: number
  readonly headers: readonly string[]
  readonly body: byteCollectors.ByteCollector
}

/** Why no answer reaches the caller any more; the reason of the signal `gone`, for logs. */
export type GoneReason = 'caller left' | 'connection closed by the gateway' | 'ended by the stop'

export class CallerReply {
  private readonly goneController = new AbortController()
  private isDone = false
  private held: HeldAnswer | undefined

  constructor (
    private readonly response: http.ServerResponse,
    private readonly dialect: types.Dialect,
    private readonly arrival: types.Arrival | undefined,
    private readonly mayKeepAlive: () => boolean,
    private readonly delivery: deliveries.AnswerDelivery
  ) {
    response.on('close', () => {
      if (!this.isDone) {
        this.abandon(this.delivery.closing.closedBy === 'caller' ? 'caller left' : 'connection closed by the gateway')
      }
    })
    response.on('error', () => {})
  }

  /** Aborted, with a `GoneReason`, when no answer reaches the caller any more. */
  get gone (): AbortSignal {
    return this.goneController.signal
  }

  get isGone (): boolean {
    return this.gone.aborted
  }

  /** Resolves with how far the answer got, once that is final. */
  get delivered (): Promise<deliveries.Delivery> {
    return this.delivery.settled
  }

  /** Ends the work on the request, for which no answer is needed any more. */
  abandon (reason: GoneReason): void {
    this.goneController.abort(reason)
  }

  /** Whether the head of a server's answer has been taken over. */
  get hasStarted (): boolean {
    return this.response.headersSent || this.held !== undefined
  }

  /**
   * Starts the server's answer. With `mayGrow`, a length is replaced by chunks, because another server may continue the answer. To callers
   * of HTTP/1.0 an answer without a length is sent when it is whole: its end could not be told from the end of the gateway.
   */
  start (status: number, rawHeaders: readonly string[], mayGrow = false): void {
    if (this.isGone) {
      return
    }
    const returned = this.dialect.selectReturned(rawHeaders)
    const headers = mayGrow ? withoutLength(returned) : returned
    if (!hasLength(headers) && !this.understandsChunks) {
      this.held = { status, headers, body: new byteCollectors.ByteCollector() }
      return
    }
    this.response.writeHead(status, this.addConnectionHeader(headers))
    this.response.flushHeaders()
  }

  /** Returns false when the buffer for the caller is full. */
  write (chunk: buffer.Buffer): boolean {
    if (this.isGone) {
      return true
    }
    if (this.held !== undefined) {
      this.held.body.add(chunk)
      if (this.held.body.length > maximumHeldBytes) {
        this.abort()
        this.abandon('connection closed by the gateway')
      }
      return true
    }
    this.response.write(chunk)
    return this.response.writableLength < highWaterMarkBytes
  }

  /** Calls back once when the buffer has drained. */
  whenDrained (action: () => void): void {
    this.response.once('drain', action)
  }

  /** Ends an answer that is whole. */
  end (): void {
    if (this.held !== undefined) {
      const { status, headers, body } = this.held
      this.send(status, headers, body.view())
      return
    }
    this.isDone = true
    this.response.end()
  }

  /** Sends the server's complete answer. */
  answer (status: number, rawHeaders: readonly string[], body: buffer.Buffer): void {
    if (!this.isGone) {
      this.send(status, this.dialect.selectReturned(rawHeaders), body)
    }
  }

  /** Destroys the connection before the end that the framing states, so that a truncated answer cannot look complete. */
  abort (): void {
    this.isDone = true
    this.response.destroy()
  }

  /**
   * Ends the request with a failure of the gateway. A status that promises that the request has not run is sent only with
   * the verdict `not_run`; other verdicts get 502 instead.
   */
  fail (failure: failures.Failure): number {
    const stated = diagnostics.diagnostics[failure.code].status
    const status = notRunStatuses.has(stated) && failure.verdict !== 'not_run' ? badGatewayStatus : stated
    if (this.isGone || this.isDone || this.response.writableEnded) {
      return status
    }
    if (this.response.headersSent) {
      this.abort()
      return status
    }
    const body = JSON.stringify({ error: { code: failure.code, message: failure.message, verdict: failure.verdict } })
    const headers = [...this.dialect.writeFailure(this.arrival, failure.retryAfterMs), 'Content-Length', String(Buffer.byteLength(body))]
    this.response.writeHead(status, this.addConnectionHeader(headers))
    this.isDone = true
    this.response.end(body)
    return status
  }

  private get understandsChunks (): boolean {
    const { httpVersionMajor, httpVersionMinor } = this.response.req
    return httpVersionMajor === 1 && httpVersionMinor >= 1
  }

  private send (status: number, headers: readonly string[], body: buffer.Buffer): void {
    const hasBody = this.response.req.method !== 'HEAD' && status !== noContentStatus && status !== notModifiedStatus
    const length = hasLength(headers) || !hasBody ? [] : ['Content-Length', String(body.length)]
    this.response.writeHead(status, this.addConnectionHeader([...headers, ...length]))
    this.isDone = true
    if (body.length > smallAnswerBytes) {
      this.response.socket?.setTimeout(unreadAnswerMs)
    }
    this.response.end(body)
  }

  private addConnectionHeader (rawHeaders: readonly string[]): string[] {
    // The unread rest of a request must not be parsed as the next one.
    const isComplete = this.response.req.complete
    return this.mayKeepAlive() && isComplete ? [...rawHeaders] : [...rawHeaders, 'Connection', 'close']
  }
}

function withoutLength (rawHeaders: readonly string[]): string[] {
  const kept: string[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if ((rawHeaders[index] as string).toLowerCase() !== 'content-length') {
      kept.push(rawHeaders[index] as string, rawHeaders[index + 1] as string)
    }
  }
  return kept
}

function hasLength (rawHeaders: readonly string[]): boolean {
  return hasHeader(rawHeaders, 'content-length')
}

/** Tells whether an answer states a length or comes in chunks; otherwise it ends with its connection. */
export function isFramed (rawHeaders: readonly string[]): boolean {
  return hasLength(rawHeaders) || hasHeader(rawHeaders, 'transfer-encoding')
}

/** `name` is in lower case. */
function hasHeader (rawHeaders: readonly string[], name: string): boolean {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if ((rawHeaders[index] as string).toLowerCase() === name) {
      return true
    }
  }
  return false
}
