/**
 * Load that the gateways have committed to the engines, and the choice of an engine for a generation.
 *
 * A gateway counts its own requests immediately and receives the committed load of the other gateways by gossip. Engines
 * make the final decision by granting or refusing a reservation. Performs no input or output.
 */
import * as capacityParts from './pace/capacity_parts.js'
import * as decodeSpeeds from './decode_speed/decode_speeds.js'
import type * as eventIntervals from './decode_speed/event_intervals.js'
import * as healths from './server_health.js'
import * as host from '../host/types.js'
import * as routing from '../contracts/routing.js'
import * as splits from './stage_split.js'
import * as arrivals from './urgency/arrival_meter.js'

/** Prefill speed assumed until the first prefill has been measured, in tokens per millisecond. */
const assumedPrefillTokensPerMs = 30
/** Weight of a measured speed above the current estimate; a prompt that shared its engine with later ones appears slower than it was. */
const fasterRateWeight = 0.3
/** Weight of a measured speed below the current estimate: an engine that has slowed down is still detected within some ten prompts. */
const slowerRateWeight = 0.08
/** Lower bound of a measured speed, in tokens per millisecond. */
const slowestPrefillTokensPerMs = 1
/** Initial estimate of the time between two tokens, in milliseconds, and its weight in tokens. */
const assumedTokenIntervalMs = 6.5
const assumedAnswerTokens = 500
/** Factor by which the weight of earlier answers decays with each further one: some thirty answers have influence. */
const paceDecayFactor = 0.97
/** Fraction of an engine's memory kept free for the growth of running requests when another one is placed. */
const memoryHeadroomPart = 0.02
/** Time after which the committed load of a gateway without gossip no longer counts, in milliseconds. */
const peerExpiryMs = 2_000
/** Preference for engines in the gateway's own zone, as a fraction of an engine's memory: worth some one request, because traffic between zones is billed by the byte. */
const ownZonePreference = 0.15
/** Extra time accepted for a prefill in the zone of the decode server, in milliseconds: the time of a transfer between zones, which is paid for twice. */
const crossZonePenaltyMs = 30
/** Random jitter of the choice for each other gateway, as a fraction of an engine: gateways choose concurrently before they learn of each other's choices. */
const jitterPerGateway = 0.03
/** Upper bound of the jitter, as a fraction of an engine: some two requests. */
const maximumJitter = 0.8

/** Load that one gateway has committed to one engine. */
export interface CommittedLoad {
  /** Requests in decode, or about to start. */
  readonly runs: number
  /** Memory that they use, including expected outputs, in tokens. */
  readonly tokens: number
  /** Prompt tokens not prefilled yet. */
  readonly unread: number
}

/** Room at a decode server. */
export interface DecodeRoom {
  readonly usedTokens: number
  readonly freeTokens: number
  readonly freeSlots: number
}

/**
 * Why an engine is not considered: its stage or state, a change of its stage, a pause after failures, its refusal of work a moment ago, its pace,
 * a lack of slots or memory, or that it was tried before.
 */
export type EngineObstacle =
  'other_stage' | 'not_ready' | 'switching' | 'paused' | 'refused_lately' | 'paced' | 'no_slot' | 'no_memory' | 'tried'

/** What a decode server offers a run, in tokens and slots; recovering servers offer a part. */
export interface OfferedRoom {
  readonly runs: number
  readonly usedTokens: number
  readonly memoryTokens: number
  readonly slots: number
  /** Less what is kept for growth and for more urgent runs. */
  readonly freeTokens: number
  readonly headroomTokens: number | undefined
  readonly part: number
  readonly isHeld: boolean
  /** Time between events relative to the usual one; 1 where it is not measured. */
  readonly slowness: number
}

/** A decode server as the choice rates it: the higher a rating, the better; an obstacle rules it out. */
export interface InspectedDecode {
  readonly server: routing.RoutedServer
  readonly room: OfferedRoom | undefined
  readonly rating: number | EngineObstacle
}

/** The estimated end of a prefill, and what counts in addition, in milliseconds. */
export interface PrefillTime {
  readonly readyMs: number
  readonly distanceMs: number
}

