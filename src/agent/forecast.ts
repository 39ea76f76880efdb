/**
 * Predicts waits and service times of a server, in milliseconds.
 */
import * as attempts from './attempt.js'
import * as fairQueues from './fair_queue.js'
import * as outputEstimates from './output_estimate.js'
import * as stepTimes from './step_times.js'
import * as types from './types.js'

/** The expected end of a running attempt, which frees a slot and memory. */
export interface Departure {
  readonly inMs: number
  readonly pieces: number
}

/** Capacity of the server that is free now. */
export interface FreeCapacity {
  readonly slots: number
  readonly pieces: number
}

/** Expected duration of a call before any was observed. */
const initialCallMs = 50
/** Weight of a new sample in the exponential moving average. */
const newSampleWeight = 0.05

export class Forecast {
  private callMs = initialCallMs

  constructor (
    private readonly outputEstimate: outputEstimates.OutputEstimate,
    private readonly stepTimes: stepTimes.StepTimes
  ) {}

  observeCall (durationMs: number): void {
    this.callMs += newSampleWeight * (durationMs - this.callMs)
  }

  /** Returns the expected time from start to result while `running` attempts run at once. */
  getServiceMs (demand: attempts.Demand, capacity: types.Capacity, running: number, nowMs: number): number {
    const prefillMs = demand.prefillTokens * 1000 / capacity.prefillTokensPerSecond
    switch (demand.kind) {
      case 'prefill':
        return prefillMs
      case 'decode':
        return prefillMs + this.outputEstimate.getMean(demand.model, demand.maximumTokens) * this.stepTimes.getStepMs(running, nowMs)
      case 'call':
        return this.callMs
    }
  }

  /** Returns the expected time until a running attempt ends; with `cautious`, a time that is rarely exceeded. */
  getRemainingMs (attempt: attempts.Attempt, capacity: types.Capacity, running: number, nowMs: number, cautious: boolean): number {
    const { demand } = attempt
    if (demand.kind !== 'decode') {
      return Math.max(0, this.getServiceMs(demand, capacity, running, nowMs) - (nowMs - attempt.startedAtMs))
    }
    const expected = cautious
      ? this.outputEstimate.getCautious(demand.model, demand.maximumTokens)
      : this.outputEstimate.getMean(demand.model, demand.maximumTokens)
    const bound = attempt.outputTokens < expected ? expected : demand.maximumTokens
    return Math.max(0, bound - attempt.outputTokens) * this.stepTimes.getStepMs(running, nowMs)
  }

  /** Returns equally likely times until a running attempt ends. */
  listRemainingMs (attempt: attempts.Attempt, capacity: types.Capacity, running: number, nowMs: number): readonly number[] {
    const { demand, outputTokens } = attempt
    if (demand.kind !== 'decode') {
      return [this.getRemainingMs(attempt, capacity, running, nowMs, false)]
    }
    const stepMs = this.stepTimes.getStepMs(running, nowMs)
    return this.outputEstimate.listRemaining(demand.model, demand.maximumTokens, outputTokens).map(tokens => tokens * stepMs)
  }
}

/**
 * Predicts when a new task starts if `ahead` is served before it. Departures free capacity in the order of their times;
 * work that does not fit after the last departure is served at the mean service time per slot.
 */
export function predictWaitMs (
  free: FreeCapacity, departures: Departure[], ahead: Readonly<fairQueues.Backlog>, pieces: number, meanServiceMs: number, slots: number
): number {
  const slotsNeeded = Math.floor(ahead.count) + 1
  const piecesNeeded = ahead.pieces + pieces
  let { slots: freeSlots, pieces: freePieces } = free
  if (freeSlots >= slotsNeeded && freePieces >= piecesNeeded) {
    return 0
  }
  let lastMs = 0
  departures.sort((one, other) => one.inMs - other.inMs)
  for (const departure of departures) {
    freeSlots += 1
    freePieces += departure.pieces
    lastMs = departure.inMs
    if (freeSlots >= slotsNeeded && freePieces >= piecesNeeded) {
      return lastMs
    }
  }
  const rounds = Math.max(slotsNeeded - freeSlots, pieces === 0 ? 0 : (piecesNeeded - freePieces) / pieces)
  return lastMs + Math.max(0, rounds) * meanServiceMs / slots
}
