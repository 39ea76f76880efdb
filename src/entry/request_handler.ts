/**
 * Routes callers' HTTP requests after checking headers, limits and keys. Checks that can reject a request run
 * before any expensive work.
 */
import * as buffer from 'node:buffer'
import * as authenticators from './authenticator.js'
import * as callerMemories from './caller_memory.js'
import * as calls from './calls.js'
import * as completionsApi from './completions_api.js'
import * as exchanges from './exchanges.js'
import * as failures from '../contracts/failure.js'
import * as generations from './generations.js'
import * as h3 from 'h3/node'
import * as headerChecks from './headers.js'
import * as http from 'node:http'
import * as types from './types.js'

/** Decides whether new requests are accepted. */
export abstract class Gate {
  /** Returns why requests are not accepted at present, or `undefined`. */
  abstract check (): failures.Failure | undefined
  /** Whether each connection is closed after its next response. */
  abstract readonly isClosing: boolean
}

/** Node's request and response, which the framework wraps. */
interface NodeExchange {
  readonly req: http.IncomingMessage
  readonly res: http.ServerResponse
}

const none = buffer.Buffer.alloc(0)

type Handler = (exchange: exchanges.Exchange) => Promise<failures.Result<void>>

export class RequestHandler {
  constructor (
    private readonly context: types.EntryContext,
    private readonly gate: Gate,
    private readonly exchanges: exchanges.Exchanges,
    private readonly memory: callerMemories.CallerMemory,
    private readonly authenticator: authenticators.Authenticator,
    private readonly generations: generations.Generations,
    private readonly calls: calls.Calls
  ) {}

  createListener (): http.RequestListener {
    const app = new h3.H3({ silent: true })
    app.post('/v1/completions', this.createHandler(exchange => this.serveCompletion('text', exchange)))
    app.post('/v1/chat/completions', this.createHandler(exchange => this.serveCompletion('chat', exchange)))
    app.get('/v1/models', this.createHandler(exchange => this.listModels(exchange)))
    app.all('/**', this.createHandler(exchange => this.serveCall(exchange)))
    return h3.toNodeHandler(app) as http.RequestListener
  }

  /** The promise never settles: the answer is sent on Node's response, which the framework must not end again. */
  private createHandler (serve: Handler): h3.EventHandler {
    return event => {
      const { req, res } = event.runtime?.node as unknown as NodeExchange
      req.url = event.url.pathname + event.url.search
      this.run(req, res, serve)
      return new Promise(() => {})
    }
  }

  private async run (request: http.IncomingMessage, response: http.ServerResponse, serve: Handler): Promise<void> {
    const body = this.memory.open(request, response)
    const exchange = new exchanges.Exchange(this.context, this.memory, request, response, body)
    exchange.reply.setHeader('x-request-id', exchange.id)
    const refusal = this.checkStart(request)
    this.exchanges.add(exchange)
    if (this.gate.isClosing) {
      exchange.reply.setHeader('connection', 'close')
    }
    const result = refusal === undefined ? await this.tryServe(exchange, serve) : failures.fail<void>(refusal)
    result.ifLeft(failure => {
      leaveUnread(exchange)
      exchange.reply.sendFailure(failure)
    })
    this.report(exchange, result)
    this.exchanges.remove(exchange)
  }

  private async tryServe (exchange: exchanges.Exchange, serve: Handler): Promise<failures.Result<void>> {
    try {
      return await serve(exchange)
    } catch (error) {
      this.context.system.log.error('request failed with an unexpected error', { request: exchange.id, error: String(error) })
      return failures.fail(failures.createFailure('may_have_run', 'internal', ['see the log']))
    }
  }

  private checkStart (request: http.IncomingMessage): failures.Failure | undefined {
    const { limits } = this.context
    return this.gate.check() ?? headerChecks.checkHeaders(request.rawHeaders, limits)
  }

  private async serveCompletion (kind: completionsApi.Kind, exchange: exchanges.Exchange): Promise<failures.Result<void>> {
    const caller = this.authenticate(exchange)
    if (caller.isLeft()) {
      return failures.fail(caller.extract() as failures.Failure)
    }
    const body = await this.readBody(exchange)
    if (body.isLeft()) {
      return failures.fail(body.extract() as failures.Failure)
    }
    const owner = caller.extract() as authenticators.Caller
    return await this.generations.serve(kind, exchange, owner, body.extract() as buffer.Buffer)
  }

