/**
 * Predicts how long a task waits at a server, and how long it may wait for a reservation.
 */
import * as attempts from './attempt.js'
import * as fairQueues from './fair_queue.js'
import * as forecasts from './forecast.js'
import * as occupancies from './occupancy.js'
import * as profiles from './profile.js'
import * as shares from './shares.js'

export class Waits {
  constructor (private readonly state: occupancies.Occupancy) {}

  /** Predicts the wait of a task that arrives now without a reservation. */
  predictWaitMs (demand: attempts.Demand, workspace: string, weight: number | undefined, nowMs: number): number {
    const ahead = this.state.queue.estimateAhead(workspace, weight)
    ahead.count += this.state.promised.size + this.state.book.size
    ahead.pieces += this.state.book.promisedPieces
    for (const attempt of this.state.promised) {
      ahead.pieces += attempt.pieces
    }
    return Math.max(this.predictPrefillMs(nowMs), this.predictQueueMs(demand, ahead, nowMs))
  }

  /** Returns the expected time from start to end of a task while all slots are in use. */
  getRunMs (demand: attempts.Demand, nowMs: number): number {
    return this.state.forecast.getServiceMs(demand, this.state.capacity, this.state.capacity.slots, nowMs)
  }

  /** Predicts when unreserved capacity is available for a task that arrives in `arrivalInMs`. */
  predictRoomMs (demand: attempts.Demand, arrivalInMs: number, nowMs: number): number | undefined {
    const slots = this.getUsableSlots(nowMs)
    const profile = new profiles.Profile(slots - this.state.running.size, this.state.ledger.freePieces)
    for (const attempt of this.state.running) {
      this.addEnds(profile, attempt, nowMs)
    }
    for (const { expectedAtMs, serviceMs, pieces } of this.state.book.list()) {
      const startInMs = Math.max(0, expectedAtMs - nowMs)
      profile.add(startInMs, -1, -pieces)
      profile.add(startInMs + serviceMs, 1, pieces)
    }
    for (const attempt of this.state.promised) {
      profile.add(0, -1, -attempt.pieces)
      profile.add(this.getRunMs(attempt.demand, nowMs), 1, attempt.pieces)
    }
    const { count, pieces } = this.state.queue.backlog
    profile.add(0, -count, -pieces)
    return profile.findRoom(arrivalInMs, this.state.countPieces(demand))
  }

  /** Adds the capacity that a running attempt frees, in equal parts at the equally likely times of its end. */
  private addEnds (profile: profiles.Profile, attempt: attempts.Attempt, nowMs: number): void {
    const { forecast, capacity, running } = this.state
    const ends = forecast.listRemainingMs(attempt, capacity, running.size, nowMs)
    const pieces = attempt.holding?.expected ?? 0
    for (const inMs of ends) {
      profile.add(inMs, 1 / ends.length, pieces / ends.length)
    }
  }

  /** Returns the fraction, from 0 to 1, of the longest wait for a reservation that a workspace may use. */
  getWaitShare (workspace: string, weight: number): number {
    const held = new shares.Shares()
    for (const group of [this.state.running, this.state.promised, this.state.book.list()]) {
      for (const holder of group) {
        held.add(holder.workspace, holder.weight)
      }
    }
    return held.getWaitShare(workspace, weight)
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
    const pendingMs = this.state.getPendingMs()
    return Math.max(0, pendingMs - Math.min(elapsedMs, pendingMs) + aheadMs - occupancies.prefillAheadMs)
  }

  private predictQueueMs (demand: attempts.Demand, ahead: fairQueues.Backlog, nowMs: number): number {
    const slots = this.getUsableSlots(nowMs)
    const pieces = this.state.countPieces(demand)
    const room = { slots: slots - this.state.running.size, pieces: this.state.ledger.freePieces }
    if (room.slots > ahead.count && room.pieces >= ahead.pieces + pieces) {
      return 0
    }
    const serviceMs = this.state.forecast.getServiceMs(demand, this.state.capacity, slots, nowMs)
    return forecasts.predictWaitMs(room, this.state.listDepartures(nowMs, false), ahead, pieces, serviceMs, slots)
  }

  /** Returns the number of slots that can be used without missing the target time between tokens. */
  private getUsableSlots (nowMs: number): number {
    const { betweenTokensTargetMs, role, slots } = this.state.capacity
    return role === 'decode' ? this.state.pace.getLimit(slots, betweenTokensTargetMs, nowMs) : slots
  }
}
