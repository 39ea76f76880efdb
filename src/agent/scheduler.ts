/**
 * Decides which attempt a server takes up next, and predicts how long one will wait.
 */
import * as attempts from './attempt.js'
import * as fairQueues from './fair_queue.js'
import * as forecasts from './forecast.js'
import * as ledgers from './memory_ledger.js'
import * as outputEstimates from './output_estimate.js'
import * as paces from './pace.js'
import * as profiles from './profile.js'
import * as reservations from './reservations.js'
import * as shares from './shares.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

/** Prefill work given to the engine ahead of what it works on, so that it does not run dry. */
const prefillAheadMs = 100

export class Scheduler {
  private readonly queue = new fairQueues.FairQueue<attempts.Attempt>()
  /** Attempts that use promised room; they go first. */
  private readonly promised = new Set<attempts.Attempt>()
  private readonly running = new Set<attempts.Attempt>()
  private readonly ledger: ledgers.MemoryLedger
  private readonly book = new reservations.ReservationBook()
  private readonly estimate = new outputEstimates.OutputEstimate()
  private readonly pace: paces.Pace
  private readonly forecast: forecasts.Forecast
  /** Prompt tokens that running attempts have yet to prefill. */
  private pendingPrefill = 0

  constructor (private capacity: types.Capacity) {
    this.ledger = new ledgers.MemoryLedger(capacity.memoryPieces, capacity.pieceTokens)
    this.pace = new paces.Pace(capacity.stepMs)
    this.forecast = new forecasts.Forecast(this.estimate, this.pace)
  }

  get queuedCount (): number {
    return this.queue.size + this.promised.size
  }

  get isQueueFull (): boolean {
    return this.queuedCount >= this.capacity.queueLimit
  }

  /** Whether an attempt waits although a slot is free, so that time alone may let it start. */
  get isHolding (): boolean {
    return this.queuedCount > 0 && this.running.size < this.capacity.slots
  }

  get reservations (): reservations.ReservationBook {
    return this.book
  }

  configure (capacity: types.Capacity): void {
    this.capacity = capacity
    this.ledger.resize(capacity.memoryPieces)
  }

  /** Tells whether the server could ever hold the task. */
  couldFit (demand: attempts.Demand): boolean {
    return this.ledger.couldFit(this.getPieces(demand))
  }

  countPieces (demand: attempts.Demand): number {
    return this.getPieces(demand).expected
  }

  /** Returns the expected tokens of a task, for the fair order. */
  getCost (demand: attempts.Demand): number {
    const outputTokens = demand.kind === 'decode' ? this.estimate.getMean(demand.model, demand.maximumTokens) : 0
    return getFirstCharge(demand) + outputTokens
  }

  getServiceMs (demand: attempts.Demand, nowMs: number): number {
    return demand.kind === 'decode'
      ? this.pace.getStepMs(this.running.size + 1, nowMs)
      : this.forecast.getServiceMs(demand, this.capacity, this.running.size + 1, nowMs)
  }

  /** Predicts the wait of a task that arrives now without promised room, in milliseconds. */
  predictWaitMs (demand: attempts.Demand, workspace: string, weight: number | undefined, nowMs: number): number {
    const ahead = this.queue.estimateAhead(workspace, weight)
    ahead.count += this.promised.size + this.book.size
    ahead.pieces += this.book.promisedPieces
    for (const attempt of this.promised) {
      ahead.pieces += attempt.pieces
    }
    return Math.max(this.predictPrefillMs(nowMs), this.predictQueueMs(demand, ahead, nowMs))
  }

  /** Returns the expected time from start to end of a task on the full server, in milliseconds. */
  getRunMs (demand: attempts.Demand, nowMs: number): number {
    return this.forecast.getServiceMs(demand, this.capacity, this.capacity.slots, nowMs)
  }

  /** Predicts from when on there is room for a task that arrives at an instant, beside what is promised. */
  predictRoomMs (demand: attempts.Demand, arrivalInMs: number, nowMs: number): number | undefined {
    const slots = this.getUsableSlots(nowMs)
    const profile = new profiles.Profile(slots - this.running.size, this.ledger.freePieces)
    for (const { inMs, pieces } of this.listDepartures(nowMs, false)) {
      profile.add(inMs, 1, pieces)
    }
    for (const { expectedAtMs, serviceMs, pieces } of this.book.list()) {
      const startInMs = Math.max(0, expectedAtMs - nowMs)
      profile.add(startInMs, -1, -pieces)
      profile.add(startInMs + serviceMs, 1, pieces)
    }
    for (const attempt of this.promised) {
      profile.add(0, -1, -attempt.pieces)
      profile.add(this.getRunMs(attempt.demand, nowMs), 1, attempt.pieces)
    }
    const { count, pieces } = this.queue.backlog
    profile.add(0, -count, -pieces)
    return profile.findRoom(arrivalInMs, this.countPieces(demand))
  }

