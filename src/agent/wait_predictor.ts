/**
 * Predicts how long a task waits at a server, and how long it may wait for a reservation.
 */
import * as attempts from './attempt.js'
import * as fairQueues from './fair_queue.js'
import * as forecasts from './forecast.js'
import * as serverStates from './server_state.js'
import * as capacityProfiles from './capacity_profile.js'
import * as fairShares from './fair_shares.js'

export class WaitPredictor {
  constructor (private readonly state: serverStates.ServerState) {}

  /** Predicts the wait of a task that arrives now without a reservation. */
  predictWaitMs (demand: attempts.Demand, workspace: string, weight: number | undefined, nowMs: number): number {
    const ahead = this.state.queue.estimateAhead(workspace, weight)
    ahead.count += this.state.reserved.size + this.state.reservations.size
    ahead.pieces += this.state.reservations.promisedPieces
    for (const attempt of this.state.reserved) {
      ahead.pieces += attempt.pieces
    }
    return Math.max(this.predictPrefillMs(nowMs), this.predictQueueMs(demand, ahead, nowMs))
  }

  /** Returns the expected time from start to end of a task while all slots are in use. */
  getFullLoadServiceMs (demand: attempts.Demand, nowMs: number): number {
    return this.state.forecast.getServiceMs(demand, this.state.capacity, this.state.capacity.slots, nowMs)
  }

  /** Predicts when unreserved capacity is available for a task that arrives in `arrivalInMs`. */
  predictCapacityMs (demand: attempts.Demand, arrivalInMs: number, nowMs: number): number | undefined {
    const slots = this.getUsableSlots(nowMs)
    const profile = new capacityProfiles.CapacityProfile(slots - this.state.running.size, this.state.ledger.freePieces)
    for (const attempt of this.state.running) {
      this.addExpectedEnds(profile, attempt, nowMs)
    }
    for (const { expectedAtMs, serviceMs, pieces } of this.state.reservations.list()) {
      const startInMs = Math.max(0, expectedAtMs - nowMs)
      profile.add(startInMs, -1, -pieces)
      profile.add(startInMs + serviceMs, 1, pieces)
    }
    for (const attempt of this.state.reserved) {
      profile.add(0, -1, -attempt.pieces)
      profile.add(this.getFullLoadServiceMs(attempt.demand, nowMs), 1, attempt.pieces)
    }
    const { count, pieces } = this.state.queue.backlog
    profile.add(0, -count, -pieces)
    return profile.findCapacity(arrivalInMs, this.state.countPieces(demand))
  }

  /** Adds the capacity that a running attempt frees, in equal parts at the equally likely times of its end. */
  private addExpectedEnds (profile: capacityProfiles.CapacityProfile, attempt: attempts.Attempt, nowMs: number): void {
    const { forecast, capacity, running } = this.state
    const ends = forecast.listRemainingMs(attempt, capacity, running.size, nowMs)
    const pieces = attempt.allocation?.expected ?? 0
    for (const inMs of ends) {
      profile.add(inMs, 1 / ends.length, pieces / ends.length)
    }
  }

  /** Returns the fraction, from 0 to 1, of the longest wait for a reservation that a workspace may use. */
  getWaitFraction (workspace: string, weight: number): number {
    const held = new fairShares.FairShares()
    for (const group of [this.state.running, this.state.reserved, this.state.reservations.list()]) {
      for (const holder of group) {
        held.add(holder.workspace, holder.weight)
      }
    }
    return held.getWaitFraction(workspace, weight)
  }

  /**
   * Predicts the wait for prefill capacity from the whole queue, regardless of the fair order: on average, later arrivals
   * overtake a task by as much work as it overtakes itself.
   */
  private predictPrefillMs (nowMs: number): number {
    if (this.state.capacity.role !== 'prefill') {
      return 0
    }
    let elapsedMs = Number.POSITIVE_INFINITY
    for (const attempt of this.state.running) {
      elapsedMs = Math.min(elapsedMs, nowMs - attempt.startedAtMs)
    }
    const aheadMs = this.state.queue.backlog.cost * 1000 / this.state.capacity.prefillTokensPerSecond
    const pendingMs = this.state.getPendingPrefillMs()
    return Math.max(0, pendingMs - Math.min(elapsedMs, pendingMs) + aheadMs - serverStates.prefillAheadMs)
  }

  private predictQueueMs (demand: attempts.Demand, ahead: fairQueues.Backlog, nowMs: number): number {
    const slots = this.getUsableSlots(nowMs)
    const pieces = this.state.countPieces(demand)
    const free = { slots: slots - this.state.running.size, pieces: this.state.ledger.freePieces }
    if (free.slots > ahead.count && free.pieces >= ahead.pieces + pieces) {
      return 0
    }
    const serviceMs = this.state.forecast.getServiceMs(demand, this.state.capacity, slots, nowMs)
    return forecasts.predictWaitMs(free, this.state.listDepartures(nowMs, false), ahead, pieces, serviceMs, slots)
  }

  /** Returns the number of slots that can be used without missing the target time between tokens. */
  private getUsableSlots (nowMs: number): number {
    const { betweenTokensTargetMs, role, slots } = this.state.capacity
    return role === 'decode' ? this.state.stepTimes.getConcurrencyLimit(slots, betweenTokensTargetMs, nowMs) : slots
  }
}
