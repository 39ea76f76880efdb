/**
 * A reference model of the gate without pruning or indexes: it processes the same events as a real gate and throws when an
 * action violates a rule. It does not check predicted waits, refusals that depend on them, and whether a slot is kept
 * free while reservations exist.
 */
import * as assert from 'node:assert/strict'
import * as attempts from '../../src/agent/attempt.js'
import * as types from '../../src/agent/types.js'
import * as work from '../../src/contracts/work.js'

interface AttemptRecord {
  readonly start: work.Start
  readonly demand: attempts.Demand
  readonly deadlineMs: number
  session: string
  state: 'queued' | 'running' | 'finished' | 'cancelled'
  verdict: string
  frames: work.Frame[]
  order: number
  hasReservation: boolean
  /** Whether the abort is to be repeated until the server confirms it. */
  isAborted: boolean
  /** Whether the attempt was cancelled by the entry or by the end of its session. */
  isCancelled: boolean
  /** Whether the frames cannot be resumed any more. */
  isSettled: boolean
  /** Whether the server has reported the end of its work. */
  isDone: boolean
  hasSlot: boolean
  outputTokens: number
  evictAtMs: number
}

type Named = work.AttemptKey

interface Reservation {
  readonly request: string
  readonly workspace: string
  readonly weight: number
  readonly session: string
  readonly lapsesAtMs: number
}

export class ReferenceGate {
  readonly records = new Map<string, AttemptRecord>()
  private readonly tombstones = new Set<string>()
  private readonly refused = new Set<string>()
  private readonly sessions = new Set<string>()
  private readonly reservations = new Map<string, Reservation>()
  private readonly counters = new Map<string, number>()
  private holders: AttemptRecord[] = []
  private minimumCounter = 0
  private isDraining = false
  private nowMs = 0

  constructor (private readonly options: types.GateOptions) {}

  /** Checks the actions for an event; `figures` is the state of the real gate after it. */
  checkDecision (event: types.GateEvent, actions: readonly types.GateAction[], figures: types.GateFigures): void {
    this.nowMs = event.nowMs
    this.dropExpired()
    this.applyEvent(event)
    for (const action of sortWithdrawalsFirst(event, actions)) {
      this.check(action, event)
    }
    this.checkEnd(event, actions, figures)
  }

  getRecord (order: number): AttemptRecord | undefined {
    return this.holders.find(record => record.order === order)
  }

  private dropExpired (): void {
    this.holders = this.holders.filter(record => record.evictAtMs > this.nowMs)
    for (const [id, reservation] of this.reservations) {
      if (reservation.lapsesAtMs <= this.nowMs) {
        this.reservations.delete(id)
      }
    }
  }

  /** Applies the effects of the event that do not depend on the actions. */
  private applyEvent (event: types.GateEvent): void {
    switch (event.kind) {
      case 'session.opened':
        this.sessions.add(event.session)
        return
      case 'session.expired':
        return this.expire(event.session)
      case 'drain':
        this.isDraining = true
        return
      case 'backend.progress': {
        const record = this.getRecord(event.order)
        if (record !== undefined) {
          record.outputTokens += event.tokens
          this.charge(record, event.tokens)
        }
        return
      }
      case 'backend.finished':
      case 'backend.failed':
      case 'backend.released':
        this.applyEnd(event)
    }
  }

  private applyEnd (event: Extract<types.BackendEvent, { readonly kind: 'backend.finished' | 'backend.failed' | 'backend.released' }>): void {
    const record = this.getRecord(event.order)
    if (record === undefined || (record.isDone && event.kind !== 'backend.released')) {
      return
    }
    record.isDone = event.kind === 'backend.finished'
    const keepsTransfer = event.kind === 'backend.finished' && event.completion.transfer !== undefined
    const isReleased = event.kind === 'backend.released' || (event.kind === 'backend.failed' && event.released)
    if (event.kind !== 'backend.failed' || isReleased) {
      record.hasSlot = false
    }
    if (keepsTransfer) {
      record.evictAtMs = Math.min(record.evictAtMs, this.nowMs + this.options.capacity.transferKeptMs)
    } else if (event.kind === 'backend.finished' || isReleased) {
      this.holders = this.holders.filter(holder => holder !== record)
    } else {
      record.isAborted = true
    }
  }

  private expire (session: string): void {
    this.sessions.delete(session)
    for (const [id, reservation] of this.reservations) {
      if (reservation.session === session) {
        this.reservations.delete(id)
      }
    }
    for (const record of this.records.values()) {
      record.isSettled ||= record.session === session
      record.isAborted ||= record.session === session
      record.isCancelled ||= record.session === session
    }
  }

