/**
 * Overload signals for the admission control of an entry.
 */
import * as host from '../host/types.js'
import * as settings from '../contracts/settings.js'

/** Period of the timer whose delay is measured, in milliseconds. */
const periodMs = 20
/** Weight of the latest sample in the exponential moving average of the delay. */
const newestWeight = 1 / 8

/** Determines whether the process is too loaded to accept new requests. */
export abstract class OverloadSignal {
  /** `inFlight` is the number of requests in flight. */
  abstract isOverloaded (inFlight: number): boolean
}

/** Compares the number of requests in flight with a limit. */
export class InFlightSignal extends OverloadSignal {
  constructor (private readonly limit: number) {
    super()
  }

  override isOverloaded (inFlight: number): boolean {
    return inFlight >= this.limit
  }
}

/** Measures the event loop delay of a periodic timer as a moving average, until the process ends. */
export class LoopDelaySignal extends OverloadSignal {
  private delayMs = 0
  private dueMs: number

  /** `limitMs` is the average delay from which on the process counts as overloaded, in milliseconds. */
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

/** Reports overload if either of two signals does. */
class EitherSignal extends OverloadSignal {
  constructor (private readonly one: OverloadSignal, private readonly other: OverloadSignal) {
    super()
  }

  override isOverloaded (inFlight: number): boolean {
    return this.one.isOverloaded(inFlight) || this.other.isOverloaded(inFlight)
  }
}

/** Creates the signal for the limits; a `loopDelayMs` of 0 disables the event loop signal. */
export function createOverloadSignal (limits: settings.Limits, clock: host.Clock): OverloadSignal {
  const inFlight = new InFlightSignal(limits.requestsInFlight)
  if (limits.loopDelayMs === 0) {
    return inFlight
  }
  return new EitherSignal(inFlight, new LoopDelaySignal(limits.loopDelayMs, clock))
}
