/**
 * A call of a plain service: sent to one server, and retried at another where that is safe and within the retry budget.
 */
import * as fingerprints from './call_fingerprint.js'
import type * as choices from './plain/server_choice.js'
import * as connectionPools from './connection_pool.js'
import * as exchanges from './exchange.js'
import * as failures from '../contracts/failure.js'
import * as healths from './server_health.js'
import type * as permits from './permits.js'
import * as promptAdmissions from './prompt_admission.js'
import * as routing from '../contracts/routing.js'
import * as relays from './stream_relay.js'
import * as types from './types.js'

/** Limit on the sends of one call, including those refused as not run. */
const maximumSends = 4
/** Part of the remaining time after which a repeatable call is retried at another server. */
const retryTimeoutPart = 0.45
/** Least time in which another server can still answer. */
export const minimumSendMs = 8
/** Time reserved for returning the answer to the caller. */
export const returnMarginMs = 15
/** Retry time without a server: roughly how long the recovery of servers takes to be detected. */
export const noServerRetryMs = 500

type Answered = connectionPools.CallOutcome & { readonly kind: 'answered' }

type SendResult =
  | { readonly kind: 'answered', readonly server: routing.RoutedServer, readonly answer: Answered }
  | { readonly kind: 'not_run' | 'may_have_run', readonly server: routing.RoutedServer, readonly reason: string, readonly isTimeout?: boolean }

/** A server chosen for a call, with the permit to send it there. */
interface PlacedCall {
  readonly chosen: choices.ChosenServer
  readonly permit: permits.PermitSource
}

/** A send that was answered with an error, while it is open whether the server or the request is at fault. */
interface InconclusiveSend {
  readonly server: string
  readonly elapsedMs: number
}

export class PlainExchange extends exchanges.Exchange {
  private readonly triedServers = new Set<string>()
  private sendCount = 0
  private possibleRuns = 0
  private isOutOfBudget = false
  /** Refusal of a call that no server can answer before its deadline. */
  private lateFailure: failures.Failure | undefined
  private inconclusiveSend: InconclusiveSend | undefined
  private fingerprint: string | undefined
  private readonly admission = new promptAdmissions.PromptAdmission(this.context, this.request, this.reply, () => [this.getFingerprint()])

  private get isRepeatable (): boolean {
    return this.request.route.kind === 'idempotent'
  }

  override async run (): Promise<exchanges.ExchangeEnd> {
    const end = await this.runAtServers()
    this.sends.release()
    this.settleInconclusiveSend('error')
    this.admission.endTrial()
    return end
  }

  private getFingerprint (): string {
    const { arrival, body, route } = this.request
    this.fingerprint ??= fingerprints.createFingerprint(route.name, arrival.method, arrival.path, body)
    return this.fingerprint
  }

  /** Returns the failure of a call that may end the server that it is sent to. */
  private async checkAdmission (): Promise<failures.Failure | undefined> {
    if (!this.context.guard.hasEvidence) {
      return undefined
    }
    const admitted = await this.admission.admit()
    if (!('failure' in admitted)) {
      return undefined
    }
    return this.possibleRuns > 0 ? failures.withVerdict(admitted.failure, 'may_have_run') : admitted.failure
  }

  /** Reports what the outcome of a send says about whether the call ends servers. */
  private async reportSend (server: routing.RoutedServer, outcome: connectionPools.CallOutcome): Promise<void> {
    const { guard } = this.context
    if (outcome.kind === 'answered' && guard.hasEvidence) {
      guard.recordAnswer(this.admission.prompt)
    }
    if (outcome.kind !== 'lost' || this.reply.isGone) {
      return
    }
    const reported = guard.recordLostPrompt(server, this.admission.prompt, this.admission.isTrial)
    if (this.isRepeatable || this.admission.isTrial) {
      await reported
    } else {
      reported.catch((error: unknown) => this.log('lost call not reported', { server: server.id, reason: String(error) }))
    }
  }

