/**
 * Gateways in virtual time before servers with limits: real beliefs, gossip and permits over a simulated network, with faults.
 */
import * as coldServers from '../../src/gateway/availability/cold_servers.js'
import * as gossipFleets from './gossip_fleet.js'
import * as host from '../../src/host/types.js'
import * as issuerChoices from '../../src/gateway/issuer_choice.js'
import * as messages from '../../src/gateway/peer_messages.js'
import * as peerTables from '../../src/gateway/peer_table.js'
import * as permits from '../../src/gateway/permits.js'
import * as routing from '../../src/contracts/routing.js'
import * as serverLimits from '../../src/gateway/server_limits.js'
import * as types from '../../src/gateway/types.js'

const { networkDelayMs, orderTimeoutMs } = gossipFleets
const answer: types.AnswerFacts = {
  requestId: 'r', isNotRun: false, isSigned: true, isStream: false, load: undefined, idleMs: undefined, isLeaving: false, backOffMs: undefined, limitPerSecond: undefined
}

/** A request that arrived at a server. */
export interface Arrival {
  readonly atMs: number
  readonly gateway: string
}

/** A server that names a limit and does not enforce it. */
export class LimitedServer {
  readonly arrivals: Arrival[] = []
  readonly limitChanges: { readonly atMs: number, readonly perSecond: number | undefined }[] = []
  bornMs = 1
  /** Until when it is cold, and the entries that it has written. */
  coldUntilMs = 0
  writes = 0

  constructor (readonly id: string, readonly zone: string, private readonly clock: host.Clock) {}

  get perSecond (): number | undefined {
    return this.limitChanges.at(-1)?.perSecond
  }

  get entry (): routing.RoutedServer {
    return { id: this.id, service: 'desk', address: '127.0.0.1:1', zone: this.zone, slots: 8, state: 'ready', bornMs: this.bornMs }
  }

  /** The entry in the store, which says how long the server stays cold. */
  get storedEntry (): routing.RoutedServer {
    return { ...this.entry, writes: this.writes, coldLeftMs: Math.max(0, this.coldUntilMs - this.clock.monotonicMs()) }
  }

  nameLimit (perSecond: number | undefined): void {
    this.limitChanges.push({ atMs: this.clock.monotonicMs(), perSecond })
  }
}

/** How the requests of a time ended at the gateways. */
export interface Counts {
  sent: number
  refused: number
}

export class SimulatedGateway extends gossipFleets.GossipNode {
  readonly counts: Counts = { sent: 0, refused: 0 }
  limits: serverLimits.ServerLimits
  permits: permits.Permits
  table: peerTables.PeerTable
  cold: coldServers.ColdServers
  /** Whether it runs a version that neither knows limits nor issues permits. */
  isOld = false
  private choice: issuerChoices.IssuerChoice
  private boots = 0

  constructor (node: string, zone: string, private readonly fleet: PermitFleet) {
    super(node, zone);
    [this.limits, this.choice, this.permits, this.table, this.cold] = this.boot()
  }

  /** Starts with no memory of the past. */
  restart (): void {
    [this.limits, this.choice, this.permits, this.table, this.cold] = this.boot()
    this.readEntries()
    this.isRunning = true
    this.fleet.updateMembers()
  }

  override setOthers (others: readonly SimulatedGateway[]): void {
    this.choice.setOthers(others.map(({ node, zone }) => ({ node, zone })))
    super.setOthers(others)
  }

  /** Reads the entries of all servers from the store. */
  readEntries (): void {
    for (const server of this.fleet.servers) {
      this.cold.recordEntry(server.storedEntry, this.fleet.clock.monotonicMs())
    }
  }

  private boot (): [serverLimits.ServerLimits, issuerChoices.IssuerChoice, permits.Permits, peerTables.PeerTable, coldServers.ColdServers] {
    this.boots += 1
    const { node, zone, fleet, boots } = this
    const { clock } = fleet.system
    const cold = new coldServers.ColdServers(() => fleet.coldProfile, fleet.system.log)
    const limits = new serverLimits.ServerLimits(fleet.system.log, cold)
    const local = new class extends peerTables.LocalGateway {
      override readonly node = node
      override readonly zone = zone
      override readonly boot = String(boots)
      override readonly revision = 1
      override describe (): messages.GatewayStatus {
        return { ...gossipFleets.emptyStatus, limits: limits.listReported(clock.monotonicMs()) }
      }

      override aggregateZone (): messages.GatewayStatus {
        return this.describe()
      }

      override recordSeen (): void {}
      override updatePeer (peer: string, _boot: string, work: messages.GatewayStatus, seenMs: number): void {
        limits.merge(work.limits ?? {}, peer, seenMs, clock.monotonicMs())
      }

      override updateZone (state: messages.ZoneAggregate, asOfMs: number): void {
        limits.merge(state.work.limits ?? {}, state.teller, asOfMs, clock.monotonicMs())
      }

      override forgetZone (): void {}
    }()
    const table = new peerTables.PeerTable(local, clock, fleet.system.log)
    const choice = new issuerChoices.IssuerChoice({ node, zone }, peer => table.isResponsive(peer))
    const channel = new class extends permits.PermitChannel {
      override ask (to: string, order: messages.PermitOrder): Promise<messages.PermitGrant> {
        return fleet.deliver(node, to, orderTimeoutMs, gateway => {
          if (gateway.isOld) {
            throw new Error('Method not found')
          }
          return gateway.permits.decide(order)
        })
      }
    }()
    return [limits, choice, new permits.Permits(node, limits, choice, channel, fleet.system), table, cold]
  }
}

