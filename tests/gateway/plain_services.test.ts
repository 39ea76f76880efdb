import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as capacityParts from '../../src/gateway/pace/capacity_parts.js'
import * as choices from '../../src/gateway/plain/server_choice.js'
import * as fleets from './plain_fleet.js'
import * as gossip from './gossip_fleet.js'
import * as healths from '../../src/gateway/server_health.js'
import * as messages from '../../src/gateway/peer_messages.js'
import * as plainChoices from '../../src/gateway/plain/plain_choice.js'
import * as recordedLogs from '../support/recorded_log.js'
import * as routing from '../../src/contracts/routing.js'
import * as seededRandom from '../../src/host/seeded_random.js'
import * as serverLoads from '../../src/gateway/plain/server_loads.js'

const servers: readonly routing.RoutedServer[] = ['s0', 's1', 's2', 's3'].map((id, index) => ({
  id, service: 's', address: `10.0.0.${index}:1`, zone: 'abcd'[index] ?? '', slots: 6, state: 'ready'
}))
const [first, second] = servers as [routing.RoutedServer, routing.RoutedServer]
const idle = { running: 0, waiting: 0, slots: 6, slowness: 1 }
const call = { servers, excluded: new Set<string>(), isRepeatable: false, goalMs: 200, remainingMs: 2_000 }

/** One server that recovers, and may get a part of its capacity. */
class RecoveringServer extends capacityParts.FullCapacity {
  constructor (private readonly id: string, private readonly part: number) {
    super()
  }

  override getPart (server?: routing.RoutedServer): number {
    return server?.id === this.id ? this.part : 1
  }
}

function createGateway (zone = 'a', seed = 1, parts?: capacityParts.CapacityParts) {
  const log = new recordedLogs.RecordedLog()
  const health = new healths.ServerHealth()
  const loads = new serverLoads.ServerLoads(log)
  return { log, health, loads, choice: new choices.ServerChoice(zone, health, loads, new seededRandom.SeededRandom(seed), log, parts) }
}

