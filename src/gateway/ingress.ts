/**
 * The listeners for callers and for the balancer's readiness probe.
 *
 * Callers' bytes are forwarded unchanged, so the listener uses Node's own requests and responses: a web framework would
 * rewrite headers and hide how a response ends.
 */
import * as http from 'node:http'
import * as net from 'node:net'
import type * as bodyIntakes from './caller_memory/body_intake.js'
import * as callerConnections from './caller_connection.js'
import * as host from '../host/types.js'
import * as httpListeners from '../daemon/http_listener.js'
import * as identities from '../contracts/identity.js'
import * as requestHeads from '../host/request_head.js'
import * as routing from '../contracts/routing.js'

/**
 * Limits of the parser on a request's head, which it keeps until the head ends. The configured limit is checked later, so that a head that
 * exceeds it is answered in turn; one that is twice as long ends its connection.
 */
const maximumParsedHeadBytes = 131_072
const minimumParsedHeadBytes = 16_384
const parsedHeadFactor = 2
/** Connections beyond the bound that may be open while those that make room for them are closing. */
const closingPart = 0.25
const slowCallerCheckPeriodMs = 500
const backlogConnections = 1_024

export class Ingress {
  private readonly server: http.Server
  /** Connections that were closed for others, and that found no room, since the start. */
  closedForOthers = 0
  refusedConnections = 0
  private reported = { closed: 0, refused: 0 }
  private readonly callers = new Map<net.Socket, callerConnections.CallerConnection>()

  constructor (listener: callerConnections.RequestListener, clock: host.Clock, private readonly log: host.Log, intake: bodyIntakes.IntakeOptions, private readonly maximumConnections: number) {
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
      if (this.callers.size >= this.maximumConnections && !this.makeRoom()) {
        this.refusedConnections += 1
        socket.destroy()
        return
      }
      this.callers.set(socket, new callerConnections.CallerConnection(socket, listener, clock, log, intake))
      socket.on('close', () => this.callers.delete(socket))
    })
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: net.Socket) => this.callers.get(socket)?.refuse(error))
    this.server.on('connect', (request: http.IncomingMessage) => this.callers.get(request.socket)?.refuseTunnel())
    this.server.on('timeout', (socket: net.Socket) => this.callers.get(socket)?.expireIdle())
  }

  get connections (): number {
    return this.callers.size
  }

  /** Logs how many connections were closed or refused since the last call, if any were. */
  reportBound (): void {
    const { closedForOthers, refusedConnections } = this
    if (closedForOthers !== this.reported.closed || refusedConnections !== this.reported.refused) {
      this.log.warn('connections at their bound', {
        open: this.callers.size, bound: this.maximumConnections, closed: closedForOthers - this.reported.closed, refused: refusedConnections - this.reported.refused
      })
      this.reported = { closed: closedForOthers, refused: refusedConnections }
    }
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
    const parsedBytes = Math.min(maximumParsedHeadBytes, Math.max(minimumParsedHeadBytes, limits.headerBytes * parsedHeadFactor))
    Object.assign(this.server, { maxHeaderSize: parsedBytes })
    this.server.keepAliveTimeout = limits.idleTimeoutMs
  }

  /**
   * Closes the connection that is needed least: one without a request, first those that never had one, otherwise the one on whose body nothing
   * has come for longest. Returns whether a further one may be open.
   */
  private makeRoom (): boolean {
    if (this.callers.size >= this.maximumConnections * (1 + closingPart)) {
      return this.closeIdle()
    }
    if (!this.closeIdle()) {
      this.endSlowestBody()
    }
    return true
  }

  private closeIdle (): boolean {
    let found: callerConnections.CallerConnection | undefined
    let foundMs = Infinity
    for (const caller of this.callers.values()) {
      const { idleSinceMs, isUsed } = caller
      if (idleSinceMs === undefined || (found !== undefined && !found.isUsed && isUsed)) {
        continue
      }
      if (idleSinceMs < foundMs || (found?.isUsed === true && !isUsed)) {
        found = caller
        foundMs = idleSinceMs
      }
    }
    if (found === undefined) {
      return false
    }
    this.closedForOthers += 1
    found.closeForConnection()
    return true
  }

  private endSlowestBody (): void {
    let found: bodyIntakes.BodyIntake | undefined
    for (const { openBody } of this.callers.values()) {
      if (openBody !== undefined && (openBody.openSinceMs ?? Infinity) < (found?.openSinceMs ?? Infinity)) {
        found = openBody
      }
    }
    if (found !== undefined) {
      this.closedForOthers += 1
      found.endForConnection()
    }
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

  constructor (path: string, isReady: () => boolean, private readonly maximumConnections = Infinity) {
    this.server = http.createServer((request, response) => {
      const isProbe = request.url === path
      response.writeHead(!isProbe ? 404 : isReady() ? 200 : 503, { 'Content-Length': '0', ...httpListeners.closeBehindBody(request) })
      response.end()
    })
  }

  start (address: identities.Address): Promise<void> {
    return httpListeners.listen(this.server, address, this.maximumConnections)
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}
