/**
 * What a server holds: attempts that wait and run, room that is promised, and what is known of their times.
 */
import * as attempts from './attempt.js'
import * as fairQueues from './fair_queue.js'
import * as forecasts from './forecast.js'
import * as ledgers from './memory_ledger.js'
import * as outputEstimates from './output_estimate.js'
import * as paces from './pace.js'
import * as reservations from './reservations.js'
import * as types from './types.js'

/** Prefill work given to the engine ahead of what it works on, so that it does not run dry. */
export const prefillAheadMs = 100

export class Occupancy {
  readonly queue = new fairQueues.FairQueue<attempts.Attempt>()
  /** Attempts that use promised room; they go first. */
  readonly promised = new Set<attempts.Attempt>()
  readonly running = new Set<attempts.Attempt>()
  readonly ledger: ledgers.MemoryLedger
  readonly book = new reservations.ReservationBook()
  readonly estimate = new outputEstimates.OutputEstimate()
  readonly pace: paces.Pace
  readonly forecast: forecasts.Forecast
  /** Prompt tokens that running attempts have yet to prefill. */
  pendingPrefill = 0

  constructor (public capacity: types.Capacity) {
    this.ledger = new ledgers.MemoryLedger(capacity.memoryPieces, capacity.pieceTokens)
    this.pace = new paces.Pace(capacity.stepMs)
    this.forecast = new forecasts.Forecast(this.estimate, this.pace)
  }

  configure (capacity: types.Capacity): void {
    this.capacity = capacity
    this.ledger.resize(capacity.memoryPieces)
  }

  /** Returns the pieces of memory that a task is expected to need. */
  countPieces (demand: attempts.Demand): number {
    return this.getPieces(demand).expected
  }

  getPieces (demand: attempts.Demand): ledgers.PieceDemand {
    const { promptTokens, maximumTokens } = demand
    const expectedTokens = demand.kind === 'decode' ? this.estimate.getCautious(demand.model, maximumTokens) : maximumTokens
    return {
      initial: this.ledger.countPieces(promptTokens),
      expected: this.ledger.countPieces(promptTokens + expectedTokens),
      maximum: this.ledger.countPieces(promptTokens + maximumTokens)
    }
  }

  /** Returns the time that the engine needs for the prompts it was given. */
  getPendingMs (): number {
    return this.pendingPrefill * 1000 / this.capacity.prefillTokensPerSecond
  }

  /** Returns when the running attempts are expected to end. With `cautious`, few end later. */
  listDepartures (nowMs: number, cautious: boolean): forecasts.Departure[] {
    const departures: forecasts.Departure[] = []
    for (const attempt of this.running) {
      const inMs = this.forecast.getRemainingMs(attempt, this.capacity, this.running.size, nowMs, cautious)
      departures.push({ inMs, pieces: attempt.holding?.expected ?? 0 })
    }
    return departures
  }
}
