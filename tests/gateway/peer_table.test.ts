import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as allowances from '../../src/gateway/allowance_limiter.js'
import * as peerTables from '../../src/gateway/peer_table.js'
import * as fleets from '../../src/gateway/engine_fleet.js'
import * as healths from '../../src/gateway/server_health.js'
import * as host from '../../src/host/types.js'
import * as manualClocks from '../support/manual_clock.js'
import * as messages from '../../src/gateway/peer_messages.js'
import * as nodeSystems from '../../src/host/node_system.js'
import * as routing from '../../src/contracts/routing.js'
import * as seededRandom from '../../src/host/seeded_random.js'

const stepMs = 20
const workspace: routing.RoutedWorkspace = {
  name: 'grants', keyHashes: [], unit: 'tokens', plainTokens: 200, rate: 47_000, burst: 47_000
}
const tolerance = { windowMs: 8_000, overPart: 0.1, slack: 190_000 }

/** One gateway with its state of the other gateways, of engines and of allowances. */
class Node extends peerTables.LocalGateway {
  readonly clock = new manualClocks.ManualClock()
  readonly fleet: fleets.EngineFleet
  readonly allowance = new allowances.AllowanceLimiter(tolerance)
  readonly table: peerTables.PeerTable
  override readonly revision = 1
  isDead = false

  constructor (override readonly node: string, override readonly zone: string, override readonly boot: string, nowMs: number) {
    super()
    this.clock.pause(nowMs)
    this.fleet = new fleets.EngineFleet(zone, new healths.ServerHealth(), new seededRandom.SeededRandom(1))
    this.table = new peerTables.PeerTable(this, this.clock as host.Clock, new nodeSystems.SilentLog())
    this.allowance.setWorkspaces([workspace], nowMs)
  }

  override describe (): messages.GatewayStatus {
    return { ...this.fleet.describe(this.clock.monotonicMs()), admitted: this.allowance.listAdmitted(), outcomes: {}, leaving: {} }
  }

  override aggregateZone (others: readonly string[]): messages.GatewayStatus {
    return { ...this.fleet.aggregate(others, this.clock.monotonicMs()), admitted: this.allowance.listZoneAdmitted(), outcomes: {}, leaving: {} }
  }

  override recordSeen (node: string, heardMs: number): void {
    this.allowance.recordSeen(node, heardMs)
  }

  override updatePeer (node: string, boot: string, work: messages.GatewayStatus, heardMs: number, isOwnZone: boolean): void {
    this.allowance.receiveTotals(node, boot, work.admitted, heardMs, isOwnZone)
    this.fleet.updatePeer(node, work, heardMs)
  }

  override updateZone (state: messages.ZoneAggregate, heardMs: number): void {
    for (const node of Object.keys(state.heard)) {
      this.allowance.forgetGateway(node)
      this.fleet.forgetPeer(node)
    }
    this.allowance.receiveZoneTotals(state.zone, `${state.teller} ${state.boot}`, state.work.admitted, this.clock.monotonicMs())
    this.fleet.updatePeer(`zone ${state.zone}`, state.work, heardMs)
  }

  override forgetZone (zone: string): void {
    this.allowance.forgetZone(zone)
    this.fleet.forgetPeer(`zone ${zone}`)
  }
}

/** Gateways that exchange gossip as planned, without a network. */
class Fleet {
  nodes: Node[] = []
  /** Suspended gateways: their clocks stand still and they do nothing. */
  readonly frozen = new Set<Node>()
  /** Zones that are partitioned from all others. */
  readonly cutZones = new Set<string>()
  readonly uses: { readonly atMs: number, readonly units: number }[] = []
  exchanges = 0
  betweenZones = 0
  nowMs = 0

  constructor (zones: number, perZone: number) {
    for (let index = 0; index < zones * perZone; index += 1) {
      this.nodes.push(this.create(`g${String(index).padStart(2, '0')}`, `zone-${index % zones}`, 'first'))
    }
    this.listMembers()
  }