export class PermitFleet extends gossipFleets.GossipFleet<SimulatedGateway> {
  readonly servers: LimitedServer[] = []
  /** What the service's servers take while they are cold; undefined if they never are. */
  coldProfile: ReturnType<coldServers.ColdProfileSource>
  /** Longest time that a request waited until it was sent or refused. */
  longestDecisionMs = 0
  /** Time that a server takes for an answer, in milliseconds. */
  answerMs = 30

  addServer (zone: string): LimitedServer {
    const server = new LimitedServer(`server-${this.servers.length + 1}`, zone, this.clock)
    this.servers.push(server)
    return server
  }

  /** Starts a new process of a server, which is cold for a time; `knows` tells which gateways see its entry at once. */
  startCold (server: LimitedServer, forMs: number, knows: (gateway: SimulatedGateway) => boolean = () => true): void {
    server.bornMs += 1
    server.writes = 0
    server.coldUntilMs = this.clock.monotonicMs() + forMs
    for (const gateway of this.gateways.filter(knows)) {
      gateway.readEntries()
    }
  }

  addGateway (zone: string): SimulatedGateway {
    return this.addNode(new SimulatedGateway(`gateway-${this.gateways.length + 1}`, zone, this))
  }

  /** Sends requests to the gateways at random moments for a time, at a rate in all; `weigh` returns the relative load of a gateway. */
  async load (perSecond: number, forMs: number, weigh: (index: number) => number = () => 1): Promise<void> {
    const endMs = this.clock.monotonicMs() + forMs
    const total = this.gateways.reduce((sum, _, index) => sum + weigh(index), 0)
    const next = (): void => {
      if (this.clock.monotonicMs() >= endMs) {
        return
      }
      let draw = this.random.nextUnit() * total
      const gateway = this.gateways.find((_, index) => (draw -= weigh(index)) < 0) as SimulatedGateway
      gateway.run(() => {
        this.serve(gateway).catch(() => {})
      })
      this.clock.after(-Math.log(1 - this.random.nextUnit()) * 1000 / perSecond, next)
    }
    this.clock.after(0, next)
    await this.clock.advance(forMs)
  }

  /** Sends a call for which no permit was taken, as releases of memory are. */
  callUnpermitted (gateway: SimulatedGateway, server: LimitedServer): void {
    gateway.run(() => this.send(gateway, server))
  }

  /** Serves a request as a plain call: at the first server, in random order, for which there is a permit. */
  private async serve (gateway: SimulatedGateway): Promise<void> {
    const { permits: permitBook } = gateway
    const arrivedMs = this.clock.monotonicMs()
    const start = this.random.nextInteger(this.servers.length)
    for (const offset of this.servers.keys()) {
      const server = this.servers[(start + offset) % this.servers.length] as LimitedServer
      if ((await permitBook.take(server.entry)).kind === 'granted') {
        this.recordDecision(arrivedMs)
        gateway.run(() => this.send(gateway, server))
        return
      }
    }
    this.recordDecision(arrivedMs)
    gateway.counts.refused += 1
  }

  private recordDecision (arrivedMs: number): void {
    this.longestDecisionMs = Math.max(this.longestDecisionMs, this.clock.monotonicMs() - arrivedMs)
  }

  private send (gateway: SimulatedGateway, server: LimitedServer): void {
    gateway.counts.sent += 1
    const { limits, permits: permitBook } = gateway
    const sentMs = this.clock.monotonicMs()
    permitBook.recordSend(server.entry)
    this.clock.after(networkDelayMs, () => {
      server.arrivals.push({ atMs: this.clock.monotonicMs(), gateway: gateway.node })
      const { entry } = server
      this.clock.after(this.answerMs, () => {
        const limitPerSecond = server.perSecond
        gateway.run(() => limits.recordAnswer(entry, { ...answer, limitPerSecond }, sentMs, this.clock.monotonicMs()))
      })
    })
  }
}
