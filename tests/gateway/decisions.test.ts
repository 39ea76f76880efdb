import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as choices from '../../src/gateway/plain/plain_choice.js'
import * as splitters from '../../src/gateway/event_splitter.js'
import * as fleets from '../../src/gateway/engine_fleet.js'
import * as healths from '../../src/gateway/server_health.js'
import * as capacityQueues from '../../src/gateway/queueing/capacity_queue.js'
import * as routing from '../../src/contracts/routing.js'
import * as seededRandom from '../../src/host/seeded_random.js'
import * as splits from '../../src/gateway/stage_split.js'
import * as tables from '../../src/gateway/routing_table.js'

const profile: routing.EngineProfile = { slots: 16, memoryTokens: 32_000, handleMs: 500, switchMs: 6_000, maximumHoldMs: 2_000 }

function createServer (id: string, more: Partial<routing.RoutedServer> = {}): routing.RoutedServer {
  return { id, service: 's', address: `10.0.0.1:${id.length}`, zone: 'a', slots: 6, state: 'ready', ...more }
}

function createRoute (name: string, prefix: string, targets: routing.Target[] = [{ service: 's', weight: 1 }]): routing.Route {
  return {
    name,
    host: 'Desk.example',
    prefix,
    kind: 'idempotent',
    targets,
    timeoutMs: 1_000,
    goalMs: 100,
    maximumServers: 2,
    priority: 1,
    isPublic: false,
    isResumable: false
  }
}

test.describe('The routing table', () => {
  const table = new tables.RoutingTable({
    version: 1,
    routes: [createRoute('short', '/a/'), createRoute('long', '/a/b/'), createRoute('root', '/r/')],
    services: [],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  })

  test.it('finds the longest prefix of the path', () => {
    assert.equal(table.findRoute('desk.example', '/a/b/c')?.name, 'long')
    assert.equal(table.findRoute('desk.example', '/a/bc')?.name, 'short')
    assert.equal(table.findRoute('desk.example', '/a/b')?.name, 'short')
  })

  test.it('matches neither other hosts nor paths in the query', () => {
    assert.equal(table.findRoute('other.example', '/a/b/'), undefined)
    assert.equal(table.findRoute('desk.example', '/x?y=/a/b/'), undefined)
    assert.equal(table.findRoute('desk.example', '/a'), undefined)
  })

  test.it('matches hosts in any case and with a port', () => {
    assert.equal(table.findRoute('DESK.example:80', '/r/x')?.name, 'root')
  })

  test.it('splits the requests of a route by weight', () => {
    const random = new seededRandom.SeededRandom(3)
    const route = createRoute('split', '/s/', [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }])
    let second = 0
    for (let draw = 0; draw < 2_000; draw += 1) {
      second += tables.pickTarget(route, random.nextUnit()) === 'b' ? 1 : 0
    }
    assert.ok(second > 140 && second < 260, String(second))
  })
})

test.describe('The choice of a plain server', () => {
  test.it('avoids a server that fails part of its calls while its health is good', () => {
    const health = new healths.ServerHealth()
    const choice = new choices.PlainChoice('a', health)
    const servers = [createServer('x'), createServer('y'), createServer('z')]
    const random = new seededRandom.SeededRandom(1)
    for (let call = 0; call < 40; call += 1) {
      health.record('x', random.nextUnit() < 0.45 ? 'error' : 'good', call, 20)
      health.record('y', 'good', call, 20)
      health.record('z', 'good', call, 20)
    }
    let bad = 0
    for (let call = 0; call < 100; call += 1) {
      const server = choice.choose(servers, new Set(), false, 40 + call, random.nextUnit())
      bad += server?.id === 'x' ? 1 : 0
    }
    assert.ok(bad < 10, String(bad))
  })

  test.it('goes to the least loaded, and to a paused server only where there is no other', () => {
    const health = new healths.ServerHealth()
    const choice = new choices.PlainChoice('a', health)
    const servers = [createServer('x'), createServer('y')]
    choice.start('x')
    choice.start('x')
    assert.equal(choice.choose(servers, new Set(), false, 0, 0.5)?.id, 'y')
    assert.ok(health.record('y', 'unreachable', 0))
    assert.equal(choice.choose(servers, new Set(), false, 1, 0.5)?.id, 'x')
    assert.equal(choice.choose(servers, new Set(['x']), false, 1, 0.5)?.id, 'y')
  })
})

test.describe('Events of a stream', () => {
  test.it('are forwarded whole, however the bytes are split', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n'
    for (let size = 1; size < text.length; size += 1) {
      const splitter = new splitters.EventSplitter()
      let passed = ''
      for (let at = 0; at < text.length; at += size) {
        passed += splitter.push(Buffer.from(text.slice(at, at + size))).toString()
      }
      assert.equal(passed, text)
      assert.equal(splitter.lastId, '3')
    }
  })

  test.it('discard the partial event at which a server broke off', () => {
    const splitter = new splitters.EventSplitter()
    assert.equal(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')).toString(), 'id: 1\ndata: a\n\n')
    splitter.discardPartial()
    assert.equal(splitter.push(Buffer.from('id: 2\ndata: b\n\n')).toString(), 'id: 2\ndata: b\n\n')
    assert.equal(splitter.lastId, '2')
  })
})

