/**
 * An entry: accepts callers' requests, and shuts down gracefully.
 */
import * as attempts from './attempts.js'
import * as authenticators from './authenticator.js'
import * as callerMemories from './caller_memory.js'
import * as callerServers from './caller_server.js'
import * as requestHandlers from './request_handler.js'
import * as calls from './calls.js'
import * as cancels from './cancels.js'
import * as claimStores from './claim_store.js'
import * as generationRunners from './generation_runner.js'
import * as exchanges from './exchanges.js'
import * as failures from '../contracts/failure.js'
import * as generations from './generations.js'
import * as host from '../host/types.js'
import * as http from 'node:http'
import * as claimResolvers from './claim_resolver.js'
import * as offers from './offers.js'
import * as overload from './overload.js'
import * as retryBudgets from './retry_budget.js'
import * as servers from './servers.js'
import * as serviceRuns from './service_run.js'
import * as types from './types.js'

/** `Retry-After` of requests that the entry does not accept at present, in milliseconds. */
const closedRetryAfterMs = 1000

type State = 'open' | 'unready' | 'closed'

export class Entry extends requestHandlers.Gate {
  /** The server for callers; not listening yet. */
  readonly server: http.Server
  readonly listener: http.RequestListener
  private readonly exchanges: exchanges.Exchanges
  private readonly stops: host.Stop[] = []
  private state: State = 'open'
  private drained: Promise<void> | undefined

  constructor (
    private readonly context: types.EntryContext,
    private readonly dependencies: serviceRuns.Dependencies,
    private readonly overloadSignal: overload.OverloadSignal
  ) {
    super()
    const authenticator = new authenticators.Authenticator(context.configuration)
    const generator = new generations.Generations(context, new generationRunners.GenerationRunner(dependencies))
    const memory = new callerMemories.CallerMemory(context)
    this.exchanges = new exchanges.Exchanges(context, authenticator)
    this.listener = new requestHandlers.RequestHandler(
      context, this, this.exchanges, memory, authenticator, generator, new calls.Calls(dependencies)
    ).createListener()
    this.server = callerServers.createCallerServer(this.listener, memory, context)
    this.stops.push(() => memory.stop(), context.links.observe(dependencies.attempts), context.links.observe(dependencies.servers))
  }

  /** Whether the load balancer may send requests. */
  isReady (): boolean {
    return this.state === 'open' && this.context.configuration.version > 0
  }

  override get isClosing (): boolean {
    return this.state !== 'open'
  }

  override check (): failures.Failure | undefined {
    if (this.state === 'closed') {
      return failures.createFailure('not_run', 'shutting_down', [], closedRetryAfterMs)
    }
    if (this.context.configuration.version === 0) {
      return failures.createFailure('not_run', 'not_ready', [], closedRetryAfterMs)
    }
    if (this.overloadSignal.isOverloaded(this.exchanges.size)) {
      return failures.createFailure('not_run', 'entry_overloaded', [], closedRetryAfterMs)
    }
    return undefined
  }

  /** Returns the counts shown in the status. */
  getFigures (): Record<string, number> {
    return {
      requestsInFlight: this.exchanges.size,
      attemptsInFlight: this.dependencies.attempts.size,
      cancelsUnconfirmed: this.dependencies.cancels.size,
      claimsUnsettled: this.dependencies.claims.size
    }
  }

  /**
   * Shuts down gracefully: reports not ready, keeps serving until the load balancer must have seen it, closes idle
   * connections, and resolves when the last request is answered, its claims are settled and its cancellations are
   * confirmed, at the latest after the drain time-out.
   */
  drain (): Promise<void> {
    this.drained ??= this.drainOnce()
    return this.drained
  }

  private async drainOnce (): Promise<void> {
    const { clock } = this.context.system
    const { balancerLagMs, drainTimeoutMs } = this.context.timing
    this.state = 'unready'
    this.context.recorder.record({ kind: 'process.draining' })
    await clock.sleep(balancerLagMs)
    this.state = 'closed'
    this.server.close()
    this.server.closeIdleConnections()
    await Promise.race([this.waitUntilFinished(), clock.sleep(drainTimeoutMs)])
    this.exchanges.stop()
    for (const stop of this.stops) {
      stop()
    }
  }

  private async waitUntilFinished (): Promise<void> {
    await this.exchanges.waitUntilEmpty()
    await this.dependencies.claims.waitUntilSettled()
    await this.dependencies.cancels.waitUntilConfirmed()
    this.server.closeIdleConnections()
  }
}

/** Creates an entry. `overloadSignal` defaults to the one that the limits configure. */
export function createEntry (
  context: types.EntryContext,
  overloadSignal = overload.createOverloadSignal(context.limits, context.system.clock)
): Entry {
  return new Entry(context, createDependencies(context), overloadSignal)
}

/** Creates the objects that all requests of an entry share. */
export function createDependencies (context: types.EntryContext): serviceRuns.Dependencies {
  const knownServers = new servers.Servers(context)
  const claims = new claimStores.ClaimStore(context)
  return {
    context,
    attempts: new attempts.Attempts(),
    cancels: new cancels.Cancels(context),
    servers: knownServers,
    offers: new offers.Offers(context, knownServers),
    retryBudget: new retryBudgets.RetryBudget(),
    claims,
    claimResolver: new claimResolvers.ClaimResolver(context, claims)
  }
}
