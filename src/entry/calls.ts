/**
 * Calls of plain services: matches the route, forwards what a backend server may see, and returns the answer.
 */
import * as buffer from 'node:buffer'
import * as claimRules from './claim_rules.js'
import * as claimSessions from './claim_session.js'
import * as documents from '../configuration/document.js'
import * as exchanges from './exchanges.js'
import * as failures from '../contracts/failure.js'
import * as headerChecks from './headers.js'
import * as http from 'node:http'
import * as serviceRuns from './service_run.js'
import * as work from '../contracts/work.js'

/** The route of a plain service that a request matches. */
export interface Route {
  readonly match: documents.RouteMatch
  readonly method: string
  /** Path and query. */
  readonly target: string
}

/** Matches paths that a backend server might normalize to another path than the entry does. */
const ambiguousPath = /%2f|%5c|%2e|%00|\\|\/\//i

export class Calls {
  constructor (private readonly dependencies: serviceRuns.Dependencies) {}

  /** Fails with `route_unknown` or `method_not_allowed`. */
  findRoute (request: http.IncomingMessage): failures.Result<Route> {
    const method = request.method ?? 'GET'
    const { pathname, search } = new URL(`http://entry${request.url ?? '/'}`)
    const { configuration } = this.dependencies.context
    const match = ambiguousPath.test(pathname) ? undefined : configuration.matchRoute(method, pathname)
    if (match === undefined) {
      return failures.fail(failures.createFailure('not_run', 'route_unknown', [method, pathname]))
    }
    if (!match.route.methods.some(allowed => allowed === method)) {
      return failures.fail(failures.createFailure('not_run', 'method_not_allowed', [method, pathname]))
    }
    return failures.succeed({ match, method, target: pathname + search })
  }

  /** Makes the call and sends the answer. A failure is returned, not sent. */
  async serve (exchange: exchanges.Exchange, route: Route, body: buffer.Buffer): Promise<failures.Result<void>> {
    const refusal = this.checkWorkspace(exchange, route) ?? checkKeyExposure(exchange, route)
    if (refusal !== undefined) {
      return failures.fail(refusal)
    }
    const claim = createClaimOrder(exchange, route, body)
    if (claim.isLeft()) {
      return failures.fail(claim.extract() as failures.Failure)
    }
    const callRequest = this.createCallRequest(exchange, route, body, claim.extract() as claimSessions.ClaimIdentity | undefined)
    const result = await this.run(new serviceRuns.ServiceRun(this.dependencies, callRequest), exchange.signal)
    return result.map(outcome => sendAnswer(exchange, outcome))
  }

  private async run (
    run: serviceRuns.ServiceRun, signal: AbortSignal
  ): Promise<failures.Result<serviceRuns.Outcome>> {
    const aborted = new Promise<failures.Result<serviceRuns.Outcome>>(resolve => {
      const abort = (): void => resolve(failures.fail(run.abort(signal.reason as failures.Failure)))
      signal.addEventListener('abort', abort, { once: true })
    })
    if (signal.aborted) {
      return failures.fail(failures.withVerdict(signal.reason as failures.Failure, 'not_run'))
    }
    return await Promise.race([run.run(), aborted])
  }

  /** A route without authentication is open to every workspace too. */
  private checkWorkspace (exchange: exchanges.Exchange, { match }: Route): failures.Failure | undefined {
    const workspace = exchange.caller?.workspace
    if (match.route.open || workspace === undefined) {
      return undefined
    }
    const allowed = this.dependencies.context.configuration.getWorkspace(workspace)?.services
    if (allowed === undefined || allowed.includes(match.service)) {
      return undefined
    }
    return failures.createFailure('not_run', 'workspace_forbidden', [workspace, match.service])
  }

  private createCallRequest (
    exchange: exchanges.Exchange, route: Route, body: buffer.Buffer, claim: claimSessions.ClaimIdentity | undefined
  ): serviceRuns.CallRequest {
    const workspace = exchange.caller?.workspace ?? ''
    const { allowance } = this.dependencies.context.configuration.getWorkspace(workspace) ?? {}
    const call: work.ServiceCall = {
      service: route.match.service,
      method: route.method,
      target: route.target,
      headers: { ...headerChecks.selectForwarded(exchange.request.rawHeaders), 'x-request-id': exchange.id },
      body: body.toString('base64'),
      timeoutMs: route.match.timeoutMs
    }
    const callRequest = { request: exchange.id, workspace, weight: allowance?.tokensPerSecond ?? 1, match: route.match, call }
    return claim === undefined ? callRequest : { ...callRequest, claim }
  }
}

/** Rejects a call whose target or headers would reveal the caller's key to the backend server. */
function checkKeyExposure (exchange: exchanges.Exchange, route: Route): failures.Failure | undefined {
  const { caller, request } = exchange
  const forwarded = [route.target, ...Object.values(headerChecks.selectForwarded(request.rawHeaders))]
  const isExposed = caller !== undefined && forwarded.some(text => caller.isKeyIn(text))
  return isExposed
    ? failures.createFailure('not_run', 'headers_invalid', ['the caller\'s key outside of Authorization'])
    : undefined
}

/** Returns the claim of a call, or `undefined` if it has no `Idempotency-Key` or its route is idempotent. */
function createClaimOrder (
  exchange: exchanges.Exchange, route: Route, body: buffer.Buffer
): failures.Result<claimSessions.ClaimIdentity | undefined> {
  const key = exchange.request.headers['idempotency-key']
  if (typeof key !== 'string' || route.match.route.idempotent) {
    return failures.succeed(undefined)
  }
  if (!claimRules.isValidKey(key)) {
    const detail = 'it must have 1 to 255 visible ASCII characters'
    return failures.fail(failures.createFailure('not_run', 'idempotency_key_invalid', [detail]))
  }
  const workspace = exchange.caller?.workspace
  if (workspace === undefined) {
    const detail = 'it needs a workspace, so the call must carry a key'
    return failures.fail(failures.createFailure('not_run', 'idempotency_key_invalid', [detail]))
  }
  const { match, method, target } = route
  const type = exchange.request.headers['content-type'] ?? ''
  return failures.succeed({
    name: claimRules.createClaimName(workspace, `${match.service}${match.route.prefix}`, key),
    fingerprint: claimRules.createFingerprint(method, target, type, body)
  })
}

function sendAnswer (exchange: exchanges.Exchange, { answer, isReplay }: serviceRuns.Outcome): void {
  const headers = headerChecks.selectReturned(answer.headers)
  if (isReplay) {
    headers['idempotency-replayed'] = 'true'
  }
  exchange.reply.send(answer.status, { ...headers, 'x-request-id': exchange.id }, Buffer.from(answer.body, 'base64'))
}
