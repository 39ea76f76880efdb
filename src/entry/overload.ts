/**
 * The signals by which an entry refuses work that it could not serve in time.
 */
import * as host from '../host/types.js'
import * as settings from '../contracts/settings.js'

/** Period of the timer whose lateness is measured, in milliseconds. */
const periodMs = 20
/** Weight of the newest lateness in the smoothed delay. */
const newestWeight = 1 / 8

/** Tells whether new requests are too many for this process. */
export abstract class OverloadSignal {
  /** `inFlight` is the number of requests in flight. */
  abstract isOverloaded (inFlight: number): boolean
}

/** Counts requests in flight. */
export class InFlightSignal extends OverloadSignal {
  constructor (private readonly limit: number) {
    super()
  }

  override isOverloaded (inFlight: number): boolean {
    return inFlight >= this.limit
  }
}

/** Measures how late the event loop runs a periodic timer, smoothed over some periods, until the process ends. */
export class LoopDelaySignal extends OverloadSignal {
  private delayMs = 0
  private dueMs: number

  /** `limitMs` is the smoothed delay from which on the process is overloaded, in milliseconds. */
  constructor (private readonly limitMs: number, private readonly clock: host.Clock) {
    super()
    this.dueMs = clock.monotonicMs() + periodMs
    clock.every(periodMs, () => this.measure())
  }

  override isOverloaded (): boolean {
    return this.delayMs >= this.limitMs
  }

  private measure (): void {
    const nowMs = this.clock.monotonicMs()
    const lateMs = Math.max(0, nowMs - this.dueMs)
    this.delayMs += (lateMs - this.delayMs) * newestWeight
    this.dueMs = nowMs + periodMs
  }
}

/** Either of two signals. */
class EitherSignal extends OverloadSignal {
  constructor (private readonly one: OverloadSignal, private readonly other: OverloadSignal) {
    super()
  }

  override isOverloaded (inFlight: number): boolean {
    return this.one.isOverloaded(inFlight) || this.other.isOverloaded(inFlight)
  }
}

/** Creates the signal that the limits ask for. */
export function createOverloadSignal (limits: settings.Limits, clock: host.Clock): OverloadSignal {
  const inFlight = new InFlightSignal(limits.requestsInFlight)
  if (limits.loopDelayMs === 0) {
    return inFlight
  }
  return new EitherSignal(inFlight, new LoopDelaySignal(limits.loopDelayMs, clock))
}
