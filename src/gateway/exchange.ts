/**
 * One caller's request on its way, and the sends that are made for it.
 */
import type * as buffer from 'node:buffer'
import * as contexts from './context.js'
import * as failures from '../contracts/failure.js'
import * as replies from './caller_reply.js'
import * as routing from '../contracts/routing.js'
import * as types from './types.js'

/** A request that was admitted. */
export interface AdmittedRequest {
  /** Identifier within this gateway, unique also where callers repeat theirs. */
  readonly serial: string
  readonly arrival: types.Arrival
  readonly body: buffer.Buffer | undefined
  readonly route: routing.Route
  readonly service: routing.RoutedService
  readonly workspace: string | undefined
  readonly priority: number
  readonly arrivedMs: number
  /** When the caller has probably asked first: the goal of a generation counts from there. */
  readonly askedMs: number
  /** When the caller has left or the route's time is over. */
  readonly endsMs: number
}

/** How an exchange ended, for logs and counters. */
export interface ExchangeEnd {
  readonly outcome: 'answered' | 'refused' | 'failed' | 'abandoned'
  readonly status: number
  readonly server?: string | undefined
  readonly reason?: string | undefined
}

/** A request with what the parts that serve it need. */
export class RequestScope {
  constructor (
    protected readonly context: contexts.GatewayContext,
    protected readonly request: AdmittedRequest,
    protected readonly reply: replies.CallerReply
  ) {}

  protected now (): number {
    return this.context.system.clock.monotonicMs()
  }

  protected remainingMs (): number {
    return this.request.endsMs - this.now()
  }

  protected log (message: string, fields: Readonly<Record<string, string | number | boolean | undefined>>): void {
    this.context.system.log.info(message, { request: this.request.arrival.id, ...fields })
  }

  /**
   * Says that no server of the request's service took it, and in how many milliseconds to come back; later where all of them
   * asked to back off.
   */
  protected createNoServerFailure (retryAfterMs: number): failures.Failure {
    const { directory } = this.context
    const service = this.request.service.name
    const backOffMs = directory.listReady(service).length === 0 ? directory.getBackOffMs(service) : undefined
    return failures.createFailure('not_run', 'no_server', [service], Math.max(retryAfterMs, backOffMs ?? 0))
  }
}

export abstract class Exchange extends RequestScope {
  protected sends = 0

  abstract run (): Promise<ExchangeEnd>

  /** Counts a send of the request to a server; false when it would exceed the shared budget of further sends. */
  protected trySend (): boolean {
    if (this.sends > 0 && !this.context.retries.trySpend(this.request.service.name, this.now())) {
      this.log('no further send', { reason: 'budget', service: this.request.service.name, sends: this.sends })
      return false
    }
    this.sends += 1
    return true
  }

  protected refuse (failure: failures.Failure, server?: string): ExchangeEnd {
    const status = this.reply.fail(failure)
    return { outcome: failure.verdict === 'not_run' ? 'refused' : 'failed', status, server, reason: failure.code }
  }

  protected abandoned (server?: string): ExchangeEnd {
    return { outcome: 'abandoned', status: 0, server }
  }
}