export interface InspectedPrefill {
  readonly server: routing.RoutedServer
  readonly time: PrefillTime
  /** What counts in addition for a recovering server, in milliseconds. */
  readonly paceMs: number
  readonly unreadTokens: number
  readonly obstacle: EngineObstacle | undefined
}

/** Engine state that another gateway reports. */
export interface PeerEngines {
  readonly bookings: Readonly<Record<string, CommittedLoad>>
  readonly offered: Readonly<Record<string, splits.OfferedLoad>>
  readonly switching: string[]
  /** Arrivals at ranked services; absent where there are none, and from gateways that do not know them. */
  readonly arrivals?: Readonly<Record<string, arrivals.ArrivalRate[]>> | undefined
  /** Times between events, by server; absent where they are not measured, and from gateways that do not know them. */
  readonly intervals?: Readonly<Record<string, eventIntervals.IntervalSum>> | undefined
}

/** Exponentially decaying sums over completed answers. */
interface DecodePace {
  readonly tokens: number
  readonly elapsedMs: number
}

/** What a placement at a decode server must leave, and what it may exceed. */
export interface PlacementTerms {
  /** Memory to be left free, in tokens, by server; counts as one run. */
  readonly headroom?: ReadonlyMap<string, number> | undefined
  readonly mayExceedPace?: boolean | undefined
}

interface Decode {
  readonly server: string
  readonly tokens: number
}

interface Prefill {
  readonly server: string
  readonly tokens: number
  readonly startedMs: number
  readonly aheadTokens: number
}

/** A stage change reported by the server itself. */
interface ObservedSwitch {
  /** Stage in the server list at that time; once the list shows another one, the change is complete. */
  readonly from: routing.EngineStage | undefined
  readonly untilMs: number
}

const noCommittedLoad: CommittedLoad = { runs: 0, tokens: 0, unread: 0 }
const noOfferedLoad: splits.OfferedLoad = { prefill: 0, decode: 0 }

interface Peer {
  readonly lastSeenMs: number
  readonly bookings: ReadonlyMap<string, CommittedLoad>
  readonly offered: Readonly<Record<string, splits.OfferedLoad>>
  readonly switching: ReadonlySet<string>
  readonly arrivals: Readonly<Record<string, arrivals.ArrivalRate[]>>
}

export class EngineFleet {
  readonly speeds: decodeSpeeds.DecodeSpeeds
  private readonly decodes = new Map<string, Decode>()
  private readonly paces = new Map<string, DecodePace>()
  private readonly prefills = new Map<string, Prefill>()
  private readonly rates = new Map<string, number>()
  /** Time until which a server is excluded, in milliseconds. */
  private readonly refusals = new Map<string, number>()
  private readonly peers = new Map<string, Peer>()
  private readonly ownLoad = new Map<string, CommittedLoad>()
  private readonly loadMeters = new Map<string, splits.LoadMeter>()
  private readonly arrivalMeters = new Map<string, arrivals.ArrivalMeter>()
  private switching: ReadonlySet<string> = new Set()
  /** Servers observed to be changing their stage, whoever ordered it. */
  private readonly observedSwitching = new Map<string, ObservedSwitch>()
  private otherGateways = 0

  constructor (
    private readonly zone: string,
    private readonly health: healths.ServerHealth,
    private readonly random: host.Random,
    private readonly parts: capacityParts.CapacityParts = new capacityParts.FullCapacity()
  ) {
    this.speeds = new decodeSpeeds.DecodeSpeeds(random)
  }

  bookDecode (run: string, server: string, tokens: number): void {
    if (this.decodes.get(run)?.server !== server) {
      this.parts.recordStart(server)
    }
    this.releaseDecode(run)
    this.decodes.set(run, { server, tokens })
    this.addOwnLoad(server, 1, tokens, 0)
  }

  releaseDecode (run: string): void {
    const decode = this.decodes.get(run)
    if (decode !== undefined) {
      this.decodes.delete(run)
      this.addOwnLoad(decode.server, -1, -decode.tokens, 0)
    }
  }

