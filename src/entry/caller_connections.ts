/**
 * The connections of callers: how many may be open, and how many requests may wait on each.
 */
import * as http from 'node:http'
import type * as net from 'node:net'
import type * as stream from 'node:stream'
import type * as bodyIntakes from '../gateway/caller_memory/body_intake.js'
import * as callerMemories from './caller_memory.js'
import * as eventLoop from '../host/event_loop.js'
import * as host from '../host/types.js'
import * as httpParsers from '../host/http_parser.js'
import * as metrics from '../metrics/types.js'

/** Requests that may wait for the answer to one before them on the same connection. */
const maximumWaiting = 32
/** How long the caller may take to close its side behind the last answer: a round trip and a lost packet. */
const lingerMs = 1_000
/** Connections beyond the bound that may be open while those that make room for them are closing. */
const closingPart = 0.25

type Handler = (request: http.IncomingMessage, response: http.ServerResponse) => void

interface CallerExchange {
  readonly request: http.IncomingMessage
  readonly response: http.ServerResponse
  readonly body: bodyIntakes.BodyIntake
}

/** One connection; its requests are handled one after the other, and none behind an answer that closes it. */
export class CallerConnection {
  private readonly waiting: CallerExchange[] = []
  private current: http.ServerResponse | undefined
  private body: bodyIntakes.BodyIntake | undefined
  /** Whether further requests are skipped. */
  private isFull = false
  /** Bytes that had been read when the last request ended. */
  private bytesRead = 0
  private isEnding = false
  idleSinceMs: number

  constructor (
    private readonly socket: net.Socket,
    private readonly memory: callerMemories.CallerMemory,
    private readonly clock: host.Clock,
    private readonly handle: Handler,
    /** Called when the first request is skipped. */
    private readonly overfull: () => void
  ) {
    this.idleSinceMs = clock.monotonicMs()
    // Node.js would destroy the socket behind the last answer, and reset the connection if the caller still sends.
    socket.destroySoon = () => this.end()
    socket.once('close', () => this.dropWaiting())
  }

  /** Whether no request is open. */
  get isIdle (): boolean {
    return this.current === undefined
  }

  /** Whether no request is open and nothing of a further one has been read. */
  get isUnused (): boolean {
    return this.isIdle && this.socket.bytesRead === this.bytesRead
  }

  /** The body that the caller still sends, if no answer has been begun. */
  get openBody (): bodyIntakes.BodyIntake | undefined {
    return this.current?.headersSent === false && this.body?.openSinceMs !== undefined ? this.body : undefined
  }

  /** Takes a request from the parser. */
  receive (request: http.IncomingMessage, response: http.ServerResponse): void {
    if (this.waiting.length >= maximumWaiting) {
      this.skipFurther()
      return
    }
    const body = this.memory.open(request, response)
    if (this.current === undefined) {
      this.begin(request, response, body)
    } else {
      this.waiting.push({ request, response, body })
    }
  }

  destroy (): void {
    this.socket.destroy()
  }

  private begin (request: http.IncomingMessage, response: http.ServerResponse, body: bodyIntakes.BodyIntake): void {
    this.current = response
    this.body = body
    response.once('close', () => {
      this.current = undefined
      this.body = undefined
      this.bytesRead = this.socket.bytesRead
      this.idleSinceMs = this.clock.monotonicMs()
      this.handleNext()
    })
    this.handle(request, response)
  }

  private handleNext (): void {
    if (this.isEnding || !this.socket.writable) {
      return
    }
    const next = this.waiting.shift()
    if (next !== undefined) {
      this.begin(next.request, next.response, next.body)
    } else if (this.isFull) {
      this.end()
    }
  }

  /** Gives the memory of requests back that are not handled any more; their responses never close. */
  private dropWaiting (): void {
    for (const { body } of this.waiting.splice(0)) {
      body.discard()
    }
  }

  /**
   * Takes no further requests; the connection closes behind the answers to those that were taken. Returns false if none is open whose
   * body has been read, so that an answer to what cannot be parsed may be sent.
   */
  closeBehindAnswers (): boolean {
    if (this.current === undefined || this.openBody !== undefined) {
      return false
    }
    this.skipFurther()
    return true
  }

