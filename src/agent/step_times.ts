/**
 * Observed time between tokens by the number of requests that decode concurrently.
 */

interface Observation {
  samples: number
  meanMs: number
  lastMs: number
}

/** Weight of a new step in the exponential moving average; divided among its requests, since each reports one interval. */
const newSampleWeight = 0.05
/** Intervals are capped at this multiple of the mean, so that a single pause does not count as a slow engine. */
const maximumIntervalFactor = 2
/** Samples required before a mean is used. */
const minimumSamples = 20
/** A mean expires after this time without a sample, so that a concurrency that was too slow is tried again. */
const meanValidMs = 2_000

export class StepTimes {
  private readonly byConcurrency: (Observation | undefined)[] = []

  constructor (private readonly stepMs: number) {}

  /** Records the mean interval between tokens of one request while `running` requests decode. */
  observe (running: number, intervalMs: number, nowMs: number): void {
    const known = this.byConcurrency[running]
    if (known === undefined || nowMs - known.lastMs > meanValidMs) {
      this.byConcurrency[running] = { samples: 1, meanMs: intervalMs, lastMs: nowMs }
      return
    }
    known.samples += 1
    const weight = Math.max(newSampleWeight / running, 1 / known.samples)
    known.meanMs += weight * (Math.min(intervalMs, known.meanMs * maximumIntervalFactor) - known.meanMs)
    known.lastMs = nowMs
  }

  /** Returns whether no concurrency up to `running` is known to miss the target. */
  allowsConcurrency (running: number, targetMs: number, nowMs: number): boolean {
    return running <= this.getConcurrencyLimit(running, targetMs, nowMs)
  }

  /** Returns how many requests may decode concurrently, at most `slots` and at least one. */
  getConcurrencyLimit (slots: number, targetMs: number, nowMs: number): number {
    for (let running = 2; running <= slots; running += 1) {
      const known = this.getValid(running, nowMs)
      if (known !== undefined && known.meanMs > targetMs) {
        return running - 1
      }
    }
    return Math.max(1, slots)
  }

  /** Returns the expected interval between tokens. */
  getStepMs (running: number, nowMs: number): number {
    return this.getValid(running, nowMs)?.meanMs ?? this.stepMs
  }

  private getValid (running: number, nowMs: number): Observation | undefined {
    const known = this.byConcurrency[running]
    if (known === undefined || known.samples < minimumSamples || nowMs - known.lastMs > meanValidMs) {
      return undefined
    }
    return known
  }
}
