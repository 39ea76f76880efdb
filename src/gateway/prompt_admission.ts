/**
 * Admission of a request by the parts of its prompt: at once, as a trial, or not at all.
 */
import * as contexts from './context.js'
import * as evidences from './crash_evidence.js'
import * as exchanges from './exchange.js'
import * as failures from '../contracts/failure.js'
import * as guards from './prompt_guard.js'
import * as replies from './caller_reply.js'
import * as trials from './part_trials.js'

/** Longest time between two attempts to take a trial, in milliseconds, if the evidence does not change. */
const trialRetryMs = 100
/** Retry time of a request whose prompt is under suspicion, in milliseconds: a few trials have ended by then. */
export const suspectRetryMs = 1_000

/** How long a suspected prompt waits for the trials of other requests, in parts of the route's latency goal. */
export const suspectWaitPart = 0.5

export type PromptAdmissionResult = { readonly isTrial: boolean } | { readonly failure: failures.Failure }

export class PromptAdmission extends exchanges.RequestScope {
  private trial: trials.Trial | undefined

  constructor (
    context: contexts.GatewayContext,
    request: exchanges.AdmittedRequest,
    reply: replies.CallerReply,
    private readonly listParts: () => readonly string[]
  ) {
    super(context, request, reply)
  }

  get prompt (): guards.Prompt {
    return { parts: this.listParts(), workspace: this.request.workspace ?? '' }
  }

  get isTrial (): boolean {
    return this.trial !== undefined
  }

  /** Tells whether the prompt may be sent to a server now. */
  get isAdmitted (): boolean {
    return this.isTrial || this.context.guard.judge(this.prompt).kind === 'clear'
  }

  /** Admits the prompt, if need be after a wait for the trials of other requests. */
  async admit (): Promise<PromptAdmissionResult> {
    const { guard, meter } = this.context
    const sinceMs = this.now()
    const latestMs = sinceMs + Math.min(this.remainingMs(), this.request.route.goalMs * suspectWaitPart)
    while (true) {
      const verdict = guard.judge(this.prompt)
      if (verdict.kind === 'suspect' && this.isTrial) {
        return { isTrial: true }
      }
      if (verdict.kind !== 'suspect') {
        this.endTrial()
        return verdict.kind === 'clear' ? { isTrial: false } : { failure: this.createBlockedFailure(verdict) }
      }
      const leftMs = latestMs - this.now()
      const trial = this.reply.isGone ? undefined : await guard.trials.take(verdict.parts)
      if (trial !== undefined && guard.judge(this.prompt).kind === 'suspect' && !this.reply.isGone) {
        this.trial = trial
        meter.count('gateway_trials_total', {})
        this.log('trial of a suspected prompt', { parts: trial.parts.join(','), ends: verdict.ends, granter: trial.granter, waitedMs: Math.round(this.now() - sinceMs) })
        return { isTrial: true }
      }
      if (trial !== undefined) {
        guard.trials.finish(trial)
      }
      if (leftMs <= 0 || this.reply.isGone) {
        this.log('suspected prompt refused', { parts: verdict.parts.join(','), ends: verdict.ends, isCallerGone: this.reply.isGone, waitedMs: Math.round(this.now() - sinceMs) })
        meter.count('gateway_prompts_refused_total', { reason: 'suspect' })
        return { failure: failures.createFailure('not_run', 'prompt_suspected', [verdict.parts.join(', ')], suspectRetryMs) }
      }
      if (trial !== undefined) {
        continue
      }
      await guard.awaitChange(Math.min(leftMs, trialRetryMs))
    }
  }

  /** Ends the trial, if this request is one: its answer has begun, or it has ended. */
  endTrial (): void {
    if (this.trial !== undefined) {
      this.context.guard.trials.finish(this.trial)
      this.trial = undefined
    }
  }

  private createBlockedFailure ({ part, ends, ageMs, leftMs }: evidences.PromptVerdict & { readonly kind: 'blocked' }): failures.Failure {
    this.log('blocked prompt refused', { part, ends, ageMs: Math.round(ageMs), leftMs: Math.round(leftMs) })
    this.context.meter.count('gateway_prompts_refused_total', { reason: 'blocked' })
    return failures.createFailure('not_run', 'prompt_blocked', [part, ends], leftMs)
  }
}
