import * as assert from 'node:assert/strict'
import * as fastCheck from 'fast-check'
import * as test from 'node:test'
import * as byteCollectors from '../../src/gateway/byte_collector.js'
import * as splitters from '../../src/gateway/event_splitter.js'

/** Cuts bytes at the given places. */
function cut (bytes: Buffer, places: readonly number[]): Buffer[] {
  const sorted = [...new Set(places.map(place => place % (bytes.length + 1)))].sort((a, b) => a - b)
  const pieces: Buffer[] = []
  let from = 0
  for (const place of [...sorted, bytes.length]) {
    pieces.push(bytes.subarray(from, place))
    from = place
  }
  return pieces
}

const seed = 42
const places = fastCheck.array(fastCheck.nat(4_000), { maxLength: 60 })

test.describe('A collector of bytes', () => {
  test.it('returns what was added, however it was cut', () => {
    fastCheck.assert(fastCheck.property(fastCheck.uint8Array({ maxLength: 3_000 }), places, (bytes, cuts) => {
      const collector = new byteCollectors.ByteCollector()
      for (const piece of cut(Buffer.from(bytes), cuts)) {
        collector.add(piece)
      }
      assert.deepEqual(collector.view(), Buffer.from(bytes))
      assert.equal(collector.length, bytes.length)
    }), { seed })
  })

  // Guards against a server whose answer in tiny pieces exhausts the memory or the time of a gateway.
  test.it('keeps no object for each piece, nor does a splitter of events', () => {
    const collector = new byteCollectors.ByteCollector()
    const splitter = new splitters.EventSplitter()
    const piece = Buffer.from('x')
    for (let count = 0; count < 250_000; count += 1) {
      collector.add(piece)
      splitter.push(piece)
    }
    assert.equal(collector.length, 250_000)
    assert.equal(splitter.isOverflowing, false)
    assert.equal(splitter.push(Buffer.from('\n\n')).length, 250_002)
  })
})

test.describe('A splitter of events', () => {
  test.it('finds the same events, however the stream was cut', () => {
    const line = fastCheck.constantFrom('id: 1', 'id: 22', 'data: a', ': comment', '')
    const listEvents = (bytes: Buffer): string[] => bytes.toString().split(/\r?\n\r?\n/).map(event => event.trim()).filter(event => event !== '')
    const stream = fastCheck.array(fastCheck.tuple(line, fastCheck.constantFrom('\n', '\r\n')), { maxLength: 40 })
    fastCheck.assert(fastCheck.property(stream, places, (lines, cuts) => {
      const bytes = Buffer.from(lines.map(([text, end]) => text + end).join(''))
      const [whole, split] = [new splitters.EventSplitter(), new splitters.EventSplitter()]
      const expected = whole.push(bytes)
      const received = Buffer.concat(cut(bytes, cuts).map(piece => Buffer.from(split.push(piece))))
      assert.deepEqual(listEvents(received), listEvents(expected))
      assert.equal(split.lastId, whole.lastId)
      assert.equal(split.eventCount, whole.eventCount)
      assert.equal(split.isInsideEvent, whole.isInsideEvent)
      // Empty lines may be left when the stream was cut before them; no byte is lost.
      assert.deepEqual(Buffer.concat([received, split.takePartial()]), bytes)
    }), { seed, examples: [[[['id: 22', '\n'], ['', '\n'], ['', '\r\n']], [1504]]] })
  })
})
