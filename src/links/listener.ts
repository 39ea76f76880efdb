/**
 * Accepts sessions of other processes and answers their calls.
 */
import * as http from 'node:http'
import * as https from 'node:https'
import * as jsonrpc from 'json-rpc-2.0'
import * as net from 'node:net'
import * as ws from 'ws'
import * as linkContexts from './link_context.js'
import * as connections from './connection.js'
import * as credentials from './credential.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as protocol from '../contracts/protocol.js'
import * as types from './types.js'

/** How often sessions are checked against their lease, as a share of it. */
const leaseChecksPerLease = 15

class ListenerSession extends types.Session {
  private connection: connections.Connection | undefined
  private heardAtMs = 0
  /** Whether the last check found the lease over. */
  isOverdue = false
  hasExpired = false

  constructor (override readonly id: string, override readonly remote: identities.Identity) {
    super()
  }

  override get isOpen (): boolean {
    return this.connection?.isOpen ?? false
  }

  override get bufferedBytes (): number {
    return this.connection?.bufferedBytes ?? 0
  }

  get lastHeardMs (): number {
    return Math.max(this.heardAtMs, this.connection?.lastHeardMs ?? 0)
  }

  override notify<Name extends protocol.NotificationName> (name: Name, notice: protocol.Notice<Name>): void {
    this.connection?.notify(name, notice)
  }

  /** Moves the session to a newer connection. */
  attach (connection: connections.Connection): void {
    const previous = this.connection
    this.connection = connection
    previous?.terminate()
  }

  /** Forgets the connection if it is still the session's. */
  detach (connection: connections.Connection): void {
    if (this.connection !== connection) {
      return
    }
    this.heardAtMs = connection.lastHeardMs
    this.connection = undefined
  }

  close (): void {
    this.connection?.close()
  }
}

/** Accepts sessions on one address. */
export class Listener {
  private readonly sessions = new Map<string, ListenerSession>()
  private readonly sockets: ws.WebSocketServer
  private readonly server: http.Server
  private readonly rpc = new jsonrpc.JSONRPCServer<ListenerSession>()
  private stopChecks: host.Stop = () => {}

  constructor (
    private readonly context: linkContexts.LinkContext,
    handlers: types.Handlers,
    private readonly observer: types.SessionObserver
  ) {
    this.server = createServer(context.security)
    this.sockets = new ws.WebSocketServer({
      server: this.server, perMessageDeflate: false, maxPayload: connections.maximumMessageBytes
    })
    this.sockets.on('connection', (socket, request) => this.accept(socket, request.socket))
    // Errors of the server are passed on here too; `listen` reports them.
    this.sockets.on('error', () => {})
    this.addMethods(handlers)
  }