  private check (action: types.GateAction, event: types.GateEvent): void {
    switch (action.kind) {
      case 'answer':
        return this.checkAnswer(event as types.GateCall, action)
      case 'launch':
        return this.checkLaunch(action.order)
      case 'abort': {
        const record = this.getRecord(action.order)
        assert.equal(action.fence, this.options.fence)
        assert.equal(record?.isAborted, true, 'an abort of an attempt that needs none')
        return
      }
      case 'send':
        return this.checkFrame(action.id, action.frame)
    }
  }

  private checkAnswer (event: types.GateCall, { result }: Extract<types.GateAction, { readonly kind: 'answer' }>): void {
    const answer = result.isLeft() ? result.extract() as { readonly code: string, readonly verdict: string } : undefined
    const expected = this.findExpectedFailure(event)
    if (expected !== undefined) {
      assert.deepEqual([answer?.code, answer?.verdict], expected)
      this.recordRefusal(event, expected[0])
      return
    }
    switch (event.kind) {
      case 'work.start':
        return this.checkStart(event, answer)
      case 'work.cancel':
        assert.deepEqual(result.extract(), this.cancel(event.params))
        return
      case 'work.resume':
        assert.deepEqual(result.extract(), this.resume(event.params, event.session))
        return
      case 'work.release':
        this.reservations.delete(event.params.reservation)
        return
      case 'work.offer':
        this.applyOffer(event, result.extract() as work.OfferAnswer)
    }
  }

  private findExpectedFailure (event: types.GateCall): readonly [string, string] | undefined {
    if ('boot' in event.params && event.params.boot !== this.options.boot) {
      return ['server_boot_changed', 'not_run']
    }
    if (!this.sessions.has(event.session)) {
      return ['session_unknown', 'not_run']
    }
    return event.kind === 'work.start' ? this.findExpectedStartFailure(event.params) : this.findExpectedOfferFailure(event)
  }

  private findExpectedOfferFailure (event: types.GateCall): readonly [string, string] | undefined {
    return event.kind === 'work.offer' && this.isDraining ? ['server_leaving', 'not_run'] : undefined
  }

  private findExpectedStartFailure (start: work.Start): readonly [string, string] | undefined {
    const key = attempts.createKey(start)
    const record = this.records.get(key)
    if (record !== undefined) {
      return ['attempt_repeated', record.state === 'queued' ? 'may_have_run' : record.verdict]
    }
    if (this.tombstones.has(key)) {
      return ['attempt_cancelled', 'not_run']
    }
    if (this.refused.has(key)) {
      return ['attempt_repeated', 'not_run']
    }
    const hasReservation = this.reservations.get(start.reservation ?? '')?.request === start.request
    if (this.isDraining && !hasReservation) {
      return ['server_leaving', 'not_run']
    }
    return this.countPieces(attempts.createDemand(start.task, 0), true) > this.options.capacity.memoryPieces
      ? ['memory_exhausted', 'not_run']
      : undefined
  }

  private recordRefusal (event: types.GateCall, code: string): void {
    if (event.kind !== 'work.start' || code === 'server_boot_changed') {
      return
    }
    const key = attempts.createKey(event.params)
    if (!this.records.has(key) && !this.tombstones.has(key)) {
      this.refused.add(key)
    }
    if (code === 'memory_exhausted') {
      this.useReservation(event.params)
    }
  }

  private checkStart (event: types.CallOf<'work.start'>, failure: { readonly code: string, readonly verdict: string } | undefined): void {
    const { params, nowMs, session } = event
    const key = attempts.createKey(params)
    const hasReservation = this.useReservation(params)
    if (failure !== undefined) {
      assert.ok(['target_unreachable', 'queue_full'].includes(failure.code), failure.code)
      assert.equal(failure.verdict, 'not_run')
      assert.ok(this.holders.length + this.listQueued().length + this.reservations.size > 0, 'refused by an idle server')
      this.refused.add(key)
      return
    }
    const record: AttemptRecord = {
      start: params,
      demand: attempts.createDemand(params.task, 0),
      deadlineMs: nowMs + params.maximumWaitMs,
      session,
      state: 'queued',
      verdict: 'not_run',
      frames: [],
      order: 0,
      hasReservation,
      isAborted: false,
      isCancelled: false,
      isSettled: false,
      isDone: false,
      hasSlot: false,
      outputTokens: 0,
      evictAtMs: Number.POSITIVE_INFINITY
    }
    this.raiseCounter(params.workspace)
    this.records.set(key, record)
  }

