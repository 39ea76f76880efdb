/**
 * The processing of one caller's request, and the sends to servers that it takes.
 */
import type * as buffer from 'node:buffer'
import * as contexts from './context.js'
import * as failures from '../contracts/failure.js'
import type * as permits from './permits.js'
import * as replies from './caller_reply.js'
import * as routing from '../contracts/routing.js'
import * as sendAccounts from './send_account.js'
import * as types from './types.js'
import type * as urgencyRanks from './urgency/urgency_ranks.js'

/** Retry time of a request that the retry budget stops, in milliseconds: its caller's next request needs no credit. */
const budgetRetryMs = 500

export interface AdmittedRequest {
  /** Identifier within this gateway, unique even if callers reuse theirs. */
  readonly serial: string
  readonly arrival: types.Arrival
  readonly body: buffer.Buffer | undefined
  readonly route: routing.Route
  readonly service: routing.RoutedService
  readonly workspace: string | undefined
  readonly priority: number
  /** Absent unless the routes of the service have different priorities. */
  readonly urgency: urgencyRanks.Urgency | undefined
  readonly arrivedMs: number
  /** Estimated time of the caller's first attempt; the latency goal of a generation counts from there. */
  readonly firstAttemptMs: number
  /** Regions whose servers may get the request, its prompt and the memory of it; undefined for all. */
  readonly allowedRegions?: readonly string[] | undefined
  /** When the caller's or the route's time-out expires. */
  readonly deadlineMs: number
}

/** How an exchange ended, for logs and counters. */
export interface ExchangeEnd {
  readonly outcome: 'answered' | 'refused' | 'failed' | 'abandoned'
  readonly status: number
  readonly server?: string | undefined
  readonly reason?: string | undefined
}

/** Base of the classes that serve one request: the request, its reply and the gateway's context. */
export class RequestScope {
  /** Number of times that a server was passed over because its limit allowed no request. */
  protected passedOver = 0

  constructor (
    protected readonly context: contexts.GatewayContext,
    protected readonly request: AdmittedRequest,
    protected readonly reply: replies.CallerReply
  ) {}

  protected now (): number {
    return this.context.system.clock.monotonicMs()
  }

  protected remainingMs (): number {
    return this.request.deadlineMs - this.now()
  }

  protected log (message: string, fields: Readonly<Record<string, string | number | boolean | undefined>>): void {
    this.context.system.log.info(message, { request: this.request.arrival.id, ...fields })
  }

  /**
   * Returns the failure for a request that no server of its service accepted. The retry time is later where all servers asked
   * the gateway to back off.
   */
  protected createNoServerFailure (retryAfterMs: number): failures.Failure {
    const { directory } = this.context
    const service = this.request.service.name
    const ready = this.listReady()
    const backOffMs = ready.length === 0 ? directory.getBackOffMs(service) : undefined
    const { allowedRegions } = this.request
    if (ready.length === 0 && allowedRegions !== undefined) {
      this.log('no ready server in the allowed regions', { service, allowedRegions: allowedRegions.join(','), readyElsewhere: directory.listReady(service).length })
    }
    return failures.createFailure('not_run', 'no_server', [service], Math.max(retryAfterMs, backOffMs ?? 0))
  }

  /** Takes a permit for the next send to a server; returns its source, or undefined if the server's limit allows none now. */
  protected async takePermit (server: routing.RoutedServer): Promise<permits.PermitSource | undefined> {
    const verdict = await this.context.permits.take(server)
    if (verdict.kind === 'granted') {
      return verdict.source
    }
    this.passedOver += 1
    return undefined
  }

  /** Makes sure that the retry budget allows the next send of the request; returns false if not. */
  protected reserveSend (sends: sendAccounts.SendAccount): boolean {
    const isAllowed = sends.reserve()
    if (!isAllowed) {
      this.logRetry('retry not sent', undefined)
      this.context.meter.count('gateway_retries_total', { outcome: 'refused' })
    }
    return isAllowed
  }

  /** Counts a send of the request, for which the budget has been asked. */
  protected recordSend (sends: sendAccounts.SendAccount, purpose: types.ForwardPlan['purpose']): void {
    if (sends.isRetry) {
      this.logRetry('retry sent', purpose)
      this.context.meter.count('gateway_retries_total', { outcome: 'sent' })
    }
    sends.recordSend(purpose)
  }

