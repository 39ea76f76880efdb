/**
 * Runs the prefill of a generation, so that a decode server can continue from its KV cache.
 */
import * as contexts from './context.js'
import * as exchanges from './exchange.js'
import * as failures from '../contracts/failure.js'
import type * as promptAdmissions from './prompt_admission.js'
import * as prefillPlacements from './prefill_placement.js'
import * as replies from './caller_reply.js'
import * as relays from './stream_relay.js'
import * as routing from '../contracts/routing.js'
import * as sendAccounts from './send_account.js'
import * as types from './types.js'

/** Block size of the engines' KV cache, in tokens. */
export const blockTokens = 16
/** How long a full server is excluded: roughly the time until one of its runs ends. */
export const fullServerExclusionMs = 120
/** Retry time without a server: the list of servers has been refreshed by then. */
export const noServerRetryMs = 1_000
const maximumPrefillServers = 3
/** Time-out of a prefill, in multiples of the expected time; then another server is tried. */
const prefillTimeoutFactor = 3
/** Added to the time-out, because a short estimate multiplied is still short. */
const prefillMarginMs = 250

/**
 * Result of a prefill: the location of the KV cache (`undefined`: the decode server prefills the prompt itself), a failure for the
 * caller, or why another placement is to be tried.
 */
export type PrefillResult =
  | { readonly cache: types.CacheSource | undefined }
  | { readonly failure: failures.Failure }
  | { readonly retry: string }

/** Returns the sizes that a caller stated, or one block each. */
export function getSizes (arrival: Pick<types.Arrival, 'sizes'>): types.GenerationSizes {
  return arrival.sizes ?? { promptTokens: blockTokens, maximumOutputTokens: blockTokens, hintedOutputTokens: undefined }
}

export class PromptPrefill extends exchanges.RequestScope {
  constructor (
    context: contexts.GatewayContext,
    request: exchanges.AdmittedRequest,
    reply: replies.CallerReply,
    private readonly admission: promptAdmissions.PromptAdmission,
    private readonly sends: sendAccounts.SendAccount
  ) {
    super(context, request, reply)
  }

  /** Prefills the prompt at a prefill server, or leaves that to the decode server where this is better for all runs. */
  async run (decodeServer: routing.RoutedServer): Promise<PrefillResult> {
    const { directory, fleet, permits } = this.context
    const isLeaving = (server: routing.RoutedServer): boolean => directory.isEvacuated(server)
    const tried = new Set<string>()
    const passedOver = new Set<string>()
    let reason = ''
    while (tried.size < maximumPrefillServers && !this.reply.isGone) {
      const servers = permits.selectAvailable(this.listReady())
      const excluded = new Set([...tried, ...passedOver])
      const choice = fleet.choosePrefill(servers, getSizes(this.request.arrival).promptTokens, excluded, this.now(), decodeServer.zone)
      const unloadedMs = fleet.estimatePrefillMs('', getSizes(this.request.arrival).promptTokens, this.now())
      const { runs } = fleet.getLoad(decodeServer.id, this.now())
      if (choice === undefined || prefillPlacements.shouldPrefillAtDecode(choice.readyMs, unloadedMs, runs - 1)) {
        this.log('prefill left to the decode server', { server: decodeServer.id, prefillMs: choice?.readyMs, emptyMs: unloadedMs, runs })
        return { cache: undefined }
      }
      const permit = await this.takePermit(choice.server)
      if (permit === undefined) {
        passedOver.add(choice.server.id)
        continue
      }
      if (this.reply.isGone) {
        permits.giveBack(choice.server, permit)
        break
      }
      if (isLeaving(decodeServer)) {
        permits.giveBack(choice.server, permit)
        return { retry: 'the zone of the decode server is evacuated' }
      }
      if (isLeaving(choice.server)) {
        permits.giveBack(choice.server, permit)
        passedOver.add(choice.server.id)
        continue
      }
      if (!this.reserveSend(this.sends)) {
        permits.giveBack(choice.server, permit)
        return { failure: this.createBudgetFailure() }
      }
      this.recordSend(this.sends, 'prefill')
      tried.add(choice.server.id)
      const result = await this.prefillAt(choice.server, choice.readyMs)
      if (typeof result !== 'string') {
        return { cache: result }
      }
      reason = result
      if (!this.admission.isAdmitted) {
        return { retry: 'the prompt has come under suspicion' }
      }
    }
    return { retry: reason }
  }

  /** Returns the location of the KV cache, or why the prefill failed. */
  private async prefillAt (server: routing.RoutedServer, expectedMs: number): Promise<types.CacheSource | string> {
    const { dialect, directory, fleet, health, pool } = this.context
    const sentMs = this.now()
    const { promptTokens } = getSizes(this.request.arrival)
    fleet.bookPrefill(this.request.serial, server.id, promptTokens, sentMs)
    const outgoing = dialect.writeRequest(this.request.arrival, this.request.body, {
      server, remainingMs: this.remainingMs(), workspace: this.request.workspace, purpose: 'prefill', rank: this.request.urgency?.rank
    })
    const waitMs = Math.min(this.remainingMs(), expectedMs * prefillTimeoutFactor + prefillMarginMs)
    const outcome = await pool.call(server, outgoing, waitMs, this.reply.gone)
    const prefilled = outcome.kind === 'answered' && outcome.status === 200 ? dialect.readPrefilled(outcome.body) : undefined
    const succeeded = prefilled?.isRight() === true
    if (succeeded) {
      this.sends.recordPrefilled()
    } else if (outcome.kind === 'unsent') {
      this.sends.recordUnsent()
    }
    fleet.releasePrefill(this.request.serial, this.now(), succeeded)
    this.context.meter.observe('gateway_prefill_ms', {}, this.now() - sentMs)
    this.log('prefill', {
      server: server.id,
      outcome: outcome.kind,
      status: outcome.kind === 'answered' ? outcome.status : undefined,
      reason: outcome.kind === 'answered' ? undefined : outcome.reason,
      promptTokens,
      limitPerSecond: this.context.limits.getLimit(server, this.now()),
      expectedMs: Math.round(expectedMs),
      elapsedMs: Math.round(this.now() - sentMs)
    })
    if (succeeded) {
      health.record(server.id, 'good', this.now())
      this.context.pace.recordAnswer(server, { sentMs, times: { prefill_token: (this.now() - sentMs) / promptTokens } }, this.now())
      return { address: server.address, handle: prefilled.unsafeCoerce().handle }
    }
    if (this.reply.isGone) {
      return 'caller disconnected'
    }
    this.context.pace.recordRefusal(server, this.now(), sentMs)
    if (outcome.kind === 'answered') {
      if (!dialect.readAnswer(outcome.status, outcome.rawHeaders).isNotRun) {
        health.record(server.id, 'error', this.now())
      }
      if (outcome.status === relays.misdirected) {
        directory.recordMisdirected(server.id)
      }
      fleet.recordRefusal(server.id, fullServerExclusionMs, this.now())
      return `prefill: status ${outcome.status}`
    }
    health.record(server.id, outcome.kind === 'unsent' ? 'unreachable' : 'silent', this.now())
    if (outcome.kind === 'lost') {
      await this.context.guard.recordLostPrompt(server, this.admission.prompt, this.admission.isTrial)
    }
    return `prefill: ${outcome.reason}`
  }
}
