/**
 * The HTTP server for callers, with the limits that apply before a request reaches the listener.
 */
import * as callerConnections from './caller_connections.js'
import * as callerMemories from './caller_memory.js'
import * as diagnosticTable from '../contracts/diagnostics.js'
import * as failures from '../contracts/failure.js'
import * as http from 'node:http'
import * as memoryBounds from '../host/memory_bounds.js'
import type * as net from 'node:net'
import * as replies from './reply.js'
import * as requestHeads from '../host/request_head.js'
import * as settings from '../contracts/settings.js'
import * as stream from 'node:stream'
import * as types from './types.js'

/** Period of the check for connections whose headers arrive too slowly, in milliseconds. */
const checkPeriodMs = 1000

class CallerServer extends http.Server {
  readonly connected: callerConnections.CallerConnections

  constructor (private readonly listener: http.RequestListener, options: http.ServerOptions, memory: callerMemories.CallerMemory, context: types.EntryContext) {
    super({ ...options, ...requestHeads.uncheckedHead })
    const { callers } = memoryBounds.createConnectionBounds(context.limits)
    this.connected = new callerConnections.CallerConnections(
      callers, memory, context.system.clock, context.meter, (request, response) => this.handle(request, response))
    this.on('connection', (socket: net.Socket) => this.connected.add(socket))
    requestHeads.onRequest(this, (request, response) => this.connected.receive(request, response))
  }

  /** Closes the connections without a request. Node.js would also destroy those whose answer has ended and is still to be written. */
  override closeIdleConnections (): void {
    this.connected.closeUnused()
  }

  /** Closes all connections, those that only wait for their callers to close included. */
  override closeAllConnections (): void {
    super.closeAllConnections()
    this.connected.closeAll()
  }

  private handle (request: http.IncomingMessage, response: http.ServerResponse): void {
    if (requestHeads.refuseInvalidHead(request, response) === undefined) {
      this.listener(request, response)
    }
  }
}

/** Creates the server, not listening yet. Requests that cannot be parsed get the common error body too. */
export function createCallerServer (
  listener: http.RequestListener, memory: callerMemories.CallerMemory, context: types.EntryContext
): http.Server {
  const { limits, timing } = context
  const server = new CallerServer(listener, {
    maxHeaderSize: limits.headerBytes,
    headersTimeout: limits.bodyTimeoutMs,
    requestTimeout: 0,
    keepAliveTimeout: timing.idleMs,
    connectionsCheckingInterval: checkPeriodMs,
    insecureHTTPParser: false
  }, memory, context)
  // Node would silently drop headers beyond this count; the listener rejects the request instead.
  server.maxHeadersCount = 0
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    // What cannot be parsed behind a running request must not be answered in its place: 408 would say that it has not run.
    if (!server.connected.closeBehindAnswers(socket)) {
      refuse(error, socket, limits)
    }
  })
  return server
}

function refuse (error: NodeJS.ErrnoException, socket: stream.Duplex, limits: settings.Limits): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const failure = createFailure(error, limits)
  const { status } = diagnosticTable.diagnostics[failure.code]
  const body = JSON.stringify(replies.createErrorBody(failure))
  const head = [
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}`,
    'Content-Type: application/json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    'Connection: close'
  ]
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`, () => socket.destroy())
}

function createFailure (error: NodeJS.ErrnoException, limits: settings.Limits): failures.Failure {
  switch (error.code) {
    case 'HPE_HEADER_OVERFLOW':
      return failures.createFailure('not_run', 'headers_invalid', [`more than ${limits.headerBytes} bytes`])
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return failures.createFailure('not_run', 'body_too_slow', [limits.bodyTimeoutMs])
    default:
      return failures.createFailure('not_run', 'headers_invalid', ['the request cannot be parsed'])
  }
}