  private async runAtServers (): Promise<exchanges.ExchangeEnd> {
    const { isRepeatable } = this
    let fallback: SendResult & { readonly kind: 'answered' } | undefined
    let last: SendResult | undefined
    while (this.sendCount < maximumSends && this.remainingMs() > returnMarginMs + minimumSendMs) {
      if (!this.reserveSend(this.sends)) {
        this.isOutOfBudget = true
        break
      }
      const failure = await this.checkAdmission()
      if (failure !== undefined && fallback === undefined && !this.reply.isGone) {
        return this.refuse(failure, last?.server.id)
      }
      if (failure !== undefined) {
        break
      }
      const placed = await this.choose()
      if (placed === undefined) {
        break
      }
      const { permit, chosen: { server } } = placed
      this.isOutOfBudget = !this.reserveSend(this.sends)
      if (this.reply.isGone || this.isOutOfBudget) {
        this.context.permits.giveBack(server, permit)
        break
      }
      this.recordSend(this.sends, 'run')
      this.sendCount += 1
      const result = await this.send(placed)
      if (this.reply.isGone) {
        return this.createAbandonedEnd(server.id)
      }
      last = result
      if (result.kind === 'answered') {
        if (result.answer.status < 500 || !isRepeatable || this.possibleRuns >= this.request.route.maximumServers) {
          return this.sendAnswer(result)
        }
        fallback ??= result
      }
      if (result.kind === 'may_have_run' && (!isRepeatable || this.possibleRuns >= this.request.route.maximumServers)) {
        break
      }
    }
    if (this.reply.isGone) {
      return this.createAbandonedEnd()
    }
    return fallback === undefined ? this.sendFailure(last) : this.sendAnswer(fallback)
  }

  /** Chooses a server and takes a permit for it; passes over servers whose limits allow no request now. */
  private async choose (): Promise<PlacedCall | undefined> {
    const { directory, health, permits: permitBook, serverChoice, system } = this.context
    const excluded = new Set(this.triedServers)
    const servers = this.selectAvailable()
    for (;;) {
      const chosen = serverChoice.choose({
        servers, excluded, isRepeatable: this.isRepeatable, goalMs: this.request.route.goalMs, remainingMs: this.remainingMs() - returnMarginMs
      }, this.now(), system.random.nextUnit())
      if (chosen.kind === 'late') {
        this.lateFailure = this.createLateFailure(chosen)
      }
      if (chosen.kind !== 'chosen') {
        return undefined
      }
      const { server } = chosen
      // A server that does not answer is no substitute for one that takes the request a little later.
      if (this.passedOver > 0 && health.isPaused(server.id, this.now())) {
        return undefined
      }
      const permit = await this.takePermit(server)
      if (permit === 'none' || (permit !== undefined && directory.listReady(server.service).includes(server))) {
        return { chosen, permit }
      }
      if (permit !== undefined) {
        // The server has started to leave while the issuer was asked.
        permitBook.giveBack(server, permit)
      }
      excluded.add(server.id)
    }
  }

  /** Returns the refusal of a call that no server can answer before its deadline. */
  private createLateFailure ({ estimate, retryAfterMs }: choices.ServerVerdict & { readonly kind: 'late' }): failures.Failure {
    const service = this.request.service.name
    const { answerMs, queue, server, slowness, measured } = estimate
    const remainingMs = Math.round(this.remainingMs())
    this.context.meter.count('gateway_plain_late_refused_total', {})
    this.log('call refused for its deadline', {
      service,
      server: server.id,
      expectedMs: Math.round(answerMs),
      remainingMs,
      ahead: Math.round(queue.ahead),
      reportAgeMs: queue.reportAgeMs === undefined ? undefined : Math.round(queue.reportAgeMs),
      slowness: Number(slowness.toFixed(2)),
      measured: Number(measured.toFixed(2)),
      retryAfterMs
    })
    return failures.createFailure('not_run', 'deadline_unreachable', [service, remainingMs, Math.round(answerMs)], retryAfterMs)
  }

