import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as manualClock from '../support/manual_clock.js'
import * as merge from '../../src/timeline/merge.js'
import * as render from '../../src/timeline/render.js'
import * as rings from '../../src/timeline/ring.js'

interface Node {
  readonly lamport: rings.LamportClock
  readonly ring: rings.EventRing
}

function createNode (node: string, wallOffsetMs: number, capacity = 10): Node {
  const lamport = new rings.LamportClock()
  const identity = { node, boot: 'b', role: 'entry', zone: 'z', region: 'r' } as const
  return { lamport, ring: new rings.EventRing(identity, new manualClock.ManualClock(wallOffsetMs), lamport, capacity) }
}

test.describe('EventRing', () => {
  test.it('keeps the newest events and returns them oldest first', () => {
    const { ring } = createNode('a', 0, 3)
    for (const request of ['1', '2', '3', '4']) {
      ring.record({ kind: 'request.received', request })
    }
    assert.deepEqual(ring.read({ limit: 10 }).map(event => event.request), ['2', '3', '4'])
    assert.deepEqual(ring.read({ limit: 2 }).map(event => event.request), ['3', '4'])
    assert.deepEqual(ring.read({ limit: 2, request: '2' }).map(event => event.request), ['2'])
  })
})

test.describe('mergeEvents', () => {
  test.it('sorts a cause before its effect although the clocks are skewed', () => {
    const sender = createNode('sender', 1_000_000)
    const receiver = createNode('receiver', 0)
    sender.ring.record({ kind: 'attempt.sent', request: 'r' })
    receiver.lamport.witness(sender.lamport.current)
    receiver.ring.record({ kind: 'attempt.started', request: 'r' })
    sender.lamport.witness(receiver.lamport.current)
    sender.ring.record({ kind: 'attempt.finished', request: 'r' })
    const lists = [receiver.ring.read({ limit: 10 }), sender.ring.read({ limit: 10 }), sender.ring.read({ limit: 10 })]
    const kinds = merge.mergeEvents(lists).map(event => event.kind)
    assert.deepEqual(kinds, ['attempt.sent', 'attempt.started', 'attempt.finished'])
  })
})

test.describe('renderTimeline', () => {
  test.it('draws one column per process', () => {
    const node = createNode('entry-a', 0)
    node.ring.record({ kind: 'request.received', request: 'r', workspace: 'w' })
    const text = render.renderTimeline(node.ring.read({ limit: 1 }))
    assert.match(text, /entry-a/)
    assert.match(text, /● +request\.received +workspace=w/)
  })
})

test.describe('renderTimelineHtml', () => {
  test.it('escapes what callers can choose', () => {
    const node = createNode('entry-a', 0)
    node.ring.record({ kind: 'request.received', request: '<script>' })
    assert.doesNotMatch(render.renderTimelineHtml(node.ring.read({ limit: 1 })), /<script>/)
  })
})
