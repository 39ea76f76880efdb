/**
 * Which gateways exchange gossip directly, and how often.
 *
 * Pattern: many gateways in few zones, whose links are billed by the byte. Gateways of one zone exchange with each other. One
 * gateway of each zone, its relay, exchanges the aggregate of its zone with the relays of the other zones and forwards their
 * aggregates within its own. The gossip that a gateway receives thus grows with the size of a zone and the number of zones, not with
 * the number of all gateways. A gateway from which neither way brings gossip is called directly.
 */

/** Exchange period with few gateways, in milliseconds: short compared with a prefill. */
const shortestPeriodMs = 100
/** Number of partners up to which the shortest period applies; beyond it, the period grows so that the exchanges per second of one gateway stay the same. */
const partnersAtShortestPeriod = 4
/** Age from which gossip that should have come by a relay is requested directly, in periods: three hops, two of which are late. */
const relayTimeoutPeriods = 5
/** Age of a zone aggregate from which that of another relay is accepted, in periods: one exchange was missed. */
const relayChangePeriods = 2
/** Age from which a gateway counts as unresponsive, in periods: the direct request has failed as well. */
const unresponsivePeriods = 7
/** Lower bound of the same, in milliseconds; applies with few gateways and covers a few missed exchanges. */
export const minimumUnresponsiveMs = 700

/** Another gateway, as the plan needs it. Times are on the monotonic clock, in milliseconds. */
export interface Partner {
  readonly node: string
  readonly zone: string
  /** When it was last known to be alive, as reported by itself or by the relay of its zone. */
  readonly lastSeenMs: number
  /** When it last sent its own state, or was last asked for it. */
  readonly lastExchangeMs: number
  /** When it was last sent the aggregates of other zones. */
  readonly aggregatesSentMs: number
}

/** Identifies an aggregate among all that the relays of a zone have sent. The fields are named as on the wire. */
export interface AggregateVersion {
  /** Name of the relay. */
  readonly teller: string
  /** Identifier of the relay's process. */
  readonly boot: string
  /** Increases with each aggregate of a process. */
  readonly sequence: number
}

/** The latest aggregate of another zone. Times are on the monotonic clock, in milliseconds. */
export interface ReceivedAggregate extends AggregateVersion {
  /** Time of the state that it describes. */
  readonly asOfMs: number
  /** Time at which it was received. */
  readonly receivedMs: number
  /** Whether the relay of the other zone sent it to this gateway directly, so that it must be forwarded. */
  readonly isDirect: boolean
}

export class ExchangePlan {
  private partners: readonly Partner[] = []
  private period = shortestPeriodMs

  constructor (private readonly node: string, private readonly zone: string) {}

  /** Time between two exchanges with a partner, in milliseconds. */
  get periodMs (): number {
    return this.period
  }

  /** Time without gossip after which a gateway counts as unresponsive, in milliseconds. */
  get unresponsiveAfterMs (): number {
    return Math.max(minimumUnresponsiveMs, unresponsivePeriods * this.period)
  }

  /** Sets the other gateways. The objects are read again on each call. */
  setPartners (partners: readonly Partner[]): void {
    this.partners = partners
    const sizes = new Map([[this.zone, 1]])
    for (const { zone } of partners) {
      sizes.set(zone, (sizes.get(zone) ?? 0) + 1)
    }
    // The period must be the same at all gateways; otherwise some would count others as unresponsive.
    const largestPartnerCount = Math.max(...sizes.values()) + sizes.size - 1
    this.period = shortestPeriodMs * Math.max(1, largestPartnerCount / partnersAtShortestPeriod)
  }

  /** Returns the partners with which an exchange is due. */
  listDue (nowMs: number): Partner[] {
    const relays = this.findRelays(nowMs)
    const due: Partner[] = []
    for (const partner of this.partners) {
      if (nowMs - partner.lastExchangeMs < this.period) {
        continue
      }
      if (this.isDirectBy(relays, partner) || nowMs - Math.max(partner.lastSeenMs, partner.lastExchangeMs) >= relayTimeoutPeriods * this.period) {
        due.push(partner)
      }
    }
    return due
  }

  /** Tells whether this gateway exchanges gossip with a partner directly. */
  isDirect (partner: Partner, nowMs: number): boolean {
    return this.isDirectBy(this.findRelays(nowMs), partner)
  }

  /** Tells whether this gateway is the relay of its zone. */
  isRelay (nowMs: number): boolean {
    return this.findRelays(nowMs).get(this.zone) === this.node
  }

  /** Aggregates of other zones are forwarded within the own zone, by the gateway that received them from the other zone directly. */
  shouldForward (aggregate: ReceivedAggregate, to: Partner): boolean {
    return to.zone === this.zone && aggregate.isDirect && aggregate.receivedMs > to.aggregatesSentMs
  }

  /**
   * Tells whether an aggregate of a zone is newer than the last one. Its stated age does not tell, because a relay that was
   * suspended does not know for how long. Another relay, or another process of a relay, is accepted once the previous one is overdue.
   */
  isNewer (last: ReceivedAggregate | undefined, next: AggregateVersion, nowMs: number): boolean {
    if (last === undefined) {
      return true
    }
    if (last.teller === next.teller && last.boot === next.boot) {
      return next.sequence > last.sequence
    }
    return nowMs - last.receivedMs >= relayChangePeriods * this.period
  }

  /** Tells whether the aggregate of a zone is recent enough to represent its gateways. */
  isFresh (aggregate: ReceivedAggregate | undefined, nowMs: number): boolean {
    return aggregate !== undefined && nowMs - aggregate.asOfMs < this.unresponsiveAfterMs
  }

  private isDirectBy (relays: ReadonlyMap<string, string>, { node, zone }: Partner): boolean {
    return zone === this.zone || (relays.get(this.zone) === this.node && relays.get(zone) === node)
  }

  /** The relay of a zone is the first of its responsive gateways, by name. */
  private findRelays (nowMs: number): Map<string, string> {
    const relays = new Map([[this.zone, this.node]])
    for (const { node, zone, lastSeenMs: seenMs } of this.partners) {
      const first = relays.get(zone)
      if (nowMs - seenMs < this.unresponsiveAfterMs && (first === undefined || node < first)) {
        relays.set(zone, node)
      }
    }
    return relays
  }
}