  private skipFurther (): void {
    if (!this.isFull) {
      this.isFull = true
      httpParsers.skipRequests(this.socket)
      // Behind the parser's callback.
      process.nextTick(() => this.stopParsing())
      this.socket.pause()
      this.overfull()
    }
  }

  /** Drops what is read from now on; the parser would make an object of every chunk and every request. */
  private stopParsing (): void {
    this.socket.removeAllListeners('data')
    this.socket.on('data', (piece: Buffer) => this.memory.recordDropped(piece.length))
  }

  /** Closes the sending side, and the connection when the caller has closed its own or has had time to. */
  private end (): void {
    if (this.isEnding || this.socket.destroyed) {
      return
    }
    this.isEnding = true
    this.stopParsing()
    this.socket.resume()
    this.socket.end()
    const stopLinger = this.clock.after(lingerMs, () => this.socket.destroy())
    this.socket.once('close', stopLinger)
  }
}

/** Keeps the connections of a server within a bound. */
export class CallerConnections {
  private readonly open = new Map<net.Socket, CallerConnection>()
  /** Whether the connections are to be read later. */
  private isPostponed = false

  constructor (
    private readonly maximum: number,
    private readonly memory: callerMemories.CallerMemory,
    private readonly clock: host.Clock,
    private readonly meter: metrics.Meter,
    private readonly handle: Handler
  ) {}

  /** Adds a connection, and closes it or another one if there are too many. */
  add (socket: net.Socket): void {
    if (this.open.size >= this.maximum && !this.makeRoom()) {
      this.meter.count('caller_connections_closed_total', { reason: 'refused' })
      socket.destroy()
      return
    }
    this.open.set(socket, new CallerConnection(socket, this.memory, this.clock, this.handle, () => this.postponeReads()))
    socket.once('close', () => this.open.delete(socket))
  }

  receive (request: http.IncomingMessage, response: http.ServerResponse): void {
    this.open.get(request.socket)?.receive(request, response)
  }

  /** Closes a connection behind the answers to its requests; false if there are none to wait for. */
  closeBehindAnswers (socket: stream.Duplex): boolean {
    return this.open.get(socket as net.Socket)?.closeBehindAnswers() === true
  }

  /** Closes the connections without a request. */
  closeUnused (): void {
    for (const connection of this.open.values()) {
      if (connection.isUnused) {
        connection.destroy()
      }
    }
  }

  closeAll (): void {
    for (const connection of this.open.values()) {
      connection.destroy()
    }
  }

  /**
   * Lets the other connections be read when the event loop has closed what was cut: one read may bring hundreds of requests, which take memory
   * until then, and many connections may be read in one turn of the loop.
   */
  private postponeReads (): void {
    if (this.isPostponed) {
      return
    }
    this.isPostponed = true
    const postponed = [...this.open.keys()].filter(socket => !socket.isPaused())
    for (const socket of postponed) {
      socket.pause()
    }
    eventLoop.afterSocketReads(() => {
      this.isPostponed = false
      for (const socket of postponed) {
        socket.resume()
      }
    })
  }

  /**
   * Closes the connection that has had no open request for longest, otherwise ends the body of which nothing has come for longest. Returns
   * whether a further connection may be open.
   */
  private makeRoom (): boolean {
    const idle = this.findIdle()
    if (idle !== undefined) {
      this.meter.count('caller_connections_closed_total', { reason: 'idle' })
      idle.destroy()
      return true
    }
    if (this.open.size >= this.maximum * (1 + closingPart)) {
      return false
    }
    this.findSlowestBody()?.endForConnection()
    return true
  }

  private findIdle (): CallerConnection | undefined {
    let found: CallerConnection | undefined
    for (const connection of this.open.values()) {
      if (connection.isIdle && connection.idleSinceMs < (found?.idleSinceMs ?? Infinity)) {
        found = connection
      }
    }
    return found
  }

  private findSlowestBody (): bodyIntakes.BodyIntake | undefined {
    let found: bodyIntakes.BodyIntake | undefined
    for (const { openBody } of this.open.values()) {
      if (openBody !== undefined && (openBody.openSinceMs ?? Infinity) < (found?.openSinceMs ?? Infinity)) {
        found = openBody
      }
    }
    return found
  }
}
