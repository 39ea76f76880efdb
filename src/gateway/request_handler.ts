/**
 * Admission control for callers' requests: limits, route, key and allowance. Admitted requests run as an exchange.
 */
import type * as http from 'node:http'
import type * as deliveries from './answer_delivery.js'
import * as allowances from './allowance_limiter.js'
import * as allowedRegions from './availability/allowed_regions.js'
import type * as bodyIntakes from './caller_memory/body_intake.js'
import type * as callerConnections from './caller_connection.js'
import * as firstAttemptEstimates from './first_attempt_estimate.js'
import * as contexts from './context.js'
import * as exchanges from './exchange.js'
import * as failures from '../contracts/failure.js'
import * as generations from './generation_exchange.js'
import * as plains from './plain_exchange.js'
import * as replies from './caller_reply.js'
import * as routing from '../contracts/routing.js'
import * as tables from './routing_table.js'
import * as types from './types.js'

/** Retry time while the gateway has no configuration, or a route no service. */
export const notReadyRetryMs = 1_000
/** Retry time while this gateway shuts down; another gateway accepts the request at once. */
export const shutdownRetryMs = 50
/** Time-out of a request that states none. */
export const defaultTimeoutMs = 60_000
/** How long before the route's time-out the final answer is sent. */
export const timeoutMarginMs = 20

/** The configuration that applies to an admitted request, and its cost in the workspace's unit. */
interface Admission {
  readonly route: routing.Route
  readonly service: routing.RoutedService
  readonly workspace: routing.RoutedWorkspace | undefined
  readonly units: number
}

/** A request without a final answer. */
interface ActiveRequest {
  readonly arrival: types.Arrival
  readonly arrivedMs: number
  /** Undefined until the request is admitted. */
  exchange: exchanges.Exchange | undefined
  /** How the stop of the gateway ended the request, if it did. */
  stopEnd: exchanges.ExchangeEnd | undefined
}

/** The end of a request for logs and counters. `cut`: the gateway closed the connection before the answer had left. */
type RecordedEnd = Omit<exchanges.ExchangeEnd, 'outcome'> & { readonly outcome: exchanges.ExchangeEnd['outcome'] | 'cut' }

export class RequestHandler {
  private readonly firstAttempts = new firstAttemptEstimates.FirstAttemptEstimate()
  private serial = 0
  /** Requests without a final answer. */
  private readonly active = new Map<replies.CallerReply, ActiveRequest>()

  /** `mayKeepAlive`: connections stay open after an answer. `mayBegin`: a request that must end by a time on the monotonic clock, in milliseconds, may be accepted. */
  constructor (
    private readonly context: contexts.GatewayContext,
    private readonly mayKeepAlive: () => boolean,
    private readonly mayBegin: (endMs: number) => boolean
  ) {}

  /** Number of requests without a final answer. */
  get inFlight (): number {
    return this.active.size
  }

  /** Ends all requests with a final answer; those that no server has got are refused as not run. */
  endRemaining (): void {
    for (const [reply, active] of this.active) {
      const verdict = active.exchange?.mayHaveRun === true ? 'may_have_run' : 'not_run'
      this.context.system.log.warn('request ended by the stop', {
        request: active.arrival.id, verdict, hasStarted: reply.hasStarted, elapsedMs: Math.round(this.now() - active.arrivedMs)
      })
      const status = reply.fail(failures.createFailure(verdict, 'shutting_down', [], shutdownRetryMs))
      active.stopEnd = { outcome: verdict === 'not_run' ? 'refused' : 'failed', status, reason: 'shutting_down' }
      reply.abandon('ended by the stop')
    }
  }

  /** Records a request that was read and is not handled. */
  recordDropped (request: http.IncomingMessage, reason: callerConnections.DropReason, ageMs: number): void {
    const { dialect, meter, system } = this.context
    const { id } = dialect.readArrival(request.method ?? 'GET', request.url ?? '/', request.rawHeaders)
    meter.count('gateway_requests_dropped_total', { reason })
    system.log.info('request dropped', { request: id, reason, verdict: 'not_run', ageMs: Math.round(ageMs) })
  }

  async handle (
    request: http.IncomingMessage, response: http.ServerResponse, delivery: deliveries.AnswerDelivery, body: bodyIntakes.BodyIntake
  ): Promise<void> {
    const { dialect, system } = this.context
    const arrivedMs = this.now()
    const arrival = dialect.readArrival(request.method ?? 'GET', request.url ?? '/', request.rawHeaders)
    const reply = new replies.CallerReply(response, dialect, arrival, this.mayKeepAlive, delivery)
    const active: ActiveRequest = { arrival, arrivedMs, exchange: undefined, stopEnd: undefined }
    this.active.set(reply, active)
    let end: exchanges.ExchangeEnd
    try {
      end = await this.serve(body, active, reply)
    } catch (error) {
      system.log.error('request failed by a defect', { request: arrival.id, error: error instanceof Error ? error.stack : String(error) })
      const status = reply.fail(failures.createFailure('may_have_run', 'internal', ['see the log']))
      end = { outcome: 'failed', status, reason: 'internal' }
    } finally {
      this.active.delete(reply)
      body.release()
    }
    const elapsedMs = this.now() - arrivedMs
    const delivered = await reply.delivered
    this.recordEnd(active, correctEnd(active.stopEnd ?? end, delivered), delivered, elapsedMs)
  }

