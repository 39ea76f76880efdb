/**
 * State of the other gateways, and the gossip messages to them: gateways of one zone exchange their own states, zones exchange
 * aggregates. Performs no input or output.
 */
import * as exchangePlans from './exchange_plan.js'
import * as host from '../host/types.js'
import * as members from './members.js'
import * as messages from './peer_messages.js'

/** The local gateway: the source of its gossip and the receiver of that of others. Times are on the monotonic clock, in milliseconds. */
export abstract class PeerParty {
  abstract readonly node: string
  abstract readonly zone: string
  /** Identifier of the process. */
  abstract readonly boot: string
  /** Revision of the store replica. */
  abstract readonly revision: number
  abstract describe (): messages.Work
  /** Returns the aggregate of this gateway and others of its zone. */
  abstract describeZone (others: readonly string[]): messages.Work
  /** Records that another gateway was alive at the time. */
  abstract noteHeard (node: string, heardMs: number): void
  /** Replaces the state of one gateway. */
  abstract hear (node: string, boot: string, work: messages.Work, heardMs: number, isOwnZone: boolean): void
  /** Replaces the aggregate of another zone, which includes the states of the gateways listed in it. */
  abstract hearZone (state: messages.ZoneState, heardMs: number): void
  /** Drops the aggregate of a zone whose gateways now report individually. */
  abstract forgetZone (zone: string): void
}

export interface Peer extends exchangePlans.Partner {
  readonly address: string
  heardMs: number
  exchangedMs: number
  toldMs: number
  isCalling: boolean
  isCopying: boolean
  wasHeard: boolean
}

interface Zone extends exchangePlans.ZoneView {
  readonly state: messages.ZoneState
}

export class PeerTable {
  private readonly peers = new Map<string, Peer>()
  private readonly zones = new Map<string, Zone>()
  private readonly plan: exchangePlans.ExchangePlan
  private sequence = 0

  constructor (private readonly party: PeerParty, private readonly clock: host.Clock, private readonly log: host.Log) {
    this.plan = new exchangePlans.ExchangePlan(party.node, party.zone)
  }

  /** Time without gossip after which a gateway counts as unresponsive, in milliseconds. */
  get silenceMs (): number {
    return this.plan.silenceMs
  }

  /** Time between two exchanges with a gateway, in milliseconds. */
  get periodMs (): number {
    return this.plan.periodMs
  }

