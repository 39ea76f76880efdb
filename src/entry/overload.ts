/**
 * The signal by which an entry refuses work that it could not serve in time.
 */

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

/** Reads the delay of the event loop, in milliseconds, from wherever it is measured. */
export class LoopDelaySignal extends OverloadSignal {
  constructor (private readonly limitMs: number, private readonly readDelayMs: () => number) {
    super()
  }

  override isOverloaded (): boolean {
    return this.readDelayMs() >= this.limitMs
  }
}