test.describe('Plain services whose servers report their slowness', () => {
  const crowdedServers: fleets.Load = { gateways: 28, servers: 5, perSecond: 138, workMs: 71.4, goalMs: 341, hasSlowPhases: false }
  const sharedVms: fleets.Load = { gateways: 23, servers: 4, perSecond: 103, workMs: 42.9, goalMs: 220, hasSlowPhases: true }
  // `gain`: least increase of the part of calls in time, about half of what was measured; `otherZones`: most calls to other zones.
  const cases: readonly (readonly [string, fleets.Load, gain: number, otherZones: number])[] = [
    ['on VMs that are fast', crowdedServers, -0.01, 0.15],
    ['on VMs that are slow for a while, with little capacity to spare', { ...crowdedServers, hasSlowPhases: true }, 0.06, 0.35],
    ['on VMs that are slow for a while', sharedVms, 0.005, 0.2],
    ['with a server that is slow and claims to be empty and fast', { ...crowdedServers, hasFalseClaims: true }, 0.02, 0.2],
    ['with a server that loses a part of its calls', { ...sharedVms, lostPart: 0.3 }, 0.02, 0.4]
  ]
  for (const [name, load, gain, otherZones] of cases) {
    test.it(`answer more calls in time than by the choice by load, and keep most in their zone, ${name}`, context => {
      for (const seed of [1, 2]) {
        const before = fleets.play(load, false, seed)
        const after = fleets.play(load, true, seed)
        const text = `seed ${seed}: in time ${before.inGoalPart.toFixed(3)} and ${after.inGoalPart.toFixed(3)}, in other zones ` +
          `${before.otherZonePart.toFixed(2)} and ${after.otherZonePart.toFixed(2)}, lost ${before.lost} and ${after.lost}`
        context.diagnostic(text)
        assert.ok(after.inGoalPart >= before.inGoalPart + gain && after.otherZonePart <= otherZones, text)
      }
    })
  }

  test.it('get calls of many gateways that know the same at different servers', () => {
    const counts = new Map<string, number>()
    for (let seed = 0; seed < 200; seed += 1) {
      const { choice, loads } = createGateway('elsewhere', seed)
      choice.setOtherGateways(27)
      loads.recordReport(first, idle, 0)
      loads.recordReport(second, { ...idle, running: 1 }, 0)
      const chosen = choice.choose(call, 10, 0.5)
      assert.equal(chosen.kind, 'chosen')
      counts.set(chosen.server.id, (counts.get(chosen.server.id) ?? 0) + 1)
    }
    assert.ok(Math.max(...counts.values()) < 100 && counts.size === servers.length, JSON.stringify([...counts]))
  })

  test.it('are measured: a server that claims to be full and slow is used again, one that claims to be fast is avoided', () => {
    const { choice, loads } = createGateway()
    choice.setOtherGateways(27)
    loads.recordReport(second, idle, 0)
    const counts = [0, 0]
    for (let nowMs = 0; nowMs < 20_000; nowMs += 100) {
      const chosen = choice.choose({ ...call, servers: [second, { ...first, zone: 'c' }] }, nowMs, 0.5)
      assert.equal(chosen.kind, 'chosen')
      const index = chosen.server === second ? 0 : 1
      counts[index] = (counts[index] ?? 0) + 1
      choice.start(chosen.server.id, nowMs)
      const load = index === 0 ? { ...idle, running: 6, waiting: 9_000, slowness: 1_000 } : { ...idle, slowness: 0.01 }
      loads.recordReport(chosen.server, load, nowMs + 40)
      choice.finish(chosen, { startedMs: nowMs, load, kind: 'answered' }, nowMs + (index === 0 ? 40 : 80))
    }
    assert.ok((counts[0] ?? 0) >= 25, `used ${counts.join(' and ')} times`)
    assert.ok(loads.read(first.id, 6, 20_000).measured > 1.2 * loads.read(second.id, 6, 20_000).measured)
  })

  test.it('refuse a call that may run only once and cannot be in time, with a time that grows with the queue, and no other call', () => {
    const createFull = (calls: number) => {
      const gateway = createGateway()
      gateway.loads.recordReport(first, idle, 0)
      for (let answer = 0; answer < 10; answer += 1) {
        const chosen = gateway.choice.choose(call, 0, 0.5) as choices.ChosenServer
        gateway.choice.start(chosen.server.id, 0)
        gateway.choice.finish(chosen, { startedMs: 0, load: idle, kind: 'answered' }, 50)
      }
      for (const { id } of servers) {
        gateway.loads.updatePeer(`at ${id}`, { [id]: [calls, 0, 0] }, 9_000, 9_000)
      }
      return gateway.choice
    }
    const short = createFull(300).choose(call, 9_000, 0.5)
    const long = createFull(600).choose(call, 9_000, 0.5)
    assert.ok(short.kind === 'late' && long.kind === 'late')
    assert.ok(long.retryAfterMs > short.retryAfterMs + 1_500, `${short.retryAfterMs} ${long.retryAfterMs}`)
    assert.equal(createFull(300).choose({ ...call, isRepeatable: true }, 9_000, 0.5).kind, 'chosen')
    assert.equal(createFull(5).choose({ ...call, remainingMs: 1 }, 9_000, 0.5).kind, 'chosen', 'a slot is free')
    assert.equal(createFull(300).choose(call, 11_100, 0.5).kind, 'chosen', 'the gateways with these calls are gone')
  })

  test.it('get fewer calls for a part of their slots', () => {
    const { choice, loads } = createGateway('a', 1, new RecoveringServer('s0', 0.2))
    loads.updatePeer('g', { s0: [3, 0, 0, 10, 3, 0, 100], s1: [3, 0, 0, 10, 3, 0, 100] }, 0, 0)
    const chosen = choice.choose({ ...call, servers: [first, second] }, 1, 0.5)
    assert.equal(chosen.kind === 'chosen' && chosen.server.id, 's1')
  })
})