  /** Updates the decode speed of a service's engines from a complete answer: the expected output, and the time it took. */
  recordAnswer (service: string, expectedTokens: number, elapsedMs: number): void {
    const { tokens, elapsedMs: knownMs } = this.getPace(service)
    this.paces.set(service, { tokens: tokens * paceDecayFactor + expectedTokens, elapsedMs: knownMs * paceDecayFactor + elapsedMs })
  }

  /** Average time between two tokens of a service's engines, in milliseconds. */
  getTokenIntervalMs (service: string): number {
    const { tokens, elapsedMs } = this.getPace(service)
    return elapsedMs / tokens
  }

  bookPrefill (run: string, server: string, tokens: number, nowMs: number): void {
    this.prefills.set(run, { server, tokens, startedMs: nowMs, aheadTokens: this.getPendingPromptTokens(server, nowMs) })
    this.addOwnLoad(server, 0, 0, tokens)
    this.parts.recordStart(server)
  }

  /** Ends a prefill; a successful one updates the estimated speed of its engine. */
  releasePrefill (run: string, nowMs: number, succeeded: boolean): void {
    const prefill = this.prefills.get(run)
    if (prefill === undefined) {
      return
    }
    this.prefills.delete(run)
    this.addOwnLoad(prefill.server, 0, 0, -prefill.tokens)
    const elapsedMs = nowMs - prefill.startedMs
    if (succeeded && elapsedMs > 0) {
      const measured = Math.max(slowestPrefillTokensPerMs, (prefill.tokens + prefill.aheadTokens) / elapsedMs)
      const before = this.rates.get(prefill.server) ?? assumedPrefillTokensPerMs
      this.rates.set(prefill.server, before + (measured - before) * (measured > before ? fasterRateWeight : slowerRateWeight))
    }
  }

  /** Sets the number of other gateways that choose concurrently. */
  setOtherGateways (count: number): void {
    this.otherGateways = count
  }

  /** Drops the state received under a name. */
  forgetPeer (peer: string): void {
    this.peers.delete(peer)
    this.speeds.forgetPeer(peer)
  }

  /** Replaces the state of another gateway, or the aggregate of all gateways of another zone. */
  updatePeer (peer: string, state: PeerEngines, nowMs: number): void {
    this.speeds.updatePeer(peer, state.intervals, nowMs)
    this.peers.set(peer, {
      lastSeenMs: nowMs,
      bookings: new Map(Object.entries(state.bookings)),
      offered: state.offered,
      switching: new Set(state.switching),
      arrivals: state.arrivals ?? {}
    })
  }

  /** Records the load of a generation that a caller requests, whether or not it is served. */
  recordOffered (service: string, prefillMs: number, memoryMs: number, nowMs: number): void {
    const meter = this.loadMeters.get(service) ?? new splits.LoadMeter()
    this.loadMeters.set(service, meter)
    meter.record(prefillMs, memoryMs, nowMs)
  }

  /** Records that a generation of a ranked service has arrived, with the memory that it needs in tokens. */
  recordArrival (service: string, level: number, tokens: number, nowMs: number): void {
    const meter = this.arrivalMeters.get(service) ?? new arrivals.ArrivalMeter()
    this.arrivalMeters.set(service, meter)
    meter.record(level, tokens, nowMs)
  }

  /** Arrival rates of a service at all gateways, by level of urgency. */
  getArrivals (service: string, nowMs: number): arrivals.LeveledArrivals {
    let sum: arrivals.LeveledArrivals = this.arrivalMeters.get(service)?.read(nowMs) ?? []
    for (const peer of this.peers.values()) {
      const told = nowMs - peer.lastSeenMs > peerExpiryMs ? undefined : peer.arrivals[service]
      sum = told === undefined ? sum : arrivals.addArrivals(sum, told)
    }
    return sum
  }

  /** Arrival rates at this gateway, by ranked service; undefined if there are none. */
  private listArrivals (nowMs: number): Record<string, arrivals.ArrivalRate[]> | undefined {
    const listed: Record<string, arrivals.ArrivalRate[]> = {}
    for (const [service, meter] of this.arrivalMeters) {
      const rates = meter.read(nowMs)
      if (rates.length > 0) {
        listed[service] = rates
      }
    }
    return Object.keys(listed).length === 0 ? undefined : listed
  }