test.describe('Generations beyond the capacity of the decode servers', () => {
  function createWaiter (id: string, more: Partial<capacityQueues.Waiter>, log: string[]): capacityQueues.Waiter {
    return {
      id,
      priority: 1,
      expectedOutputTokens: 500,
      sinceMs: 0,
      latestMs: 600,
      isLate: false,
      tryReserve: () => log.length < 2,
      settle: taken => log.push(`${id}:${taken}`),
      ...more
    }
  }

  test.it('get capacity by priority, then the short ones before the long ones', () => {
    const log: string[] = []
    const queue = new capacityQueues.CapacityQueue()
    queue.add(createWaiter('long', { expectedOutputTokens: 1_200 }, log))
    queue.add(createWaiter('short', { expectedOutputTokens: 100 }, log))
    queue.add(createWaiter('urgent', { priority: 0, expectedOutputTokens: 1_200 }, log))
    queue.dispatch(10)
    assert.deepEqual(log, ['urgent:true', 'short:true'])
    assert.equal(queue.length, 1)
  })

  test.it('are refused as soon as they cannot be in time, and not before', () => {
    const log: string[] = []
    const queue = new capacityQueues.CapacityQueue()
    queue.add(createWaiter('a', { tryReserve: () => false }, log))
    queue.dispatch(599)
    assert.deepEqual(log, [])
    queue.dispatch(600)
    assert.deepEqual(log, ['a:false'])
  })

  test.it('do not starve when they are long', () => {
    const log: string[] = []
    const queue = new capacityQueues.CapacityQueue()
    queue.add(createWaiter('long', { expectedOutputTokens: 1_200, sinceMs: 0, latestMs: 5_000, tryReserve: () => log.length < 1 }, log))
    queue.add(createWaiter('short', { expectedOutputTokens: 100, sinceMs: 900, tryReserve: () => log.length < 1 }, log))
    queue.dispatch(900)
    assert.deepEqual(log, ['long:true', 'short:false'])
  })
})

test.describe('The engines', () => {
  const decodes = [createServer('d1', { stage: 'decode' }), createServer('d2', { stage: 'decode' })]

  test.it('are shared through the committed loads of all gateways', () => {
    const fleet = new fleets.EngineFleet('a', new healths.ServerHealth(), new seededRandom.SeededRandom(1))
    fleet.updatePeer('other', { bookings: { d1: { runs: 9, tokens: 30_000, unread: 0 } }, offered: {}, switching: [] }, 0)
    assert.deepEqual(fleet.rankDecode(decodes, profile, 3_500, 10).map(server => server.id), ['d2'])
    fleet.bookDecode('run', 'd2', 30_000)
    assert.deepEqual(fleet.rankDecode(decodes, profile, 3_500, 10), [])
    fleet.releaseDecode('run')
    assert.equal(fleet.rankDecode(decodes, profile, 3_500, 10).length, 1)
  })

  test.it('have their step time estimated from answers, so that fast engines do not seem overloaded', () => {
    const fleet = new fleets.EngineFleet('a', new healths.ServerHealth(), new seededRandom.SeededRandom(1))
    const assumedMs = fleet.getTokenIntervalMs('s')
    for (let answer = 0; answer < 30; answer += 1) {
      fleet.recordAnswer('s', 4_000, 2_800)
    }
    assert.ok(assumedMs > 5)
    assert.ok(Math.abs(fleet.getTokenIntervalMs('s') - 0.7) < 0.1, String(fleet.getTokenIntervalMs('s')))
    assert.equal(fleet.getTokenIntervalMs('another'), assumedMs)
  })

  test.it('drop the committed load of a gateway that is unresponsive', () => {
    const fleet = new fleets.EngineFleet('a', new healths.ServerHealth(), new seededRandom.SeededRandom(1))
    fleet.updatePeer('other', { bookings: { d1: { runs: 16, tokens: 30_000, unread: 0 } }, offered: {}, switching: [] }, 0)
    assert.equal(fleet.rankDecode(decodes, profile, 3_500, 5_000).length, 2)
  })

  test.it('are excluded while they change their stage or have just refused a reserved run', () => {
    const fleet = new fleets.EngineFleet('a', new healths.ServerHealth(), new seededRandom.SeededRandom(1))
    fleet.updatePeer('other', { bookings: {}, offered: {}, switching: ['d1'] }, 0)
    assert.deepEqual(fleet.rankDecode(decodes, profile, 100, 10).map(server => server.id), ['d2'])
    fleet.recordRefusal('d2', 1_500, 10)
    assert.deepEqual(fleet.rankDecode(decodes, profile, 100, 20), [])
    assert.equal(fleet.rankDecode(decodes, profile, 100, 1_600).length, 1)
  })

  test.it('are excluded at all gateways once one has detected a stage change, whoever ordered it', () => {
    const [finder, other] = [1, 2].map(seed => new fleets.EngineFleet('a', new healths.ServerHealth(), new seededRandom.SeededRandom(seed))) as
      [fleets.EngineFleet, fleets.EngineFleet]
    finder.recordSwitching(decodes[0] as routing.RoutedServer, 6_000, 0)
    other.updatePeer('finder', finder.describe(100), 100)
    for (const fleet of [finder, other]) {
      assert.deepEqual(fleet.rankDecode(decodes, profile, 100, 110).map(server => server.id), ['d2'])
    }
    assert.equal(finder.rankDecode(decodes, profile, 100, 6_001).length, 2)
    assert.deepEqual(finder.describe(6_001).switching, [])
    finder.recordSwitching(decodes[0] as routing.RoutedServer, 6_000, 7_000)
    const changed = { ...decodes[0] as routing.RoutedServer, stage: 'prefill' as const }
    assert.equal(finder.choosePrefill([changed], 100, new Set(), 7_100, undefined)?.server.id, 'd1')
    assert.deepEqual(finder.describe(7_200).switching, [])
  })

  test.it('prefill a prompt where it is done first', () => {
    const fleet = new fleets.EngineFleet('a', new healths.ServerHealth(), new seededRandom.SeededRandom(1))
    const prefills = [createServer('p1', { stage: 'prefill' }), createServer('p2', { stage: 'prefill' })]
    fleet.bookPrefill('run', 'p1', 6_000, 0)
    const choice = fleet.choosePrefill(prefills, 3_000, new Set(), 0, undefined)
    assert.equal(choice?.server.id, 'p2')
    assert.ok((choice?.readyMs ?? 0) > 50 && (choice?.readyMs ?? 0) < 200)
  })
})

