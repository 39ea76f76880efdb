/**
 * Takes up attempts: admits, queues or refuses starts, and ends those that wait too long or are cancelled
 * before they run.
 */
import * as attempts from './attempt.js'
import * as failures from '../contracts/failure.js'
import * as parts from './parts.js'
import * as types from './types.js'

type StartCall = types.CallOf<'work.start'>

/** A start that was admitted in this decision and is not answered yet. */
interface Admission {
  readonly call: number
  readonly attempt: attempts.Attempt
}

export class Intake {
  private admission: Admission | undefined

  constructor (private readonly parts: parts.Parts) {}

  /** Admits a start that no rule of the gate forbids; `isPromised` tells that room was kept for it. */
  admit (event: StartCall, isPromised: boolean): void {
    const { scheduler, table, due } = this.parts
    const attempt = this.createAttempt(event, isPromised)
    const failure = this.findObstacle(attempt, event)
    if (failure !== undefined) {
      this.refuse(event, failure)
      return
    }
    table.add(attempt)
    scheduler.enqueue(attempt)
    due.add(attempt.deadlineMs, { kind: 'wait', attempt })
    this.admission = { call: event.call, attempt }
  }

  /** Refuses a start; unless the refusal can be remembered, a copy that arrives later might run. */
  refuse (event: StartCall, failure: failures.Failure): void {
    const { table, outbox } = this.parts
    const key = attempts.createKey(event.params)
    const isKept = table.hasRoom(event.nowMs)
    if (isKept) {
      table.bury(key, 'cancelled', event.nowMs)
    }
    const { request, attempt, workspace } = event.params
    const draft = { kind: 'attempt.refused', request, attempt, workspace, details: { code: failure.code } } as const
    outbox.add({ kind: 'record', draft })
    outbox.fail(event.call, isKept ? failure : failures.withVerdict(failure, 'may_have_run'))
  }

  /**
   * Answers the start admitted in this decision, once it is known whether it runs. Returns whether it was taken back,
   * so that others may start in its place.
   */
  answerAdmission (nowMs: number): boolean {
    const { outbox } = this.parts
    const admission = this.admission
    this.admission = undefined
    if (admission === undefined) {
      return false
    }
    const { attempt, call } = admission
    if (attempt.state === 'running') {
      outbox.succeed(call, { state: 'running', waitMs: 0 })
      return false
    }
    if (attempt.deadlineMs <= nowMs) {
      outbox.fail(call, this.retract(attempt, nowMs))
      return true
    }
    outbox.record('attempt.queued', attempt)
    outbox.succeed(call, { state: 'queued', waitMs: this.predict(attempt, nowMs) })
    return false
  }

  /** Refuses an attempt that has waited as long as it may. */
  expire (attempt: attempts.Attempt, nowMs: number): void {
    this.withdraw(attempt, this.createOverdue(attempt, nowMs), nowMs)
  }

  /** Takes a queued attempt out of the queue; it never runs. */
  withdraw (attempt: attempts.Attempt, failure: failures.Failure, nowMs: number): void {
    const { scheduler, table, outbox } = this.parts
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

  /** Takes an attempt back that was admitted in this decision; its start is refused, so that it has no frames. */
  private retract (attempt: attempts.Attempt, nowMs: number): failures.Failure {
    const { scheduler, table, outbox } = this.parts
    const failure = this.createOverdue(attempt, nowMs)
    scheduler.dequeue(attempt)
    attempt.state = 'cancelled'
    table.remove(attempt)
    table.bury(attempt.key, 'cancelled', nowMs)
    outbox.record('attempt.refused', attempt, { code: failure.code })
    return failure
  }

  private createOverdue (attempt: attempts.Attempt, nowMs: number): failures.Failure {
    const waitMs = this.predict(attempt, nowMs)
    const allowedMs = Math.round(attempt.deadlineMs - attempt.queuedAtMs)
    const predictedMs = Math.round(nowMs - attempt.queuedAtMs + waitMs)
    return failures.createFailure('not_run', 'target_unreachable', [allowedMs, predictedMs], Math.max(1, waitMs))
  }

  private createAttempt (event: StartCall, isPromised: boolean): attempts.Attempt {
    const { scheduler, prefixes, options } = this.parts
    const { request, attempt, workspace, weight, task, maximumWaitMs } = event.params
    const cachedTokens = prefixes.match(prefixes.recall(request)) * options.capacity.pieceTokens
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
      isPromised
    })
  }

  /** Returns why an attempt can't be admitted, or `undefined`. */
  private findObstacle (attempt: attempts.Attempt, event: StartCall): failures.Failure | undefined {
    const { options, scheduler } = this.parts
    if (!scheduler.couldFit(attempt.demand)) {
      return failures.createFailure('not_run', 'memory_exhausted', [options.server])
    }
    if (attempt.isPromised) {
      return undefined
    }
    const waitMs = scheduler.waits.predictWaitMs(attempt.demand, attempt.workspace, attempt.weight, event.nowMs)
    const { maximumWaitMs } = event.params
    if (waitMs > maximumWaitMs) {
      const details = [Math.round(maximumWaitMs), Math.round(waitMs)]
      return failures.createFailure('not_run', 'target_unreachable', details, Math.max(1, waitMs - maximumWaitMs))
    }
    return this.makeRoom(attempt, waitMs, event.nowMs)
  }

  /**
   * Keeps the queue within its limit. The workspace with the longest backlog gives way, so that its burst
   * does not push others out.
   */
  private makeRoom (attempt: attempts.Attempt, waitMs: number, nowMs: number): failures.Failure | undefined {
    const { options, scheduler } = this.parts
    if (!scheduler.isQueueFull) {
      return undefined
    }
    const failure = failures.createFailure('not_run', 'queue_full', [options.server], Math.max(1, waitMs))
    const yielding = scheduler.findYielding(attempt)
    if (yielding === undefined) {
      return failure
    }
    this.withdraw(yielding, failure, nowMs)
    return undefined
  }

  private predict (attempt: attempts.Attempt, nowMs: number): number {
    return this.parts.scheduler.waits.predictWaitMs(attempt.demand, attempt.workspace, attempt.weight, nowMs)
  }
}

/** Returns the failure of an attempt that was cancelled. */
export function createCancelled (attempt: attempts.Attempt): failures.Failure {
  return attempt.verdict === 'not_run'
    ? failures.createFailure('not_run', 'attempt_cancelled')
    : failures.createFailure(attempt.verdict, 'stream_interrupted', ['the attempt was cancelled'])
}
