/**
 * The listeners for callers and for the balancer's readiness probe.
 *
 * Callers' bytes are forwarded unchanged, so the listener uses Node's own requests and responses: a web framework would
 * rewrite headers and hide how a response ends.
 */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as host from '../host/types.js'
import * as httpListeners from '../daemon/http_listener.js'
import * as identities from '../contracts/identity.js'
import * as routing from '../contracts/routing.js'

/** Limit of the parser on a request's head; the configured limit is checked later. */
const maximumParsedHeadBytes = 131_072
const slowCallerCheckPeriodMs = 500
const backlogConnections = 1_024

export class Ingress {
  private readonly server: http.Server
  private readonly sockets = new Set<net.Socket>()

  constructor (
    handle: (request: http.IncomingMessage, response: http.ServerResponse) => void,
    private readonly log: host.Log
  ) {
    this.server = http.createServer({
      maxHeaderSize: maximumParsedHeadBytes,
      connectionsCheckingInterval: slowCallerCheckPeriodMs,
      keepAlive: true,
      noDelay: true
    }, handle)
    this.server.requestTimeout = 0
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('close', () => this.sockets.delete(socket))
    })
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: net.Socket) => this.reject(error, socket))
  }

  get connections (): number {
    return this.sockets.size
  }

  async start (address: identities.Address): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen({ host: address.host, port: address.port, backlog: backlogConnections }, resolve)
    })
  }

  /** Applies the limits of a configuration to later requests. */
  setLimits (limits: routing.IngressLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs
  }

  /** Stops accepting connections and closes those without a request. */
  stopAccepting (): void {
    this.server.close()
    this.server.closeIdleConnections()
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private reject (error: NodeJS.ErrnoException, socket: net.Socket): void {
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    const status = error.code === 'HPE_HEADER_OVERFLOW'
      ? '431 Request Header Fields Too Large'
      : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'
    this.log.info('request not readable', { reason: error.code, status })
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  }
}

/** Answers the balancer's probe. */
export class ReadinessListener {
  private readonly server: http.Server

  constructor (path: string, isReady: () => boolean) {
    this.server = http.createServer((request, response) => {
      const isProbe = request.url === path
      response.writeHead(!isProbe ? 404 : isReady() ? 200 : 503, { 'Content-Length': '0' })
      response.end()
    })
  }

  start (address: identities.Address): Promise<void> {
    return httpListeners.listen(this.server, address)
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}
