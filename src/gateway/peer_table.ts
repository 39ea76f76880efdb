/**
 * State of the other gateways, and the gossip messages to them: gateways of one zone exchange their own states, zones exchange
 * aggregates. Performs no input or output.
 */
import * as exchangePlans from './exchange_plan.js'
import * as host from '../host/types.js'
import * as members from './members.js'
import * as messages from './peer_messages.js'

/** The local gateway: the source of its gossip and the receiver of that of others. Times are on the monotonic clock, in milliseconds. */
export abstract class LocalGateway {
  abstract readonly node: string
  abstract readonly zone: string
  /** Identifier of the process. */
  abstract readonly boot: string
  /** Revision of the store replica. */
  abstract readonly revision: number
  abstract describe (): messages.GatewayStatus
  /** Returns the aggregate of this gateway and others of its zone. */
  abstract aggregateZone (others: readonly string[]): messages.GatewayStatus
  /** Records that another gateway was alive at the time. */
  abstract recordSeen (node: string, atMs: number): void
  /** Replaces the state of one gateway. */
  abstract updatePeer (node: string, boot: string, work: messages.GatewayStatus, lastSeenMs: number, isOwnZone: boolean): void
  /** Replaces the aggregate of another zone, which includes the states of the gateways listed in it. */
  abstract updateZone (state: messages.ZoneAggregate, asOfMs: number): void
  /** Drops the aggregate of a zone whose gateways now report individually. */
  abstract forgetZone (zone: string): void
}

export interface Peer extends exchangePlans.Partner {
  readonly address: string
  lastSeenMs: number
  lastExchangeMs: number
  aggregatesSentMs: number
  isCalling: boolean
  /** Whether there are news for it that do not wait for the next period. */
  hasUrgentNews: boolean
  isCopying: boolean
  isResponsive: boolean
}

interface ZoneEntry extends exchangePlans.ReceivedAggregate {
  readonly state: messages.ZoneAggregate
}

export class PeerTable {
  private readonly peers = new Map<string, Peer>()
  private readonly zones = new Map<string, ZoneEntry>()
  private readonly plan: exchangePlans.ExchangePlan
  private sequence = 0

  constructor (private readonly gateway: LocalGateway, private readonly clock: host.Clock, private readonly log: host.Log) {
    this.plan = new exchangePlans.ExchangePlan(gateway.node, gateway.zone)
  }

  /** Time without gossip after which a gateway counts as unresponsive, in milliseconds. */
  get unresponsiveAfterMs (): number {
    return this.plan.unresponsiveAfterMs
  }

  /** Time between two exchanges with a gateway, in milliseconds. */
  get periodMs (): number {
    return this.plan.periodMs
  }

  find (node: string): Peer | undefined {
    return this.peers.get(node)
  }

  /** Tells whether a gateway has been seen recently, by itself or by the relay of its zone. */
  isResponsive (node: string): boolean {
    return this.now() - (this.peers.get(node)?.lastSeenMs ?? -Infinity) < this.unresponsiveAfterMs
  }

  /** Names of the gateways that were seen within the time in milliseconds. */
  listSeen (withinMs: number): readonly string[] {
    const nowMs = this.now()
    const seen: string[] = []
    for (const [node, peer] of this.peers) {
      if (peer.isResponsive && nowMs - peer.lastSeenMs <= withinMs) {
        seen.push(node)
      }
    }
    return seen
  }

  /** Sets the other gateways, by name. */
  setMembers (found: ReadonlyMap<string, members.Member>): void {
    for (const [node, peer] of this.peers) {
      if (found.get(node)?.address !== peer.address) {
        this.peers.delete(node)
      }
    }
    for (const [node, { address, zone }] of found) {
      if (!this.peers.has(node)) {
        this.peers.set(node, {
          node,
          address,
          zone,
          lastSeenMs: -Infinity,
          lastExchangeMs: -Infinity,
          aggregatesSentMs: -Infinity,
          isCalling: false,
          hasUrgentNews: false,
          isCopying: false,
          isResponsive: false
        })
      }
    }
    this.plan.setPartners([...this.peers.values()])
  }

  /** Returns the gateways with which an exchange is due. */
  listDue (): Peer[] {
    const due: Peer[] = []
    const nodes = new Set(this.plan.listDue(this.now()).map(({ node }) => node))
    for (const peer of this.peers.values()) {
      if ((nodes.has(peer.node) || peer.hasUrgentNews) && !peer.isCalling) {
        due.push(peer)
      }
    }
    return due
  }

  /** Makes an exchange due with each responsive gateway to which this one speaks directly. */
  expedite (): void {
    const nowMs = this.now()
    for (const peer of this.peers.values()) {
      peer.hasUrgentNews ||= peer.isResponsive && this.plan.isDirect(peer, nowMs)
    }
  }