  /** Load offered by the callers of this gateway, by service. */
  listOffered (nowMs: number): Record<string, splits.OfferedLoad> {
    const offered: Record<string, splits.OfferedLoad> = {}
    for (const [service, meter] of this.loadMeters) {
      offered[service] = meter.read(nowMs)
    }
    return offered
  }

  /** Load offered to a service by the callers of all gateways. */
  getOffered (service: string, nowMs: number): splits.OfferedLoad {
    let sum = this.loadMeters.get(service)?.read(nowMs) ?? noOfferedLoad
    for (const peer of this.peers.values()) {
      const offered = nowMs - peer.lastSeenMs > peerExpiryMs ? undefined : peer.offered[service]
      sum = offered === undefined ? sum : addOfferedLoads(sum, offered)
    }
    return sum
  }

  /** Sets the servers that are changing their stage by order of this gateway. */
  setSwitching (servers: readonly string[]): void {
    this.switching = new Set(servers)
  }

  /**
   * Records that a server is changing its stage. This gateway and those that receive its gossip exclude the server for a time in
   * milliseconds, or until the server list shows the new stage.
   */
  recordSwitching (server: routing.RoutedServer, forMs: number, nowMs: number): void {
    this.observedSwitching.set(server.id, { from: server.stage, untilMs: nowMs + forMs })
  }

  /** Excludes a server for a time, in milliseconds, after it refused work. */
  recordRefusal (server: string, forMs: number, nowMs: number): void {
    this.refusals.set(server, Math.max(this.refusals.get(server) ?? 0, nowMs + forMs))
  }

  forgetServer (server: string): void {
    this.refusals.delete(server)
    this.observedSwitching.delete(server)
    this.rates.delete(server)
    this.speeds.forgetServer(server)
  }

  /** Returns the engine state of this gateway. */
  describe (nowMs: number): PeerEngines {
    const bookings: Record<string, CommittedLoad> = {}
    for (const [server, booking] of this.ownLoad) {
      if (booking.runs > 0 || booking.unread > 0) {
        bookings[server] = booking
      }
    }
    return { bookings, offered: this.listOffered(nowMs), switching: this.listSwitching(nowMs), arrivals: this.listArrivals(nowMs), intervals: this.speeds.describe(nowMs) }
  }

  private listSwitching (nowMs: number): string[] {
    const found: string[] = []
    for (const [server, { untilMs }] of this.observedSwitching) {
      if (untilMs > nowMs) {
        found.push(server)
      } else {
        this.observedSwitching.delete(server)
      }
    }
    return [...new Set([...this.switching, ...found])]
  }

  /** Returns the sum of the engine states of this gateway and of the named ones. */
  aggregate (names: readonly string[], nowMs: number): PeerEngines {
    const own = this.describe(nowMs)
    const bookings: Record<string, CommittedLoad> = { ...own.bookings }
    const offered: Record<string, splits.OfferedLoad> = { ...own.offered }
    const switching = new Set(own.switching)
    const rates: Record<string, arrivals.ArrivalRate[]> = { ...own.arrivals }
    for (const name of names) {
      const peer = this.peers.get(name)
      if (peer === undefined || nowMs - peer.lastSeenMs > peerExpiryMs) {
        continue
      }
      for (const [server, booking] of peer.bookings) {
        bookings[server] = addCommittedLoads(bookings[server] ?? noCommittedLoad, booking)
      }
      for (const [service, load] of Object.entries(peer.offered)) {
        offered[service] = addOfferedLoads(offered[service] ?? noOfferedLoad, load)
      }
      for (const server of peer.switching) {
        switching.add(server)
      }
      for (const [service, told] of Object.entries(peer.arrivals)) {
        rates[service] = arrivals.addArrivals(rates[service] ?? [], told)
      }
    }
    return { bookings, offered, switching: [...switching], arrivals: Object.keys(rates).length === 0 ? undefined : rates, intervals: this.speeds.aggregate(names, nowMs) }
  }