  private async listModels (exchange: exchanges.Exchange): Promise<failures.Result<void>> {
    const names = this.authenticate(exchange).map(({ workspace }) => this.generations.listModels(workspace))
    leaveUnread(exchange)
    return names.map(list => exchange.reply.sendJson(200, completionsApi.createModelList(list)))
  }

  private async serveCall (exchange: exchanges.Exchange): Promise<failures.Result<void>> {
    const found = this.calls.findRoute(exchange.request)
    if (found.isLeft()) {
      return failures.fail(found.extract() as failures.Failure)
    }
    const route = found.extract() as calls.Route
    const refusal = this.authenticateRoute(exchange, route)
    if (refusal !== undefined) {
      return failures.fail(refusal)
    }
    const body = await this.readBody(exchange)
    if (body.isLeft()) {
      return failures.fail(body.extract() as failures.Failure)
    }
    return await this.calls.serve(exchange, route, body.extract() as buffer.Buffer)
  }

  /** An open route needs no key, but a key that is sent must be valid. */
  private authenticateRoute (exchange: exchanges.Exchange, route: calls.Route): failures.Failure | undefined {
    const caller = this.authenticate(exchange)
    const failure = caller.isLeft() ? caller.extract() as failures.Failure : undefined
    if (route.match.route.open && failure?.code === 'key_missing') {
      return undefined
    }
    return failure
  }

  private authenticate (exchange: exchanges.Exchange): failures.Result<authenticators.Caller> {
    const caller = this.authenticator.authenticate(exchange.request.rawHeaders)
    caller.ifRight(owner => {
      exchange.caller = owner
      this.context.recorder.record({ kind: 'request.received', request: exchange.id, workspace: owner.workspace })
    })
    return caller
  }

  /** Reads the body. Rejects a body that contains the caller's key, which would reach a backend server. */
  private async readBody (exchange: exchanges.Exchange): Promise<failures.Result<buffer.Buffer>> {
    const { limits } = this.context
    const body = await exchange.body.read(limits.bodyBytes, limits.bodyTimeoutMs, exchange.signal)
    if (body.isLeft() && exchange.signal.aborted) {
      return failures.fail(failures.withVerdict(exchange.signal.reason as failures.Failure, 'not_run'))
    }
    return body.chain((bytes = none) => exchange.caller?.isKeyIn(bytes) === true
      ? failures.fail(failures.createFailure('not_run', 'body_invalid', ['it contains the caller\'s key']))
      : failures.succeed(bytes))
  }

  private report (exchange: exchanges.Exchange, result: failures.Result<void>): void {
    const workspace = exchange.caller?.workspace ?? ''
    const end = result.caseOf({ Left: chooseEnd, Right: () => 'answered' as const })
    this.context.meter.count('requests_total', { workspace, end }, 1)
    result.ifLeft(failure => this.context.meter.count('request_failures_total', { code: failure.code }, 1))
    this.context.recorder.record({
      kind: endKinds[end],
      request: exchange.id,
      workspace,
      details: { outcome: result.caseOf({ Left: failure => failure.code as string, Right: () => 'answered' }) }
    })
  }
}

/** Drops a body that the request does not need; a long one is not waited for, and the connection closes behind the answer. */
function leaveUnread ({ body, reply }: exchanges.Exchange): void {
  if (body.isLongAndOpen) {
    reply.setHeader('connection', 'close')
  }
  body.discard()
}

type End = 'answered' | 'refused' | 'failed' | 'abandoned'

const endKinds = {
  answered: 'request.finished',
  refused: 'request.refused',
  failed: 'request.finished',
  abandoned: 'request.abandoned'
} as const

function chooseEnd (failure: failures.Failure): End {
  if (failure.code === 'caller_gone' || failure.code === 'caller_stalled') {
    return 'abandoned'
  }
  return failure.verdict === 'not_run' ? 'refused' : 'failed'
}
