/**
 * Random numbers that are reproducible for the same seed.
 */
import * as prand from 'pure-rand'
import * as host from './types.js'

const unitSteps = 2 ** 32

export class SeededRandom extends host.Random {
  private readonly generator: prand.RandomGenerator
  private idCount = 0

  constructor (private readonly seed: number) {
    super()
    this.generator = prand.mersenne(seed)
  }

  override nextUnit (): number {
    return prand.unsafeUniformIntDistribution(0, unitSteps - 1, this.generator) / unitSteps
  }

  override nextId (): string {
    this.idCount += 1
    return `seed${this.seed}-${String(this.idCount).padStart(16, '0')}`
  }
}
