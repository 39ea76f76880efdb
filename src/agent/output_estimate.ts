/**
 * Estimates output lengths per model from observed outputs, as a fraction of the requested maximum.
 */
import * as outputDistributions from './output_distribution.js'

interface Statistics {
  samples: number
  mean: number
  variance: number
  readonly distribution: outputDistributions.OutputDistribution
}

/** Samples required before the estimate is used instead of the requested maximum. */
const minimumSamples = 32
/** Weight of a new sample in the exponential moving average. */
const newSampleWeight = 0.02
/** Standard deviations that a cautious estimate lies above the mean. */
const cautiousDeviations = 2

export class OutputEstimate {
  private readonly models = new Map<string, Statistics>()

  observe (model: string, outputTokens: number, maximumTokens: number): void {
    const share = Math.min(1, outputTokens / maximumTokens)
    const known = this.models.get(model)
    if (known === undefined) {
      const distribution = new outputDistributions.OutputDistribution()
      distribution.observe(share)
      this.models.set(model, { samples: 1, mean: share, variance: 0, distribution })
      return
    }
    known.distribution.observe(share)
    known.samples += 1
    const weight = Math.max(newSampleWeight, 1 / known.samples)
    const difference = share - known.mean
    known.mean += weight * difference
    known.variance = (1 - weight) * (known.variance + weight * difference * difference)
  }

  /** Returns the expected number of output tokens. */
  getMean (model: string, maximumTokens: number): number {
    const known = this.models.get(model)
    if (known === undefined || known.samples < minimumSamples) {
      return maximumTokens
    }
    return Math.max(1, known.mean * maximumTokens)
  }

  /** Returns equally likely numbers of further tokens for an output that has reached `outputTokens`. */
  listRemaining (model: string, maximumTokens: number, outputTokens: number): readonly number[] {
    const ends = this.models.get(model)?.distribution.listEnds(outputTokens / maximumTokens) ?? [1]
    return ends.map(end => Math.max(0, end * maximumTokens - outputTokens))
  }

  /** Returns a number of output tokens that is rarely exceeded. */
  getCautious (model: string, maximumTokens: number): number {
    const known = this.models.get(model)
    if (known === undefined || known.samples < minimumSamples) {
      return maximumTokens
    }
    const share = known.mean + cautiousDeviations * Math.sqrt(known.variance)
    return Math.min(maximumTokens, Math.max(1, Math.ceil(share * maximumTokens)))
  }
}
