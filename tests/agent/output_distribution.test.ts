import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as drivers from './gate_driver.js'
import * as outputDistributions from '../../src/agent/output_distribution.js'

function createDistribution (shares: readonly number[]): outputDistributions.OutputDistribution {
  const distribution = new outputDistributions.OutputDistribution()
  for (let round = 0; round < 32; round += 1) {
    for (const share of shares) {
      distribution.observe(share)
    }
  }
  return distribution
}

test.describe('OutputDistribution', () => {
  test.it('expects the maximum until there are enough samples, or when all outputs reach it', () => {
    assert.deepEqual(new outputDistributions.OutputDistribution().listEnds(0), [1])
    assert.deepEqual(createDistribution([1]).listEnds(0.3), [1, 1, 1, 1])
  })

  test.it('returns equally likely ends of the outputs that are at least as long', () => {
    const distribution = createDistribution([0.1, 0.3, 0.5, 0.7])
    const round = (from: number): number[] => distribution.listEnds(from).map(end => Math.round(end * 10) / 10)
    assert.deepEqual(round(0), [0.1, 0.3, 0.5, 0.7])
    assert.deepEqual(round(0.4), [0.5, 0.5, 0.7, 0.7])
    assert.deepEqual(round(0.9), [1])
  })

  test.it('lets a slot be reserved for the time at which some running outputs are likely to end, long before their maximum', () => {
    const driver = new drivers.GateDriver({}, { slots: 4, memoryPieces: 100, queueLimit: 50 })
    for (let index = 0; index < 40; index += 1) {
      driver.start(`seen${index}`, { maximumTokens: 200 })
      driver.progress(`seen${index}`, 'x', index % 2 === 0 ? 20 : 60)
      driver.finish(`seen${index}`)
    }
    for (let index = 0; index < 4; index += 1) {
      driver.start(`${index}`, { maximumTokens: 200 })
    }
    const { waitMs } = driver.offer('r', { holdMs: 100, maximumWaitMs: 2_000 })
    assert.ok(waitMs > 150 && waitMs < 250, `${waitMs}`)
  })
})