  private useReservation (start: work.Start): boolean {
    if (this.reservations.get(start.reservation ?? '')?.request !== start.request) {
      return false
    }
    return this.reservations.delete(start.reservation ?? '')
  }

  private applyOffer (event: types.CallOf<'work.offer'>, answer: work.OfferAnswer): void {
    for (const [id, reservation] of this.reservations) {
      if (reservation.request === event.params.request) {
        this.reservations.delete(id)
      }
    }
    this.checkReservation(event.params, answer)
    if (answer.reservation !== undefined) {
      const { request, workspace, weight = 1, expectedInMs, holdMs = 0 } = event.params
      const lapsesAtMs = this.nowMs + expectedInMs + answer.waitMs + holdMs
      this.reservations.set(answer.reservation, { request, workspace, weight, session: event.session, lapsesAtMs })
    }
  }

  /** Checks that a reservation is made exactly if the wait is within the fraction of the longest wait that the workspace may use. */
  private checkReservation (offer: work.Offer, answer: work.OfferAnswer): void {
    const { waitMs, reservation, retryAfterMs, isAboveShare } = answer
    if (offer.holdMs === undefined) {
      assert.deepEqual([reservation, retryAfterMs, isAboveShare], [undefined, undefined, undefined])
      return
    }
    const longestMs = offer.maximumWaitMs ?? offer.holdMs
    const fairMs = longestMs * (offer.weight === undefined ? 1 : this.getWaitFraction(offer.workspace, offer.weight))
    if (waitMs <= fairMs) {
      assert.notEqual(reservation, undefined, 'no reservation for a wait within the limit')
      return
    }
    assert.deepEqual([reservation, isAboveShare], [undefined, waitMs <= longestMs])
    assert.equal(retryAfterMs, Math.max(1, waitMs - fairMs))
  }

  private getWaitFraction (workspace: string, weight: number): number {
    const holders = [
      ...this.holders.filter(record => record.hasSlot).map(record => record.start),
      ...this.listQueued().filter(record => record.hasReservation).map(record => record.start),
      ...this.reservations.values()
    ]
    const own = holders.filter(holder => holder.workspace === workspace).length
    const weights = new Map([[workspace, weight], ...holders.map(holder => [holder.workspace, holder.weight] as const)])
    const sum = [...weights.values()].reduce((total, one) => total + one, 0)
    const fair = (holders.length + 1) * weight / sum
    return own + 1 <= fair + 1 ? 1 : 0.75 * Math.min(1, ((fair * 1.5 + 1) / (own + 1)) ** 6)
  }

  private cancel (cancel: work.Cancel): work.CancelAnswer {
    const key = attempts.createKey(cancel)
    const record = this.records.get(key)
    if (record === undefined) {
      if (this.refused.has(key)) {
        return { verdict: 'not_run', state: 'cancelled' }
      }
      this.tombstones.add(key)
      return { verdict: 'not_run', state: 'unknown' }
    }
    if (record.state === 'queued') {
      return { verdict: 'not_run', state: 'cancelled' }
    }
    if (cancel.mode === 'always') {
      record.isAborted = true
      record.isCancelled = true
      record.state = record.state === 'running' ? 'cancelled' : record.state
    }
    return { verdict: record.verdict as work.CancelAnswer['verdict'], state: record.state }
  }

  private resume (resume: work.Resume, session: string): work.ResumeAnswer {
    const key = attempts.createKey(resume)
    const record = this.records.get(key)
    if (record === undefined) {
      return { state: this.refused.has(key) ? 'cancelled' : 'unknown', frames: [] }
    }
    if (record.isSettled) {
      return { state: record.state, frames: [] }
    }
    record.session = session
    return { state: record.state, frames: record.frames.slice(resume.offset) }
  }

  private checkLaunch (order: types.Order): void {
    const record = this.records.get(attempts.createKey(order.id))
    assert.ok(record !== undefined, 'a launch of an attempt that was not admitted')
    assert.deepEqual([record.state, record.order, order.fence], ['queued', 0, this.options.fence])
    assert.ok(this.listNext().includes(record), 'a launch out of the fair order')
    assert.ok(this.fits(record), 'a launch that exceeds slots or memory')
    if (!record.hasReservation) {
      this.minimumCounter = Math.max(this.minimumCounter, this.getCounter(record))
    }
    record.state = 'running'
    record.verdict = 'may_have_run'
    record.order = order.order
    record.hasSlot = true
    this.holders.push(record)
    this.charge(record, Math.max(1, record.demand.prefillTokens))
  }