  /** Starts to accept; returns the address that was bound. */
  async listen (address: { readonly host: string, readonly port: number }): Promise<identities.Address> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(address.port, address.host, resolve)
    })
    const periodMs = this.context.timing.sessionLeaseMs / leaseChecksPerLease
    this.stopChecks = this.context.system.clock.every(periodMs, () => this.checkLeases())
    return { host: address.host, port: (this.server.address() as net.AddressInfo).port }
  }

  listSessions (): readonly types.Session[] {
    return [...this.sessions.values()]
  }

  close (): void {
    this.stopChecks()
    for (const session of this.sessions.values()) {
      session.close()
    }
    for (const socket of this.sockets.clients) {
      socket.terminate()
    }
    this.sockets.close()
    this.server.close()
  }

  private addMethods (handlers: types.Handlers): void {
    this.rpc.mapErrorToJSONRPCErrorResponse = (id, error) => createErrorResponse(id, error)
    for (const name of Object.keys(handlers) as protocol.MethodName[]) {
      this.rpc.addMethod(name, (params, session) => this.run(name, handlers[name] as Handler, params, session))
    }
    this.rpc.addMethod('session.heartbeat', (params, session) => {
      const handler = handlers['session.heartbeat'] as Handler | undefined
      return handler === undefined ? {} : this.run('session.heartbeat', handler, params, session)
    })
    this.rpc.addMethod('session.close', (_, session) => this.expire(session))
  }

  private async run (
    name: protocol.MethodName, handler: Handler, params: unknown, session: ListenerSession
  ): Promise<unknown> {
    const parsed = protocol.methods[name].params.safeParse(params)
    if (!parsed.success) {
      throw new FailureError(failures.createFailure('not_run', 'message_invalid', [name, parsed.error.message]))
    }
    const result = await handler(parsed.data, session)
    if (result.isLeft()) {
      throw new FailureError(result.extract() as failures.Failure)
    }
    return result.extract()
  }

  private accept (socket: ws.WebSocket, transport: net.Socket): void {
    const { system, piggyback, timing } = this.context
    const challenge = system.random.nextId()
    let session: ListenerSession | undefined
    const context = linkContexts.createConnectionContext(this.context)
    const connection: connections.Connection = new connections.Connection(socket, context, 'peer', {
      requested: request => {
        if (request.method === 'session.open') {
          session = this.open(connection, request, challenge)
          return
        }
        this.answer(connection, request, session)
      },
      heard: () => {
        if (session !== undefined) {
          this.revive(session)
        }
      },
      noticed: (name, notice) => {
        if (session !== undefined) {
          this.observer.noticed(session, name, notice as never)
        }
      },
      stamped: stamp => {
        if (session !== undefined) {
          piggyback.accept(stamp, session.remote)
        }
      },
      closed: () => session?.detach(connection)
    })
    connection.joinWrites(transport)
    connection.notify('session.challenge', { challenge })
    system.clock.after(timing.connectTimeoutMs, () => {
      if (session === undefined) {
        connection.terminate()
      }
    })
  }

  /** Opens or takes up a session; a proof that is not valid ends the connection. */
  private open (
    connection: connections.Connection, request: jsonrpc.JSONRPCRequest, challenge: string
  ): ListenerSession | undefined {
    const parsed = protocol.SessionOpen.safeParse(request.params)
    if (!parsed.success) {
      this.refuse(connection, request, failures.createFailure('not_run', 'message_invalid', ['session.open', '']))
      return undefined
    }
    const { session: id, identity, proof } = parsed.data
    if (!credentials.isValidProof(this.context.credential, { side: 'client', challenge, session: id, identity }, proof)) {
      this.refuse(connection, request, failures.createFailure('not_run', 'credential_invalid', [identity.node]))
      return undefined
    }
    const known = this.findSession(id, identity)
    const session = known ?? new ListenerSession(id, identity)
    this.sessions.set(id, session)
    session.attach(connection)
    this.welcome(connection, request, parsed.data, known !== undefined)
    this.revive(session)
    if (known === undefined) {
      this.observer.opened(session)
    }
    return session
  }

  private findSession (id: string, identity: identities.Identity): ListenerSession | undefined {
    const known = this.sessions.get(id)
    if (known === undefined || known.remote.boot !== identity.boot || known.hasExpired) {
      return undefined
    }
    return known
  }

  private welcome (
    connection: connections.Connection, request: jsonrpc.JSONRPCRequest,
    params: protocol.Params<'session.open'>, resumed: boolean
  ): void {
    const { identity, credential } = this.context
    const claim: credentials.Claim = {
      side: 'listener', challenge: params.challenge, session: params.session, identity
    }
    const result: protocol.Answer<'session.open'> = {
      identity, proof: credentials.createProof(credential, claim), resumed
    }
    connection.send(jsonrpc.createJSONRPCSuccessResponse(request.id ?? null, result))
  }

  private answer (
    connection: connections.Connection, request: jsonrpc.JSONRPCRequest, session: ListenerSession | undefined
  ): void {
    if (session === undefined) {
      this.refuse(connection, request, failures.createFailure('not_run', 'session_unknown'))
      return
    }
    this.rpc.receive(request, session).then(response => {
      if (response !== null) {
        connection.send(response)
      }
    })
  }

  private refuse (
    connection: connections.Connection, request: jsonrpc.JSONRPCRequest, failure: failures.Failure
  ): void {
    connection.send(createErrorResponse(request.id ?? null, new FailureError(failure)))
  }

  /** A session that was heard again after its lease starts anew, without its former work. */
  private revive (session: ListenerSession): void {
    if (!session.hasExpired) {
      return
    }
    session.hasExpired = false
    this.observer.opened(session)
  }

  private checkLeases (): void {
    const now = this.context.system.clock.monotonicMs()
    for (const session of [...this.sessions.values()]) {
      const isOverdue = now - session.lastHeardMs >= this.context.timing.sessionLeaseMs
      // What arrived while this process was paused is read between two checks, so that its own pause ends no session.
      if (isOverdue && session.isOverdue) {
        this.expire(session)
      }
      session.isOverdue = isOverdue
    }
  }

  private expire (session: ListenerSession): Record<string, never> {
    if (!session.isOpen) {
      this.sessions.delete(session.id)
    }
    if (!session.hasExpired) {
      session.hasExpired = true
      this.observer.expired(session)
    }
    return {}
  }
}

type Handler = (params: unknown, session: types.Session) => Promise<failures.Result<unknown>>

/** Carries a failure through the JSON-RPC library. */
class FailureError extends Error {
  constructor (readonly failure: failures.Failure) {
    super(failure.message)
  }
}

function createErrorResponse (id: jsonrpc.JSONRPCID, error: unknown): jsonrpc.JSONRPCErrorResponse {
  const failure = error instanceof FailureError
    ? error.failure
    : failures.createFailure('may_have_run', 'internal', [String(error)])
  return jsonrpc.createJSONRPCErrorResponse(id, connections.failureErrorCode, failure.message, failure)
}

function createServer (security: types.Security | undefined): http.Server {
  if (security === undefined) {
    return http.createServer(refuseRequest)
  }
  return https.createServer({
    ca: security.authority,
    cert: security.certificate,
    key: security.key,
    requestCert: true,
    rejectUnauthorized: true
  }, refuseRequest)
}

function refuseRequest (_: http.IncomingMessage, response: http.ServerResponse): void {
  response.writeHead(426).end()
}