  /** Names of the gateways that were seen within the time in milliseconds. */
  listHeard (withinMs: number): readonly string[] {
    const nowMs = this.now()
    const heard: string[] = []
    for (const [node, peer] of this.peers) {
      if (peer.wasHeard && nowMs - peer.heardMs <= withinMs) {
        heard.push(node)
      }
    }
    return heard
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
          heardMs: -Infinity,
          exchangedMs: -Infinity,
          toldMs: -Infinity,
          isCalling: false,
          isCopying: false,
          wasHeard: false
        })
      }
    }
    this.plan.setPartners([...this.peers.values()])
  }

  /** Returns the gateways with which an exchange is due. */
  listDue (): Peer[] {
    const due: Peer[] = []
    for (const { node } of this.plan.listDue(this.now())) {
      const peer = this.peers.get(node)
      if (peer !== undefined && !peer.isCalling) {
        due.push(peer)
      }
    }
    return due
  }

  /** Creates the gossip message to a gateway: the aggregate of the own zone, or the own state with the aggregates to be forwarded. */
  tell (to: string): messages.PeerNews {
    const { node, zone, boot, revision } = this.party
    const peer = this.peers.get(to)
    const own = { node, zone, boot, revision }
    if (peer === undefined) {
      return { own: { ...own, work: this.party.describe() }, zones: [] }
    }
    const nowMs = this.now()
    if (!this.isNear(peer.zone) && this.plan.isRelay(nowMs)) {
      return { own, zones: [{ ageMs: 0, state: this.sumUp(nowMs) }] }
    }
    const zones: messages.PeerNews['zones'] = []
    for (const sum of this.zones.values()) {
      if (this.plan.isToPass(sum, peer)) {
        zones.push({ ageMs: Math.round(nowMs - sum.heardMs), state: sum.state })
      }
    }
    peer.toldMs = nowMs
    return { own: { ...own, work: this.party.describe() }, zones }
  }

  /** Applies a gossip message; returns its sender if that is a member. */
  take (news: messages.PeerNews): Peer | undefined {
    const nowMs = this.now()
    const { own } = news
    for (const { ageMs, state } of news.zones) {
      this.hearZone(state, nowMs - ageMs, state.zone === own.zone)
    }
    this.hear(own, nowMs)
    const sender = this.peers.get(own.node)
    if (sender !== undefined) {
      sender.exchangedMs = nowMs
    }
    return sender
  }

  /** Records that a gateway did not answer. */
  noteSilence (peer: Peer, error: unknown): void {
    const silentMs = this.now() - peer.heardMs
    if (peer.wasHeard && silentMs > this.silenceMs) {
      peer.wasHeard = false
      this.log.warn('gateway unresponsive', { gateway: peer.node, reason: String(error), silentMs: Math.round(silentMs) })
    }
  }

  private sumUp (nowMs: number): messages.ZoneState {
    const { node, zone, boot } = this.party
    const heard: Record<string, number> = { [node]: 0 }
    const others: string[] = []
    for (const peer of this.peers.values()) {
      if (this.isNear(peer.zone) && nowMs - peer.heardMs < this.silenceMs) {
        heard[peer.node] = Math.round(nowMs - peer.heardMs)
        others.push(peer.node)
      }
    }
    this.sequence += 1
    return { zone, teller: node, boot, sequence: this.sequence, heard, work: this.party.describeZone(others) }
  }

  private hear (state: messages.PeerState, nowMs: number): void {
    if (state.node === this.party.node) {
      return
    }
    this.noteHeard(state.node, nowMs)
    if (state.work === undefined || this.isInSum(state.node, state.zone, nowMs)) {
      return
    }
    if (!this.isNear(state.zone) && !this.plan.isFresh(this.zones.get(state.zone), nowMs)) {
      this.party.forgetZone(state.zone)
    }
    this.party.hear(state.node, state.boot, state.work, nowMs, this.isNear(state.zone))
  }

  /** Stores the aggregate of a zone unless a newer one is known. */
  private hearZone (state: messages.ZoneState, heardMs: number, isDirect: boolean): void {
    const nowMs = this.now()
    if (this.isNear(state.zone) || !this.plan.isNews(this.zones.get(state.zone), state, nowMs)) {
      return
    }
    const { teller, boot, sequence } = state
    this.zones.set(state.zone, { teller, boot, sequence, heardMs, learnedMs: nowMs, isDirect, state })
    for (const [node, ageMs] of Object.entries(state.heard)) {
      this.noteHeard(node, heardMs - ageMs)
    }
    this.party.hearZone(state, heardMs)
  }

  /** Tells whether the state of a gateway is included in the latest aggregate of its zone. */
  private isInSum (node: string, zone: string, nowMs: number): boolean {
    const sum = this.zones.get(zone)
    const ageMs = sum?.state.heard[node]
    return sum !== undefined && ageMs !== undefined && nowMs - sum.heardMs + ageMs < this.silenceMs
  }

  private noteHeard (node: string, heardMs: number): void {
    this.party.noteHeard(node, heardMs)
    const peer = this.peers.get(node)
    if (peer === undefined) {
      return
    }
    if (!peer.wasHeard) {
      peer.wasHeard = true
      this.log.info('gateway responsive', { gateway: node, address: peer.address })
    }
    peer.heardMs = Math.max(heardMs, peer.heardMs)
  }

  private isNear (zone: string): boolean {
    return zone === this.party.zone
  }

  private now (): number {
    return this.clock.monotonicMs()
  }
}
