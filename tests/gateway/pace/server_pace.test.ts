import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as activations from '../../../src/gateway/pace/pace_activation.js'
import * as directories from '../../../src/gateway/directory.js'
import * as failures from '../../../src/contracts/failure.js'
import * as fleets from '../../../src/gateway/engine_fleet.js'
import * as healths from '../../../src/gateway/server_health.js'
import type * as host from '../../../src/host/types.js'
import * as manualClocks from '../../support/manual_clock.js'
import * as messages from '../../../src/gateway/peer_messages.js'
import * as paceFleets from './pace_fleet.js'
import * as placements from '../../../src/gateway/decode_placement.js'
import * as paces from '../../../src/gateway/pace/server_pace.js'
import * as recordedLogs from '../../support/recorded_log.js'
import type * as replicas from '../../../src/gateway/store_replica.js'
import * as routing from '../../../src/contracts/routing.js'
import type * as settings from '../../../src/gateway/settings.js'
import * as tables from '../../../src/gateway/routing_table.js'
import * as seededRandom from '../../../src/host/seeded_random.js'
import type * as types from '../../../src/gateway/types.js'

const seeds = [1, 2, 3, 4, 5]
const leastPart = 1 / 6

/** Runs traffic with one server down at the end. */
function startFleet (seed: number, isPaced = true, perSecond = 240): paceFleets.PaceFleet {
  const fleet = new paceFleets.PaceFleet(seed, 28, 5, perSecond, isPaced)
  fleet.run(5_000)
  fleet.crash('s0')
  fleet.run(2_000)
  return fleet
}

function countRecovering (fleet: paceFleets.PaceFleet): number {
  return fleet.nodes.filter(({ pace }) => pace.count(fleet.nowMs) > 0).length
}

/** Part of the sends of the last time that a server got. */
function getShare (fleet: paceFleets.PaceFleet, server: string, sinceMs: number): number {
  return fleet.countSends(server, sinceMs) / fleet.sends.filter(({ atMs }) => atMs >= sinceMs).length
}