  restart (index: number): void {
    const { node, zone } = this.nodes[index] as Node
    this.nodes[index] = this.create(node, zone, `at ${this.nowMs}`)
    this.listMembers()
  }

  play (forMs: number, act: (node: Node) => void = () => {}): void {
    for (const untilMs = this.nowMs + forMs; this.nowMs < untilMs; this.nowMs += stepMs) {
      for (const node of this.nodes) {
        if (!node.isDead && !this.frozen.has(node)) {
          node.clock.pause(stepMs)
        }
      }
      for (const node of this.nodes) {
        if (node.isDead || this.frozen.has(node)) {
          continue
        }
        act(node)
        for (const peer of node.table.listDue()) {
          this.exchange(node, peer)
        }
      }
    }
  }

  /** Charges a request to the allowance at a gateway, and records it if admitted. */
  ask (node: Node, units: number): void {
    if (node.allowance.charge(workspace, units, node.clock.monotonicMs()).kind === 'admitted') {
      this.uses.push({ atMs: this.nowMs, units })
    }
  }

  countAdmitted (sinceMs: number): number {
    let units = 0
    for (const use of this.uses) {
      units += use.atMs >= sinceMs ? use.units : 0
    }
    return units
  }

  getLargestWindow (): number {
    let largest = 0
    for (const { atMs: startMs } of this.uses) {
      let sum = 0
      for (const { atMs, units } of this.uses) {
        sum += atMs >= startMs && atMs < startMs + tolerance.windowMs ? units : 0
      }
      largest = Math.max(largest, sum)
    }
    return largest
  }

  /** Fails unless each gateway has seen every other one recently, and counts the request of each exactly once. */
  check (): void {
    const living = this.nodes.filter(node => !node.isDead && !this.frozen.has(node))
    for (const node of living) {
      assert.equal(node.table.listSeen(node.table.unresponsiveAfterMs).filter(name => living.some(other => other.node === name)).length, living.length - 1, `${node.node} at ${this.nowMs}`)
      assert.equal(node.fleet.getLoad('engine', node.clock.monotonicMs()).runs, living.length, `${node.node} at ${this.nowMs}`)
    }
  }

  private create (name: string, zone: string, boot: string): Node {
    const node = new Node(name, zone, boot, this.nowMs)
    node.fleet.bookDecode('run', 'engine', 100)
    return node
  }

  private listMembers (): void {
    for (const node of this.nodes) {
      const others = this.nodes.filter(other => other.node !== node.node)
      node.table.setMembers(new Map(others.map(other => [other.node, { address: other.node, zone: other.zone }])))
      node.allowance.setPeers(others.map(other => other.node), node.table.unresponsiveAfterMs)
    }
  }

  private exchange (from: Node, peer: peerTables.Peer): void {
    const to = this.nodes.find(node => node.node === peer.node) as Node
    peer.lastExchangeMs = from.clock.monotonicMs()
    this.exchanges += 1
    this.betweenZones += from.zone === to.zone ? 0 : 1
    const isCut = from.zone !== to.zone && (this.cutZones.has(from.zone) || this.cutZones.has(to.zone))
    if (to.isDead || this.frozen.has(to) || isCut) {
      return
    }
    to.table.receive(from.table.createMessage(to.node))
    from.table.receive(to.table.createMessage(from.node))
  }
}