  private async send ({ chosen, permit }: PlacedCall): Promise<SendResult> {
    const { dialect, serverChoice, pool, directory } = this.context
    const { server } = chosen
    const { isRepeatable } = this
    const sentMs = this.now()
    const leftMs = this.remainingMs() - returnMarginMs
    const isLast = !isRepeatable || this.possibleRuns + 1 >= this.request.route.maximumServers
    const waitMs = isLast ? leftMs : Math.min(leftMs, Math.max(this.request.route.goalMs, leftMs * retryTimeoutPart))
    this.triedServers.add(server.id)
    serverChoice.start(server.id, sentMs)
    this.context.pace.recordStart(server.id)
    const outgoing = dialect.writeRequest(this.request.arrival, this.request.body, {
      server, remainingMs: leftMs, workspace: this.request.workspace, purpose: 'run'
    })
    const outcome = await pool.call(server, outgoing, waitMs, this.reply.gone, !isRepeatable)
    if (outcome.kind === 'unsent') {
      this.sends.recordUnsent()
    }
    const elapsedMs = this.now() - sentMs
    const facts = outcome.kind === 'answered' ? dialect.readAnswer(outcome.status, outcome.rawHeaders) : undefined
    const result = judge(server, outcome, facts)
    const rating = rateServer(outcome, result, facts)
    const kind = classifyEnd(outcome, result, rating)
    serverChoice.finish(chosen, { startedMs: sentMs, load: facts?.load, kind }, this.now())
    this.measureChoice(chosen, kind === 'answered' ? elapsedMs : undefined)
    if (!this.reply.isGone) {
      this.recordHealth(server.id, rating, result, elapsedMs)
    }
    this.recordPace(server, result, facts, sentMs, elapsedMs)
    if (outcome.kind === 'answered' && outcome.status === relays.misdirected) {
      directory.recordMisdirected(server.id)
    }
    if (result.kind !== 'not_run') {
      this.possibleRuns += 1
    }
    await this.reportSend(server, outcome)
    this.context.meter.count('gateway_sends_total', { outcome: result.kind })
    this.log('sent', {
      server: server.id,
      outcome: result.kind,
      status: outcome.kind === 'answered' ? outcome.status : undefined,
      reason: result.kind === 'answered' ? undefined : result.reason,
      limitPerSecond: this.context.limits.getLimit(server, this.now()),
      permit: permit === 'none' ? undefined : permit,
      passedOver: this.passedOver === 0 ? undefined : this.passedOver,
      ...describeEstimate(chosen.estimate),
      elapsedMs: Math.round(elapsedMs)
    })
    return result
  }

  /** Answers that refuse a call come too soon to be compared. */
  private recordPace (server: routing.RoutedServer, result: SendResult, facts: types.AnswerFacts | undefined, sentMs: number, elapsedMs: number): void {
    const { pace } = this.context
    if (result.kind === 'answered' && result.answer.status < 400) {
      pace.recordAnswer(server, { sentMs, times: { answer: elapsedMs }, load: facts?.load }, this.now())
    } else if (result.kind !== 'answered' && !this.reply.isGone) {
      pace.recordRefusal(server, this.now(), sentMs)
    }
  }

  /** Counts a server that was chosen by expected time, and how far its answer was from that. */
  private measureChoice ({ server, estimate }: choices.ChosenServer, elapsedMs: number | undefined): void {
    const { meter, serverChoice } = this.context
    if (estimate === undefined) {
      return
    }
    meter.count('gateway_plain_choices_total', { zone: serverChoice.isInOwnZone(server) ? 'own' : 'other' })
    meter.observe('gateway_plain_expected_ms', {}, estimate.answerMs)
    if (elapsedMs !== undefined) {
      const errorMs = elapsedMs - estimate.answerMs
      meter.observe('gateway_plain_error_ms', { sign: errorMs < 0 ? 'early' : 'late' }, Math.abs(errorMs))
    }
  }

  private recordHealth (server: string, outcome: healths.SendOutcome, result: SendResult, elapsedMs: number): void {
    let ended = outcome
    if (ended === 'error' && result.kind === 'answered') {
      if (this.inconclusiveSend === undefined) {
        this.inconclusiveSend = { server, elapsedMs }
        return
      }
      // Two servers that fail in the same way indicate that the request is at fault.
      ended = 'good'
      this.settleInconclusiveSend(ended)
    }
    if (this.context.health.record(server, ended, this.now(), elapsedMs)) {
      this.context.system.log.warn('server excluded', { server, reason: result.kind === 'answered' ? 'error answers' : result.reason })
    }
  }

  private settleInconclusiveSend (outcome: healths.SendOutcome): void {
    if (this.inconclusiveSend !== undefined) {
      this.context.health.record(this.inconclusiveSend.server, outcome, this.now(), this.inconclusiveSend.elapsedMs)
      this.inconclusiveSend = undefined
    }
  }