test.describe('The pace of a plain server that returns to 28 gateways', () => {
  for (const seed of seeds) {
    test.describe(`with seed ${seed}`, () => {
      // Guards against gateways that each send a little, and overload the server together.
      test.it('spares a server that is four times slower for 3 s, and lets it carry its share afterwards', () => {
        const played = [true, false].map(isPaced => {
          const fleet = startFleet(seed, isPaced)
          const returnedMs = fleet.nowMs
          fleet.restart('s0', 4)
          fleet.run(3_000)
          const calls = fleet.countSends('s0', returnedMs)
          const load = fleet.getLargestLoad('s0', returnedMs)
          fleet.getServer('s0').slowness = 1
          fleet.run(6_000)
          return { fleet, calls, load }
        }) as [Played, Played]
        const [paced, unpaced] = played
        assert.ok(paced.load <= 6 && paced.load < unpaced.load, `${paced.load} against ${unpaced.load}`)
        assert.ok(paced.calls > 0 && paced.calls < unpaced.calls / 2, `${paced.calls} against ${unpaced.calls}`)
        assert.equal(countRecovering(paced.fleet), 0)
        assert.ok(getShare(paced.fleet, 's0', paced.fleet.nowMs - 3_000) > 0.1)
      })

      // Guards against a server that is left idle for a time that its answers give no reason for.
      test.it('lets a server that performs normally at once carry its share within 3 s', () => {
        const fleet = startFleet(seed)
        fleet.restart('s0')
        fleet.run(1_000)
        assert.ok(fleet.countSends('s0', fleet.nowMs - 1_000) > 0)
        fleet.run(2_000)
        assert.equal(countRecovering(fleet), 0)
        fleet.run(3_000)
        assert.ok(getShare(fleet, 's0', fleet.nowMs - 3_000) > 0.12)
      })

      test.it('starts again for a server that crashes again', () => {
        const fleet = startFleet(seed)
        fleet.restart('s0')
        fleet.run(1_000)
        fleet.crash('s0')
        fleet.run(500)
        fleet.restart('s0')
        for (const { pace } of fleet.nodes) {
          const [, , falls, part] = pace.describe(fleet.nowMs)?.s0 ?? []
          assert.deepEqual([falls, part], [0, Number(leastPart.toFixed(3))])
        }
      })

      // Guards against a pace that takes capacity from a service without other servers.
      test.it('takes no capacity when all servers return together', () => {
        const [paced, unpaced] = [true, false].map(isPaced => {
          const fleet = new paceFleets.PaceFleet(seed, 28, 5, 330, isPaced)
          fleet.run(3_000)
          for (const { listed } of fleet.servers) {
            fleet.restart(listed.id)
          }
          const { answered, late } = fleet
          fleet.run(3_000)
          return { answered: fleet.answered - answered, late: fleet.late - late }
        }) as [{ answered: number, late: number }, { answered: number, late: number }]
        assert.ok(paced.answered >= unpaced.answered * 0.98, `${paced.answered} against ${unpaced.answered}`)
        assert.ok(paced.late <= unpaced.late + paced.answered * 0.02, `${paced.late} against ${unpaced.late} late`)
      })

      test.it('outlives gateways that end in the middle, and is taken over by one that starts', () => {
        const fleet = startFleet(seed)
        fleet.restart('s0', 4)
        fleet.run(1_500)
        fleet.nodes.splice(0, 14)
        const started = fleet.addNode()
        fleet.run(400)
        assert.ok(fleet.nodes.every(({ pace }) => pace.count(fleet.nowMs) === 1))
        assert.equal(started.log.find('server recovery began').at(-1)?.reason, 'reported')
        fleet.getServer('s0').slowness = 1
        fleet.run(6_000)
        assert.equal(countRecovering(fleet), 0)
      })

      // Guards against one gateway that keeps a server idle, or floods it, by what it reports.
      test.it('is found in spite of a gateway with false reports', () => {
        const fleet = startFleet(seed)
        fleet.invent = node => node === fleet.nodes[0]
          ? { s0: [0, 0, 1e6, 0.001, 0], s1: [1, 0, 0, 0.01, 0], s2: [-1, -1e9, 0.5, 9, 0], s3: [1, 100, 0, 0.01, 0] }
          : undefined
        fleet.restart('s0')
        const sinceMs = fleet.nowMs
        fleet.run(12_000)
        assert.ok(getShare(fleet, 's0', sinceMs + 6_000) > 0.1)
        for (const server of ['s1', 's2', 's3']) {
          assert.ok(getShare(fleet, server, sinceMs) > 0.1, `${server} ${getShare(fleet, server, sinceMs)}`)
        }
        assert.ok(fleet.lost < 60, String(fleet.lost))
        const invalid = fleet.nodes.map(({ log }) => log.find('reported pace of a server ignored').length)
        assert.ok(Math.max(...invalid) <= 2, String(invalid))
      })
    })
  }

  // Guards against a claim of the whole capacity that overrules the answers of a slow server.
  test.it('is not raised for a slow server by a gateway that reports it as recovered', () => {
    const fleet = startFleet(1)
    fleet.restart('s0', 4)
    const { bornMs = 0 } = fleet.getServer('s0').listed
    const returnedMs = fleet.nowMs
    fleet.invent = node => node === fleet.nodes[0] ? { s0: [bornMs, fleet.nowMs - returnedMs, 0, 1, 0] } : undefined
    fleet.run(3_000)
    assert.ok(fleet.getLargestLoad('s0', returnedMs) <= 8, String(fleet.getLargestLoad('s0', returnedMs)))
  })

  test.it('ends when nobody calls', () => {
    const fleet = startFleet(1)
    fleet.restart('s0')
    fleet.nowMs += 11_000
    assert.equal(countRecovering(fleet), 0)
  })

  // Guards against a change of the services for which nothing calls for a pace, and of a gateway's own start.
  test.it('does not exist for other services, nor at the start of the gateways', () => {
    const [unpaced, started] = [startFleet(2, false), new paceFleets.PaceFleet(2, 28, 5, 240)] as const
    unpaced.restart('s0')
    started.restart('s0')
    for (const { pace, log } of [...unpaced.nodes, ...started.nodes]) {
      pace.merge({ s0: [9e12, 5, 0, 0.1, 5] }, 'other', unpaced.nowMs - 3_000, unpaced.nowMs)
      assert.equal(pace.getPart(unpaced.getServer('s0').listed, unpaced.nowMs), 1)
      assert.equal(pace.describe(unpaced.nowMs), undefined)
      assert.deepEqual(log.lines, [])
    }
  })
})

interface Played { readonly fleet: paceFleets.PaceFleet, readonly calls: number, readonly load: number }

