import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as eventIntervals from '../../src/gateway/decode_speed/event_intervals.js'
import * as fleets from '../../src/gateway/engine_fleet.js'
import * as healths from '../../src/gateway/server_health.js'
import * as routing from '../../src/contracts/routing.js'
import * as seededRandom from '../../src/host/seeded_random.js'
import * as streamProgress from '../../src/gateway/decode_speed/stream_progress.js'

const profile: routing.EngineProfile = { slots: 64, memoryTokens: 30_000, handleMs: 500, switchMs: 6_000, maximumHoldMs: 2_000 }
const runTokens = 3_700
const eventsPerRun = 70
/** One server in four needs more than twice as long for an event. */
const intervalsMs = [95, 43, 43, 43, 95, 43, 43, 43]
/** Time of a run at a fast server, in milliseconds. */
const fastMs = eventsPerRun * 43
const servers: readonly routing.RoutedServer[] = intervalsMs.map((_, index) => (
  { id: `d${index}`, service: 's', address: `10.0.0.1:${index}`, zone: 'b', slots: 64, state: 'ready', stage: 'decode' }
))

/** Gateways before decode servers of unlike speed, in virtual time. */
class Play {
  elapsedMs = 0
  refused = 0
  runs = 0
  private readonly random = new seededRandom.SeededRandom(5)
  /** Both plays of a pair have the same arrivals. */
  private readonly arrivals = new seededRandom.SeededRandom(6)
  private readonly fleets: fleets.EngineFleet[] = []
  private ends: { readonly atMs: number, readonly run: string, readonly fleet: fleets.EngineFleet }[] = []

  constructor (gateways: number, private readonly isMeasured: boolean) {
    for (let index = 0; index < gateways; index += 1) {
      const fleet = new fleets.EngineFleet('a', new healths.ServerHealth(), this.random)
      fleet.setOtherGateways(gateways - 1)
      this.fleets.push(fleet)
    }
  }

  play (perSecond: number, untilMs: number): this {
    for (let nowMs = 0; nowMs < untilMs; nowMs += 10) {
      const ended = this.ends.filter(({ atMs }) => atMs <= nowMs)
      this.ends = this.ends.filter(({ atMs }) => atMs > nowMs)
      for (const { run, fleet } of ended) {
        fleet.releaseDecode(run)
      }
      if (nowMs % 200 === 0) {
        this.gossip(nowMs)
      }
      if (this.arrivals.nextUnit() < perSecond / 100) {
        this.place(this.arrivals.nextInteger(this.fleets.length), nowMs)
      }
    }
    return this
  }

  private place (gateway: number, nowMs: number): void {
    const fleet = this.fleets[gateway] as fleets.EngineFleet
    const [server] = fleet.rankDecode(servers, profile, runTokens, nowMs)
    if (server === undefined) {
      this.refused += 1
      return
    }
    const run = `r${this.runs}`
    this.runs += 1
    const elapsedMs = eventsPerRun * (intervalsMs[servers.indexOf(server)] ?? 0)
    fleet.bookDecode(run, server.id, runTokens)
    if (this.isMeasured) {
      fleet.speeds.record(server.id, eventsPerRun, elapsedMs, nowMs)
    }
    this.elapsedMs += elapsedMs
    this.ends.push({ atMs: nowMs + elapsedMs, run, fleet })
  }

  private gossip (nowMs: number): void {
    for (const [from, fleet] of this.fleets.entries()) {
      const told = fleet.describe(nowMs)
      for (const other of this.fleets) {
        if (other !== fleet) {
          other.updatePeer(`g${from}`, told, nowMs)
        }
      }
    }
  }
}

function createFleet (): fleets.EngineFleet {
  return new fleets.EngineFleet('a', new healths.ServerHealth(), new seededRandom.SeededRandom(1))
}

/** Returns the first message that tells times between events; not each does. */
function tell (fleet: fleets.EngineFleet, nowMs: number): fleets.PeerEngines {
  for (let message = 0; message < 200; message += 1) {
    const told = fleet.describe(nowMs)
    if (told.intervals !== undefined) {
      return told
    }
  }
  return assert.fail('no message tells times between events')
}