  private checkFrame (id: Named, frame: work.Frame): void {
    const record = this.records.get(attempts.createKey(id)) as AttemptRecord
    assert.equal(frame.offset, record.frames.length, 'a gap between frames')
    const last = record.frames.at(-1)?.kind
    assert.ok(last !== 'finished' && last !== 'failed', 'a frame after the end')
    record.frames.push(frame)
    switch (frame.kind) {
      case 'started':
        return
      case 'text':
        assert.equal(record.state, 'running')
        record.verdict = 'ran'
        return
      case 'finished':
        record.state = 'finished'
        record.verdict = 'ran'
        return
      case 'failed':
        assert.equal(frame.failure.verdict === 'not_run', record.order === 0, 'a wrong verdict')
        record.verdict = frame.failure.verdict
        record.state = record.order === 0 || record.isCancelled ? 'cancelled' : 'finished'
    }
  }

  /** Checks that the real gate has omitted no required action, and that its figures agree. */
  private checkEnd (event: types.GateEvent, actions: readonly types.GateAction[], figures: types.GateFigures): void {
    for (const record of this.listQueued()) {
      assert.ok(record.deadlineMs > this.nowMs, 'an attempt is queued after its deadline')
      assert.ok(this.sessions.has(record.session), 'an attempt outlives its session')
    }
    const mayStart = event.kind !== 'backend.progress' && event.kind !== 'work.acknowledge' && this.reservations.size === 0
    const heads = this.listNext()
    const isBlocked = heads.length === 0 || heads.some(head => !this.fits(head))
    assert.ok(!mayStart || isBlocked, 'a slot is idle although an attempt could start')
    const held = this.holders.reduce((sum, record) => sum + this.countPieces(record.demand, false, record.outputTokens), 0)
    assert.deepEqual([figures.held, figures.holders, figures.reservations], [held, this.holders.length, this.reservations.size])
    assert.ok(figures.held >= 0 && figures.held <= figures.total && figures.expected <= figures.total)
    assert.equal(actions.filter(action => action.kind === 'answer').length, 'call' in event ? 1 : 0)
  }

  private listQueued (): AttemptRecord[] {
    return [...this.records.values()].filter(record => record.state === 'queued')
  }

  /** Lists the attempts that may start next: the first with a reservation, or the first of each least served workspace. */
  private listNext (): AttemptRecord[] {
    const queued = this.listQueued()
    const reserved = queued.find(record => record.hasReservation)
    if (reserved !== undefined) {
      return [reserved]
    }
    const least = Math.min(...queued.map(record => this.getCounter(record)))
    const served = queued.filter(record => this.getCounter(record) === least)
    return served.filter(record => queued.find(other => other.start.workspace === record.start.workspace) === record)
  }

  private fits (record: AttemptRecord): boolean {
    const running = this.holders.filter(holder => holder.hasSlot)
    const expected = this.holders.reduce((sum, holder) => {
      return sum + this.countPieces(holder.demand, holder.hasSlot, holder.outputTokens)
    }, 0)
    const { slots, memoryPieces } = this.options.capacity
    return running.length < slots && expected + this.countPieces(record.demand, true) <= memoryPieces
  }

  private countPieces (demand: attempts.Demand, isWhole: boolean, outputTokens = 0): number {
    const grown = isWhole ? demand.maximumTokens : Math.min(demand.maximumTokens, outputTokens)
    return Math.ceil((demand.promptTokens + grown) / this.options.capacity.pieceTokens)
  }

  private getCounter (record: AttemptRecord): number {
    return this.counters.get(record.start.workspace) ?? 0
  }

  private charge (record: AttemptRecord, tokens: number): void {
    this.counters.set(record.start.workspace, this.getCounter(record) + tokens / record.start.weight)
  }

  /** Raises the counter of a workspace without queued attempts to the lowest counter of those with some. */
  private raiseCounter (workspace: string): void {
    const queued = this.listQueued().filter(record => !record.hasReservation)
    if (queued.some(record => record.start.workspace === workspace)) {
      return
    }
    const least = queued.length === 0 ? this.minimumCounter : Math.min(...queued.map(record => this.getCounter(record)))
    this.counters.set(workspace, Math.max(this.counters.get(workspace) ?? 0, least))
  }
}

/** Sorts withdrawals first, because an attempt refused in favour of a start leaves the queue before the start enters it. */
function sortWithdrawalsFirst (event: types.GateEvent, actions: readonly types.GateAction[]): readonly types.GateAction[] {
  if (event.kind !== 'work.start') {
    return actions
  }
  const isWithdrawal = (action: types.GateAction): boolean => action.kind === 'send' && action.frame.kind === 'failed'
  return [...actions.filter(isWithdrawal), ...actions.filter(action => !isWithdrawal(action))]
}
