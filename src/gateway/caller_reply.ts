/**
 * The response to a caller: the server's bytes, or a failure of the gateway.
 */
import type * as buffer from 'node:buffer'
import type * as http from 'node:http'
import * as diagnostics from '../contracts/diagnostics.js'
import * as failures from '../contracts/failure.js'
import * as types from './types.js'

/** Bytes buffered for a slow caller before the server's stream is paused. */
const highWaterMarkBytes = 131_072

const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503])
const badGatewayStatus = 502

export class CallerReply {
  readonly gone = new AbortController()
  private isDone = false
  private endsWithConnection = false

  constructor (
    private readonly response: http.ServerResponse,
    private readonly dialect: types.Dialect,
    private readonly arrival: types.Arrival | undefined,
    private readonly mayKeepAlive: () => boolean
  ) {
    response.on('close', () => {
      if (!this.isDone) {
        this.gone.abort()
      }
    })
    response.on('error', () => {})
  }

  get isGone (): boolean {
    return this.gone.signal.aborted
  }

  get hasStarted (): boolean {
    return this.response.headersSent
  }

  /**
   * Starts the server's answer. An answer without a length or chunked encoding ends with the connection here too: framing that the
   * server never gave would make a truncated answer look complete. With `mayGrow`, a length is replaced by
   * chunks, because another server may continue the answer.
   */
  start (status: number, rawHeaders: readonly string[], mayGrow = false): void {
    if (!this.isGone) {
      if (!isFramed(rawHeaders)) {
        this.response.useChunkedEncodingByDefault = false
        this.response.shouldKeepAlive = false
        this.endsWithConnection = true
      }
      const returned = this.dialect.selectReturned(rawHeaders)
      this.response.writeHead(status, this.addConnectionHeader(mayGrow ? withoutLength(returned) : returned))
      this.response.flushHeaders()
    }
  }

  /** Returns false when the buffer for the caller is full. */
  write (chunk: buffer.Buffer): boolean {
    if (this.isGone) {
      return true
    }
    this.response.write(chunk)
    return this.response.writableLength < highWaterMarkBytes
  }

  /** Calls back once when the buffer has drained. */
  whenDrained (action: () => void): void {
    this.response.once('drain', action)
  }

  end (): void {
    this.isDone = true
    this.response.end()
  }

  /** Sends the server's complete answer. */
  answer (status: number, rawHeaders: readonly string[], body: buffer.Buffer): void {
    if (this.isGone) {
      return
    }
    this.start(status, rawHeaders)
    this.isDone = true
    this.response.end(body)
  }

  /** Destroys the connection, so that a truncated answer cannot look complete: one that ends with its connection must be reset. */
  abort (): void {
    this.isDone = true
    const { socket } = this.response
    if (this.endsWithConnection && socket !== null) {
      socket.resetAndDestroy()
    }
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

/** Tells whether an answer states a length or comes in chunks; otherwise it ends with its connection. */
export function isFramed (rawHeaders: readonly string[]): boolean {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] as string).toLowerCase()
    if (name === 'content-length' || name === 'transfer-encoding') {
      return true
    }
  }
  return false
}
