/**
 * Gateways that share plain servers in virtual time, with gossip that is 100 to 300 ms old. Seeded; no network.
 */
import * as choices from '../../../src/gateway/plain/plain_choice.js'
import * as healths from '../../../src/gateway/server_health.js'
import * as messages from '../../../src/gateway/peer_messages.js'
import * as metrics from '../../../src/metrics/types.js'
import * as paces from '../../../src/gateway/pace/server_pace.js'
import * as recordedLogs from '../../support/recorded_log.js'
import * as routing from '../../../src/contracts/routing.js'
import * as seededRandom from '../../../src/host/seeded_random.js'

export const workMs = 70
const gossipPeriodMs = 100
const goalMs = 341

type Statements = Record<string, messages.PaceStatement>

interface Call { readonly node: Node, readonly sentMs: number, endMs: number }

class Server {
  running: Call[] = []
  waiting: Call[] = []
  /** Factor on the work time. */
  slowness = 1
  isDown = false

  constructor (public listed: routing.RoutedServer) {}
}

export interface Send { readonly atMs: number, readonly node: string, readonly server: string, readonly load: number }

export class Node {
  readonly log = new recordedLogs.RecordedLog()
  readonly pace: paces.ServerPace
  readonly health: healths.ServerHealth
  readonly choice: choices.PlainChoice
  received: { readonly dueMs: number, readonly asOfMs: number, readonly from: string, readonly paces: Statements }[] = []

  constructor (readonly name: string, seed: number, fleet: PaceFleet, isPaced: boolean) {
    this.health = new healths.ServerHealth((id, untilMs, nowMs) => this.pace.recordReturn(fleet.getServer(id).listed, 'pause', untilMs, nowMs))
    const known = new class extends paces.KnownServers {
      override find (id: string): routing.RoutedServer | undefined {
        return fleet.servers.find(({ listed }) => listed.id === id)?.listed
      }

      override listUsable (): readonly routing.RoutedServer[] {
        return fleet.listed
      }
    }()
    this.pace = new paces.ServerPace(known, () => isPaced, new seededRandom.SeededRandom(seed), this.log, new metrics.SilentMeter())
    this.choice = new choices.PlainChoice('a', this.health, this.pace)
  }
}

export class PaceFleet {
  nowMs = 0
  nodes: Node[] = []
  readonly servers: Server[] = []
  readonly sends: Send[] = []
  /** Calls that no server answered. */
  lost = 0
  late = 0
  answered = 0
  /** Statements that a node adds to its gossip, such as false ones. */
  invent: (node: Node) => Statements | undefined = () => undefined
  /** Arrivals are the same for each seed, whatever the gateways decide. */
  private readonly arrivals: seededRandom.SeededRandom
  private readonly random: seededRandom.SeededRandom

  constructor (private readonly seed: number, gateways: number, servers: number, private readonly perSecond: number, private readonly isPaced = true) {
    this.arrivals = new seededRandom.SeededRandom(seed)
    this.random = new seededRandom.SeededRandom(seed + 1_000_000)
    for (let index = 0; index < servers; index += 1) {
      this.servers.push(new Server({ id: `s${index}`, service: 'p', address: `10.0.0.${index}:1`, zone: 'a', slots: 6, state: 'ready', bornMs: 1 }))
    }
    for (let index = 0; index < gateways; index += 1) {
      this.addNode()
    }
  }

  get listed (): readonly routing.RoutedServer[] {
    return this.servers.filter(({ isDown }) => !isDown).map(({ listed }) => listed)
  }

  getServer (id: string): Server {
    return this.servers.find(({ listed }) => listed.id === id) as Server
  }

  addNode (): Node {
    const node = new Node(`g${this.nodes.length}`, this.seed * 1_000 + this.nodes.length, this, this.isPaced)
    this.nodes.push(node)
    for (const { pace } of this.nodes) {
      pace.setOtherGateways(this.nodes.length - 1)
    }
    return node
  }