  /** Returns the part of the longest wait for promised room that a workspace may use, from 0 to 1. */
  getWaitShare (workspace: string, weight: number): number {
    const held = new shares.Shares()
    for (const group of [this.running, this.promised, this.book.list()]) {
      for (const holder of group) {
        held.add(holder.workspace, holder.weight)
      }
    }
    return held.getWaitShare(workspace, weight)
  }

  enqueue (attempt: attempts.Attempt): void {
    if (attempt.isPromised) {
      this.promised.add(attempt)
      return
    }
    this.queue.add(attempt)
  }

  /** Takes a queued attempt out; returns false if it was not queued. */
  dequeue (attempt: attempts.Attempt): boolean {
    return this.promised.delete(attempt) || this.queue.remove(attempt)
  }

  /** Returns a queued attempt that gives way to a newcomer when the queue is full; `undefined` if the newcomer must. */
  findYielding (newcomer: attempts.Attempt): attempts.Attempt | undefined {
    return this.queue.findYielding(newcomer)
  }

  /** Starts the next attempt if the server has room for it. */
  takeNext (nowMs: number): attempts.Attempt | undefined {
    const first = this.promised.values().next().value
    const attempt = first ?? this.queue.peek()
    if (attempt === undefined || !this.canStart(attempt, nowMs)) {
      return undefined
    }
    if (first !== undefined) {
      this.promised.delete(first)
      this.queue.begin(first)
    } else {
      this.queue.take(attempt)
    }
    this.begin(attempt, nowMs)
    return attempt
  }

  /** Records output of a running attempt. */
  progress (attempt: attempts.Attempt, tokens: number, nowMs: number): void {
    this.endPrefill(attempt)
    if (attempt.outputTokens > 0 && tokens > 0) {
      this.pace.observe(this.running.size, (nowMs - attempt.progressAtMs) / tokens, nowMs)
    }
    attempt.outputTokens += tokens
    attempt.progressAtMs = nowMs
    this.queue.charge(attempt, tokens)
    if (attempt.holding !== undefined) {
      this.ledger.grow(attempt.holding, attempt.demand.promptTokens + attempt.outputTokens)
    }
  }

  /** Records that an attempt ended by itself; `outputTokens` is what the engine counted. */
  observeEnd (attempt: attempts.Attempt, nowMs: number): void {
    if (attempt.demand.kind === 'decode') {
      this.estimate.observe(attempt.demand.model, attempt.outputTokens, attempt.demand.maximumTokens)
    }
    if (attempt.demand.kind === 'call') {
      this.forecast.observeCall(nowMs - attempt.startedAtMs)
    }
  }

  /** Frees the slot; the memory stays held. */
  releaseSlot (attempt: attempts.Attempt): void {
    if (!this.running.delete(attempt)) {
      return
    }
    this.endPrefill(attempt)
    this.queue.end(attempt)
    if (attempt.holding !== undefined) {
      this.ledger.freeze(attempt.holding)
    }
  }

  /** Frees the slot and the memory. */
  release (attempt: attempts.Attempt): void {
    this.releaseSlot(attempt)
    if (attempt.holding !== undefined) {
      this.ledger.release(attempt.holding)
      attempt.holding = undefined
    }
  }

  /** Forgets idle workspaces. */
  prune (): void {
    this.queue.prune()
  }

  getLoad (draining: boolean): work.Load {
    return {
      running: this.running.size,
      queued: this.queuedCount,
      pendingPromptTokens: Math.round(this.pendingPrefill + (this.capacity.role === 'prefill' ? this.queue.backlog.cost : 0)),
      freePieces: this.ledger.freePieces,
      totalPieces: this.ledger.totalPieces,
      promisedPieces: this.book.promisedPieces,
      slots: this.capacity.slots,
      draining
    }
  }

  /** Figures for tests and display. */
  getLedger (): { readonly held: number, readonly expected: number, readonly total: number } {
    return { held: this.ledger.heldPieces, expected: this.ledger.expectedPieces, total: this.ledger.totalPieces }
  }

  getCounter (workspace: string): number | undefined {
    return this.queue.getCounter(workspace)
  }

  /**
   * Tells whether an attempt may start. What was promised room needs no more than that: its finished prefill
   * would be lost by waiting.
   */
  private canStart (attempt: attempts.Attempt, nowMs: number): boolean {
    const { slots, betweenTokensTargetMs } = this.capacity
    const demand = this.getPieces(attempt.demand)
    if (this.running.size >= slots || !this.ledger.fits(demand, 0)) {
      return false
    }
    if (attempt.isPromised) {
      return true
    }
    if (this.capacity.role === 'decode' && !this.pace.allows(this.running.size + 1, betweenTokensTargetMs, nowMs)) {
      return false
    }
    if (this.capacity.role === 'prefill' && this.getPendingMs() > prefillAheadMs) {
      return false
    }
    return this.book.size === 0 || this.keepsPromises(attempt, demand, nowMs)
  }

