/**
 * Usual work time of a service's calls, estimated as the median of the answer times without queue and slowness.
 *
 * Pattern: single servers are slow or report falsely, and calls differ little. A median moves little with them; a mean would follow the
 * worst server.
 */

/** Work time assumed before the first answer, in milliseconds. */
const assumedWorkMs = 50
/** Relative step of the estimate with each answer, and its largest step, which the first answers take. */
const stepPart = 0.03
const firstStepPart = 0.5
/** Bounds of the estimate, in milliseconds. */
const leastWorkMs = 0.5
const greatestWorkMs = 60_000

export class WorkTime {
  private workMs: number | undefined
  private answers = 0

  /** Number of answers that the estimate is based on. */
  get count (): number {
    return this.answers
  }

  getMs (): number {
    return this.workMs ?? assumedWorkMs
  }

  /** Records the time of an answer less queue and slowness, in milliseconds. */
  record (sampleMs: number): void {
    this.answers += 1
    const sample = Math.min(greatestWorkMs, Math.max(leastWorkMs, sampleMs))
    const step = 1 + Math.max(stepPart, firstStepPart / this.answers)
    const before = this.workMs ?? sample
    // A step never goes past the sample, so that equal samples leave the estimate at rest.
    this.workMs = sample > before ? Math.min(sample, before * step) : Math.max(sample, before / step)
  }
}
