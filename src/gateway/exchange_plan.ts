/**
 * Which gateways exchange their states directly, and how often.
 *
 * Pattern: many gateways in few zones, whose links are paid by the byte. Gateways of one zone exchange with each other; of
 * each zone one relays to those of the other zones. A gateway of which neither way brings news is called directly.
 */

/** Period with few gateways, in milliseconds: short beside a prefill. */
const shortestPeriodMs = 100
/** Partners up to which the shortest period holds; beyond, the exchanges a second of one gateway stay the same. */
const partnersAtShortestPeriod = 6
/** Age from which on news that should have come by a relay is asked for directly, in periods: three ways, and two of them late. */
const relayPeriods = 5
/** Age from which on a gateway counts as silent, in periods: the direct question has failed, too. */
const silentPeriods = 7
/** The same in milliseconds at least, and with few gateways; a few missed exchanges. */
export const leastSilenceMs = 700

/** Who told the last state of a gateway: itself, or a relay in the own or another zone. */
export type Teller = 'itself' | 'own_zone' | 'other_zone'

/** A state of a gateway, among all that it has told in its lives. */
export interface Telling {
  /** Names the life of the process. */
  readonly boot: string
  /** Counts up within a life. */
  readonly sequence: number
}

/** Another gateway, as far as it matters here. Times are on the steady clock, in milliseconds. */
export interface Partner {
  readonly node: string
  readonly zone: string
  /** When its state was last known to be true, told by itself or by a relay. */
  readonly heardMs: number
  /** When that was learned; later than it was true where a relay told. */
  readonly learnedMs: number
  /** When it last told its state itself, or was last asked for it. */
  readonly exchangedMs: number
  /** When it was last told what there is to relay. */
  readonly toldMs: number
  readonly teller: Teller
}

export class ExchangePlan {
  private partners: readonly Partner[] = []
  private period = shortestPeriodMs

  constructor (private readonly node: string, private readonly zone: string) {}

  /** Time between two exchanges with a partner, in milliseconds. */
  get periodMs (): number {
    return this.period
  }

  /** Time without news after which a gateway counts as silent, in milliseconds. */
  get silenceMs (): number {
    return Math.max(leastSilenceMs, silentPeriods * this.period)
  }

  /** Sets the other gateways. The objects are read again with each question. */
  setPartners (partners: readonly Partner[]): void {
    this.partners = partners
    const sizes = new Map([[this.zone, 1]])
    for (const { zone } of partners) {
      sizes.set(zone, (sizes.get(zone) ?? 0) + 1)
    }
    // The same at every gateway, or some would be taken for silent by others.
    const most = Math.max(...sizes.values()) + sizes.size - 1
    this.period = shortestPeriodMs * Math.max(1, most / partnersAtShortestPeriod)
  }

  /** Returns whether a partner is to be asked now. */
  isDue (partner: Partner, nowMs: number): boolean {
    if (nowMs - partner.exchangedMs < this.period) {
      return false
    }
    const isDirect = partner.zone === this.zone || (this.isRelay(this.node, this.zone, nowMs) && this.isRelay(partner.node, partner.zone, nowMs))
    return isDirect || nowMs - Math.max(partner.heardMs, partner.exchangedMs) >= relayPeriods * this.period
  }

  /** Into the own zone go news of other zones, into other zones those of the own zone, and none that a relay has told there. */
  isToRelay (other: Partner, to: Partner): boolean {
    if (other.learnedMs <= to.toldMs) {
      return false
    }
    return to.zone === this.zone
      ? other.zone !== this.zone && other.teller !== 'own_zone'
      : other.zone === this.zone && other.teller === 'itself'
  }

  /**
   * Tells whether a relayed state is newer than the last one known of a gateway. Its stated age does not tell: a relay that
   * was suspended does not know for how long. The first state of another life is taken from the gateway itself, or once it is silent.
   */
  isNews (partner: Partner, last: Telling | undefined, relayed: Telling, nowMs: number): boolean {
    if (last?.boot === relayed.boot) {
      return relayed.sequence > last.sequence
    }
    return nowMs - partner.heardMs >= this.silenceMs
  }

  /** The relay of a zone is the first of its gateways, by name, that is not silent. */
  private isRelay (node: string, zone: string, nowMs: number): boolean {
    for (const partner of this.partners) {
      if (partner.zone === zone && partner.node < node && nowMs - partner.heardMs < this.silenceMs) {
        return false
      }
    }
    return true
  }
}
