/**
 * Estimates of outputs, for answers whose callers' estimates have the right median but large individual errors.
 */
import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as outputs from '../../src/gateway/output_estimate.js'
import * as seededRandom from '../../src/host/seeded_random.js'

const maximumTokens = 8_190
const tokensPerEvent = 63

function drawNormal (random: seededRandom.SeededRandom): number {
  return Math.sqrt(-2 * Math.log(1 - random.nextUnit())) * Math.cos(2 * Math.PI * random.nextUnit())
}

interface Answer {
  readonly hinted: number
  readonly tokens: number
}

function draw (random: seededRandom.SeededRandom, hintSpread: number): Answer {
  const tokens = Math.min(maximumTokens, 4_000 * Math.exp(0.5 * drawNormal(random)))
  return { hinted: tokens * Math.exp(hintSpread * drawNormal(random)), tokens }
}

/** Mean squared errors of the callers' estimates, of the mean length and of the learned estimates. */
function compare (seed: number, hintSpread: number, learned: number): { readonly callers: number, readonly mean: number, readonly own: number } {
  const random = new seededRandom.SeededRandom(seed)
  const estimate = new outputs.OutputEstimate()
  for (let answer = 0; answer < learned; answer += 1) {
    const { hinted, tokens } = draw(random, hintSpread)
    estimate.observe('s', hinted, Math.round(tokens / tokensPerEvent))
  }
  let callers = 0
  let own = 0
  let mean = 0
  const count = 2_000
  for (let answer = 0; answer < count; answer += 1) {
    const { hinted, tokens } = draw(random, hintSpread)
    const expected = estimate.estimate('s', hinted, maximumTokens)
    callers += (Math.min(maximumTokens, hinted) - tokens) ** 2 / count
    own += (expected - tokens) ** 2 / count
    mean += (4_300 - tokens) ** 2 / count
  }
  return { callers, mean, own }
}

test.describe('Estimates of outputs', () => {
  test.it('that are far off are corrected: smaller error than the estimates of the callers and than the mean length', () => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const { callers, mean, own } = compare(seed, 0.5, 40)
      assert.ok(own < callers && own < mean, `seed ${seed}: ${Math.sqrt(own)} for ${Math.sqrt(callers)} and ${Math.sqrt(mean)} tokens`)
    }
  })

  test.it('that are accurate stay accurate', () => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const { own } = compare(seed, 0.05, 200)
      assert.ok(Math.sqrt(own) < 800, `seed ${seed}: ${Math.sqrt(own)} tokens`)
    }
  })

  test.it('stay unchanged before the first complete answer, up to the upper bound', () => {
    const estimate = new outputs.OutputEstimate()
    assert.equal(estimate.estimate('s', 500, maximumTokens), 500)
    assert.equal(estimate.estimate('s', 20_000, maximumTokens), maximumTokens)
  })
})