test.describe('Gossip between zones', () => {
  test.it('keeps all gateways responsive, and counts each request once, with one relay for each zone', () => {
    const fleet = new Fleet(3, 10)
    fleet.play(3_000)
    fleet.betweenZones = 0
    for (let round = 0; round < 50; round += 1) {
      fleet.play(100)
      fleet.check()
    }
    // Three pairs of relays exchange; without relays, each of 300 pairs would.
    const pairs = fleet.betweenZones / 5 / (1_000 / (fleet.nodes[0]?.table.periodMs ?? 0))
    assert.ok(pairs < 10, `${pairs} pairs exchange between zones`)
  })

  test.it('sends messages whose size depends on the servers of a zone, not on its gateways', () => {
    const small = new Fleet(3, 2)
    const large = new Fleet(3, 20)
    for (const fleet of [small, large]) {
      fleet.play(3_000)
    }
    const [few, many] = [small, large].map(fleet => messages.encode((fleet.nodes[0] as Node).table.createMessage('g01'), false).body.length) as [number, number]
    // Only the list of gateways included in the aggregate grows.
    assert.ok(many < few + 20 * 16, `${few} and ${many} bytes`)
  })

  for (const perZone of [2, 10]) {
    test.it(`replaces a relay that dies before any other gateway counts as unresponsive: ${perZone} in a zone`, () => {
      const fleet = new Fleet(3, perZone)
      fleet.play(3_000)
      const relay = fleet.nodes[0] as Node
      relay.isDead = true
      const unresponsiveAfterMs = relay.table.unresponsiveAfterMs
      for (let round = 0; round < 20; round += 1) {
        fleet.play(100)
        for (const node of fleet.nodes.filter(other => !other.isDead)) {
          const heard = node.table.listSeen(unresponsiveAfterMs).filter(name => name !== relay.node)
          assert.equal(heard.length, fleet.nodes.length - 2, `${node.node} at ${fleet.nowMs}`)
        }
      }
      fleet.play(2_000)
      fleet.check()
      fleet.restart(0)
      fleet.play(4_000)
      fleet.check()
    })
  }

  test.it('counts nothing twice after a relay was suspended, or a zone partitioned', () => {
    const fleet = new Fleet(3, 4)
    fleet.play(3_000)
    fleet.frozen.add(fleet.nodes[0] as Node)
    fleet.play(4_000)
    fleet.frozen.clear()
    fleet.play(3_000)
    fleet.check()
    fleet.cutZones.add('zone-1')
    fleet.play(4_000)
    fleet.cutZones.clear()
    fleet.play(3_000)
    fleet.check()
  })

  test.it('exchanges ten times a second between few gateways', () => {
    const fleet = new Fleet(3, 1)
    fleet.play(1_000)
    assert.ok(fleet.exchanges >= 3 * 8, `${fleet.exchanges} exchanges`)
  })
})

test.describe('Direct gossip from a gateway that a zone aggregate includes', () => {
  const work: messages.GatewayStatus = {
    admitted: { grants: 0 }, bookings: { engine: { runs: 1, tokens: 100, unread: 0 } }, offered: {}, switching: [], outcomes: {}, leaving: {}
  }
  const sum: messages.ZoneAggregate = {
    zone: 'b', teller: 'b0', boot: 'b0-1', sequence: 1, heard: { b0: 0, b1: 10 }, work: { ...work, bookings: { engine: { runs: 2, tokens: 200, unread: 0 } } }
  }
  const direct = { node: 'b1', zone: 'b', boot: 'b1-1', revision: 1, work }
  const relay = { node: 'b0', zone: 'b', boot: 'b0-1', revision: 1 }

  function create (): Node {
    const node = new Node('a0', 'a', 'first', 10_000)
    node.table.setMembers(new Map([['b0', { address: 'b0', zone: 'b' }], ['b1', { address: 'b1', zone: 'b' }]]))
    return node
  }

  test.it('counts once while the aggregate is recent', () => {
    const node = create()
    node.table.receive({ own: relay, zones: [{ ageMs: 0, state: sum }] })
    node.table.receive({ own: direct, zones: [] })
    assert.equal(node.fleet.getLoad('engine', 10_000).runs, 2)
  })

  test.it('counts alone when the aggregate has become stale, and the aggregate alone when it returns', () => {
    const node = create()
    node.table.receive({ own: relay, zones: [{ ageMs: 0, state: sum }] })
    node.clock.pause(1_500)
    node.table.receive({ own: direct, zones: [] })
    assert.equal(node.fleet.getLoad('engine', 11_500).runs, 1)
    node.table.receive({ own: relay, zones: [{ ageMs: 0, state: { ...sum, sequence: 2 } }] })
    assert.equal(node.fleet.getLoad('engine', 11_500).runs, 2)
  })

  test.it('is not charged again with the aggregate that returns', () => {
    const node = create()
    const flooded = { ...work, admitted: { grants: 200_000 } }
    node.table.receive({ own: relay, zones: [{ ageMs: 0, state: { ...sum, work: { ...work, admitted: { grants: 0 } } } }] })
    node.clock.pause(1_500)
    node.table.receive({ own: { ...direct, work: { ...work, admitted: { grants: 0 } } }, zones: [] })
    node.table.receive({ own: { ...direct, work: flooded }, zones: [] })
    const before = node.allowance.charge(workspace, 4_400, 11_500)
    assert.equal(before.kind, 'refused')
    node.table.receive({ own: relay, zones: [{ ageMs: 0, state: { ...sum, sequence: 2, work: flooded } }] })
    const after = node.allowance.charge(workspace, 4_400, 11_500)
    assert.deepEqual(after, before)
  })
})

