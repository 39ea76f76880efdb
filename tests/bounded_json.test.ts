import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as boundedJson from '../src/contracts/bounded_json.js'

function parse (document: unknown): unknown {
  return boundedJson.parseBounded(Buffer.from(JSON.stringify(document)))
}

test.describe('Bounded JSON', () => {
  test.it('does not count what stands in strings', () => {
    const document = { text: '{[,'.repeat(100_000), quoted: '\\"{[,'.repeat(50_000), end: '\\' }
    assert.deepEqual(parse(document), document)
  })

  test.it('is refused with too many values', () => {
    assert.throws(() => parse(new Array(100_000).fill({})), /more than 65536 values/)
    assert.throws(() => boundedJson.parseBounded(Buffer.from('['.repeat(100_000))), /more than 65536 values/)
  })

  test.it('has what a large page holds', () => {
    const document = Array.from({ length: 5_000 }, (_value, index) => ({ key: `k${index}`, value: 'x'.repeat(100), rev: index }))
    assert.deepEqual(parse(document), document)
  })
})