test.describe('The split of engines between stages', () => {
  test.it('follows a shift from long prompts to long answers and back', () => {
    const split = new splits.StageSplit()
    let prefill = 3
    const total = 13
    const play = (load: splits.OfferedLoad, fromMs: number): number => {
      let changes = 0
      for (let nowMs = fromMs; nowMs < fromMs + 60_000; nowMs += 500) {
        const change = split.decide(prefill, total - prefill, load, nowMs)
        if (change !== undefined) {
          split.recordChange(nowMs)
          prefill += change.to === 'prefill' ? 1 : -1
          changes += 1
        }
      }
      return changes
    }
    play({ prefill: 5, decode: 5 }, 0)
    assert.ok(prefill >= 6, String(prefill))
    play({ prefill: 1, decode: 8 }, 60_000)
    assert.ok(prefill <= 2, String(prefill))
    assert.equal(play({ prefill: 1, decode: 8 }, 120_000), 0)
  })

  test.it('does not oscillate with a burst that lasts no longer than a stage change', () => {
    const split = new splits.StageSplit()
    const meter = new splits.LoadMeter()
    let changes = 0
    for (let nowMs = 0; nowMs < 34_000; nowMs += 100) {
      const inBurst = nowMs > 10_000 && nowMs < 14_000
      meter.record(inBurst ? 190 : 95, inBurst ? 700 : 350, nowMs)
      if (nowMs > 3_000 && split.decide(3, 10, meter.read(nowMs), nowMs) !== undefined) {
        changes += 1
      }
    }
    assert.equal(changes, 0)
  })

  test.it('keeps at least one engine in each stage', () => {
    const split = new splits.StageSplit()
    assert.equal(split.decide(1, 2, { prefill: 0, decode: 30 }, 0), undefined)
    assert.equal(split.decide(2, 1, { prefill: 30, decode: 0 }, 0), undefined)
  })

  test.it('starts from a fixed ratio of engines while there is no load', () => {
    const split = new splits.StageSplit()
    assert.deepEqual(split.decide(5, 8, { prefill: 0, decode: 0 }, 0), { from: 'prefill', to: 'decode' })
  })
})

test.describe('The health of a server', () => {
  test.it('excludes a server for longer with each failure, up to a limit', () => {
    const health = new healths.ServerHealth()
    for (let miss = 0; miss < 12; miss += 1) {
      health.record('x', 'unreachable', 0)
    }
    assert.ok(health.isPaused('x', 2_900))
    assert.ok(!health.isPaused('x', 3_001))
  })

  test.it('ignores a single missing answer, which may be the fault of the connection', () => {
    const health = new healths.ServerHealth()
    assert.equal(health.record('x', 'silent', 0), false)
    assert.ok(!health.isPaused('x', 1))
    assert.equal(health.record('x', 'silent', 10), true)
  })
})
