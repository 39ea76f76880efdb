/**
 * Time between tokens by the number of requests decoding at once, as observed.
 */

interface Observation {
  samples: number
  meanMs: number
  lastMs: number
}

/** Weight of the newest step in the running mean; each of its requests reports one interval. */
const newestWeight = 0.05
/** An interval counts as at most this many times the mean, so that one pause does not pass for a slow engine. */
const largestFactor = 2
/** Intervals seen before a mean is used. */
const leastSamples = 20
/** A mean without a newer interval for this long is void, so that a slow spell is tried again. */
const validMs = 2_000

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
    const weight = Math.max(newestWeight / running, 1 / known.samples)
    known.meanMs += weight * (Math.min(intervalMs, known.meanMs * largestFactor) - known.meanMs)
    known.lastMs = nowMs
  }

  /** Tells whether so many requests at once, and fewer, have kept, or are not known to miss, the target. */
  allows (running: number, targetMs: number, nowMs: number): boolean {
    return running <= this.getLimit(running, targetMs, nowMs)
  }

  /** Returns how many requests at once may decode, at most `slots` and at least one. */
  getLimit (slots: number, targetMs: number, nowMs: number): number {
    for (let running = 2; running <= slots; running += 1) {
      const known = this.getValid(running, nowMs)
      if (known !== undefined && known.meanMs > targetMs) {
        return running - 1
      }
    }
    return Math.max(1, slots)
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
