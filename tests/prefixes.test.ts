import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as prefixes from '../src/contracts/prefixes.js'

test.describe('hashPrefixes', () => {
  test.it('covers whole pieces only', () => {
    assert.equal(prefixes.hashPrefixes('m', 'x'.repeat(4 * 10 - 1), 4, 4).length, 2)
    assert.equal(prefixes.hashPrefixes('m', [1, 2, 3, 4, 5], 2, 4).length, 2)
    assert.equal(prefixes.hashPrefixes('m', 'xxxxx', 1, 2.5).length, 2)
    assert.equal(prefixes.hashPrefixes('m', 'x'.repeat(1000), 1, 1).length, 512)
  })

  test.it('agrees exactly as far as two prompts agree', () => {
    const first = prefixes.hashPrefixes('m', 'aaaabbbbcccc', 1, 4)
    const second = prefixes.hashPrefixes('m', 'aaaabbbbdddd', 1, 4)
    assert.deepEqual(first.slice(0, 2), second.slice(0, 2))
    assert.notEqual(first[2], second[2])
  })

  test.it('depends on the model and on all pieces before', () => {
    assert.notDeepEqual(prefixes.hashPrefixes('m', 'aaaa', 1, 4), prefixes.hashPrefixes('n', 'aaaa', 1, 4))
    assert.notEqual(prefixes.hashPrefixes('m', 'aaaabbbb', 1, 4)[1], prefixes.hashPrefixes('m', 'ccccbbbb', 1, 4)[1])
  })
})
