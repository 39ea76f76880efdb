/**
 * Probabilities of the outcomes of a choice that takes the least of some randomly drawn costs.
 *
 * Computed from the distributions, without drawing a random number. Performs no input or output.
 */

/** Points at which a distribution is evaluated, at most and at least. */
const samples = 500
const leastSamples = 25
/** Bound on the evaluations of one choice, which grow with the square of the candidates: callers' requests wait meanwhile. */
const maximumEvaluations = 500_000

/** The distribution of a candidate's cost. */
export abstract class Cost {
  /** Returns the cost that is not exceeded with a probability. */
  abstract getQuantile (probability: number): number
  /** Returns the probability that the cost is above a value. */
  abstract getSurvival (value: number): number
}

/** A cost that is uniformly distributed over a width from its least value. */
export class UniformCost extends Cost {
  constructor (private readonly least: number, private readonly width: number) {
    super()
  }

  override getQuantile (probability: number): number {
    return this.least + this.width * probability
  }

  override getSurvival (value: number): number {
    return Math.min(1, Math.max(0, (this.least + this.width - value) / this.width))
  }
}

/** A cost with an added logarithm of an exponentially distributed number, times a scale. */
export class LogExponentialCost extends Cost {
  constructor (private readonly middle: number, private readonly scale: number) {
    super()
  }

  override getQuantile (probability: number): number {
    return this.middle + this.scale * Math.log(-Math.log(1 - probability))
  }

  override getSurvival (value: number): number {
    return Math.exp(-Math.exp((value - this.middle) / this.scale))
  }
}

/** Returns for each cost the probability that it is the least. The distributions must be continuous. */
export function computeLeast (costs: readonly Cost[]): readonly number[] {
  const points = Math.max(leastSamples, Math.min(samples, Math.floor(maximumEvaluations / costs.length ** 2)))
  const sums = costs.map(cost => {
    let sum = 0
    for (let point = 0; point < points; point += 1) {
      sum += computeOthersAbove(costs, cost, cost.getQuantile((point + 0.5) / points))
    }
    return sum
  })
  // With few points the sum of the probabilities is not exactly 1: 0.99 to 0.64 with 300 candidates.
  const total = sums.reduce((sum, value) => sum + value, 0)
  return sums.map(sum => total > 0 ? sum / total : 0)
}

/** Returns the probability that all other costs are above a value. */
function computeOthersAbove (costs: readonly Cost[], cost: Cost, value: number): number {
  let product = 1
  for (const other of costs) {
    product *= other === cost ? 1 : other.getSurvival(value)
    if (product === 0) {
      return 0
    }
  }
  return product
}

/** Returns 1 for the first of the least costs and 0 for the others: nothing is drawn. */
export function selectLeast (costs: readonly number[]): readonly number[] {
  const least = costs.indexOf(Math.min(...costs))
  return costs.map((_cost, index) => index === least ? 1 : 0)
}

/** Returns how often `choose` returns each index, over evenly spaced values of its random number in [0, 1). */
export function countChosen (length: number, choose: (unit: number) => number): readonly number[] {
  const counts = new Array<number>(length).fill(0)
  for (let sample = 0; sample < samples; sample += 1) {
    const index = choose((sample + 0.5) / samples)
    if (index >= 0) {
      counts[index] = (counts[index] ?? 0) + 1
    }
  }
  return counts.map(times => times / samples)
}
