/**
 * Divides the few requests that a recovering server may take among gateways that choose at the same time.
 *
 * Pattern: a server that has just returned has the most free capacity, so that each of many gateways sends it its next request before
 * gossip tells of the others'. Each gateway draws, for each turn of about the age of gossip, how many requests it may give the server, such
 * that all gateways together give it what it may take. A gateway that alone has requests gives it its next one at once. No message is
 * exchanged.
 */
import * as host from '../../host/types.js'

/** Shortest time over which starts are counted for their rate, in milliseconds. */
const ratePeriodMs = 1_000

/** Requests that this gateway gives the servers of a service. */
export class StartRate {
  private starts = 0
  private sinceMs = 0
  private perMs = 0

  add (): void {
    this.starts += 1
  }

  /** Starts in a millisecond, as of the last whole period. */
  read (nowMs: number): number {
    const elapsedMs = nowMs - this.sinceMs
    if (elapsedMs >= ratePeriodMs) {
      this.perMs = this.starts / elapsedMs
      this.starts = 0
      this.sinceMs = nowMs
    }
    return this.perMs
  }
}

/** The turns of this gateway at one recovering server. */
export class StartTurns {
  private startedMs = -Infinity
  private allowed = 0
  private starts = 0

  constructor (private readonly random: host.Random) {}

  /** Whether this gateway has given the server nothing in this turn. */
  get isUnused (): boolean {
    return this.starts === 0
  }

  add (): void {
    this.starts += 1
  }

  /** Whether this gateway has given the server its part in the current turn; a turn that has not been drawn yet counts as free. */
  isKnownUsedUp (turnMs: number, nowMs: number): boolean {
    return nowMs - this.startedMs < turnMs && this.starts >= this.allowed
  }

  /**
   * Returns whether this gateway has given the server its part of `runs` requests, which all gateways may give it in a turn. `perMs` is
   * the rate at which this gateway starts requests of the service; the others are taken to start as many.
   */
  isUsedUp (runs: number, gateways: number, perMs: number, turnMs: number, nowMs: number): boolean {
    if (nowMs - this.startedMs >= turnMs) {
      this.startedMs = nowMs
      this.starts = 0
      const choosing = Math.max(1, gateways * (1 - Math.exp(-perMs * turnMs)))
      const share = runs / choosing
      const whole = Math.floor(share)
      this.allowed = whole + (share > whole && this.random.nextUnit() < share - whole ? 1 : 0)
    }
    return this.starts >= this.allowed
  }
}