test.describe('Choice of a decode server by speed', () => {
  // By free memory alone a quarter of the streams went to engines where they took twice as long, and more of them were cut when gateways ended.
  test.it('shortens streams where there is memory to spare', () => {
    const blind = new Play(20, false).play(8, 60_000)
    const measured = new Play(20, true).play(8, 60_000)
    assert.ok(blind.elapsedMs / blind.runs > 1.1 * fastMs)
    assert.ok(measured.elapsedMs / measured.runs < 1.1 * fastMs)
    assert.equal(measured.refused, 0)
  })

  // A slow engine that is never used leaves callers without memory in a burst.
  test.it('refuses no more than the choice by free memory when all memory is needed', () => {
    const blind = new Play(20, false).play(40, 120_000)
    const measured = new Play(20, true).play(40, 120_000)
    assert.ok(measured.runs >= blind.runs * 0.98)
  })

  // Services without measurements were to be served as before.
  test.it('draws and chooses as before where nothing is measured', () => {
    const fleet = createFleet()
    assert.equal(fleet.speeds.getSlowness(servers, 0).size, 0)
    assert.equal('intervals' in JSON.parse(JSON.stringify(fleet.describe(0))), false)
  })

  test.describe('with other gateways', () => {
    // The measurements of a gateway that had died were used for ever.
    test.it('drops what a gateway measured that is not heard any more', () => {
      const dead = createFleet()
      const fleet = createFleet()
      for (const [index, { id }] of servers.entries()) {
        dead.speeds.record(id, 100, 100 * (intervalsMs[index] ?? 0), 0)
      }
      fleet.updatePeer('g1', tell(dead, 0), 0)
      assert.ok((fleet.speeds.getSlowness(servers, 100).get('d0') ?? 0) > 1.8)
      assert.equal(fleet.speeds.getSlowness(servers, 2_300).size, 0)
    })

    // Gossip grew by what changes slowly in each message.
    test.it('is told in a part of the messages only, and holds until it is told again', () => {
      const told = createFleet()
      const fleet = createFleet()
      for (const [index, { id }] of servers.entries()) {
        told.speeds.record(id, 100, 100 * (intervalsMs[index] ?? 0), 0)
      }
      fleet.updatePeer('g1', tell(told, 100), 100)
      const messages = Array.from({ length: 200 }, () => told.describe(500))
      const silent = messages.filter(({ intervals }) => intervals === undefined)
      assert.ok(silent.length > 100)
      fleet.updatePeer('g1', silent[0] ?? assert.fail(), 500)
      assert.ok((fleet.speeds.getSlowness(servers, 600).get('d0') ?? 0) > 1.8)
    })

    test.it('hears a gateway of the version before', () => {
      const fleet = createFleet()
      fleet.updatePeer('g1', { bookings: {}, offered: {}, switching: [] }, 0)
      assert.equal(fleet.speeds.getSlowness(servers, 10).size, 0)
    })

    test.it('sums what the gateways of a zone measured', () => {
      const told = createFleet()
      const relay = createFleet()
      told.speeds.record('d0', 10, 500, 0)
      relay.speeds.record('d0', 10, 300, 0)
      relay.updatePeer('g1', tell(told, 0), 0)
      const sums = Array.from({ length: 200 }, () => relay.aggregate(['g1'], 0).intervals).filter(sum => sum !== undefined)
      assert.deepEqual(sums[0], { d0: [20, 800] })
    })
  })

  test.describe('from measurements', () => {
    // One absurd figure made a server unusable, or drew all streams to it.
    test.it('bounds absurd ones, and passes over those that cannot be', () => {
      const intervals = new eventIntervals.EventIntervals()
      intervals.record('d1', 0, 100, 0)
      intervals.record('d1', 10, NaN, 0)
      intervals.record('d1', 10, -5, 0)
      assert.equal(intervals.list(0), undefined)
      const slowness = eventIntervals.estimateSlowness(new Map([['a', [100, 5_000]], ['b', [100, 5_000]], ['c', [100, 1e15]]]))
      assert.equal(slowness.get('a'), 1)
      assert.equal(slowness.get('c'), 4)
    })

    test.it('counts a server of few events as usual, and forgets', () => {
      const slowness = eventIntervals.estimateSlowness(new Map([['a', [100, 5_000]], ['b', [1, 500]]]))
      assert.ok((slowness.get('b') ?? 0) < 1.6)
      const intervals = new eventIntervals.EventIntervals()
      intervals.record('a', 8, 400, 0)
      assert.equal(intervals.list(60_000), undefined)
    })

    // A caller that reads slowly made its server look slow.
    test.it('leave out the time in which a stream pauses for its caller', () => {
      const measured: [number, number][] = []
      const progress = new streamProgress.StreamProgress((events, elapsedMs) => measured.push([events, elapsedMs]))
      for (let event = 1; event <= 9; event += 1) {
        progress.advance(event, event * 50)
      }
      progress.interrupt()
      progress.advance(10, 10_000)
      progress.advance(18, 10_400)
      assert.deepEqual(measured, [[8, 400], [8, 400]])
    })
  })
})