  /** Records how a request ended; `elapsedMs` is the time until its answer was decided. */
  private recordEnd ({ arrival, arrivedMs }: ActiveRequest, end: RecordedEnd, delivery: deliveries.Delivery, elapsedMs: number): void {
    const { meter, routing: { table }, system } = this.context
    meter.count('requests_total', { workspace: '', end: end.outcome })
    meter.observe('gateway_request_ms', { end: end.outcome }, elapsedMs)
    const fields = {
      request: arrival.id,
      workspace: arrival.keyHash === undefined ? undefined : table?.findWorkspace(arrival.keyHash)?.name,
      tokens: countTokens(arrival),
      outcome: end.outcome,
      status: end.status,
      reason: end.reason,
      server: end.server,
      version: table?.document.version,
      elapsedMs: Math.round(elapsedMs)
    }
    if (delivery.stage === 'written') {
      system.log.info('request ended', fields)
      return
    }
    const { stage, closedBy, closeReason, unwrittenBytes } = delivery
    meter.count('gateway_answers_lost_total', { closed_by: closedBy, stage })
    const lost = { ...fields, answer: stage, closedBy, closeReason, unwrittenBytes, closedMs: Math.round(this.now() - arrivedMs) }
    if (closedBy === 'caller') {
      system.log.info('request ended', lost)
    } else {
      system.log.warn('request ended', lost)
    }
  }

  private async serve (
    intake: bodyIntakes.BodyIntake, active: ActiveRequest, reply: replies.CallerReply
  ): Promise<exchanges.ExchangeEnd> {
    const { arrival, arrivedMs } = active
    const callerTimeoutMs = arrival.callerTimeoutMs ?? defaultTimeoutMs
    const refused = intake.isLongAndOpen ? this.checkHead(arrival, intake.announcedBytes) : undefined
    if (refused !== undefined) {
      intake.discard()
      this.context.meter.count('gateway_bodies_unread_total', { reason: refused.code })
      return this.refuse(reply, refused)
    }
    const limits = this.context.routing.table?.document.limits
    const body = await intake.read(limits?.bodyBytes ?? Infinity, callerTimeoutMs, reply.gone)
    if (body.isLeft()) {
      return this.refuse(reply, body.extract() as failures.Failure)
    }
    const table = this.context.routing.table
    if (table === undefined) {
      return this.refuse(reply, failures.createFailure('not_run', 'not_ready', [], notReadyRetryMs))
    }
    const admitted = this.admit(table, arrival)
    if (admitted.isLeft()) {
      return this.refuse(reply, admitted.extract() as failures.Failure)
    }
    const { route, service, workspace, units } = admitted.unsafeCoerce()
    const effectiveTimeoutMs = Math.min(callerTimeoutMs, route.timeoutMs - timeoutMarginMs)
    if (!this.mayBegin(arrivedMs + effectiveTimeoutMs)) {
      if (workspace !== undefined) {
        this.context.allowance.refund(workspace.name, units)
      }
      return this.refuse(reply, failures.createFailure('not_run', 'shutting_down', [], shutdownRetryMs))
    }
    const isGeneration = route.kind === 'stream' && service.engine !== undefined
    const estimatedFirstAttemptMs = isGeneration ? arrivedMs - this.firstAttempts.estimateElapsedMs(route.name, callerTimeoutMs, arrivedMs) : arrivedMs
    this.serial += 1
    this.context.retries.recordRequest(service.name)
    const urgency = table.urgencies.find(service.name, { workspace: workspace?.priority, route: route.priority })
    const admittedRequest: exchanges.AdmittedRequest = {
      serial: String(this.serial),
      arrival,
      body: body.unsafeCoerce(),
      route,
      service,
      workspace: workspace?.name,
      priority: urgency?.rank ?? workspace?.priority ?? route.priority,
      urgency,
      arrivedMs,
      firstAttemptMs: estimatedFirstAttemptMs,
      allowedRegions: allowedRegions.intersectRegions(route.allowedRegions, workspace?.allowedRegions),
      deadlineMs: arrivedMs + effectiveTimeoutMs
    }
    const exchange = isGeneration
      ? new generations.GenerationExchange(this.context, admittedRequest, reply)
      : new plains.PlainExchange(this.context, admittedRequest, reply)
    active.exchange = exchange
    const end = await exchange.run()
    if (end.outcome === 'refused' && workspace !== undefined) {
      this.context.allowance.refund(workspace.name, units)
    }
    return end
  }

