import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as z from 'zod'
import * as collections from '../src/contracts/collections.js'

const Item = z.object({ key: z.string(), count: z.number() })
const manyElements = 100_000

test.describe('Schemas of collections', () => {
  test.describe('with an element that does not match', () => {
    // Guards against an error report for each of many elements, which takes seconds and exhausts the memory.
    test.it('report the first one only', () => {
      const Document = z.object({ list: collections.list(Item), names: collections.dictionary(z.number()) })
      const parsed = Document.safeParse({ list: [{ key: 'a', count: 1 }, ...new Array(manyElements).fill(0)], names: { a: 'b', c: 'd' } })
      assert.deepEqual(parsed.error?.issues.map(({ path }) => path), [['list', 1], ['names', 'a']])
    })
  })

  test.it('return the elements that match', () => {
    assert.deepEqual(collections.list(Item).parse([{ key: 'a', count: 1, more: 2 }]), [{ key: 'a', count: 1 }])
    assert.deepEqual(collections.dictionary(Item).parse({ b: { key: 'a', count: 1 } }), { b: { key: 'a', count: 1 } })
    const names = collections.dictionary(z.number()).parse(JSON.parse('{"__proto__":1,"a":2}'))
    assert.equal(Object.getPrototypeOf(names), Object.prototype)
    assert.deepEqual(names, { a: 2 })
  })
})