  /**
   * Returns the engines whose estimated free capacity holds the tokens and leaves the headroom, the one with the most free memory first.
   * Recovering servers have a part of their capacity, at least for one run, unless their pace may be exceeded.
   */
  rankDecode (
    servers: readonly routing.RoutedServer[], profile: routing.EngineProfile, tokens: number, nowMs: number,
    terms: PlacementTerms = {}
  ): routing.RoutedServer[] {
    const ranked: { readonly server: routing.RoutedServer, readonly free: number }[] = []
    const slowness = this.speeds.getSlowness(servers, nowMs)
    for (const server of servers) {
      if (server.stage !== 'decode' || !this.isUsable(server, nowMs)) {
        continue
      }
      const rating = this.rateDecode(server, profile, tokens, nowMs, terms, this.parts, slowness)
      if (typeof rating === 'number') {
        ranked.push({ server, free: rating + this.drawJitter() })
      }
    }
    ranked.sort((a, b) => b.free - a.free)
    return ranked.map(({ server }) => server)
  }

  /** Returns how `rankDecode` would rate each server, without the random jitter. Changes nothing. */
  inspectDecode (
    servers: readonly routing.RoutedServer[], profile: routing.EngineProfile, tokens: number, nowMs: number,
    terms: PlacementTerms = {}
  ): readonly InspectedDecode[] {
    const parts = this.parts.observe()
    const slowness = this.speeds.observeSlowness(servers, nowMs)
    return servers.map(server => {
      const rooms: OfferedRoom[] = []
      const rating = this.rateDecode(server, profile, tokens, nowMs, terms, parts, slowness, room => rooms.push(room))
      const obstacle = server.stage === 'decode' ? this.findObstacle(server, nowMs) : 'other_stage'
      return { server, room: rooms[0], rating: obstacle ?? rating }
    })
  }

  /** Upper bound of the random jitter, as a fraction of an engine. */
  getJitter (): number {
    return Math.min(maximumJitter, jitterPerGateway * this.otherGateways)
  }

  /** Age of the oldest message of another gateway that counts for a server's load, in milliseconds; undefined if there is none. */
  getLoadAgeMs (server: string, nowMs: number): number | undefined {
    let oldestMs: number | undefined
    for (const { lastSeenMs, bookings } of this.peers.values()) {
      if (nowMs - lastSeenMs <= peerExpiryMs && bookings.has(server)) {
        oldestMs = Math.max(oldestMs ?? 0, nowMs - lastSeenMs)
      }
    }
    return oldestMs
  }

  /**
   * Rates a usable decode server for a run that needs so many tokens. `report`, which explanations set, is told the room: decisions rate each
   * server for each waiting request, and an object for each rating took 5 to 8 % of their time.
   */
  private rateDecode (
    server: routing.RoutedServer, profile: routing.EngineProfile, tokens: number, nowMs: number, terms: PlacementTerms,
    parts: capacityParts.CapacityParts, slownessOfServers: ReadonlyMap<string, number>, report?: (room: OfferedRoom) => void
  ): number | EngineObstacle {
    const { runs, tokens: usedTokens } = this.getLoad(server.id, nowMs)
    const headroomTokens = terms.headroom?.get(server.id)
    const mayExceedPace = terms.mayExceedPace === true
    const isHeld = !mayExceedPace && parts.isHeld(server, nowMs)
    const part = mayExceedPace || runs === 0 ? 1 : parts.getPart(server, nowMs)
    const memoryTokens = profile.memoryTokens * part
    const slots = Math.max(1, profile.slots * part)
    const freeTokens = memoryTokens * (1 - memoryHeadroomPart) - usedTokens - (headroomTokens ?? 0)
    const slowness = slownessOfServers.get(server.id) ?? 1
    report?.({ runs, usedTokens, memoryTokens, slots, freeTokens, headroomTokens, part, isHeld, slowness })
    if (isHeld) {
      return 'paced'
    }
    if (runs + (headroomTokens === undefined ? 0 : 1) >= slots) {
      return 'no_slot'
    }
    if (freeTokens < tokens) {
      return 'no_memory'
    }
    const preference = server.zone === this.zone ? ownZonePreference : 0
    // A stream holds its memory for longer at a slow server, whose free memory is worth so much less.
    return freeTokens / memoryTokens / slowness + preference - this.health.getFailureRate(server.id, nowMs)
  }

