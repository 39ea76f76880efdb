/**
 * One WebSocket connection that carries JSON-RPC messages, each with a stamp.
 */
import * as jsonrpc from 'json-rpc-2.0'
import * as net from 'node:net'
import * as ws from 'ws'
import * as z from 'zod'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as protocol from '../contracts/protocol.js'
import * as traffics from './traffic.js'
import * as types from './types.js'

/** Size limit of a WebSocket message. */
export const maximumMessageBytes = 16 * 1024 * 1024

/** Size of a WebSocket ping or pong frame from a client without payload, for the traffic totals. */
const pingBytes = 6

/** Code of JSON-RPC errors that carry a failure in their data. */
export const failureErrorCode = -32000

const Stamp = z.object({ tick: z.number().int().nonnegative(), version: z.number().int().nonnegative() })

/** State shared by the connections of a process. */
export interface ConnectionContext {
  readonly clock: host.Clock
  readonly piggyback: types.Piggyback
  readonly traffic: traffics.Traffic
}

/** Callbacks of the owner of a connection. */
export interface ConnectionEvents {
  readonly requested: (request: jsonrpc.JSONRPCRequest) => void
  readonly notified: (name: protocol.NotificationName, notice: unknown) => void
  /** A message or a heartbeat arrived. */
  readonly received: () => void
  readonly stampReceived: (stamp: types.Stamp) => void
  readonly closed: () => void
}

export class Connection {
  private readonly rpc: jsonrpc.JSONRPCClient
  private readonly lossHandlers = new Set<() => void>()
  /** Callbacks of pending probes by the payload of their ping. */
  private readonly probes = new Map<string, () => void>()
  private probeCount = 0
  private receivedAtMs: number
  private sentAtMs: number
  private closed = false
  private transport: net.Socket | undefined

  constructor (
    private readonly socket: ws.WebSocket,
    private readonly context: ConnectionContext,
    private readonly peer: string,
    private readonly events: ConnectionEvents
  ) {
    this.receivedAtMs = context.clock.monotonicMs()
    this.sentAtMs = this.receivedAtMs
    this.rpc = new jsonrpc.JSONRPCClient(payload => this.send(payload))
    socket.on('message', data => this.receive(data as Buffer))
    socket.on('ping', () => this.recordReceipt())
    socket.on('pong', payload => this.handlePong(payload))
    socket.on('close', () => this.handleClose())
    socket.on('error', () => this.terminate())
  }

  get isOpen (): boolean {
    return !this.closed && this.socket.readyState === ws.WebSocket.OPEN
  }

  /** Time of the last message or heartbeat received, on the monotonic clock. */
  get lastReceivedMs (): number {
    return this.receivedAtMs
  }

  /** Time of the last message or heartbeat sent or received, on the monotonic clock. */
  get lastUsedMs (): number {
    return Math.max(this.receivedAtMs, this.sentAtMs)
  }

  /** Time of the last message or heartbeat sent, on the monotonic clock. */
  get lastSentMs (): number {
    return this.sentAtMs
  }

  get bufferedBytes (): number {
    return this.socket.bufferedAmount
  }

  /** Batches the messages sent while one event is handled into one write to the transport. */
  batchWrites (transport: net.Socket): void {
    this.transport = transport
  }

  /** Sends a message; drops it when the connection is not open. */
  send (message: jsonrpc.JSONRPCRequest | jsonrpc.JSONRPCResponse): void {
    if (!this.isOpen) {
      return
    }
    this.sentAtMs = this.context.clock.monotonicMs()
    const text = JSON.stringify({ ...message, stamp: this.context.piggyback.stamp() })
    this.context.traffic.add('sent', 'method' in message ? message.method : undefined, text.length)
    this.corkTransport()
    this.socket.send(text)
  }

  notify (name: protocol.NotificationName, notice: unknown): void {
    this.send({ jsonrpc: '2.0', method: name, params: notice })
  }

  /** Calls the other end. The verdict is `may_have_run` if the connection is lost or the call times out. */
  call<Method extends protocol.MethodName> (
    method: Method,
    params: protocol.Params<Method>,
    timeoutMs: number
  ): Promise<failures.Result<protocol.Answer<Method>>> {
    if (!this.isOpen) {
      return Promise.resolve(failures.fail(failures.createFailure('not_run', 'link_lost', [this.peer])))
    }
    return new Promise(resolve => {
      const settle = (result: failures.Result<protocol.Answer<Method>>): void => {
        stopTimer()
        this.lossHandlers.delete(handleLoss)
        resolve(result)
      }
      const handleLoss = (): void => {
        settle(failures.fail(failures.createFailure('may_have_run', 'link_lost', [this.peer])))
      }
      const stopTimer = this.context.clock.after(timeoutMs, () => {
        settle(failures.fail(failures.createFailure('may_have_run', 'link_timeout', [this.peer, timeoutMs])))
      })
      this.lossHandlers.add(handleLoss)
      this.rpc.request(method, params).then(
        answer => settle(parseAnswer(method, answer)),
        (error: unknown) => settle(failures.fail(parseError(error)))
      )
    })
  }