  private sendAnswer (result: SendResult & { readonly kind: 'answered' }): exchanges.ExchangeEnd {
    this.reply.answer(result.answer.status, result.answer.rawHeaders, result.answer.body)
    return { outcome: result.answer.status < 500 ? 'answered' : 'failed', status: result.answer.status, server: result.server.id }
  }

  private sendFailure (last: SendResult | undefined): exchanges.ExchangeEnd {
    const service = this.request.service.name
    if (this.possibleRuns > 0 && last?.kind === 'may_have_run') {
      return this.refuse(last.isTimeout === true
        ? failures.createFailure('may_have_run', 'request_timeout', [Math.round(this.now() - this.request.arrivedMs)])
        : failures.createFailure('may_have_run', 'server_failed', [last.server.id, last.reason]), last.server.id)
    }
    if (this.possibleRuns > 0) {
      return this.refuse(failures.createFailure('may_have_run', 'server_failed', [service, 'an earlier send may have run']))
    }
    if (this.isOutOfBudget) {
      return this.refuse(this.createBudgetFailure(), last?.server.id)
    }
    if (this.lateFailure !== undefined) {
      return this.refuse(this.lateFailure, last?.server.id)
    }
    const failure = this.passedOver === 0
      ? this.createNoServerFailure(noServerRetryMs)
      : this.createLimitFailure()
    return this.refuse(failure, last?.server.id)
  }
}

/** Tells how a call ended for the choice of servers. Another process at the address of the server answers as misdirected. */
function classifyEnd (outcome: connectionPools.CallOutcome, result: SendResult, rating: healths.SendOutcome): choices.CallEnd['kind'] {
  if (outcome.kind !== 'answered') {
    return outcome.kind === 'silent' ? 'silent' : 'other'
  }
  if (result.kind === 'not_run') {
    return outcome.status === relays.misdirected ? 'other' : 'refused'
  }
  return result.kind === 'answered' && rating === 'good' ? 'answered' : 'other'
}

/** Returns the fields of a log line that say what a choice by expected time was based on. */
function describeEstimate (estimate: choices.ChosenServer['estimate']): Readonly<Record<string, number | undefined>> {
  if (estimate === undefined) {
    return {}
  }
  const { answerMs, queue, slowness, measured } = estimate
  return {
    expectedMs: Math.round(answerMs),
    ahead: Math.round(queue.ahead),
    reportAgeMs: queue.reportAgeMs === undefined ? undefined : Math.round(queue.reportAgeMs),
    slowness: Number(slowness.toFixed(2)),
    measured: Number(measured.toFixed(2))
  }
}

/** Determines whether the server ran the call. */
function judge (
  server: routing.RoutedServer, outcome: connectionPools.CallOutcome, facts: types.AnswerFacts | undefined
): SendResult {
  if (outcome.kind !== 'answered' || facts === undefined) {
    const reason = outcome.kind === 'answered' ? 'no answer' : outcome.reason
    return outcome.kind === 'unsent'
      ? { kind: 'not_run', server, reason }
      : { kind: 'may_have_run', server, reason, isTimeout: outcome.kind === 'silent' }
  }
  if (facts.isNotRun || outcome.status === relays.misdirected) {
    return { kind: 'not_run', server, reason: `status ${outcome.status}` }
  }
  if (relays.notRunStatuses.has(outcome.status)) {
    return { kind: 'may_have_run', server, reason: `status ${outcome.status} without the statement that it did not run` }
  }
  if (!facts.isSigned && outcome.status < 300) {
    return { kind: 'may_have_run', server, reason: 'the answer is not signed' }
  }
  return { kind: 'answered', server, answer: outcome }
}

/** Rates the server by the outcome. A full server that refuses is healthy: its reported load already diverts further calls. */
function rateServer (outcome: connectionPools.CallOutcome, result: SendResult, facts: types.AnswerFacts | undefined): healths.SendOutcome {
  if (outcome.kind === 'unsent') {
    return 'unreachable'
  }
  if (outcome.kind !== 'answered') {
    return 'silent'
  }
  if (facts?.isNotRun === true) {
    const { load } = facts
    return load === undefined || load.running + load.waiting >= load.slots ? 'good' : 'error'
  }
  return result.kind === 'answered' && outcome.status < 500 ? 'good' : 'error'
}
