/**
 * Histogram of output lengths, as a fraction of the requested maximum. Old samples decay, so that newer ones count more.
 */

const binCount = 64
/** Samples required before the distribution is used. */
const minimumSamples = 32
/** Number of samples after which all counts are halved. */
const halvingSamples = 4_096
/** Midpoints of four equally likely parts of a distribution. */
const quantiles: readonly number[] = [0.125, 0.375, 0.625, 0.875]

export class OutputDistribution {
  /** Counts by fraction; the last bin holds outputs that reached the maximum. */
  private readonly counts = new Float64Array(binCount + 1)
  private samples = 0

  observe (share: number): void {
    const bin = getBin(share)
    this.counts[bin] = (this.counts[bin] ?? 0) + 1
    this.samples += 1
    if (this.samples % halvingSamples === 0) {
      for (const [index, count] of this.counts.entries()) {
        this.counts[index] = count / 2
      }
    }
  }

  /** Returns equally likely final fractions for an output that has reached `fromShare`; 1 if there are too few samples. */
  listEnds (fromShare: number): readonly number[] {
    const start = getBin(fromShare)
    let total = 0
    for (const count of this.counts.subarray(start)) {
      total += count
    }
    return this.samples < minimumSamples || total < 1 ? [1] : quantiles.map(quantile => this.findEnd(start, quantile * total))
  }

  /** Returns the fraction at which the cumulative count, starting at a bin, reaches `wanted`. */
  private findEnd (start: number, wanted: number): number {
    let sum = 0
    for (let bin = start; bin < binCount; bin += 1) {
      sum += this.counts[bin] ?? 0
      if (sum >= wanted) {
        return (bin + 0.5) / binCount
      }
    }
    return 1
  }
}

function getBin (share: number): number {
  return Math.min(binCount, Math.floor(share * binCount))
}