  /** Sends a ping, which the other end's WebSocket library answers with a pong. */
  ping (payload = ''): void {
    if (!this.isOpen) {
      return
    }
    this.sentAtMs = this.context.clock.monotonicMs()
    this.context.traffic.add('sent', undefined, pingBytes + payload.length)
    this.socket.ping(payload)
  }

  /** Sends an unsolicited pong: a heartbeat that needs no answer. */
  pong (): void {
    if (!this.isOpen) {
      return
    }
    this.sentAtMs = this.context.clock.monotonicMs()
    this.context.traffic.add('sent', undefined, pingBytes)
    this.socket.pong()
  }

  /** Drops the connection without a closing handshake. */
  terminate (): void {
    this.socket.terminate()
    this.handleClose()
  }

  close (): void {
    this.socket.close()
    this.handleClose()
  }

  /**
   * Sends a ping and returns whether its own pong arrives within `timeoutMs`. Other messages do not count: those
   * sent earlier may still arrive after the connection has stopped working.
   */
  probe (timeoutMs: number): Promise<boolean> {
    this.probeCount += 1
    const payload = String(this.probeCount)
    return new Promise(resolve => {
      const settle = (isAnswered: boolean): void => {
        stopTimer()
        this.probes.delete(payload)
        this.lossHandlers.delete(handleLoss)
        resolve(isAnswered)
      }
      const handleLoss = (): void => settle(false)
      const stopTimer = this.context.clock.after(timeoutMs, handleLoss)
      this.probes.set(payload, () => settle(true))
      this.lossHandlers.add(handleLoss)
      this.ping(payload)
    })
  }

  /** Buffers writes until the current event has been handled. */
  private corkTransport (): void {
    const { transport } = this
    if (transport === undefined || transport.writableCorked > 0) {
      return
    }
    transport.cork()
    process.nextTick(() => transport.uncork())
  }

  private handleClose (): void {
    if (this.closed) {
      return
    }
    this.closed = true
    for (const handleLoss of [...this.lossHandlers]) {
      handleLoss()
    }
    this.events.closed()
  }

  private recordReceipt (): void {
    this.receivedAtMs = this.context.clock.monotonicMs()
    this.events.received()
  }

  private handlePong (payload: Buffer): void {
    this.recordReceipt()
    this.probes.get(payload.toString())?.()
  }

  private receive (data: Buffer): void {
    if (this.closed) {
      return
    }
    this.recordReceipt()
    const message = tryParse(data)
    if (message === undefined) {
      this.terminate()
      return
    }
    this.context.traffic.add('received', message.method, data.length)
    const stamp = Stamp.safeParse(message.stamp)
    if (stamp.success) {
      this.events.stampReceived(stamp.data)
    }
    this.dispatch(message)
  }

  private dispatch (message: object): void {
    if (jsonrpc.isJSONRPCResponse(message)) {
      this.rpc.receive(message)
      return
    }
    if (!jsonrpc.isJSONRPCRequest(message)) {
      this.terminate()
      return
    }
    if (message.id !== undefined) {
      this.events.requested(message)
      return
    }
    this.dispatchNotice(message.method, message.params)
  }

  private dispatchNotice (name: string, params: unknown): void {
    if (!Object.hasOwn(protocol.notifications, name)) {
      return
    }
    const known = name as protocol.NotificationName
    const notice = protocol.notifications[known].safeParse(params)
    if (notice.success) {
      this.events.notified(known, notice.data)
    }
  }
}

/** A parsed message before validation. */
interface Envelope {
  readonly method?: string
  readonly stamp?: unknown
}

function tryParse (data: Buffer): Envelope | undefined {
  try {
    const value: unknown = JSON.parse(String(data))
    return typeof value === 'object' && value !== null ? value : undefined
  } catch {
    return undefined
  }
}

function parseAnswer<Method extends protocol.MethodName> (
  method: Method, answer: unknown
): failures.Result<protocol.Answer<Method>> {
  const parsed = protocol.methods[method].result.safeParse(answer)
  if (!parsed.success) {
    return failures.fail(failures.createFailure('may_have_run', 'message_invalid', [method, parsed.error.message]))
  }
  return failures.succeed(parsed.data as protocol.Answer<Method>)
}

function parseError (error: unknown): failures.Failure {
  if (error instanceof jsonrpc.JSONRPCErrorException) {
    const failure = failures.Failure.safeParse(error.data)
    if (failure.success) {
      return failure.data
    }
  }
  return failures.createFailure('may_have_run', 'internal', [String(error)])
}
