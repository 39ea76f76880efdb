/**
 * Admission control and scheduling for one backend server, as a deterministic state machine: takes typed events, which carry
 * the time, and returns typed actions. All work for the server passes through its single gate.
 */
import * as attempts from './attempt.js'
import * as attemptControls from './attempt_control.js'
import * as deadlines from './deadlines.js'
import * as failures from '../contracts/failure.js'
import * as admissions from './admission.js'
import * as outboxes from './outbox.js'
import * as gateContexts from './gate_context.js'
import * as prefixIndexes from './prefix_index.js'
import * as offerHandlers from './offer_handler.js'
import * as runners from './runner.js'
import * as schedulers from './scheduler.js'
import * as tables from './attempt_table.js'
import * as types from './types.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'

/** Interval at which the gate rechecks an attempt that is delayed by reservations or by the target time between tokens. */
const recheckIntervalMs = 20
/** Retry delay for callers while the attempt table is full. */
const tableFullRetryMs = 1_000

export class Gate {
  private readonly outbox = new outboxes.Outbox()
  private readonly due = new deadlines.Deadlines<gateContexts.TimedEvent>()
  private readonly prefixes = new prefixIndexes.PrefixIndex()
  private readonly table: tables.AttemptTable
  private readonly scheduler: schedulers.Scheduler
  private readonly runner: runners.Runner
  private readonly admission: admissions.Admission
  private readonly offers: offerHandlers.OfferHandler
  private readonly control: attemptControls.AttemptControl
  private readonly sessions = new Set<string>()
  private isDraining = false
  private isIdleReported = false
  private recheckAtMs: number | undefined

  constructor (private readonly options: types.GateOptions) {
    this.table = new tables.AttemptTable(options.retention)
    this.scheduler = new schedulers.Scheduler(options.capacity)
    const { outbox, table, due, scheduler, prefixes } = this
    const shared: gateContexts.GateContext = { options, outbox, table, due, scheduler, prefixes }
    this.runner = new runners.Runner(shared)
    this.admission = new admissions.Admission(shared)
    this.offers = new offerHandlers.OfferHandler(shared)
    this.control = new attemptControls.AttemptControl({ ...shared, runner: this.runner, admission: this.admission })
  }

  /** When the next `tick` is needed; `undefined` if the passage of time alone changes nothing. */
  get nextTickMs (): number | undefined {
    let next = Number.POSITIVE_INFINITY
    for (const atMs of [this.due.nextMs, this.table.nextPruneMs, this.recheckAtMs]) {
      next = Math.min(next, atMs ?? Number.POSITIVE_INFINITY)
    }
    return Number.isFinite(next) ? next : undefined
  }

  /** The server's current load. */
  get load (): work.Load {
    return this.scheduler.getLoad(this.isDraining)
  }

  /** State of the gate, for tests and the status page. */
  get figures (): types.GateFigures {
    return {
      ...this.scheduler.getMemoryFigures(),
      holders: this.runner.holderCount,
      reservations: this.offers.count,
      live: this.table.liveCount,
      remembered: this.table.endedCount,
      unsettled: this.table.unsettledCount
    }
  }

  /** Returns the tokens served to a workspace, divided by its weight. */
  getServedTokens (workspace: string): number | undefined {
    return this.scheduler.getServedTokens(workspace)
  }

  /** Applies an event, and returns the actions that follow from it. */
  decide (event: types.GateEvent): readonly types.GateAction[] {
    this.runDeadlines(event.nowMs)
    this.dispatch(event)
    if (event.kind !== 'backend.progress' && event.kind !== 'work.acknowledge') {
      this.startNext(event.nowMs)
    }
    if (this.admission.answerPendingStart(event.nowMs)) {
      this.startNext(event.nowMs)
    }
    this.reportIdle()
    return this.outbox.take()
  }

  private startNext (nowMs: number): void {
    this.runner.startNext(nowMs)
    this.scheduleRecheck(nowMs)
  }

  private dispatch (event: types.GateEvent): void {
    switch (event.kind) {
      case 'work.offer':
      case 'work.release':
      case 'work.start':
      case 'work.cancel':
      case 'work.resume':
        return this.handleCall(event)
      case 'work.acknowledge':
        return this.control.acknowledge(event.notice, event.notice.offset)
      case 'backend.progress':
      case 'backend.finished':
      case 'backend.failed':
      case 'backend.released':
        return this.runner.handle(event)
      case 'session.opened':
        this.sessions.add(event.session)
        return
      case 'session.expired':
        return this.endSession(event.session, event.nowMs)
      case 'cache.changed':
        return this.prefixes.apply(event.change)
      case 'configure':
        return this.scheduler.configure(event.capacity)
      case 'drain':
        return this.drain()
      case 'undrain':
        return this.undrain()
      case 'tick':
        return
      default:
        verdicts.assertNever(event)
    }
  }