test.describe('The engines, when one has returned', () => {
  const profile: routing.EngineProfile = { slots: 12, memoryTokens: 30_000, handleMs: 500, switchMs: 6_000, maximumHoldMs: 2_000 }
  const createFleet = (seed: number, isPaced = true, stage: routing.EngineStage = 'decode'): { fleet: fleets.EngineFleet, pace: paces.ServerPace, returned: routing.RoutedServer, other: routing.RoutedServer } => {
    const source = new paceFleets.PaceFleet(seed, 1, 2, 0, isPaced)
    for (const server of source.servers) {
      server.listed = { ...server.listed, slots: 12, stage }
    }
    const { pace } = source.nodes[0] as paceFleets.Node
    const [returned, other] = source.listed as [routing.RoutedServer, routing.RoutedServer]
    pace.recordAnswer(other, { sentMs: 0, times: { first_event: 60 } }, 10)
    const fleet = new fleets.EngineFleet('a', new healths.ServerHealth(), new seededRandom.SeededRandom(seed), pace)
    return { fleet, pace, returned, other }
  }

  test.it('get one run at all gateways first, then as many as answers in time allow', () => {
    const { fleet, pace, returned, other } = createFleet(1)
    const rank = (nowMs: number): string[] => fleet.rankDecode([returned, other], profile, 1_000, nowMs).map(({ id }) => id)
    for (let answer = 0; answer < 6; answer += 1) {
      pace.recordAnswer(other, { sentMs: 10, times: { first_event: 60 } }, 20)
    }
    pace.recordReturn(returned, 'start', 100)
    fleet.bookDecode('r1', other.id, 3_000)
    assert.equal(rank(110)[0], returned.id)
    fleet.updatePeer('g', { bookings: { [returned.id]: { runs: 1, tokens: 1_000, unread: 0 } }, offered: {}, switching: [] }, 110)
    assert.deepEqual(rank(120), [other.id])
    pace.recordAnswer(returned, { sentMs: 110, times: { first_event: 70 } }, 200)
    assert.deepEqual(rank(500).sort(), [returned.id, other.id])
  })

  // Guards against refusals while a recovering server is the only one with capacity.
  test.it('may be used beyond the pace where no other has capacity', () => {
    const { fleet, pace, returned } = createFleet(1)
    pace.recordReturn(returned, 'pause', 100)
    fleet.bookDecode('r1', returned.id, 3_000)
    assert.deepEqual(fleet.rankDecode([returned], profile, 1_000, 120), [])
    assert.deepEqual(fleet.rankDecode([returned], profile, 1_000, 120, { mayExceedPace: true }), [returned])
  })

  // Requests that waited for the pace until they were nearly late became late while many servers returned.
  test.it('keep a request waiting for an eighth of its goal at most', () => {
    assert.equal(placements.getPaceWaitEnd(1_000, 800, 1_750), 1_100)
    assert.equal(placements.getPaceWaitEnd(1_000, 800, 1_040), 990)
  })

  test.it('get a prompt that waits for none first, and then while their part of the speed is sooner than the others', () => {
    const { fleet, pace, returned, other } = createFleet(1, true, 'prefill')
    const choose = (): string | undefined => fleet.choosePrefill([returned, other], 3_000, new Set(), 120, undefined)?.server.id
    pace.recordReturn(returned, 'back_off', 100)
    fleet.bookPrefill('r1', other.id, 3_000, 110)
    assert.equal(choose(), returned.id)
    fleet.bookPrefill('r2', returned.id, 3_000, 110)
    fleet.bookPrefill('r3', other.id, 3_000, 110)
    assert.equal(choose(), other.id)
  })

  // Guards against a server that stays at the least part because it is slower than its peers by nature.
  test.it('get what their speed allows if they are slower than their peers by nature, and all of it in the end', () => {
    const { pace, returned, other } = createFleet(1)
    for (let answer = 0; answer < 6; answer += 1) {
      pace.recordAnswer(other, { sentMs: 10, times: { first_event: 60, event_gap: 5 } }, 20)
    }
    pace.recordReturn(returned, 'start', 100)
    for (let sentMs = 100; sentMs < 6_000; sentMs += 200) {
      pace.recordAnswer(returned, { sentMs, times: { first_event: 135, event_gap: Number.NaN } }, sentMs + 150)
    }
    const part = pace.describe(6_000)?.[returned.id]?.[3] ?? 1
    assert.ok(part > 0.2 && part < 0.25, String(part))
    pace.recordAnswer(returned, { sentMs: 29_000, times: {} }, 29_100)
    assert.equal(pace.getPart(returned, 31_000), 1)
  })

  test.it('are ranked as before where no pace is called for', () => {
    const draw = (isPaced: boolean, usesPace: boolean): string[][] => {
      const { fleet, pace, returned, other } = createFleet(3, isPaced)
      const plain = new fleets.EngineFleet('a', new healths.ServerHealth(), new seededRandom.SeededRandom(3))
      const used = usesPace ? fleet : plain
      pace.recordReturn(returned, 'start', 5)
      used.setOtherGateways(20)
      return Array.from({ length: 40 }, (_, run) => {
        const ranked = used.rankDecode([returned, other], profile, 1_500, 10).map(({ id }) => id)
        used.bookDecode(`r${run}`, ranked[0] ?? '', 1_500)
        return ranked
      })
    }
    assert.deepEqual(draw(false, true), draw(false, false))
  })
})

