/**
 * Distribution of outputs, as a share of the tokens that were asked for. Newer outputs count more.
 */

const binCount = 64
/** Outputs seen before the distribution is used. */
const leastSamples = 32
/** Sum of the counts at which all are halved. */
const halvedAt = 4_096
/** Quantiles that stand for a distribution; each is one of equally likely parts. */
const quantiles: readonly number[] = [0.125, 0.375, 0.625, 0.875]

export class OutputSpread {
  /** Outputs by share; the last bin holds those that reached the bound. */
  private readonly counts = new Float64Array(binCount + 1)
  private samples = 0

  observe (share: number): void {
    const bin = getBin(share)
    this.counts[bin] = (this.counts[bin] ?? 0) + 1
    this.samples += 1
    if (this.samples % halvedAt === 0) {
      for (const [index, count] of this.counts.entries()) {
        this.counts[index] = count / 2
      }
    }
  }

  /** Returns where equally likely parts of the outputs that reach a share end, as shares; the bound if little is known. */
  listEnds (fromShare: number): readonly number[] {
    const start = getBin(fromShare)
    let total = 0
    for (const count of this.counts.subarray(start)) {
      total += count
    }
    return this.samples < leastSamples || total < 1 ? [1] : quantiles.map(quantile => this.findEnd(start, quantile * total))
  }

  /** Returns the share at which the counts from a bin on reach a sum. */
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