test.describe('The load that gateways tell each other', () => {
  test.it('counts for a gateway that died until 2 s later, or until it is no member', () => {
    const { loads } = createGateway()
    loads.updatePeer('dead', { s0: [9, 0, 0] }, 0, 100)
    assert.equal(loads.read('s0', 6, 2_000).queue.ahead, 9)
    assert.equal(loads.read('s0', 6, 2_001).queue.ahead, 0)
    loads.retainPeers(name => name !== 'dead')
    assert.equal(loads.read('s0', 6, 1_000).queue.ahead, 0)
  })

  test.it('is the newest report of any gateway with the calls sent since, and never less than the calls in flight', () => {
    const { loads } = createGateway()
    loads.recordReport(first, { ...idle, running: 2, slowness: 2.5 }, 0)
    loads.updatePeer('g', { s0: [1, 0, 0, 50, 6, 4, 290] }, 200, 200)
    loads.start('s0', 180)
    assert.equal(loads.read('s0', 6, 200).queue.ahead, 11)
    assert.ok(loads.getSlowness('s0', 150) > 2.8 && loads.getSlowness('s0', 500) < 2 && loads.getSlowness('s0', 1_200) === 1)
    loads.recordReport(first, idle, 210)
    assert.equal(loads.read('s0', 6, 210).queue.ahead, 2)
  })

  test.it('names a slow engine, and no usual one', () => {
    const { loads } = createGateway()
    loads.recordReport({ ...first, stage: 'decode' }, { ...idle, slowness: 2 }, 0)
    loads.recordReport({ ...second, stage: 'decode' }, idle, 0)
    assert.deepEqual(Object.keys(loads.listReported(10) ?? {}), ['s0'])
    assert.ok(loads.getSlowness('s0', 10) > 1.9)
    assert.equal(loads.getSlowness('unknown', 10), 1)
  })

  test.it('passes gateways of the previous version, which neither know nor send it', () => {
    const { loads } = createGateway()
    loads.recordReport(first, idle, 0)
    const work = { ...gossip.emptyStatus, plain: loads.listReported(10) }
    const before = messages.GatewayStatus.omit({ plain: true }).parse(JSON.parse(JSON.stringify(work)))
    assert.deepEqual(before, gossip.emptyStatus)
    loads.updatePeer('old', messages.GatewayStatus.parse(before).plain, 10, 10)
    assert.equal(loads.read('s0', 6, 10).queue.ahead, 0)
  })

  test.it('is ignored where it is absurd, with one log line for a server', () => {
    const { loads, log } = createGateway()
    for (const statement of [[-1, 0, 0], [1e9, 0, 0], [1, 0, 0, 1, -5, 0, 100], [1, 2, 1e6]]) {
      loads.updatePeer('g', { s0: statement }, 0, 0)
      assert.equal(loads.read('s0', 6, 0).queue.ahead, 0, String(statement))
    }
    assert.equal(loads.recordReport(second, { ...idle, running: -1 }, 0), false)
    assert.equal(loads.recordReport(second, { ...idle, waiting: 1e12 }, 0), false)
    assert.deepEqual(log.lines.map(({ message, fields }) => [message, fields['server']]), [['load report ignored', 's0'], ['load report ignored', 's1']])
  })

  test.it('is bounded in a message, also in the sum of a zone', context => {
    const { loads } = createGateway()
    for (let index = 0; index < 200; index += 1) {
      const server = { ...first, id: `payouts-server-${index}` }
      loads.recordReport(server, { ...idle, running: 6, waiting: 34, slowness: 2.54 }, 0)
      loads.start(server.id, 0)
    }
    loads.updatePeer('g', loads.listReported(150), 150, 150)
    const plain = loads.aggregate(['g'], 150) ?? {}
    assert.equal(Object.keys(plain).length, serverLoads.maximumReportedServers)
    const measure = (part: typeof plain, isSameZone: boolean): number =>
      messages.encode({ ...gossip.emptyStatus, plain: part }, isSameZone).body.length - messages.encode(gossip.emptyStatus, isSameZone).body.length
    const five = Object.fromEntries(Object.entries(plain).slice(0, 5))
    const sizes = [measure(five, true), measure(plain, true), measure(five, false), measure(plain, false)]
    context.diagnostic(`bytes: ${sizes.join(', ')}`)
    assert.ok(Math.max(...sizes) < 4_096, String(sizes))
  })
})

test.describe('Plain services whose servers report no slowness', () => {
  test.it('are chosen exactly as by the choice by load, and add nothing to messages', () => {
    const { choice, health, loads, log } = createGateway()
    const reference = new plainChoices.PlainChoice('a', health)
    const random = new seededRandom.SeededRandom(7)
    const running: choices.ChosenServer[] = []
    for (let nowMs = 0; nowMs < 2_000; nowMs += 1) {
      const isRepeatable = random.nextUnit() < 0.3
      const tieBreaker = random.nextUnit()
      const chosen = choice.choose({ ...call, isRepeatable, remainingMs: 1 }, nowMs, tieBreaker)
      assert.ok(chosen.kind === 'chosen' && chosen.server === reference.choose(servers, call.excluded, isRepeatable, nowMs, tieBreaker))
      choice.start(chosen.server.id, nowMs)
      reference.start(chosen.server.id)
      running.push(chosen)
      if (running.length > random.nextInteger(40)) {
        const ended = running.splice(random.nextInteger(running.length), 1)[0] as choices.ChosenServer
        const load = { running: random.nextInteger(7), waiting: random.nextInteger(9), slots: 6 }
        loads.recordReport(ended.server, load, nowMs)
        choice.finish(ended, { startedMs: nowMs, load, kind: 'answered' }, nowMs)
        reference.finish(ended.server.id, load, nowMs)
        health.record(ended.server.id, random.nextUnit() < 0.2 ? 'silent' : 'good', nowMs, 20 + random.nextInteger(50))
      }
    }
    assert.equal(loads.listReported(2_000), undefined)
    assert.deepEqual(log.lines, [])
  })
})