  /** Tells whether the promised room will be there in time if the attempt starts now. */
  private keepsPromises (attempt: attempts.Attempt, demand: ledgers.PieceDemand, nowMs: number): boolean {
    const { slots } = this.capacity
    if (this.running.size + this.book.size < slots && this.ledger.fits(demand, this.book.promisedPieces)) {
      return true
    }
    const untilMs = this.book.firstExpectedMs - nowMs
    if (this.forecast.getRemainingMs(attempt, this.capacity, this.running.size + 1, nowMs, true) <= untilMs) {
      return true
    }
    return this.isRoomBy(untilMs, demand, nowMs)
  }

  /** Tells whether, after the departures up to an instant, the promises and the new task fit together. */
  private isRoomBy (untilMs: number, demand: ledgers.PieceDemand, nowMs: number): boolean {
    let busy = this.running.size
    let pieces = this.ledger.expectedPieces
    for (const departure of this.listDepartures(nowMs, true)) {
      if (departure.inMs <= untilMs) {
        busy -= 1
        pieces -= departure.pieces
      }
    }
    const hasSlots = busy + this.book.size < this.capacity.slots
    return hasSlots && pieces + this.book.promisedPieces + demand.expected <= this.ledger.totalPieces
  }

  private begin (attempt: attempts.Attempt, nowMs: number): void {
    attempt.startedAtMs = nowMs
    attempt.progressAtMs = nowMs
    this.running.add(attempt)
    this.pendingPrefill += attempt.demand.prefillTokens
    this.queue.charge(attempt, getFirstCharge(attempt.demand))
    attempt.holding = this.ledger.take(this.getPieces(attempt.demand))
  }

  private endPrefill (attempt: attempts.Attempt): void {
    if (attempt.isPrefilled) {
      return
    }
    attempt.isPrefilled = true
    this.pendingPrefill -= attempt.demand.prefillTokens
  }

  private getPieces (demand: attempts.Demand): ledgers.PieceDemand {
    const { promptTokens, maximumTokens } = demand
    const expectedTokens = demand.kind === 'decode' ? this.estimate.getCautious(demand.model, maximumTokens) : maximumTokens
    return {
      initial: this.ledger.countPieces(promptTokens),
      expected: this.ledger.countPieces(promptTokens + expectedTokens),
      maximum: this.ledger.countPieces(promptTokens + maximumTokens)
    }
  }

  /** Returns the time that the engine needs for the prompts it was given. */
  private getPendingMs (): number {
    return this.pendingPrefill * 1000 / this.capacity.prefillTokensPerSecond
  }

  /**
   * Predicts the wait for the engine's prefill by all that is queued, whatever its place in the fair order: about as
   * much as a task overtakes comes later and overtakes it.
   */
  private predictPrefillMs (nowMs: number): number {
    if (this.capacity.role !== 'prefill') {
      return 0
    }
    let elapsedMs = Number.POSITIVE_INFINITY
    for (const attempt of this.running) {
      elapsedMs = Math.min(elapsedMs, nowMs - attempt.startedAtMs)
    }
    const aheadMs = this.queue.backlog.cost * 1000 / this.capacity.prefillTokensPerSecond
    const pendingMs = this.getPendingMs()
    return Math.max(0, pendingMs - Math.min(elapsedMs, pendingMs) + aheadMs - prefillAheadMs)
  }

  private predictQueueMs (demand: attempts.Demand, ahead: fairQueues.Backlog, nowMs: number): number {
    const slots = this.getUsableSlots(nowMs)
    const pieces = this.countPieces(demand)
    const room = { slots: slots - this.running.size, pieces: this.ledger.freePieces }
    if (room.slots > ahead.count && room.pieces >= ahead.pieces + pieces) {
      return 0
    }
    const serviceMs = this.forecast.getServiceMs(demand, this.capacity, slots, nowMs)
    return forecasts.predictWaitMs(room, this.listDepartures(nowMs, false), ahead, pieces, serviceMs, slots)
  }

  /** Slots that may be used at once within the time between tokens. */
  private getUsableSlots (nowMs: number): number {
    const { betweenTokensTargetMs, role, slots } = this.capacity
    return role === 'decode' ? this.pace.getLimit(slots, betweenTokensTargetMs, nowMs) : slots
  }

  private listDepartures (nowMs: number, cautious: boolean): forecasts.Departure[] {
    const departures: forecasts.Departure[] = []
    for (const attempt of this.running) {
      const inMs = this.forecast.getRemainingMs(attempt, this.capacity, this.running.size, nowMs, cautious)
      departures.push({ inMs, pieces: attempt.holding?.expected ?? 0 })
    }
    return departures
  }
}

/** Tokens charged when an attempt starts. A decode of a transferred prompt is charged by its output. */
function getFirstCharge (demand: attempts.Demand): number {
  return Math.max(1, demand.prefillTokens)
}
