/**
 * Admission control for attempts: admits, queues or refuses starts, and ends attempts that exceed their maximum wait or are
 * cancelled before they run.
 */
import * as attempts from './attempt.js'
import * as failures from '../contracts/failure.js'
import * as gateContexts from './gate_context.js'
import * as types from './types.js'

type StartCall = types.CallOf<'work.start'>

/** A start that was admitted in the current decision and is not answered yet. */
interface PendingStart {
  readonly call: number
  readonly attempt: attempts.Attempt
}

export class Admission {
  private pendingStart: PendingStart | undefined

  constructor (private readonly context: gateContexts.GateContext) {}

  /** Admits or refuses a start that has passed the checks of the gate; `hasReservation` tells that capacity is reserved for it. */
  admit (event: StartCall, hasReservation: boolean): void {
    const { scheduler, table, due } = this.context
    const attempt = this.createAttempt(event, hasReservation)
    const failure = this.findRefusal(attempt, event)
    if (failure !== undefined) {
      this.refuse(event, failure)
      return
    }
    table.add(attempt)
    scheduler.enqueue(attempt)
    due.add(attempt.deadlineMs, { kind: 'wait', attempt })
    this.pendingStart = { call: event.call, attempt }
  }

  /**
   * Refuses a start and records a tombstone, so that a late copy of the start does not run. Without room for a tombstone
   * the verdict is `may_have_run`.
   */
  refuse (event: StartCall, failure: failures.Failure): void {
    const { table, outbox } = this.context
    const key = attempts.createKey(event.params)
    const isRecorded = table.hasCapacity(event.nowMs)
    if (isRecorded) {
      table.addTombstone(key, 'cancelled', event.nowMs)
    }
    const { request, attempt, workspace } = event.params
    const draft = { kind: 'attempt.refused', request, attempt, workspace, details: { code: failure.code } } as const
    outbox.add({ kind: 'record', draft })
    outbox.fail(event.call, isRecorded ? failure : failures.withVerdict(failure, 'may_have_run'))
  }

  /**
   * Answers the start admitted in the current decision, once it is known whether it runs. Returns whether the admission
   * was revoked, so that other attempts may start instead.
   */
  answerPendingStart (nowMs: number): boolean {
    const { outbox } = this.context
    const pendingStart = this.pendingStart
    this.pendingStart = undefined
    if (pendingStart === undefined) {
      return false
    }
    const { attempt, call } = pendingStart
    if (attempt.state === 'running') {
      outbox.succeed(call, { state: 'running', waitMs: 0 })
      return false
    }
    if (attempt.deadlineMs <= nowMs) {
      outbox.fail(call, this.revoke(attempt, nowMs))
      return true
    }
    outbox.record('attempt.queued', attempt)
    outbox.succeed(call, { state: 'queued', waitMs: this.predictWaitMs(attempt, nowMs) })
    return false
  }

  /** Refuses an attempt that has reached its maximum wait. */
  expire (attempt: attempts.Attempt, nowMs: number): void {
    this.removeFromQueue(attempt, this.createTimeoutFailure(attempt, nowMs), nowMs)
  }

  /** Removes a queued attempt from the queue; it never runs. */
  removeFromQueue (attempt: attempts.Attempt, failure: failures.Failure, nowMs: number): void {
    const { scheduler, table, outbox } = this.context
    if (attempt.state !== 'queued') {
      return
    }
    scheduler.dequeue(attempt)
    attempt.state = 'cancelled'
    attempt.task = undefined
    outbox.send(attempt, attempt.frames.appendFailed(failure))
    outbox.record('attempt.refused', attempt, { code: failure.code })
    table.end(attempt, nowMs)
  }

  /** Revokes an admission of the current decision. The start is refused, so the attempt gets no frames. */
  private revoke (attempt: attempts.Attempt, nowMs: number): failures.Failure {
    const { scheduler, table, outbox } = this.context
    const failure = this.createTimeoutFailure(attempt, nowMs)
    scheduler.dequeue(attempt)
    attempt.state = 'cancelled'
    table.remove(attempt)
    table.addTombstone(attempt.key, 'cancelled', nowMs)
    outbox.record('attempt.refused', attempt, { code: failure.code })
    return failure
  }

  private createTimeoutFailure (attempt: attempts.Attempt, nowMs: number): failures.Failure {
    const waitMs = this.predictWaitMs(attempt, nowMs)
    const allowedMs = Math.round(attempt.deadlineMs - attempt.queuedAtMs)
    const predictedMs = Math.round(nowMs - attempt.queuedAtMs + waitMs)
    return failures.createFailure('not_run', 'target_unreachable', [allowedMs, predictedMs], Math.max(1, waitMs))
  }

  private createAttempt (event: StartCall, hasReservation: boolean): attempts.Attempt {
    const { scheduler, prefixes, options } = this.context
    const { request, attempt, workspace, weight, task, maximumWaitMs } = event.params
    const cachedTokens = prefixes.countCached(prefixes.getOffered(request)) * options.capacity.pieceTokens
    const demand = attempts.createDemand(task, cachedTokens)
    return new attempts.Attempt({
      key: attempts.createKey(event.params),
      id: { request, attempt },
      workspace,
      weight,
      session: event.session,
      task,
      demand,
      cost: scheduler.getCost(demand),
      pieces: scheduler.countPieces(demand),
      queuedAtMs: event.nowMs,
      deadlineMs: event.nowMs + maximumWaitMs,
      hasReservation
    })
  }

  /** Returns the reason to refuse an attempt, or `undefined` to admit it. */
  private findRefusal (attempt: attempts.Attempt, event: StartCall): failures.Failure | undefined {
    const { options, scheduler } = this.context
    if (!scheduler.couldFit(attempt.demand)) {
      return failures.createFailure('not_run', 'memory_exhausted', [options.server])
    }
    if (attempt.hasReservation) {
      return undefined
    }
    const waitMs = scheduler.waitPredictor.predictWaitMs(attempt.demand, attempt.workspace, attempt.weight, event.nowMs)
    const { maximumWaitMs } = event.params
    if (waitMs > maximumWaitMs) {
      const details = [Math.round(maximumWaitMs), Math.round(waitMs)]
      return failures.createFailure('not_run', 'target_unreachable', details, Math.max(1, waitMs - maximumWaitMs))
    }
    return this.ensureQueueSpace(attempt, waitMs, event.nowMs)
  }

  /**
   * Keeps the queue within its limit. Removes an attempt of the workspace with the longest backlog, so that a burst of
   * one workspace does not displace others.
   */
  private ensureQueueSpace (attempt: attempts.Attempt, waitMs: number, nowMs: number): failures.Failure | undefined {
    const { options, scheduler } = this.context
    if (!scheduler.isQueueFull) {
      return undefined
    }
    const failure = failures.createFailure('not_run', 'queue_full', [options.server], Math.max(1, waitMs))
    const displaced = scheduler.findDisplaced(attempt)
    if (displaced === undefined) {
      return failure
    }
    this.removeFromQueue(displaced, failure, nowMs)
    return undefined
  }

  private predictWaitMs (attempt: attempts.Attempt, nowMs: number): number {
    return this.context.scheduler.waitPredictor.predictWaitMs(attempt.demand, attempt.workspace, attempt.weight, nowMs)
  }
}

/** Returns the failure of an attempt that was cancelled. */
export function createCancelledFailure (attempt: attempts.Attempt): failures.Failure {
  return attempt.verdict === 'not_run'
    ? failures.createFailure('not_run', 'attempt_cancelled')
    : failures.createFailure(attempt.verdict, 'stream_interrupted', ['the attempt was cancelled'])
}
