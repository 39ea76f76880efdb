/**
 * Which gateways exchange their states directly, and how often.
 *
 * Pattern: many gateways in few zones, whose links are paid by the byte. Gateways of one zone exchange with each other. Of
 * each zone one, its relay, exchanges the sum of its zone with the relays of the others and passes their sums on in its
 * own, so that what a gateway hears grows with the size of a zone and the number of zones, not with all gateways. A
 * gateway of which neither way brings news is called directly.
 */

/** Period with few gateways, in milliseconds: short beside a prefill. */
const shortestPeriodMs = 100
/** Partners up to which the shortest period holds; beyond, the exchanges a second of one gateway stay the same. */
const partnersAtShortestPeriod = 4
/** Age from which on news that should have come by a relay is asked for directly, in periods: three ways, and two of them late. */
const relayPeriods = 5
/** Age of a zone's sum from which on another relay's is taken, in periods: one exchange was missed. */
const tellerPeriods = 2
/** Age from which on a gateway counts as silent, in periods: the direct question has failed, too. */
const silentPeriods = 7
/** The same in milliseconds at least, and with few gateways; a few missed exchanges. */
export const leastSilenceMs = 700

/** Another gateway, as far as it matters here. Times are on the steady clock, in milliseconds. */
export interface Partner {
  readonly node: string
  readonly zone: string
  /** When it was last known to live, told by itself or by the relay of its zone. */
  readonly heardMs: number
  /** When it last told its state itself, or was last asked for it. */
  readonly exchangedMs: number
  /** When it was last told the sums of other zones. */
  readonly toldMs: number
}

/** A sum among all that the relays of a zone have told. */
export interface Telling {
  /** The relay. */
  readonly teller: string
  /** Names the life of its process. */
  readonly boot: string
  /** Counts up within a life. */
  readonly sequence: number
}

/** The last sum of another zone. Times are on the steady clock, in milliseconds. */
export interface ZoneView extends Telling {
  /** When it was true. */
  readonly heardMs: number
  /** When it was learned here. */
  readonly learnedMs: number
  /** Whether the other zone's relay told it here itself, so that it is to be passed on. */
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

  /** Returns the partners that are to be asked now. */
  listDue (nowMs: number): Partner[] {
    const relays = this.findRelays(nowMs)
    const due: Partner[] = []
    for (const partner of this.partners) {
      if (nowMs - partner.exchangedMs < this.period) {
        continue
      }
      const isDirect = partner.zone === this.zone ||
        (relays.get(this.zone) === this.node && relays.get(partner.zone) === partner.node)
      if (isDirect || nowMs - Math.max(partner.heardMs, partner.exchangedMs) >= relayPeriods * this.period) {
        due.push(partner)
      }
    }
    return due
  }

  /** Tells whether this gateway speaks for its zone. */
  isRelay (nowMs: number): boolean {
    return this.findRelays(nowMs).get(this.zone) === this.node
  }

  /** Sums of other zones go into the own zone, from the one that heard them there itself. */
  isToPass (sum: ZoneView, to: Partner): boolean {
    return to.zone === this.zone && sum.isDirect && sum.learnedMs > to.toldMs
  }

  /**
   * Tells whether a sum of a zone is newer than the last one. Its stated age does not tell: a relay that was suspended does
   * not know for how long. Another relay, or life of a relay, is believed once the one before has missed its time.
   */
  isNews (last: ZoneView | undefined, next: Telling, nowMs: number): boolean {
    if (last === undefined) {
      return true
    }
    if (last.teller === next.teller && last.boot === next.boot) {
      return next.sequence > last.sequence
    }
    return nowMs - last.learnedMs >= tellerPeriods * this.period
  }

  /** Tells whether the sum of a zone still stands for its gateways. */
  isFresh (sum: ZoneView | undefined, nowMs: number): boolean {
    return sum !== undefined && nowMs - sum.heardMs < this.silenceMs
  }

  /** The relay of a zone is the first of its gateways, by name, that is not silent. */
  private findRelays (nowMs: number): Map<string, string> {
    const relays = new Map([[this.zone, this.node]])
    for (const { node, zone, heardMs } of this.partners) {
      const first = relays.get(zone)
      if (nowMs - heardMs < this.silenceMs && (first === undefined || node < first)) {
        relays.set(zone, node)
      }
    }
    return relays
  }
}
