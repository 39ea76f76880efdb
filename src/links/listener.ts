/**
 * Server side of links: accepts sessions of other processes and answers their calls.
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
import * as identities from '../contracts/identity.js'
import * as protocol from '../contracts/protocol.js'
import * as sessions from './sessions.js'
import * as types from './types.js'

/** Bytes that may come before a session is open: its opening is a message below 2 KB. */
const maximumUnprovenBytes = 65_536
const standardUnproven = 256

/** Accepts sessions on one address. */
export class Listener {
  private readonly sessions: sessions.Sessions
  private readonly sockets: ws.WebSocketServer
  private readonly server: http.Server
  private readonly rpc = new jsonrpc.JSONRPCServer<sessions.ListenerSession>()
  /** Connections on which no session has been opened, oldest first. */
  private readonly unproven = new Set<net.Socket>()

  constructor (
    private readonly context: linkContexts.LinkContext,
    handlers: types.Handlers,
    private readonly observer: types.SessionObserver,
    private readonly maximumUnproven = standardUnproven
  ) {
    this.sessions = new sessions.Sessions(context.system.clock, context.timing.sessionLeaseMs, observer)
    this.server = createServer(context.security)
    this.sockets = new ws.WebSocketServer({
      server: this.server, perMessageDeflate: false, maxPayload: connections.maximumMessageBytes
    })
    this.sockets.on('connection', (socket, request) => this.accept(socket, request.socket))
    // The HTTP server's errors are emitted here too; `listen` reports them.
    this.sockets.on('error', () => {})
    this.server.on(context.security === undefined ? 'connection' : 'secureConnection', (socket: net.Socket) => this.addUnproven(socket))
    this.addMethods(handlers)
  }

  /** Starts to accept connections and returns the bound address. */
  async listen (address: { readonly host: string, readonly port: number }): Promise<identities.Address> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(address.port, address.host, resolve)
    })
    this.sessions.start()
    return { host: address.host, port: (this.server.address() as net.AddressInfo).port }
  }

  close (): void {
    this.sessions.close()
    for (const socket of this.sockets.clients) {
      socket.terminate()
    }
    this.sockets.close()
    this.server.close()
  }

  /** Bounds what a connection may send, and how many there may be, before the other end has proved the credential. */
  private addUnproven (transport: net.Socket): void {
    const { unproven } = this
    unproven.add(transport)
    transport.on('close', () => unproven.delete(transport))
    const [oldest] = unproven
    if (unproven.size > this.maximumUnproven && oldest !== undefined) {
      unproven.delete(oldest)
      oldest.destroy()
    }
  }

  /** Ends a connection that sends too much before its session is open. */
  private watchUnproven (transport: net.Socket): void {
    const look = (): void => {
      if (!this.unproven.has(transport)) {
        transport.off('data', look)
      } else if (transport.bytesRead > maximumUnprovenBytes) {
        transport.destroy()
      }
    }
    transport.on('data', look)
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
    this.rpc.addMethod('session.close', (_, session) => {
      this.sessions.expire(session)
      return {}
    })
  }

  private async run (
    name: protocol.MethodName, handler: Handler, params: unknown, session: sessions.ListenerSession
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
    let session: sessions.ListenerSession | undefined
    const context = linkContexts.createConnectionContext(this.context)
    const connection: connections.Connection = new connections.Connection(socket, context, 'peer', {
      requested: request => {
        if (request.method === 'session.open') {
          session = this.openSession(connection, request, challenge)
          if (session !== undefined) {
            this.unproven.delete(transport)
          }
          return
        }
        this.answer(connection, request, session)
      },
      received: () => {
        if (session !== undefined) {
          this.sessions.reopen(session)
        }
      },
      notified: (name, notice) => {
        if (session !== undefined) {
          this.observer.notified(session, name, notice as never)
        }
      },
      stampReceived: stamp => {
        if (session !== undefined) {
          piggyback.accept(stamp, session.remote)
        }
      },
      closed: () => session?.detach(connection)
    })
    connection.batchWrites(transport)
    this.watchUnproven(transport)
    connection.notify('session.challenge', { challenge })
    system.clock.after(timing.connectTimeoutMs, () => {
      if (session === undefined) {
        connection.terminate()
      }
    })
  }

  /** Opens or resumes a session. A request without a valid proof is refused; the connection then ends at the connect time-out. */
  private openSession (
    connection: connections.Connection, request: jsonrpc.JSONRPCRequest, challenge: string
  ): sessions.ListenerSession | undefined {
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
    const known = this.sessions.find(id, identity)
    const session = known ?? new sessions.ListenerSession(id, identity)
    session.attach(connection)
    this.sendSessionAnswer(connection, request, parsed.data, known !== undefined)
    this.sessions.add(session)
    return session
  }

  private sendSessionAnswer (
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
    connection: connections.Connection, request: jsonrpc.JSONRPCRequest, session: sessions.ListenerSession | undefined
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
}

type Handler = (params: unknown, session: types.Session) => Promise<failures.Result<unknown>>

/** Wraps a failure as an exception for the JSON-RPC library. */
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

/** Closes the connection: a body that nobody reads could come without end. */
function refuseRequest (_: http.IncomingMessage, response: http.ServerResponse): void {
  response.writeHead(426, { Connection: 'close' }).end()
}
