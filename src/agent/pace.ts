/**
 * Time between tokens by the number of requests decoding at once, as observed.
 */

interface Observation {
  samples: number
  meanMs: number
  lastMs: number
}

/** Weight of the newest interval in the running mean. */
const newestWeight = 0.05
/** Intervals seen before a mean is used. */
const leastSamples = 20
/** A mean without a newer interval for this long is void, so that a slow spell is tried again. */
const validMs = 10_000

export class Pace {
  private readonly byRunning: (Observation | undefined)[] = []

  constructor (private readonly stepMs: number) {}

  /** Records the mean interval between tokens of one request while `running` requests were decoding. */
  observe (running: number, intervalMs: number, nowMs: number): void {
    const known = this.byRunning[running]
    if (known === undefined || nowMs - known.lastMs > validMs) {
      this.byRunning[running] = { samples: 1, meanMs: intervalMs, lastMs: nowMs }
      return
    }
    known.samples += 1
    known.meanMs += Math.max(newestWeight, 1 / known.samples) * (intervalMs - known.meanMs)
    known.lastMs = nowMs
  }

  /** Tells whether so many requests at once have kept, or are not known to miss, the target. */
  allows (running: number, targetMs: number, nowMs: number): boolean {
    if (running <= 1) {
      return true
    }
    const known = this.getValid(running, nowMs)
    return known === undefined || known.meanMs <= targetMs
  }

  /** Returns the expected interval between tokens in milliseconds. */
  getStepMs (running: number, nowMs: number): number {
    return this.getValid(running, nowMs)?.meanMs ?? this.stepMs
  }

  private getValid (running: number, nowMs: number): Observation | undefined {
    const known = this.byRunning[running]
    if (known === undefined || known.samples < leastSamples || nowMs - known.lastMs > validMs) {
      return undefined
    }
    return known
  }
}