  /** Returns the failure for a request that is not sent again because the retry budget is used up. */
  protected createBudgetFailure (): failures.Failure {
    return failures.createFailure('not_run', 'retries_exhausted', [this.request.service.name], budgetRetryMs)
  }

  private logRetry (message: string, purpose: types.ForwardPlan['purpose'] | undefined): void {
    const service = this.request.service.name
    const { credit, share } = this.context.retries.describe(service)
    this.log(message, { service, purpose, creditLeft: Number(credit.toFixed(2)), slackShare: Number(share.toFixed(3)) })
  }

  /** Returns the ready servers of the request's service in the regions that the request may go to. */
  protected listReady (): readonly routing.RoutedServer[] {
    const { directory, regions } = this.context
    return regions.select(directory.listReady(this.request.service.name), this.request.allowedRegions)
  }

  /**
   * Makes a call of the gateway's own that frees what a server keeps for a request. It is left out for a cold server, whose few requests
   * are for callers, and in an evacuated zone: the server frees by itself what is not used.
   */
  protected async releaseAt (server: routing.RoutedServer, outgoing: types.OutgoingRequest, timeoutMs: number): Promise<void> {
    const { directory, permits: permitBook, pool } = this.context
    if (directory.isEvacuated(server) || permitBook.isCold(server)) {
      this.log('release not sent', { server: server.id, reason: directory.isEvacuated(server) ? 'the zone is evacuated' : 'the server is cold' })
      return
    }
    await pool.call(server, outgoing, timeoutMs)
  }

  /** Returns the ready servers of the request's service without those known to have no permit now, which count as passed over. */
  protected selectAvailable (): readonly routing.RoutedServer[] {
    const servers = this.listReady()
    const available = this.context.permits.selectAvailable(servers)
    this.passedOver += servers.length - available.length
    return available
  }

  /** Returns the failure for a request that no server may take because of its limit, with a retry time of `waitMs` at least. */
  protected createLimitFailure (waitMs = 0): failures.Failure {
    const { limits, permits: permitBook, returns } = this.context
    const service = this.request.service.name
    const nowMs = this.now()
    const limited = this.listReady().filter(server => limits.getLimit(server, nowMs) !== undefined)
    let nearest: routing.RoutedServer | undefined
    let nearestMs = Infinity
    for (const server of limited) {
      const nextMs = permitBook.getWaitMs(server)
      if (nextMs < nearestMs) {
        nearest = server
        nearestMs = nextMs
      }
    }
    const sharePerSecond = permitBook.getSharePerSecond(limited)
    const retryAfterMs = nearest === undefined ? waitMs : returns.schedule(service, Math.max(waitMs, nearestMs), sharePerSecond, nowMs)
    this.log('servers at their limits', {
      service,
      passedOver: this.passedOver,
      sharePerSecond: Number(sharePerSecond.toFixed(2)),
      retryAfterMs,
      ...(nearest === undefined
        ? {}
        : {
            server: nearest.id,
            limitPerSecond: limits.getLimit(nearest, nowMs),
            ageMs: limits.getAgeMs(nearest.id, nowMs),
            issuer: permitBook.getIssuer(nearest),
            waitMs: Math.round(nearestMs)
          })
    })
    return failures.createFailure('not_run', 'servers_limited', [service], retryAfterMs)
  }
}

export abstract class Exchange extends RequestScope {
  protected readonly sends = new sendAccounts.SendAccount(this.context.retries, this.request.service.name)

  /** Whether a server may have run the request. */
  get mayHaveRun (): boolean {
    return this.sends.hasSentRun
  }

  abstract run (): Promise<ExchangeEnd>

  protected refuse (failure: failures.Failure, server?: string): ExchangeEnd {
    const status = this.reply.fail(failure)
    return { outcome: failure.verdict === 'not_run' ? 'refused' : 'failed', status, server, reason: failure.code }
  }

  protected createAbandonedEnd (server?: string): ExchangeEnd {
    return { outcome: 'abandoned', status: 0, server }
  }
}
