/**
 * How long the answers of a service will be, from the callers' estimates and what came of earlier ones.
 *
 * Pattern: callers' estimates are right in the middle and far off one by one. A very long one is mostly too long, a very
 * short one too short; how much so is learned as a regression between the logarithms of both. Memory booked by
 * the callers' own figures runs out at one engine while it lies idle at another.
 */

/** Weight that all earlier pairs keep when a further one is seen: some two hundred are remembered. */
const memoryPart = 0.995
/** Pairs that the first belief weighs. */
const assumedPairs = 15
/** Variance of the logarithm of the estimates in that belief, and the slope of the lengths over them. */
const assumedVariance = 0.4
const assumedSlope = 0.5
/** Variance of the logarithm of a length around the regression in that belief. */
const assumedRest = 0.2

/** Weighted sums over pairs of logarithms: of the estimate `x`, and of the length `y` in any unit. */
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
  /** Variance around the regression. */
  readonly rest: number
}

export class OutputEstimate {
  private readonly services = new Map<string, Sums>()

  /** Learns from a whole answer: the caller's estimate in tokens, and the length in any unit that is proportional to tokens. */
  observe (service: string, hintedTokens: number, length: number): void {
    if (hintedTokens <= 0 || length <= 0) {
      return
    }
    const sums = this.services.get(service) ?? { weight: 0, x: 0, y: 0, xx: 0, xy: 0, yy: 0 }
    const x = Math.log(hintedTokens)
    const y = Math.log(length)
    const pair = { weight: 1, x, y, xx: x * x, xy: x * y, yy: y * y }
    for (const key of ['weight', 'x', 'y', 'xx', 'xy', 'yy'] as const) {
      sums[key] = sums[key] * memoryPart + pair[key]
    }
    this.services.set(service, sums)
  }

  /** Returns the expected output in tokens, at most the bound that the caller states. */
  estimate (service: string, hintedTokens: number, maximumTokens: number): number {
    const sums = this.services.get(service)
    if (hintedTokens <= 0 || sums === undefined) {
      return Math.min(hintedTokens, maximumTokens)
    }
    const { meanEstimate, slope, rest } = fit(sums)
    const median = meanEstimate + slope * (Math.log(hintedTokens) - meanEstimate)
    return Math.min(maximumTokens, Math.exp(median + rest / 2))
  }
}

/** The units of estimates and lengths cancel out, for estimates are right in the middle. */
function fit ({ weight, x, y, xx, xy, yy }: Sums): Regression {
  const meanEstimate = x / weight
  const covariance = xy / weight - meanEstimate * (y / weight)
  const variance = xx / weight - meanEstimate ** 2
  const lengthVariance = yy / weight - (y / weight) ** 2
  const slope = (weight * covariance + assumedPairs * assumedVariance * assumedSlope) / (weight * variance + assumedPairs * assumedVariance)
  const measuredRest = Math.max(0, lengthVariance - 2 * slope * covariance + slope ** 2 * variance)
  return { meanEstimate, slope, rest: (weight * measuredRest + assumedPairs * assumedRest) / (weight + assumedPairs) }
}
