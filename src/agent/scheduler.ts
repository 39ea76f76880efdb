/**
 * Decides which attempt a server starts next, and when.
 */
import * as attempts from './attempt.js'
import * as ledgers from './memory_ledger.js'
import * as serverStates from './server_state.js'
import * as reservations from './reservations.js'
import * as types from './types.js'
import * as waitPredictors from './wait_predictor.js'
import * as work from '../contracts/work.js'

export class Scheduler {
  readonly waitPredictor: waitPredictors.WaitPredictor
  private readonly state: serverStates.ServerState

  constructor (capacity: types.Capacity) {
    this.state = new serverStates.ServerState(capacity)
    this.waitPredictor = new waitPredictors.WaitPredictor(this.state)
  }

  get queuedCount (): number {
    return this.state.queue.size + this.state.reserved.size
  }

  get isQueueFull (): boolean {
    return this.queuedCount >= this.state.capacity.queueLimit
  }

  /** Whether an attempt waits although a slot is free, so that it may start without a further event. */
  get hasDelayedAttempt (): boolean {
    return this.queuedCount > 0 && this.state.running.size < this.state.capacity.slots
  }

  get reservations (): reservations.ReservationBook {
    return this.state.reservations
  }

  configure (capacity: types.Capacity): void {
    this.state.configure(capacity)
  }

  /** Returns whether the task fits into the server's memory when that is empty. */
  couldFit (demand: attempts.Demand): boolean {
    return this.state.ledger.couldFit(this.state.getPieceDemand(demand))
  }

  countPieces (demand: attempts.Demand): number {
    return this.state.countPieces(demand)
  }

  /** Returns the expected tokens of a task, for the fair queue. */
  getCost (demand: attempts.Demand): number {
    const outputTokens = demand.kind === 'decode' ? this.state.outputEstimate.getMean(demand.model, demand.maximumTokens) : 0
    return getInitialCharge(demand) + outputTokens
  }

  getServiceMs (demand: attempts.Demand, nowMs: number): number {
    return demand.kind === 'decode'
      ? this.state.stepTimes.getStepMs(this.state.running.size + 1, nowMs)
      : this.state.forecast.getServiceMs(demand, this.state.capacity, this.state.running.size + 1, nowMs)
  }

  enqueue (attempt: attempts.Attempt): void {
    if (attempt.hasReservation) {
      this.state.reserved.add(attempt)
      return
    }
    this.state.queue.add(attempt)
  }

  /** Removes a queued attempt; returns false if it was not queued. */
  dequeue (attempt: attempts.Attempt): boolean {
    return this.state.reserved.delete(attempt) || this.state.queue.remove(attempt)
  }

  /** Returns the queued attempt to refuse in favour of a newcomer when the queue is full; `undefined` if the newcomer is refused. */
  findDisplaced (newcomer: attempts.Attempt): attempts.Attempt | undefined {
    return this.state.queue.findDisplaced(newcomer)
  }

  /** Starts and returns the next attempt if the server has capacity for it. */
  takeNext (nowMs: number): attempts.Attempt | undefined {
    const first = this.state.reserved.values().next().value
    const attempt = first ?? this.state.queue.peek()
    if (attempt === undefined || !this.canStart(attempt, nowMs)) {
      return undefined
    }
    if (first !== undefined) {
      this.state.reserved.delete(first)
      this.state.queue.startUnqueued(first)
    } else {
      this.state.queue.take(attempt)
    }
    this.begin(attempt, nowMs)
    return attempt
  }

  /** Records output of a running attempt. */
  progress (attempt: attempts.Attempt, tokens: number, nowMs: number): void {
    this.endPrefill(attempt)
    if (attempt.outputTokens > 0 && tokens > 0) {
      this.state.stepTimes.observe(this.state.running.size, (nowMs - attempt.progressAtMs) / tokens, nowMs)
    }
    attempt.outputTokens += tokens
    attempt.progressAtMs = nowMs
    this.state.queue.charge(attempt, tokens)
    if (attempt.allocation !== undefined) {
      this.state.ledger.grow(attempt.allocation, attempt.demand.promptTokens + attempt.outputTokens)
    }
  }

  /** Records that an attempt ended normally; its `outputTokens` is the engine's count. */
  observeEnd (attempt: attempts.Attempt, nowMs: number): void {
    if (attempt.demand.kind === 'decode') {
      this.state.outputEstimate.observe(attempt.demand.model, attempt.outputTokens, attempt.demand.maximumTokens)
    }
    if (attempt.demand.kind === 'call') {
      this.state.forecast.observeCall(nowMs - attempt.startedAtMs)
    }
  }

