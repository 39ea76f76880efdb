/**
 * Slowness of decode servers, from what this gateway and the others have measured of their streams. Performs no input or output.
 */
import * as eventIntervals from './event_intervals.js'
import type * as host from '../../host/types.js'
import type * as routing from '../../contracts/routing.js'

/** Time after which a gateway without gossip no longer counts, in milliseconds. */
const peerExpiryMs = 2_000
/**
 * Part of the messages that tell times between events: they change slowly, and 30 servers take 800 bytes. Messages are drawn, because a
 * fixed turn would always meet the same partners at some periods of the gossip.
 */
const reportPart = 0.2
/** Time for which what a gateway told counts until it tells again, in milliseconds. */
const reportExpiryMs = 20_000
/** Time for which the sums over the gateways are not computed again, in milliseconds: one period of gossip. */
const sumsValidMs = 100
/** Slowness from which a server is counted as slow. */
const notableSlowness = 1.5

type Intervals = Readonly<Record<string, eventIntervals.IntervalSum>>

interface Peer {
  readonly heardMs: number
  readonly told: Intervals
  readonly toldMs: number
}

interface Sums {
  readonly servers: ReadonlyMap<string, eventIntervals.IntervalSum>
  readonly atMs: number
}

export class DecodeSpeeds {
  private readonly own = new eventIntervals.EventIntervals()
  private readonly peers = new Map<string, Peer>()
  private sums: Sums = { servers: new Map(), atMs: -Infinity }

  constructor (private readonly random: host.Random) {}

  /** Records that a stream of a server took a time for a number of events, in milliseconds. */
  record (server: string, events: number, elapsedMs: number, nowMs: number): void {
    this.own.record(server, events, elapsedMs, nowMs)
  }

  forgetServer (server: string): void {
    this.own.forget(server)
  }

  /** Records a message of another gateway, or the sum of another zone's gateways, which mostly tells nothing new. */
  updatePeer (peer: string, told: Intervals | undefined, nowMs: number): void {
    const known = this.peers.get(peer)
    this.peers.set(peer, told === undefined
      ? { told: known?.told ?? {}, toldMs: known?.toldMs ?? -Infinity, heardMs: nowMs }
      : { told, toldMs: nowMs, heardMs: nowMs })
  }

  forgetPeer (peer: string): void {
    this.peers.delete(peer)
  }

  /** Returns what this gateway tells others now; undefined for nothing. */
  describe (nowMs: number): Record<string, eventIntervals.IntervalSum> | undefined {
    return this.draw(this.own.list(nowMs))
  }

  /** Returns the sum of what this gateway and the named ones measured, where it is to be told. */
  aggregate (names: readonly string[], nowMs: number): Record<string, eventIntervals.IntervalSum> | undefined {
    let sum = this.own.list(nowMs)
    for (const name of names) {
      const peer = this.peers.get(name)
      if (peer !== undefined && counts(peer, nowMs)) {
        sum = eventIntervals.addIntervals(sum ?? {}, peer.told)
      }
    }
    return this.draw(sum)
  }

  /** Returns the time between events at the decode servers among `servers`, of one service, relative to the usual one; empty where it is not measured. */
  getSlowness (servers: readonly routing.RoutedServer[], nowMs: number): ReadonlyMap<string, number> {
    if (nowMs - this.sums.atMs > sumsValidMs) {
      this.sums = { servers: this.sum(nowMs), atMs: nowMs }
    }
    return estimate(servers, this.sums.servers)
  }

  /** Returns what `getSlowness` would, without a change of state. */
  observeSlowness (servers: readonly routing.RoutedServer[], nowMs: number): ReadonlyMap<string, number> {
    return estimate(servers, nowMs - this.sums.atMs > sumsValidMs ? this.sum(nowMs) : this.sums.servers)
  }

  /** Returns how many of a service's servers are slow. */
  countSlow (servers: readonly routing.RoutedServer[], nowMs: number): number {
    return [...this.observeSlowness(servers, nowMs).values()].filter(slowness => slowness >= notableSlowness).length
  }

  /** Draws whether a message tells something; without it no random number is drawn. */
  private draw (told: Record<string, eventIntervals.IntervalSum> | undefined): Record<string, eventIntervals.IntervalSum> | undefined {
    return told !== undefined && this.random.nextUnit() < reportPart ? told : undefined
  }

  private sum (nowMs: number): ReadonlyMap<string, eventIntervals.IntervalSum> {
    const sums = new Map<string, eventIntervals.IntervalSum>()
    const peers = [...this.peers.values()].filter(peer => counts(peer, nowMs))
    for (const told of [this.own.list(nowMs) ?? {}, ...peers.map(({ told }) => told)]) {
      for (const [server, [events, elapsedMs]] of Object.entries(told)) {
        const [sumEvents, sumMs] = sums.get(server) ?? [0, 0]
        sums.set(server, [sumEvents + events, sumMs + elapsedMs])
      }
    }
    return sums
  }
}

function estimate (servers: readonly routing.RoutedServer[], sums: Sums['servers']): ReadonlyMap<string, number> {
  const measured = new Map<string, eventIntervals.IntervalSum>()
  for (const { id, stage } of sums.size === 0 ? [] : servers) {
    const sum = sums.get(id)
    if (stage === 'decode' && sum !== undefined) {
      measured.set(id, sum)
    }
  }
  return eventIntervals.estimateSlowness(measured)
}

function counts ({ heardMs, toldMs }: Peer, nowMs: number): boolean {
  return nowMs - heardMs <= peerExpiryMs && nowMs - toldMs <= reportExpiryMs
}