  /** Returns the failure of a request that its head alone decides, so that its body need not be read. Charges nothing. */
  private checkHead (arrival: types.Arrival, announcedBytes: number | undefined): failures.Failure | undefined {
    const { table } = this.context.routing
    if (table === undefined) {
      return failures.createFailure('not_run', 'not_ready', [], notReadyRetryMs)
    }
    const { bodyBytes } = table.document.limits
    if (announcedBytes !== undefined && announcedBytes > bodyBytes) {
      return failures.createFailure('not_run', 'body_too_large', [bodyBytes])
    }
    const selected = this.select(table, arrival)
    if (selected.isLeft()) {
      return selected.extract() as failures.Failure
    }
    const { workspace, units } = selected.unsafeCoerce()
    const retryAfterMs = workspace === undefined ? undefined : this.context.allowance.getRetryMs(workspace, units, this.now())
    return retryAfterMs === undefined ? undefined : this.createAllowanceFailure(arrival, workspace as routing.RoutedWorkspace, units, retryAfterMs)
  }

  private admit (table: tables.RoutingTable, arrival: types.Arrival): failures.Result<Admission> {
    return this.select(table, arrival).chain(admission => {
      const { workspace, units } = admission
      const verdict = workspace === undefined ? undefined : this.context.allowance.charge(workspace, units, this.now())
      return workspace !== undefined && verdict?.kind === 'refused'
        ? failures.fail(this.createAllowanceFailure(arrival, workspace, units, verdict.retryAfterMs))
        : failures.succeed(admission)
    })
  }

  private createAllowanceFailure (
    arrival: types.Arrival, workspace: routing.RoutedWorkspace, units: number, retryAfterMs: number
  ): failures.Failure {
    this.context.system.log.info('allowance exhausted', { request: arrival.id, workspace: workspace.name, units, rate: workspace.rate, retryAfterMs })
    return failures.createFailure('not_run', 'allowance_exhausted', [workspace.name], retryAfterMs)
  }

  /** Finds what applies to a request by its head. */
  private select (table: tables.RoutingTable, arrival: types.Arrival): failures.Result<Admission> {
    const { document } = table
    let headBytes = arrival.path.length
    for (const part of arrival.rawHeaders) {
      headBytes += part.length + 2
    }
    if (headBytes > document.limits.headerBytes) {
      return failures.fail(failures.createFailure('not_run', 'headers_too_large', [document.limits.headerBytes]))
    }
    const route = table.findRoute(arrival.host, arrival.path)
    if (route === undefined) {
      return failures.fail(failures.createFailure('not_run', 'route_unknown', [arrival.method, arrival.path]))
    }
    const service = table.getService(tables.pickTarget(route, this.context.system.random.nextUnit()))
    if (service === undefined) {
      return failures.fail(failures.createFailure('not_run', 'no_server', [route.name], notReadyRetryMs))
    }
    const workspace = arrival.keyHash === undefined ? undefined : table.findWorkspace(arrival.keyHash)
    if (table.needsKeys && !route.isPublic && workspace === undefined) {
      return failures.fail(failures.createFailure('not_run', arrival.keyHash === undefined ? 'key_missing' : 'key_unknown'))
    }
    const units = workspace === undefined ? 0 : allowances.AllowanceLimiter.measure(workspace, countTokens(arrival))
    return failures.succeed({ route, service, workspace, units })
  }

  private refuse (reply: replies.CallerReply, failure: failures.Failure): exchanges.ExchangeEnd {
    const status = reply.fail(failure)
    return { outcome: failure.code === 'caller_gone' ? 'abandoned' : 'refused', status, reason: failure.code }
  }

  private now (): number {
    return this.context.system.clock.monotonicMs()
  }
}

/** Corrects the end of a request by what became of its answer. */
function correctEnd (end: exchanges.ExchangeEnd, { stage, status, closedBy }: deliveries.Delivery): RecordedEnd {
  if (stage !== 'written') {
    return { ...end, outcome: closedBy === 'caller' ? 'abandoned' : 'cut' }
  }
  // The connection itself answers a request whose body cannot be read, and the exchange sees a caller that left.
  return end.outcome === 'abandoned' ? { outcome: 'refused', status, reason: 'unreadable' } : end
}

function countTokens (arrival: types.Arrival): number | undefined {
  const { sizes } = arrival
  return sizes === undefined ? undefined : sizes.promptTokens + sizes.maximumOutputTokens
}