  /** Frees the slot; the memory stays held. */
  releaseSlot (attempt: attempts.Attempt): void {
    if (!this.state.running.delete(attempt)) {
      return
    }
    this.endPrefill(attempt)
    this.state.queue.end(attempt)
    if (attempt.allocation !== undefined) {
      this.state.ledger.freeze(attempt.allocation)
    }
  }

  /** Frees the slot and the memory. */
  release (attempt: attempts.Attempt): void {
    this.releaseSlot(attempt)
    if (attempt.allocation !== undefined) {
      this.state.ledger.release(attempt.allocation)
      attempt.allocation = undefined
    }
  }

  /** Removes idle workspaces from the fair queue. */
  prune (): void {
    this.state.queue.prune()
  }

  getLoad (draining: boolean): work.Load {
    return {
      running: this.state.running.size,
      queued: this.queuedCount,
      pendingPromptTokens: Math.round(this.state.pendingPrefillTokens + (this.state.capacity.role === 'prefill' ? this.state.queue.backlog.cost : 0)),
      freePieces: this.state.ledger.freePieces,
      totalPieces: this.state.ledger.totalPieces,
      promisedPieces: this.state.reservations.promisedPieces,
      slots: this.state.capacity.slots,
      draining
    }
  }

  /** Returns the memory use, for tests and the status page. */
  getMemoryFigures (): { readonly held: number, readonly expected: number, readonly total: number } {
    return { held: this.state.ledger.heldPieces, expected: this.state.ledger.expectedPieces, total: this.state.ledger.totalPieces }
  }

  getServedTokens (workspace: string): number | undefined {
    return this.state.queue.getCounter(workspace)
  }

  /**
   * Returns whether an attempt may start. One with a reservation needs only a slot and memory, because its finished prefill
   * would expire during a longer wait.
   */
  private canStart (attempt: attempts.Attempt, nowMs: number): boolean {
    const { slots, betweenTokensTargetMs } = this.state.capacity
    const demand = this.state.getPieceDemand(attempt.demand)
    if (this.state.running.size >= slots || !this.state.ledger.fits(demand, 0)) {
      return false
    }
    if (attempt.hasReservation) {
      return true
    }
    if (this.state.capacity.role === 'decode' && !this.state.stepTimes.allowsConcurrency(this.state.running.size + 1, betweenTokensTargetMs, nowMs)) {
      return false
    }
    if (this.state.capacity.role === 'prefill' && this.state.getPendingPrefillMs() > serverStates.prefillAheadMs) {
      return false
    }
    return this.state.reservations.size === 0 || this.canMeetReservations(attempt, demand, nowMs)
  }

  /** Returns whether all reservations can still be met if the attempt starts now. */
  private canMeetReservations (attempt: attempts.Attempt, demand: ledgers.PieceDemand, nowMs: number): boolean {
    const { slots } = this.state.capacity
    if (this.state.running.size + this.state.reservations.size < slots && this.state.ledger.fits(demand, this.state.reservations.promisedPieces)) {
      return true
    }
    const untilMs = this.state.reservations.firstExpectedMs - nowMs
    if (this.state.forecast.getRemainingMs(attempt, this.state.capacity, this.state.running.size + 1, nowMs, true) <= untilMs) {
      return true
    }
    return this.fitsBy(untilMs, demand, nowMs)
  }

  /** Returns whether the reservations and the new task fit together after the departures up to `untilMs`. */
  private fitsBy (untilMs: number, demand: ledgers.PieceDemand, nowMs: number): boolean {
    let busy = this.state.running.size
    let pieces = this.state.ledger.expectedPieces
    for (const departure of this.state.listDepartures(nowMs, true)) {
      if (departure.inMs <= untilMs) {
        busy -= 1
        pieces -= departure.pieces
      }
    }
    const hasSlots = busy + this.state.reservations.size < this.state.capacity.slots
    return hasSlots && pieces + this.state.reservations.promisedPieces + demand.expected <= this.state.ledger.totalPieces
  }

  private begin (attempt: attempts.Attempt, nowMs: number): void {
    attempt.startedAtMs = nowMs
    attempt.progressAtMs = nowMs
    this.state.running.add(attempt)
    this.state.pendingPrefillTokens += attempt.demand.prefillTokens
    this.state.queue.charge(attempt, getInitialCharge(attempt.demand))
    attempt.allocation = this.state.ledger.allocate(this.state.getPieceDemand(attempt.demand))
  }

  private endPrefill (attempt: attempts.Attempt): void {
    if (attempt.isPrefilled) {
      return
    }
    attempt.isPrefilled = true
    this.state.pendingPrefillTokens -= attempt.demand.prefillTokens
  }
}

/** Returns the tokens charged when an attempt starts. A decode of a transferred prompt is charged for its output only. */
function getInitialCharge (demand: attempts.Demand): number {
  return Math.max(1, demand.prefillTokens)
}
