import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as arrivalMeters from '../../src/gateway/urgency/arrival_meter.js'
import * as capacityQueues from '../../src/gateway/queueing/capacity_queue.js'
import * as fleets from '../../src/gateway/engine_fleet.js'
import * as headrooms from '../../src/gateway/urgency/memory_headroom.js'
import * as healths from '../../src/gateway/server_health.js'
import * as routing from '../../src/contracts/routing.js'
import * as seededRandom from '../../src/host/seeded_random.js'
import * as urgencyRanks from '../../src/gateway/urgency/urgency_ranks.js'

const profile: routing.EngineProfile = { slots: 12, memoryTokens: 31_000, handleMs: 500, switchMs: 6_000, maximumHoldMs: 2_000 }

function createDocument (routePriorities: readonly number[], workspacePriorities: readonly (number | undefined)[]): routing.RoutingDocument {
  return {
    version: 1,
    routes: routePriorities.map((priority, index) => ({
      name: `r${index}`,
      host: 'h',
      prefix: `/${index}/`,
      kind: 'stream',
      targets: [{ service: 's', weight: 1 }],
      timeoutMs: 14_000,
      goalMs: priority === 0 ? 800 : 2_000,
      maximumServers: 1,
      priority,
      isPublic: false,
      isResumable: false
    })),
    services: [{ name: 's', maximumConnections: 100, engine: profile }],
    limits: { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    workspaces: workspacePriorities.map((priority, index) => ({
      name: `w${index}`, keyHashes: [], priority, unit: 'tokens', plainTokens: 0, rate: 0, burst: 0
    }))
  }
}

test.describe('Ranks of urgency', () => {
  const ranks = new urgencyRanks.UrgencyRanks(createDocument([0, 2], [1, 1, 0]))
  const rank = (workspace: number | undefined, route: number): number | undefined => ranks.find('s', { workspace, route })?.rank

  // All workspaces of a deployment stated the same priority, which replaced those of the routes, and the most urgent kind was served worst.
  test.it('order the routes of workspaces that state the same priority', () => {
    assert.ok((rank(1, 0) ?? Infinity) < (rank(1, 2) ?? -Infinity))
  })

  test.it('put the priority of the workspace before that of the route', () => {
    assert.ok((rank(0, 2) ?? Infinity) < (rank(1, 0) ?? -Infinity))
    assert.ok((rank(undefined, 0) ?? Infinity) < (rank(undefined, 2) ?? -Infinity))
  })

  // Earlier deployments have routes of one priority, and must be served as before.
  test.it('are absent where all routes of the service have one priority', () => {
    const plain = new urgencyRanks.UrgencyRanks(createDocument([1, 1], [0, 1]))
    assert.equal(plain.isRanked('s'), false)
    assert.equal(plain.find('s', { workspace: 0, route: 1 }), undefined)
  })

  test.it('keep their order for absurd priorities', () => {
    const absurd = new urgencyRanks.UrgencyRanks(createDocument([-5, Number.MAX_SAFE_INTEGER], [1e300]))
    assert.deepEqual([absurd.find('s', { workspace: 1e300, route: -5 })?.level, absurd.find('s', { workspace: 1e300, route: Number.MAX_SAFE_INTEGER })?.level], [0, 1])
    assert.equal(absurd.find('s', { workspace: 7, route: 3 }), undefined)
  })
})

/** Gateways before decode servers in virtual time: every generation asks for the same memory and holds it for three seconds. */
class Play {
  readonly served = [0, 0]
  readonly refused = [0, 0]
  private readonly servers: routing.RoutedServer[] = []
  private readonly ends: { readonly atMs: number, readonly gateway: number, readonly run: string }[] = []
  private readonly gateways: { readonly fleet: fleets.EngineFleet, readonly queue: capacityQueues.CapacityQueue, readonly headroom: headrooms.MemoryHeadroom }[] = []
  private runs = 0
  private static readonly tokens = 4_000
  private static readonly holdMs = 3_000

  constructor (gateways: number, private readonly keepsHeadroom: boolean, private readonly random = new seededRandom.SeededRandom(7)) {
    for (let index = 0; index < 10; index += 1) {
      this.servers.push({ id: `d${index}`, service: 's', address: `10.0.0.1:${index}`, zone: 'a', slots: 12, state: 'ready', stage: 'decode' })
    }
    for (let index = 0; index < gateways; index += 1) {
      const fleet = new fleets.EngineFleet('a', new healths.ServerHealth(), random)
      this.gateways.push({ fleet, queue: new capacityQueues.CapacityQueue(), headroom: new headrooms.MemoryHeadroom() })
    }
  }

  /** Plays requests of two levels at the rates, in generations a second; a dead gateway neither gossips nor ends its runs here. */
  play (untilMs: number, rates: readonly [number, number], deadAfterMs = Infinity): void {
    for (let nowMs = 0; nowMs < untilMs; nowMs += 10) {
      for (const [index, { fleet, queue }] of this.gateways.entries()) {
        for (const end of this.ends.filter(({ atMs, gateway }) => gateway === index && atMs <= nowMs)) {
          this.ends.splice(this.ends.indexOf(end), 1)
          fleet.releaseDecode(end.run)
        }
        queue.dispatch(nowMs)
      }
      if (nowMs % 150 === 0) {
        this.gossip(nowMs, deadAfterMs)
      }
      for (const [level, perSecond] of rates.entries()) {
        if (this.random.nextUnit() < perSecond / 100) {
          this.arrive(level, this.random.nextInteger(this.gateways.length), nowMs)
        }
      }
    }
  }

  private gossip (nowMs: number, deadAfterMs: number): void {
    for (const [from, { fleet }] of this.gateways.entries()) {
      const told = fleet.describe(nowMs)
      for (const [to, other] of this.gateways.entries()) {
        if (to !== from && (from !== 0 || nowMs < deadAfterMs)) {
          other.fleet.updatePeer(`g${from}`, told, nowMs)
        }
      }
    }
  }

  private arrive (level: number, index: number, nowMs: number): void {
    const gateway = this.gateways[index] as (typeof this.gateways)[number]
    const { fleet, queue, headroom } = gateway
    this.runs += 1
    const run = `run${this.runs}`
    if (this.keepsHeadroom) {
      fleet.recordArrival('s', level, Play.tokens, nowMs)
    }
    queue.add({
      id: run,
      priority: level,
      expectedOutputTokens: 1_000,
      sinceMs: nowMs,
      latestMs: nowMs + (level === 0 ? 600 : 1_800),
      isLate: false,
      tryReserve: () => {
        const kept = headroom.select(this.servers.map(({ id }) => id), level, fleet.getArrivals('s', nowMs), 800)
        const [server] = fleet.rankDecode(this.servers, profile, Play.tokens, nowMs, { headroom: kept })
        const isFree = server !== undefined && this.countRuns(server.id) < Math.floor(profile.memoryTokens / Play.tokens)
        if (server !== undefined && isFree) {
          fleet.bookDecode(run, server.id, Play.tokens)
          this.running.set(run, server.id)
        }
        return isFree
      },
      settle: taken => {
        const counts = taken ? this.served : this.refused
        counts[level] = (counts[level] ?? 0) + 1
        if (taken) {
          this.ends.push({ atMs: nowMs + Play.holdMs, gateway: index, run })
        }
      }
    })
    queue.dispatch(nowMs)
  }

  private readonly running = new Map<string, string>()

  /** Runs at a server: the server itself refuses a reservation beyond its memory. */
  private countRuns (server: string): number {
    let count = 0
    for (const { run } of this.ends) {
      count += this.running.get(run) === server ? 1 : 0
    }
    return count
  }

  getServedPart (level: number): number {
    const served = this.served[level] ?? 0
    return served / Math.max(1, served + (this.refused[level] ?? 0))
  }
}

test.describe('Few urgent generations among twice as many others as there is memory for', () => {
  const rates: readonly [number, number] = [2, 50]

  // Each of many gateways took freed memory for its own less urgent requests, and urgent ones at others were refused.
  test.it('are served at least as well as the others', () => {
    const plain = new Play(20, false)
    plain.play(30_000, rates)
    const play = new Play(20, true)
    play.play(30_000, rates)
    assert.ok(play.getServedPart(0) > plain.getServedPart(0), `${play.getServedPart(0)} with headroom, ${plain.getServedPart(0)} without`)
    assert.ok(play.getServedPart(0) >= play.getServedPart(1), `${play.getServedPart(0)} of the urgent, ${play.getServedPart(1)} of the others`)
  })

  test.it('do not starve the others', () => {
    const play = new Play(20, true)
    play.play(20_000, [30, 50])
    assert.ok((play.served[1] ?? 0) > 0)
  })

  // The demand of a gateway that died was kept for ever, and with it the memory for it.
  test.it('leave no memory kept for a gateway that has died', () => {
    const fleet = new fleets.EngineFleet('a', new healths.ServerHealth(), new seededRandom.SeededRandom(1))
    const dead = new fleets.EngineFleet('a', new healths.ServerHealth(), new seededRandom.SeededRandom(2))
    dead.recordArrival('s', 0, 4_000, 0)
    fleet.updatePeer('g1', dead.describe(0), 0)
    assert.equal(fleet.getArrivals('s', 100).length, 1)
    assert.equal(fleet.getArrivals('s', 2_100).length, 0)
  })

  test.it('are unknown to a gateway of the version before, which is heard all the same', () => {
    const fleet = new fleets.EngineFleet('a', new healths.ServerHealth(), new seededRandom.SeededRandom(1))
    fleet.updatePeer('g1', { bookings: {}, offered: {}, switching: [] }, 0)
    assert.deepEqual(fleet.getArrivals('s', 10), [])
  })
})

test.describe('Headroom for urgent generations', () => {
  const servers = ['a', 'b', 'c', 'd', 'e', 'f']

  test.it('is at the same servers at all gateways, and at half of them at most', () => {
    const rates: arrivalMeters.LeveledArrivals = [[1_000, 4_000_000]]
    const kept = new headrooms.MemoryHeadroom().select(servers, 1, rates, 800)
    assert.deepEqual(new headrooms.MemoryHeadroom().select([...servers].reverse(), 1, rates, 800), kept)
    assert.equal(kept.size, servers.length / 2)
  })

  test.it('is kept for more urgent levels only, and for none where nothing urgent has come lately', () => {
    const headroom = new headrooms.MemoryHeadroom()
    assert.equal(headroom.select(servers, 0, [[5, 20_000]], 800).size, 0)
    assert.equal(headroom.select(servers, 1, [], 800).size, 0)
    assert.equal(headroom.select(servers, 1, [[0, 0], [5, 20_000]], 800).size, 0)
  })
})
