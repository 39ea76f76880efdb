/**
 * An entry: accepts callers' requests, and shuts down gracefully.
 */
import * as attempts from './attempts.js'
import * as authenticators from './authenticator.js'
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
    private readonly surroundings: types.EntryContext,
    private readonly tools: serviceRuns.Tools,
    private readonly overloadSignal: overload.OverloadSignal
  ) {
    super()
    const authenticator = new authenticators.Authenticator(surroundings.configuration)
    const generator = new generations.Generations(surroundings, new generationRunners.GenerationRunner(tools))
    this.exchanges = new exchanges.Exchanges(surroundings, authenticator)
    this.listener = new requestHandlers.RequestHandler(
      surroundings, this, this.exchanges, authenticator, generator, new calls.Calls(tools)
    ).createListener()
    this.server = callerServers.createCallerServer(this.listener, surroundings.limits, surroundings.timing)
    this.stops.push(surroundings.links.observe(tools.attempts), surroundings.links.observe(tools.servers))
  }

  /** Whether the load balancer may send requests. */
  isReady (): boolean {
    return this.state === 'open' && this.surroundings.configuration.version > 0
  }

  override get isClosing (): boolean {
    return this.state !== 'open'
  }

  override check (): failures.Failure | undefined {
    if (this.state === 'closed') {
      return failures.createFailure('not_run', 'shutting_down', [], closedRetryAfterMs)
    }
    if (this.surroundings.configuration.version === 0) {
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
      attemptsInFlight: this.tools.attempts.size,
      cancelsUnconfirmed: this.tools.cancels.size,
      claimsUnsettled: this.tools.claims.size
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
    const { clock } = this.surroundings.system
    const { balancerLagMs, drainTimeoutMs } = this.surroundings.timing
    this.state = 'unready'
    this.surroundings.recorder.record({ kind: 'process.draining' })
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
    await this.tools.claims.waitUntilSettled()
    await this.tools.cancels.waitUntilConfirmed()
    this.server.closeIdleConnections()
  }
}

/** Creates an entry. `overloadSignal` defaults to the one that the limits configure. */
export function createEntry (
  surroundings: types.EntryContext,
  overloadSignal = overload.createOverloadSignal(surroundings.limits, surroundings.system.clock)
): Entry {
  return new Entry(surroundings, createTools(surroundings), overloadSignal)
}

/** Creates the objects that all requests of an entry share. */
export function createTools (surroundings: types.EntryContext): serviceRuns.Tools {
  const knownServers = new servers.Servers(surroundings)
  const claims = new claimStores.ClaimStore(surroundings)
  return {
    context: surroundings,
    attempts: new attempts.Attempts(),
    cancels: new cancels.Cancels(surroundings),
    servers: knownServers,
    offers: new offers.Offers(surroundings, knownServers),
    retryBudget: new retryBudgets.RetryBudget(),
    claims,
    inquiries: new claimResolvers.ClaimResolver(surroundings, claims)
  }
}
