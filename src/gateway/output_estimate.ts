/**
 * Predicts the length of a service's answers from the callers' estimates and the lengths of earlier answers.
 *
 * Pattern: callers' estimates have the right median but large individual errors. A very long estimate is mostly too long, a
 * very short one too short. A regression between the logarithms of estimate and length learns the correction. Without it, memory
 * committed by the callers' own figures runs out at one engine while another one is idle.
 */
import type * as types from './types.js'

/** Expected output without an estimate from the caller, in parts of its stated bound. */
const expectedOutputPart = 0.5
/** Factor by which the weight of earlier pairs decays with each further one: some two hundred pairs have influence. */
const decayFactor = 0.995
/** Weight of the prior, in pairs. */
const priorWeight = 15
/** Prior variance of the logarithm of the estimates, and prior slope of the regression. */
const priorVariance = 0.4
const priorSlope = 0.5
/** Prior variance of the logarithm of a length around the regression. */
const priorResidualVariance = 0.2

/** Weighted sums over pairs of logarithms: `x` of the estimate, `y` of the length in any unit. */
interface Sums {
  weight: number
  x: number
  y: number
  xx: number
  xy: number
  yy: number
}

interface Regression {
  readonly meanEstimate: number
  readonly slope: number
  /** Residual variance around the regression. */
  readonly residualVariance: number
}

export class OutputEstimate {
  private readonly services = new Map<string, Sums>()

  /** Adds a complete answer: the caller's estimate in tokens, and the length in any unit proportional to tokens. */
  observe (service: string, hintedTokens: number, length: number): void {
    if (hintedTokens <= 0 || length <= 0) {
      return
    }
    const sums = this.services.get(service) ?? { weight: 0, x: 0, y: 0, xx: 0, xy: 0, yy: 0 }
    const x = Math.log(hintedTokens)
    const y = Math.log(length)
    const pair = { weight: 1, x, y, xx: x * x, xy: x * y, yy: y * y }
    for (const key of ['weight', 'x', 'y', 'xx', 'xy', 'yy'] as const) {
      sums[key] = sums[key] * decayFactor + pair[key]
    }
    this.services.set(service, sums)
  }

  /** Returns the expected output of a request in tokens; without an estimate of its caller, a part of the bound that it states. */
  expect (service: string, { maximumOutputTokens, hintedOutputTokens }: Pick<types.GenerationSizes, 'maximumOutputTokens' | 'hintedOutputTokens'>): number {
    return hintedOutputTokens === undefined
      ? maximumOutputTokens * expectedOutputPart
      : this.estimate(service, hintedOutputTokens, maximumOutputTokens)
  }

  /** Returns the expected output in tokens, at most `maximumTokens`, the upper bound that the caller states. */
  estimate (service: string, hintedTokens: number, maximumTokens: number): number {
    const sums = this.services.get(service)
    if (hintedTokens <= 0 || sums === undefined) {
      return Math.min(hintedTokens, maximumTokens)
    }
    const { meanEstimate, slope, residualVariance: variance } = fit(sums)
    const median = meanEstimate + slope * (Math.log(hintedTokens) - meanEstimate)
    return Math.min(maximumTokens, Math.exp(median + variance / 2))
  }
}

/** Fits the regression. The units of estimates and lengths cancel out because the estimates have the right median. */
function fit ({ weight, x, y, xx, xy, yy }: Sums): Regression {
  const meanEstimate = x / weight
  const covariance = xy / weight - meanEstimate * (y / weight)
  const variance = xx / weight - meanEstimate ** 2
  const lengthVariance = yy / weight - (y / weight) ** 2
  const slope = (weight * covariance + priorWeight * priorVariance * priorSlope) / (weight * variance + priorWeight * priorVariance)
  const measuredResidualVariance = Math.max(0, lengthVariance - 2 * slope * covariance + slope ** 2 * variance)
  return { meanEstimate, slope, residualVariance: (weight * measuredResidualVariance + priorWeight * priorResidualVariance) / (weight + priorWeight) }
}
