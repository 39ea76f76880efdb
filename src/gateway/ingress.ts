/**
 * The listeners for callers and for the balancer's readiness probe.
 *
 * Callers' bytes are forwarded unchanged, so the listener uses Node's own requests and responses: a web framework would
 * rewrite headers and hide how a response ends.
 */
import * as http from 'node:http'
import * as net from 'node:net'
import * as callerConnections from './caller_connection.js'
import * as host from '../host/types.js'
import * as httpListeners from '../daemon/http_listener.js'
import * as identities from '../contracts/identity.js'
import * as requestHeads from '../host/request_head.js'
import * as routing from '../contracts/routing.js'

/** Limit of the parser on a request's head; the configured limit is checked later. */
const maximumParsedHeadBytes = 131_072
const slowCallerCheckPeriodMs = 500
const backlogConnections = 1_024

export class Ingress {
  private readonly server: http.Server
  private readonly callers = new Map<net.Socket, callerConnections.CallerConnection>()

  constructor (listener: callerConnections.RequestListener, clock: host.Clock, log: host.Log) {
    this.server = http.createServer({
      maxHeaderSize: maximumParsedHeadBytes,
      connectionsCheckingInterval: slowCallerCheckPeriodMs,
      keepAlive: true,
      noDelay: true,
      ...requestHeads.uncheckedHead
    })
    requestHeads.onRequest(this.server, (request, response) => this.callers.get(request.socket)?.receive(request, response))
    this.server.requestTimeout = 0
    this.server.on('connection', (socket: net.Socket) => {
      this.callers.set(socket, new callerConnections.CallerConnection(socket, listener, clock, log))
      socket.on('close', () => this.callers.delete(socket))
    })
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: net.Socket) => this.callers.get(socket)?.refuse(error))
    this.server.on('connect', (request: http.IncomingMessage) => this.callers.get(request.socket)?.refuseTunnel())
    this.server.on('timeout', (socket: net.Socket) => this.callers.get(socket)?.expireIdle())
  }

  get connections (): number {
    return this.callers.size
  }

  /** Number of connections with a request that has no complete answer yet. */
  get busyConnections (): number {
    let count = 0
    for (const caller of this.callers.values()) {
      count += caller.isBusy ? 1 : 0
    }
    return count
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

  /** Stops accepting connections; the open ones are used on. */
  stopAccepting (): void {
    // The HTTP server's own method would also destroy idle connections, with requests that lie in them.
    net.Server.prototype.close.call(this.server)
  }

  /** Closes each connection behind the answer in progress on it; what callers send afterwards is discarded. */
  closeConnections (): void {
    for (const caller of this.callers.values()) {
      caller.close('exit')
    }
  }

  /** Reports the answers that the process leaves unfinished at its end. */
  abandonAnswers (): void {
    for (const caller of this.callers.values()) {
      caller.abandon()
    }
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
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
