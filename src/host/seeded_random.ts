/**
 * Random numbers that are reproducible for the same seed.
 */
import * as prand from 'pure-rand'
import * as host from './types.js'

const unitBits = 2 ** 32

export class SeededRandom extends host.Random {
  private readonly generator: prand.RandomGenerator
  private ids = 0

  constructor (private readonly seed: number) {
    super()
    this.generator = prand.mersenne(seed)
  }

  override nextUnit (): number {
    return prand.unsafeUniformIntDistribution(0, unitBits - 1, this.generator) / unitBits
  }

  override nextId (): string {
    this.ids += 1
    return `seed${this.seed}-${String(this.ids).padStart(16, '0')}`
  }
}