test.describe('A return', () => {
  // Guards against a slow start of servers whose entry lapses and comes back, and of all servers at each change of an entry.
  test.it('is a server or a process that was not listed before, not another entry of the same one', () => {
    const entry = (bornMs: number, writes: number): replicas.ReplicaItem => ({ key: 'servers/x', value: JSON.stringify({ bornMs, writes }), revision: 1 })
    const documents = {
      serverPrefix: 'servers/',
      readServer: (id: string, value: string) => failures.succeed({
        id, service: 'p', address: '10.0.0.1:1', zone: 'a', slots: 6, state: 'ready', ...JSON.parse(value) as object
      })
    } as unknown as types.StoredDocuments
    const started: (number | undefined)[] = []
    const system = { clock: new manualClocks.ManualClock(), log: new recordedLogs.RecordedLog() } as unknown as host.System
    const directory = new directories.Directory(documents, system, () => {}, ({ bornMs }) => started.push(bornMs))
    directory.put(entry(1, 1))
    directory.put(entry(1, 2))
    directory.removed('servers/x', 5_000)
    directory.put(entry(1, 3))
    directory.put(entry(2, 1))
    assert.deepEqual(started, [1, 2])
  })

  test.it('is the end of a pause', () => {
    const pauses: number[] = []
    const health = new healths.ServerHealth((_server, untilMs) => pauses.push(untilMs))
    health.record('x', 'unreachable', 1_000)
    assert.deepEqual(pauses, [1_400])
  })
})

test.describe('The pace', () => {
  // Each deployment has plain services with routes of several priorities; they are served as before.
  test.it('is called for by generations of different priorities and by cold servers, as far as a setting says', () => {
    const route = { host: 'h', prefix: '/', targets: [{ service: 'a', weight: 1 }], timeoutMs: 1, goalMs: 1, maximumServers: 1, isPublic: false, isResumable: false }
    const engine = { slots: 1, memoryTokens: 1, handleMs: 1, switchMs: 1, maximumHoldMs: 1 }
    const createTable = (kind: routing.RequestKind, cold?: { forMs: number, perSecond: number }): tables.RoutingTable => new tables.RoutingTable({
      version: 1,
      routes: [{ ...route, kind, name: 'r0', priority: 0 }, { ...route, kind, name: 'r1', priority: 2 }],
      services: [{ name: 'a', maximumConnections: 1, engine: kind === 'stream' ? engine : undefined, cold }],
      limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
    })
    const isPaced = (table: tables.RoutingTable, scope: settings.PaceScope): boolean =>
      new activations.PaceActivation(scope, [new activations.ColdServices(() => table)], [new activations.RankedServices(() => table)]).isPaced('a')
    const cold = { forMs: 3_000, perSecond: 31 }
    assert.deepEqual([isPaced(createTable('stream'), 'all'), isPaced(createTable('idempotent'), 'all')], [true, false])
    assert.deepEqual([isPaced(createTable('stream'), 'cold'), isPaced(createTable('idempotent', cold), 'cold')], [false, true])
    assert.deepEqual([isPaced(createTable('stream'), 'off'), isPaced(createTable('idempotent', cold), 'off')], [false, false])
  })

  test.it('is an optional field of gossip, so that gateways of the previous version are understood', () => {
    const status = { admitted: {}, bookings: {}, offered: {}, switching: [], outcomes: {}, leaving: {} }
    const own = { node: 'g', zone: 'a', boot: 'b', revision: 1 }
    assert.ok(messages.GossipMessage.safeParse({ own: { ...own, work: status }, zones: [] }).success)
    const paces = { s0: [1_700_000_000_000, 30_000, 12, 0.167, 250] }
    assert.deepEqual(messages.GossipMessage.parse({ own: { ...own, work: { ...status, paces } }, zones: [] }).own.work?.paces, paces)
  })
})