  /** Returns the room at each usable decode server. */
  listDecodeRooms (servers: readonly routing.RoutedServer[], profile: routing.EngineProfile, nowMs: number): DecodeRoom[] {
    const usable = servers.filter(server => server.stage === 'decode' && this.isUsable(server, nowMs))
    return usable.map(server => this.getDecodeRoom(server, profile, nowMs))
  }

  /** Returns what `listDecodeRooms` would, without a change of state. */
  observeDecodeRooms (servers: readonly routing.RoutedServer[], profile: routing.EngineProfile, nowMs: number): DecodeRoom[] {
    const usable = servers.filter(server => server.stage === 'decode' && this.findObstacle(server, nowMs) === undefined)
    return usable.map(server => this.getDecodeRoom(server, profile, nowMs))
  }

  private getDecodeRoom (server: routing.RoutedServer, profile: routing.EngineProfile, nowMs: number): DecodeRoom {
    const { runs, tokens } = this.getLoad(server.id, nowMs)
    return { usedTokens: tokens, freeTokens: profile.memoryTokens * (1 - memoryHeadroomPart) - tokens, freeSlots: profile.slots - runs }
  }

  /** Returns the engine expected to finish a prefill first, and the estimated time until then in milliseconds. */
  choosePrefill (
    servers: readonly routing.RoutedServer[], tokens: number, excluded: ReadonlySet<string>, nowMs: number,
    decodeZone: string | undefined
  ): { readonly server: routing.RoutedServer, readonly readyMs: number } | undefined {
    let best: routing.RoutedServer | undefined
    let bestMs = Infinity
    let bestPenaltyMs = 0
    for (const server of servers) {
      if (server.stage !== 'prefill' || excluded.has(server.id) || !this.isUsable(server, nowMs)) {
        continue
      }
      const readyMs = this.estimateReadyMs(server, tokens, nowMs)
      const penaltyMs = getDistanceMs(server, decodeZone) + this.drawJitter() * readyMs + this.estimatePacePenaltyMs(server, readyMs, nowMs, this.parts)
      if (readyMs + penaltyMs < bestMs + bestPenaltyMs) {
        best = server
        bestMs = readyMs
        bestPenaltyMs = penaltyMs
      }
    }
    return best === undefined ? undefined : { server: best, readyMs: bestMs }
  }

  /** Returns how `choosePrefill` would rate each server, without the random jitter, a part of up to `getJitter` of the time. Changes nothing. */
  inspectPrefill (
    servers: readonly routing.RoutedServer[], tokens: number, excluded: ReadonlySet<string>, nowMs: number,
    decodeZone: string | undefined
  ): readonly InspectedPrefill[] {
    const parts = this.parts.observe()
    return servers.map(server => {
      const time = { readyMs: this.estimateReadyMs(server, tokens, nowMs), distanceMs: getDistanceMs(server, decodeZone) }
      const obstacle = server.stage !== 'prefill' ? 'other_stage' : excluded.has(server.id) ? 'tried' : this.findObstacle(server, nowMs)
      const paceMs = this.estimatePacePenaltyMs(server, time.readyMs, nowMs, parts)
      return { server, time, paceMs, unreadTokens: this.getPendingPromptTokens(server.id, nowMs), obstacle }
    })
  }

  private estimateReadyMs (server: routing.RoutedServer, tokens: number, nowMs: number): number {
    return this.estimatePrefillMs(server.id, tokens, nowMs) * (1 + this.health.getFailureRate(server.id, nowMs))
  }

  /** Estimated time until a server has prefilled a prompt that is sent to it now, in milliseconds. */
  estimatePrefillMs (server: string, tokens: number, nowMs: number): number {
    return (this.getPendingPromptTokens(server, nowMs) + tokens) / (this.rates.get(server) ?? assumedPrefillTokensPerMs)
  }

  /** Estimated time that an idle engine needs to prefill a prompt, in milliseconds, from the mean of the measured speeds. */
  estimateIdlePrefillMs (tokens: number): number {
    let total = 0
    for (const rate of this.rates.values()) {
      total += rate
    }
    return tokens / (this.rates.size === 0 ? assumedPrefillTokensPerMs : total / this.rates.size)
  }

