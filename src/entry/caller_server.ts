/**
 * The HTTP server for callers, with the limits that apply before a request reaches the listener.
 */
import * as diagnosticTable from '../contracts/diagnostics.js'
import * as failures from '../contracts/failure.js'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as replies from './reply.js'
import * as requestHeads from '../host/request_head.js'
import * as settings from '../contracts/settings.js'
import * as stream from 'node:stream'

/** Period of the check for connections whose headers arrive too slowly, in milliseconds. */
const checkPeriodMs = 1000

/** A caller's connection: its latest response, and the bytes that it had read when that response was sent. */
interface CallerConnection {
  response: http.ServerResponse | undefined
  bytesRead: number
}

class CallerServer extends http.Server {
  private readonly connected = new Map<net.Socket, CallerConnection>()

  constructor (private readonly listener: http.RequestListener, options: http.ServerOptions) {
    super({ ...options, ...requestHeads.uncheckedHead })
    this.on('connection', (socket: net.Socket) => {
      this.connected.set(socket, { response: undefined, bytesRead: 0 })
      socket.on('close', () => this.connected.delete(socket))
    })
    requestHeads.onRequest(this, (request, response) => this.handleInTurn(request, response))
  }

  /** Closes the connections without a request. Node.js would also destroy those whose answer has ended and is still to be written. */
  override closeIdleConnections (): void {
    for (const [socket, { response, bytesRead }] of this.connected) {
      if (response?.closed !== false && socket.bytesRead === bytesRead) {
        socket.destroy()
      }
    }
  }

  /** Handles the requests of a connection one after the other, and none behind an answer that closes it: that one would run without an answer. */
  private handleInTurn (request: http.IncomingMessage, response: http.ServerResponse): void {
    const { socket } = request
    const connection = this.connected.get(socket)
    if (connection === undefined) {
      return
    }
    const { response: before } = connection
    connection.response = response
    response.once('close', () => {
      connection.bytesRead = socket.bytesRead
    })
    if (before === undefined || before.closed) {
      this.handle(request, response)
      return
    }
    before.once('close', () => {
      if (socket.writable) {
        this.handle(request, response)
      }
    })
  }

  private handle (request: http.IncomingMessage, response: http.ServerResponse): void {
    if (requestHeads.refuseInvalidHead(request, response) === undefined) {
      this.listener(request, response)
    }
  }
}

/** Creates the server, not listening yet. Requests that cannot be parsed get the common error body too. */
export function createCallerServer (
  listener: http.RequestListener, limits: settings.Limits, timing: settings.Timing
): http.Server {
  const server = new CallerServer(listener, {
    maxHeaderSize: limits.headerBytes,
    headersTimeout: limits.bodyTimeoutMs,
    requestTimeout: 0,
    keepAliveTimeout: timing.idleMs,
    connectionsCheckingInterval: checkPeriodMs,
    insecureHTTPParser: false
  })
  // Node would silently drop headers beyond this count; the listener rejects the request instead.
  server.maxHeadersCount = 0
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => refuse(error, socket, limits))
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
