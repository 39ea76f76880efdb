import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as seededRandoms from '../../src/host/seeded_random.js'

const seedCount = 200

test.describe('SeededRandom', () => {
  test.it('returns the same numbers for the same seed', () => {
    const first = new seededRandoms.SeededRandom(7)
    const second = new seededRandoms.SeededRandom(7)
    assert.deepEqual([first.nextUnit(), first.nextInteger(10)], [second.nextUnit(), second.nextInteger(10)])
  })

  test.it('distributes the first numbers of small seeds evenly', () => {
    const counts = [0, 0, 0, 0]
    for (let seed = 1; seed <= seedCount; seed += 1) {
      const quarter = new seededRandoms.SeededRandom(seed).nextInteger(counts.length)
      counts[quarter] = (counts[quarter] ?? 0) + 1
    }
    for (const count of counts) {
      assert.ok(count > seedCount / counts.length / 2, `counts ${counts.join(' ')}`)
    }
  })
})
