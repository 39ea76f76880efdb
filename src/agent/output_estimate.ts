/**
 * Expected output of requests, learnt per model as a share of the tokens that were asked for.
 */
import * as outputSpreads from './output_spread.js'

interface Statistics {
  samples: number
  mean: number
  variance: number
  readonly spread: outputSpreads.OutputSpread
}

/** Outputs seen before the estimate is used instead of the bound. */
const leastSamples = 32
/** Weight of the newest output in the running mean. */
const newestWeight = 0.02
/** Standard deviations above the mean for a cautious estimate. */
const cautiousDeviations = 2

export class OutputEstimate {
  private readonly models = new Map<string, Statistics>()

  observe (model: string, outputTokens: number, maximumTokens: number): void {
    const share = Math.min(1, outputTokens / maximumTokens)
    const known = this.models.get(model)
    if (known === undefined) {
      const spread = new outputSpreads.OutputSpread()
      spread.observe(share)
      this.models.set(model, { samples: 1, mean: share, variance: 0, spread })
      return
    }
    known.spread.observe(share)
    known.samples += 1
    const weight = Math.max(newestWeight, 1 / known.samples)
    const difference = share - known.mean
    known.mean += weight * difference
    known.variance = (1 - weight) * (known.variance + weight * difference * difference)
  }

  /** Returns the mean number of output tokens. */
  getMean (model: string, maximumTokens: number): number {
    const known = this.models.get(model)
    if (known === undefined || known.samples < leastSamples) {
      return maximumTokens
    }
    return Math.max(1, known.mean * maximumTokens)
  }

  /** Returns after how many further tokens equally likely parts of the outputs of this length end. */
  listRemaining (model: string, maximumTokens: number, outputTokens: number): readonly number[] {
    const ends = this.models.get(model)?.spread.listEnds(outputTokens / maximumTokens) ?? [1]
    return ends.map(end => Math.max(0, end * maximumTokens - outputTokens))
  }

  /** Returns a number of output tokens that is rarely exceeded. */
  getCautious (model: string, maximumTokens: number): number {
    const known = this.models.get(model)
    if (known === undefined || known.samples < leastSamples) {
      return maximumTokens
    }
    const share = known.mean + cautiousDeviations * Math.sqrt(known.variance)
    return Math.min(maximumTokens, Math.max(1, Math.ceil(share * maximumTokens)))
  }
}