  /** Load committed to a server by all gateways. */
  getLoad (server: string, nowMs: number): CommittedLoad {
    let sum = this.ownLoad.get(server) ?? noCommittedLoad
    for (const peer of this.peers.values()) {
      const booking = nowMs - peer.lastSeenMs > peerExpiryMs ? undefined : peer.bookings.get(server)
      sum = booking === undefined ? sum : addCommittedLoads(sum, booking)
    }
    return sum
  }

  /**
   * Extra time by which a prefill at a recovering server counts as later: what it would take at the part of the speed that the server may use.
   * A server without a prompt may have one, if this gateway is to send it.
   */
  private estimatePacePenaltyMs (server: routing.RoutedServer, readyMs: number, nowMs: number, parts: capacityParts.CapacityParts): number {
    const isFree = this.getPendingPromptTokens(server.id, nowMs) === 0 && !parts.isHeld(server, nowMs)
    return isFree ? 0 : readyMs / parts.getPart(server, nowMs) - readyMs
  }

  private drawJitter (): number {
    return this.random.nextUnit() * this.getJitter()
  }

  private isUsable (server: routing.RoutedServer, nowMs: number): boolean {
    if (this.findOwnObstacle(server, nowMs) !== undefined) {
      return false
    }
    if (this.observedSwitching.size > 0) {
      this.endObservedSwitch(server)
    }
    return !this.isSwitching(server, nowMs)
  }

  /** Forgets an observed change of a server's stage that the server list shows as complete. */
  private endObservedSwitch (server: routing.RoutedServer): void {
    const observed = this.observedSwitching.get(server.id)
    if (observed !== undefined && observed.from !== server.stage) {
      this.observedSwitching.delete(server.id)
    }
  }

  /** Returns why a server gets no work of its stage. Changes nothing. */
  private findObstacle (server: routing.RoutedServer, nowMs: number): EngineObstacle | undefined {
    return this.findOwnObstacle(server, nowMs) ?? (this.isSwitching(server, nowMs) ? 'switching' : undefined)
  }

  private findOwnObstacle (server: routing.RoutedServer, nowMs: number): EngineObstacle | undefined {
    if (server.state !== 'ready') {
      return 'not_ready'
    }
    if (this.switching.has(server.id)) {
      return 'switching'
    }
    if (this.health.isPaused(server.id, nowMs)) {
      return 'paused'
    }
    return (this.refusals.get(server.id) ?? 0) > nowMs ? 'refused_lately' : undefined
  }

  /** Tells whether a change of the server's stage has been observed, here or at another gateway, and is not complete. */
  private isSwitching (server: routing.RoutedServer, nowMs: number): boolean {
    const observed = this.observedSwitching.size === 0 ? undefined : this.observedSwitching.get(server.id)
    if (observed !== undefined && observed.from === server.stage && observed.untilMs > nowMs) {
      return true
    }
    for (const peer of this.peers.values()) {
      if (nowMs - peer.lastSeenMs <= peerExpiryMs && peer.switching.has(server.id)) {
        return true
      }
    }
    return false
  }

  private getPace (service: string): DecodePace {
    return this.paces.get(service) ?? { tokens: assumedAnswerTokens, elapsedMs: assumedAnswerTokens * assumedTokenIntervalMs }
  }

  private getPendingPromptTokens (server: string, nowMs: number): number {
    return this.getLoad(server, nowMs).unread
  }

  private addOwnLoad (server: string, runs: number, tokens: number, unread: number): void {
    this.ownLoad.set(server, addCommittedLoads(this.ownLoad.get(server) ?? noCommittedLoad, { runs, tokens, unread }))
  }
}

function getDistanceMs (server: routing.RoutedServer, decodeZone: string | undefined): number {
  return decodeZone === undefined || server.zone === decodeZone ? 0 : crossZonePenaltyMs
}

function addCommittedLoads (a: CommittedLoad, b: CommittedLoad): CommittedLoad {
  return { runs: a.runs + b.runs, tokens: a.tokens + b.tokens, unread: a.unread + b.unread }
}

function addOfferedLoads (a: splits.OfferedLoad, b: splits.OfferedLoad): splits.OfferedLoad {
  return { prefill: a.prefill + b.prefill, decode: a.decode + b.decode }
}