test.describe('An allowance over several zones', () => {
  /** Runs a workspace that requests four times its rate over all gateways. */
  function flood (fleet: Fleet, forMs: number): void {
    const units = 4_400
    const perStep = workspace.rate * 4 * stepMs / 1000 / units / fleet.nodes.length
    fleet.play(forMs, node => {
      const step = fleet.nowMs / stepMs + fleet.nodes.indexOf(node) / fleet.nodes.length / perStep
      const due = Math.floor((step + 1) * perStep) - Math.floor(step * perStep)
      for (let request = 0; request < due; request += 1) {
        fleet.ask(node, units)
      }
    })
  }

  const bound = (workspace.rate * tolerance.windowMs / 1000 + workspace.burst) * (1 + tolerance.overPart) + tolerance.slack

  test.it('gives a flooding workspace its rate, neither less by double counting nor more', () => {
    const fleet = new Fleet(3, 4)
    flood(fleet, 5_000)
    const sinceMs = fleet.nowMs
    flood(fleet, 20_000)
    const rate = fleet.countAdmitted(sinceMs) / 20
    assert.ok(rate > 0.9 * workspace.rate && rate < 1.1 * workspace.rate, `${rate} units a second`)
    assert.ok(fleet.getLargestWindow() <= bound)
  })

  for (const fault of ['dies', 'is suspended', 'is cut off with its zone'] as const) {
    test.it(`stays within the tolerance of the window and returns to its rate when a relay ${fault}`, () => {
      const fleet = new Fleet(3, 4)
      flood(fleet, 6_000)
      const relay = fleet.nodes[0] as Node
      for (let round = 0; round < 2; round += 1) {
        if (fault === 'dies') {
          relay.isDead = true
          flood(fleet, 3_000)
          fleet.restart(0)
        } else if (fault === 'is suspended') {
          fleet.frozen.add(relay)
          flood(fleet, 3_000)
          fleet.frozen.clear()
        } else {
          fleet.cutZones.add(relay.zone)
          flood(fleet, 3_000)
          fleet.cutZones.clear()
        }
        flood(fleet, 5_000)
      }
      const sinceMs = fleet.nowMs
      flood(fleet, 10_000)
      const rate = fleet.countAdmitted(sinceMs) / 10
      assert.ok(rate > 0.9 * workspace.rate && rate < 1.1 * workspace.rate, `${rate} units a second`)
      assert.ok(fleet.getLargestWindow() <= bound, `${fleet.getLargestWindow()} of ${bound}`)
    })
  }
})