  private handleCall (event: types.GateCall): void {
    const failure = this.findCallFailure(event)
    if (failure !== undefined) {
      this.refuse(event, failure)
      return
    }
    switch (event.kind) {
      case 'work.offer':
        return this.offer(event)
      case 'work.release':
        this.offers.removeReservation(event.params.reservation, 'reservation.lapsed')
        return this.outbox.succeed(event.call, {})
      case 'work.start':
        return this.start(event)
      case 'work.cancel':
        return this.control.cancel(event)
      case 'work.resume':
        return this.control.resume(event)
      default:
        verdicts.assertNever(event)
    }
  }

  /** Returns why a call is refused whatever its content; `undefined` if it is not. */
  private findCallFailure (event: types.GateCall): failures.Failure | undefined {
    const { boot, server } = this.options
    if ('boot' in event.params && event.params.boot !== boot) {
      return failures.createFailure('not_run', 'server_boot_changed', [server])
    }
    return this.sessions.has(event.session) ? undefined : failures.createFailure('not_run', 'session_unknown')
  }

  private refuse (event: types.GateCall, failure: failures.Failure): void {
    if (event.kind === 'work.start' && failure.code === 'session_unknown' && !this.table.has(attempts.createKey(event.params))) {
      this.admission.refuse(event, failure)
      return
    }
    this.outbox.fail(event.call, failure)
  }

  private offer (event: types.CallOf<'work.offer'>): void {
    if (this.isDraining) {
      this.outbox.fail(event.call, this.createLeavingFailure())
      return
    }
    const reservation = this.offers.offer(event)
    if (reservation !== undefined) {
      this.due.add(reservation.lapsesAtMs, { kind: 'lapse', reservation: reservation.id })
    }
  }

  private start (event: types.CallOf<'work.start'>): void {
    const { params, nowMs, call } = event
    const repeated = this.findRepetitionFailure(params)
    if (repeated !== undefined) {
      this.outbox.fail(call, repeated)
      return
    }
    const hasReservation = this.offers.consume(params)
    if (this.isDraining && !hasReservation) {
      this.admission.refuse(event, this.createLeavingFailure())
      return
    }
    if (!this.table.hasCapacity(nowMs)) {
      this.admission.refuse(event, failures.createFailure('not_run', 'queue_full', [this.options.server], tableFullRetryMs))
      return
    }
    this.admission.admit(event, hasReservation)
  }

  /** Returns the failure, with the verdict known so far, for an attempt that was received or cancelled before. */
  private findRepetitionFailure (id: work.AttemptKey): failures.Failure | undefined {
    const key = attempts.createKey(id)
    const live = this.table.getLive(key)
    if (live !== undefined) {
      const verdict = live.state === 'queued' ? 'may_have_run' : live.verdict
      return failures.createFailure(verdict, 'attempt_repeated', [id.attempt])
    }
    const ended = this.table.getEnded(key)
    if (ended === undefined) {
      return undefined
    }
    return ended.state === 'unknown'
      ? failures.createFailure('not_run', 'attempt_cancelled')
      : failures.createFailure(ended.verdict, 'attempt_repeated', [id.attempt])
  }

  private endSession (session: string, nowMs: number): void {
    this.sessions.delete(session)
    this.offers.releaseSession(session)
    this.control.endSession(session, nowMs)
  }

  private drain (): void {
    if (this.isDraining) {
      return
    }
    this.isDraining = true
    this.outbox.add({ kind: 'leaving', load: this.load })
    this.outbox.add({ kind: 'record', draft: { kind: 'process.draining' } })
  }

  private undrain (): void {
    this.isDraining = false
    this.isIdleReported = false
  }

  private runDeadlines (nowMs: number): void {
    for (;;) {
      const due = this.due.takeDue(nowMs)
      if (due === undefined) {
        break
      }
      this.runDeadline(due, nowMs)
    }
    if ((this.table.nextPruneMs ?? Number.POSITIVE_INFINITY) <= nowMs) {
      this.table.prune(nowMs)
      this.scheduler.prune()
    }
  }

  private runDeadline (due: gateContexts.TimedEvent, nowMs: number): void {
    switch (due.kind) {
      case 'wait':
        if (due.attempt.state === 'queued') {
          this.admission.expire(due.attempt, nowMs)
        }
        return
      case 'abort':
        return this.runner.retryAbort(due.attempt, nowMs)
      case 'evict':
        return this.runner.release(due.attempt)
      case 'lapse':
        return this.offers.removeReservation(due.reservation, 'reservation.lapsed')
      default:
        verdicts.assertNever(due)
    }
  }

  /** Schedules a recheck if an attempt waits although a slot is free. */
  private scheduleRecheck (nowMs: number): void {
    this.recheckAtMs = this.scheduler.hasDelayedAttempt ? nowMs + recheckIntervalMs : undefined
  }

  private reportIdle (): void {
    if (!this.isDraining || this.isIdleReported || this.hasWork()) {
      return
    }
    this.isIdleReported = true
    this.outbox.add({ kind: 'idle' })
  }

  private hasWork (): boolean {
    return this.table.unsettledCount > 0 || this.runner.holderCount > 0 || this.offers.count > 0
  }

  private createLeavingFailure (): failures.Failure {
    return failures.createFailure('not_run', 'server_leaving', [this.options.server])
  }
}