  /** Lists a server as a new process at all gateways, and loses what ran there. */
  restart (id: string, slowness = 1): void {
    const server = this.getServer(id)
    this.crash(id)
    server.isDown = false
    server.slowness = slowness
    server.listed = { ...server.listed, bornMs: this.nowMs + 1 }
    for (const { pace } of this.nodes) {
      pace.recordReturn(server.listed, 'start', this.nowMs)
    }
  }

  /** Ends a server's process; calls to it fail until it is restarted. */
  crash (id: string): void {
    const server = this.getServer(id)
    for (const { node } of [...server.running, ...server.waiting]) {
      this.lost += 1
      node.choice.finish(id, undefined, this.nowMs)
      node.health.record(id, 'silent', this.nowMs)
    }
    server.running = []
    server.waiting = []
    server.isDown = true
  }

  countSends (server: string, sinceMs: number): number {
    return this.sends.filter(send => send.server === server && send.atMs >= sinceMs).length
  }

  getLargestLoad (server: string, sinceMs: number): number {
    return Math.max(0, ...this.sends.filter(send => send.server === server && send.atMs >= sinceMs).map(({ load }) => load))
  }

  run (forMs: number): void {
    for (const untilMs = this.nowMs + forMs; this.nowMs < untilMs; this.nowMs += 1) {
      for (const server of this.servers) {
        this.serve(server)
      }
      if (this.arrivals.nextUnit() < this.perSecond / 1000) {
        this.send(this.nodes[this.arrivals.nextInteger(this.nodes.length)] as Node)
      }
      this.gossip()
    }
  }

  private send (node: Node): void {
    const tried = new Set<string>()
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const chosen = node.choice.choose(this.servers.map(({ listed }) => listed), tried, true, this.nowMs, this.random.nextUnit())
      if (chosen === undefined) {
        break
      }
      const server = this.getServer(chosen.id)
      tried.add(chosen.id)
      node.pace.recordStart(chosen.id)
      if (server.isDown) {
        node.health.record(chosen.id, 'unreachable', this.nowMs)
        continue
      }
      node.choice.start(chosen.id)
      server.waiting.push({ node, sentMs: this.nowMs, endMs: 0 })
      this.sends.push({ atMs: this.nowMs, node: node.name, server: chosen.id, load: server.running.length + server.waiting.length })
      return
    }
    this.lost += 1
  }

  private serve (server: Server): void {
    const { listed } = server
    const load = { running: server.running.length, waiting: server.waiting.length, slots: listed.slots }
    for (const { node, sentMs } of server.running.filter(({ endMs }) => endMs <= this.nowMs)) {
      const elapsedMs = this.nowMs - sentMs
      node.choice.finish(listed.id, load, this.nowMs)
      node.health.record(listed.id, 'good', this.nowMs, elapsedMs)
      node.pace.recordAnswer(listed, { sentMs, times: { answer: elapsedMs }, load }, this.nowMs)
      this.answered += 1
      this.late += elapsedMs > goalMs ? 1 : 0
    }
    server.running = server.running.filter(({ endMs }) => endMs > this.nowMs)
    while (server.running.length < listed.slots && server.waiting.length > 0) {
      const call = server.waiting.shift() as Call
      call.endMs = this.nowMs + workMs * server.slowness * (0.7 + 0.6 * this.random.nextUnit())
      server.running.push(call)
    }
  }

  private gossip (): void {
    for (const node of this.nodes) {
      for (const { asOfMs, from, paces: statements } of node.received.filter(({ dueMs }) => dueMs <= this.nowMs)) {
        node.pace.merge(statements, from, asOfMs, this.nowMs)
      }
      node.received = node.received.filter(({ dueMs }) => dueMs > this.nowMs)
    }
    if (this.nowMs % gossipPeriodMs !== 0) {
      return
    }
    for (const node of this.nodes) {
      const statements = { ...node.pace.describe(this.nowMs), ...this.invent(node) }
      for (const other of this.nodes) {
        if (other !== node && Object.keys(statements).length > 0) {
          other.received.push({ dueMs: this.nowMs + 100 + this.random.nextInteger(200), asOfMs: this.nowMs, from: node.name, paces: statements })
        }
      }
    }
  }
}
