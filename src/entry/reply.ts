/**
 * The response to one caller. A caller that does not read what was sent is disconnected.
 */
import * as callerMemories from './caller_memory.js'
import * as diagnosticTable from '../contracts/diagnostics.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as http from 'node:http'
import * as settings from '../contracts/settings.js'

export type Headers = Readonly<Record<string, string>>

/** Failures after which the rest of the request stays unread, so that the connection cannot be reused. */
const closingCodes: ReadonlySet<diagnosticTable.DiagnosticCode> = new Set([
  'body_too_large', 'body_too_slow', 'caller_memory_full', 'headers_invalid'
] as const)

export class Reply {
  private isStream = false
  private stopStallTimer: host.Stop | undefined

  /** `onStalled` is called once when a stalled caller is disconnected. */
  constructor (
    private readonly response: http.ServerResponse,
    private readonly limits: settings.Limits,
    private readonly clock: host.Clock,
    private readonly memory: callerMemories.CallerMemory,
    private readonly onStalled: () => void
  ) {
    response.on('drain', () => this.clearStallTimer())
    response.on('close', () => this.clearStallTimer())
  }

  get isSent (): boolean {
    return this.response.headersSent
  }

  setHeader (name: string, value: string): void {
    if (!this.response.headersSent) {
      this.response.setHeader(name, value)
    }
  }

  sendJson (status: number, body: unknown, headers: Headers = {}): void {
    this.send(status, { ...headers, 'content-type': 'application/json' }, JSON.stringify(body))
  }

  send (status: number, headers: Headers, body: string | Uint8Array): void {
    if (this.response.headersSent || this.response.destroyed) {
      return
    }
    const bytes = Buffer.byteLength(body)
    this.response.writeHead(status, { ...headers, 'content-length': bytes })
    this.response.end(body)
    this.memory.addAnswer(this.response, bytes)
    this.watchForStall()
  }

  /** Sends the failure as the final answer: as an HTTP status, or as an event at the end of a stream. */
  sendFailure (failure: failures.Failure): void {
    if (this.isStream) {
      this.write(`event: error\ndata: ${JSON.stringify(createErrorBody(failure))}\n\n`)
      this.endStream()
      return
    }
    const headers = createFailureHeaders(failure)
    this.sendJson(diagnosticTable.diagnostics[failure.code].status, createErrorBody(failure), headers)
  }

  openStream (): void {
    this.isStream = true
    this.response.writeHead(200, { 'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-cache' })
  }

  /** Writes one event. `data` must not contain line breaks. */
  writeEvent (data: string): void {
    this.write(`data: ${data}\n\n`)
  }

  endStream (): void {
    if (!this.response.destroyed && !this.response.writableEnded) {
      this.response.end()
      this.watchForStall()
    }
  }

  private write (text: string): void {
    if (this.response.destroyed || this.response.writableEnded) {
      return
    }
    const isBelowHighWaterMark = this.response.write(text)
    if (isBelowHighWaterMark) {
      return
    }
    if (this.response.writableLength > this.limits.stalledCallerBytes) {
      this.disconnect()
      return
    }
    this.watchForStall()
  }

  private watchForStall (): void {
    if (!this.response.closed) {
      this.stopStallTimer ??= this.clock.after(this.limits.stalledCallerMs, () => this.disconnect())
    }
  }

  private clearStallTimer (): void {
    this.stopStallTimer?.()
    this.stopStallTimer = undefined
  }

  private disconnect (): void {
    this.clearStallTimer()
    this.onStalled()
    this.response.destroy()
  }
}

/** Creates the error body that all failures sent to callers have in common. */
export function createErrorBody (failure: failures.Failure): unknown {
  const { category } = diagnosticTable.diagnostics[failure.code]
  const { message, code, verdict } = failure
  return { error: { message, type: `${category}_error`, code, verdict } }
}

function createFailureHeaders (failure: failures.Failure): Headers {
  const headers: Record<string, string> = {}
  if (failure.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(failure.retryAfterMs / 1000)))
  }
  if (closingCodes.has(failure.code)) {
    headers['connection'] = 'close'
  }
  return headers
}
