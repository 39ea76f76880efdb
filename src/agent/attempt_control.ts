/**
 * Handles what happens to attempts after their start: cancel, resume, acknowledgement, and the end of a session.
 */
import * as attempts from './attempt.js'
import * as admissions from './admission.js'
import * as gateContexts from './gate_context.js'
import * as runners from './runner.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

export interface AttemptControlContext extends gateContexts.GateContext {
  readonly runner: runners.Runner
  readonly admission: admissions.Admission
}

export class AttemptControl {
  constructor (private readonly context: AttemptControlContext) {}

  cancel (event: types.CallOf<'work.cancel'>): void {
    const { outbox, table } = this.context
    const { call, nowMs, params } = event
    const key = attempts.createKey(params)
    const live = table.getLive(key)
    if (live !== undefined) {
      outbox.succeed(call, this.cancelLive(live, params.mode, nowMs))
      return
    }
    const ended = table.getEnded(key)
    if (ended === undefined) {
      outbox.succeed(call, this.cancelUnknown(params, key, nowMs))
      return
    }
    if (params.mode === 'always') {
      this.abortOnServer(key, nowMs)
    }
    outbox.succeed(call, { verdict: ended.verdict, state: ended.state })
  }

  /** Answers with the frames from an offset on, and sends later frames over the calling session. */
  resume (event: types.CallOf<'work.resume'>): void {
    const { outbox, table } = this.context
    const { params, session, call } = event
    const key = attempts.createKey(params)
    const ended = table.getEnded(key)
    const attempt = table.getLive(key) ?? ended?.attempt
    if (attempt === undefined) {
      outbox.succeed(call, { state: ended?.state ?? 'unknown', frames: [] })
      return
    }
    table.moveToSession(attempt, session)
    outbox.succeed(call, { state: attempt.state, frames: [...attempt.frames.readFrom(params.offset)] })
  }

  /** Releases the frames of an ended attempt once its last frame is acknowledged. */
  acknowledge (id: work.AttemptKey, offset: number): void {
    const { table } = this.context
    const ended = table.getEnded(attempts.createKey(id))
    if (ended?.attempt?.frames.isLast(offset) === true) {
      table.releaseFrames(ended)
    }
  }

  /**
   * Cancels all attempts of an expired session. The answers of finished calls are kept, so that another session can
   * resume them.
   */
  endSession (session: string, nowMs: number): void {
    const { table, runner } = this.context
    for (const attempt of runner.listHolders(session)) {
      this.cancelLive(attempt, 'always', nowMs)
    }
    for (const attempt of table.listBySession(session)) {
      this.cancelLive(attempt, 'always', nowMs)
      table.detachSession(attempt)
    }
  }

  private cancelLive (attempt: attempts.Attempt, mode: work.Cancel['mode'], nowMs: number): work.CancelAnswer {
    const { admission: intake } = this.context
    if (attempt.state === 'queued') {
      intake.removeFromQueue(attempt, admissions.createCancelledFailure(attempt), nowMs)
      return { verdict: 'not_run', state: 'cancelled' }
    }
    if (mode === 'unless_started') {
      return { verdict: attempt.verdict, state: attempt.state }
    }
    if (attempt.state === 'running') {
      this.stop(attempt, nowMs)
    }
    this.abortOnServer(attempt.key, nowMs)
    return { verdict: attempt.verdict, state: attempt.state }
  }

  /** Ends a running attempt for the entry. Its slot and memory stay in use until the server confirms the abort. */
  private stop (attempt: attempts.Attempt, nowMs: number): void {
    const { table, outbox } = this.context
    attempt.state = 'cancelled'
    outbox.send(attempt, attempt.frames.appendFailed(admissions.createCancelledFailure(attempt)))
    table.end(attempt, nowMs)
  }

  /** Aborts the attempt on the server, so that its resources there are released. */
  private abortOnServer (key: string, nowMs: number): void {
    const { runner } = this.context
    const holder = runner.getHolder(key)
    if (holder !== undefined && !holder.isAborting) {
      runner.abort(holder, nowMs)
    }
  }

  private cancelUnknown (params: work.Cancel, key: string, nowMs: number): work.CancelAnswer {
    const { table, outbox } = this.context
    if (!table.hasCapacity(nowMs)) {
      return { verdict: 'may_have_run', state: 'unknown' }
    }
    table.addTombstone(key, 'unknown', nowMs)
    const { request, attempt } = params
    outbox.add({ kind: 'record', draft: { kind: 'cancel.tombstone', request, attempt } })
    return { verdict: 'not_run', state: 'unknown' }
  }
}