  /** Creates the gossip message to a gateway: the aggregate of the own zone, or the own state with the aggregates to be forwarded. */
  createMessage (to: string): messages.GossipMessage {
    const { node, zone, boot, revision } = this.gateway
    const peer = this.peers.get(to)
    const own = { node, zone, boot, revision }
    if (peer === undefined) {
      return { own: { ...own, work: this.gateway.describe() }, zones: [] }
    }
    const nowMs = this.now()
    peer.hasUrgentNews = false
    if (!this.isSameZone(peer.zone) && this.plan.isRelay(nowMs)) {
      return { own, zones: [{ ageMs: 0, state: this.createAggregate(nowMs) }] }
    }
    const zones: messages.GossipMessage['zones'] = []
    for (const aggregate of this.zones.values()) {
      if (this.plan.shouldForward(aggregate, peer)) {
        zones.push({ ageMs: Math.round(nowMs - aggregate.asOfMs), state: aggregate.state })
      }
    }
    peer.aggregatesSentMs = nowMs
    return { own: { ...own, work: this.gateway.describe() }, zones }
  }

  /** Applies a gossip message; returns its sender if that is a member. */
  receive (message: messages.GossipMessage): Peer | undefined {
    const nowMs = this.now()
    const { own } = message
    for (const { ageMs, state } of message.zones) {
      this.applyAggregate(state, nowMs - ageMs, state.zone === own.zone)
    }
    this.applyState(own, nowMs)
    const sender = this.peers.get(own.node)
    if (sender !== undefined) {
      sender.lastExchangeMs = nowMs
    }
    return sender
  }

  /** Records that a gateway did not answer. */
  recordFailure (peer: Peer, error: unknown): void {
    const silentMs = this.now() - peer.lastSeenMs
    if (peer.isResponsive && silentMs > this.unresponsiveAfterMs) {
      peer.isResponsive = false
      this.log.warn('gateway unresponsive', { gateway: peer.node, reason: String(error), silentMs: Math.round(silentMs) })
    }
  }

  private createAggregate (nowMs: number): messages.ZoneAggregate {
    const { node, zone, boot } = this.gateway
    const heard: Record<string, number> = { [node]: 0 }
    const others: string[] = []
    for (const peer of this.peers.values()) {
      if (this.isSameZone(peer.zone) && nowMs - peer.lastSeenMs < this.unresponsiveAfterMs) {
        heard[peer.node] = Math.round(nowMs - peer.lastSeenMs)
        others.push(peer.node)
      }
    }
    this.sequence += 1
    return { zone, teller: node, boot, sequence: this.sequence, heard, work: this.gateway.aggregateZone(others) }
  }

  private applyState (state: messages.PeerState, nowMs: number): void {
    if (state.node === this.gateway.node) {
      return
    }
    this.recordSeen(state.node, nowMs)
    if (state.work === undefined || this.isInAggregate(state.node, state.zone, nowMs)) {
      return
    }
    if (!this.isSameZone(state.zone) && !this.plan.isFresh(this.zones.get(state.zone), nowMs)) {
      this.gateway.forgetZone(state.zone)
    }
    this.gateway.updatePeer(state.node, state.boot, state.work, nowMs, this.isSameZone(state.zone))
  }

  /** Stores the aggregate of a zone unless a newer one is known. */
  private applyAggregate (state: messages.ZoneAggregate, atMs: number, isDirect: boolean): void {
    const nowMs = this.now()
    if (this.isSameZone(state.zone) || !this.plan.isNewer(this.zones.get(state.zone), state, nowMs)) {
      return
    }
    const { teller, boot, sequence } = state
    this.zones.set(state.zone, { teller, boot, sequence, asOfMs: atMs, receivedMs: nowMs, isDirect, state })
    for (const [node, ageMs] of Object.entries(state.heard)) {
      this.recordSeen(node, atMs - ageMs)
    }
    this.gateway.updateZone(state, atMs)
  }

  /** Tells whether the state of a gateway is included in the latest aggregate of its zone. */
  private isInAggregate (node: string, zone: string, nowMs: number): boolean {
    const aggregate = this.zones.get(zone)
    const ageMs = aggregate?.state.heard[node]
    return aggregate !== undefined && ageMs !== undefined && nowMs - aggregate.asOfMs + ageMs < this.unresponsiveAfterMs
  }

  private recordSeen (node: string, atMs: number): void {
    this.gateway.recordSeen(node, atMs)
    const peer = this.peers.get(node)
    if (peer === undefined) {
      return
    }
    if (!peer.isResponsive) {
      peer.isResponsive = true
      this.log.info('gateway responsive', { gateway: node, address: peer.address })
    }
    peer.lastSeenMs = Math.max(atMs, peer.lastSeenMs)
  }

  private isSameZone (zone: string): boolean {
    return zone === this.gateway.zone
  }

  private now (): number {
    return this.clock.monotonicMs()
  }
}
