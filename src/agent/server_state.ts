/**
 * The scheduling state of a server: queued and running attempts, reservations, memory, and estimates of output and speed.
 */
import * as attempts from './attempt.js'
import * as fairQueues from './fair_queue.js'
import * as forecasts from './forecast.js'
import * as ledgers from './memory_ledger.js'
import * as outputEstimates from './output_estimate.js'
import * as stepTimes from './step_times.js'
import * as reservations from './reservations.js'
import * as types from './types.js'

/** Prefill work queued in the engine beyond what it is processing, so that it does not idle between prompts. */
export const prefillAheadMs = 100

export class ServerState {
  readonly queue = new fairQueues.FairQueue<attempts.Attempt>()
  /** Queued attempts that use a reservation; they start first. */
  readonly reserved = new Set<attempts.Attempt>()
  readonly running = new Set<attempts.Attempt>()
  readonly ledger: ledgers.MemoryLedger
  readonly reservations = new reservations.ReservationBook()
  readonly outputEstimate = new outputEstimates.OutputEstimate()
  readonly stepTimes: stepTimes.StepTimes
  readonly forecast: forecasts.Forecast
  /** Prompt tokens of running attempts that are not prefilled yet. */
  pendingPrefillTokens = 0

  constructor (public capacity: types.Capacity) {
    this.ledger = new ledgers.MemoryLedger(capacity.memoryPieces, capacity.pieceTokens)
    this.stepTimes = new stepTimes.StepTimes(capacity.stepMs)
    this.forecast = new forecasts.Forecast(this.outputEstimate, this.stepTimes)
  }

  configure (capacity: types.Capacity): void {
    this.capacity = capacity
    this.ledger.resize(capacity.memoryPieces)
  }

  /** Returns the expected number of memory pieces for a task. */
  countPieces (demand: attempts.Demand): number {
    return this.getPieceDemand(demand).expected
  }

  getPieceDemand (demand: attempts.Demand): ledgers.PieceDemand {
    const { promptTokens, maximumTokens } = demand
    const expectedTokens = demand.kind === 'decode' ? this.outputEstimate.getCautious(demand.model, maximumTokens) : maximumTokens
    return {
      initial: this.ledger.countPieces(promptTokens),
      expected: this.ledger.countPieces(promptTokens + expectedTokens),
      maximum: this.ledger.countPieces(promptTokens + maximumTokens)
    }
  }

  /** Returns the time that the engine needs to prefill the pending prompts of running attempts. */
  getPendingPrefillMs (): number {
    return this.pendingPrefillTokens * 1000 / this.capacity.prefillTokensPerSecond
  }

  /** Returns when the running attempts are expected to end; with `cautious`, times that are rarely exceeded. */
  listDepartures (nowMs: number, cautious: boolean): forecasts.Departure[] {
    const departures: forecasts.Departure[] = []
    for (const attempt of this.running) {
      const inMs = this.forecast.getRemainingMs(attempt, this.capacity, this.running.size, nowMs, cautious)
      departures.push({ inMs, pieces: attempt.allocation?.expected ?? 0 })
    }
    return departures
  }
}
