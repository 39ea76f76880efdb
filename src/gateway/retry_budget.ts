/**
 * This gateway's part of the retry budget of each service.
 *
 * Pattern: a budget that is shared by gateways which end at any time, forget what they sent, and may disagree on who the others are. A
 * retry uses up credit, which comes from the gateway's own requests and, as time passes, from its even share of the slack, while that
 * share is certain. A process starts without credit. Credit is used once and expires after a window, so that the retries of all
 * gateways in a window use credit of that window and of the one before it, whatever was forgotten: each window brings half of the budget.
 * No message is exchanged for a retry.
 */
import * as elapsedTimes from './elapsed_time.js'
import * as host from '../host/types.js'
import * as settings from './settings.js'

/** Part of the budget of a window that is issued as credit in it: the credit of two windows may be used in one. */
const issuedPart = 0.5
/** Part of the slack that is issued; the rest covers gateways that start at the same time and do not know each other yet. */
const issuedSlackPart = 0.9
const slotsPerWindow = 10
/** Longest time for which one call of `accrue` issues credit, in milliseconds: the share is not certain for longer. */
const maximumAccrualMs = 1_000
/** Credit that one retry uses, with room for rounding. */
const retryCredit = 1 - 1e-9

/** Credit of one retry. */
export interface RetryCredit {
  readonly service: string
  /** The earliest slot that the credit was taken from; it expires with that. */
  readonly slot: number
}

/** State of the budget of a service, for logs and metrics. */
export interface BudgetState {
  /** Retries that the credit is enough for. */
  readonly credit: number
  /** This gateway's latest share of the slack. */
  readonly share: number
}

interface IssuedCredit {
  readonly slot: number
  amount: number
}

export class RetryBudget {
  /** Credit by service, oldest first. */
  private readonly services = new Map<string, IssuedCredit[]>()
  private readonly elapsed: elapsedTimes.ElapsedTime
  private accruedMs: number
  private share = 0

  constructor (private readonly budget: settings.GatewaySettings['retries'], private readonly clock: host.Clock) {
    this.elapsed = new elapsedTimes.ElapsedTime(clock)
    this.accruedMs = clock.monotonicMs()
  }

  /** Sets the services that get credit as time passes. */
  setServices (names: readonly string[]): void {
    for (const name of this.services.keys()) {
      if (!names.includes(name)) {
        this.services.delete(name)
      }
    }
    for (const name of names) {
      this.getIssued(name)
    }
  }

  /** Issues credit for a request for a service. */
  recordRequest (service: string): void {
    this.issue(service, issuedPart * this.budget.ratio)
  }

  /** Issues credit for the time since the last call, of which the gateway had this share of the slack all the while. */
  accrue (share: number): void {
    const nowMs = this.clock.monotonicMs()
    const elapsedMs = Math.min(maximumAccrualMs, nowMs - this.accruedMs)
    const { slack, windowMs } = this.budget
    const certainShare = Math.min(share, this.share)
    this.accruedMs = nowMs
    this.share = share
    if (certainShare > 0) {
      for (const service of this.services.keys()) {
        this.issue(service, issuedPart * issuedSlackPart * slack * certainShare * elapsedMs / windowMs)
      }
    }
  }

  /** Takes the credit of a retry; undefined if there is not enough. */
  take (service: string): RetryCredit | undefined {
    const issued = this.getIssued(service)
    if (sum(issued) < retryCredit) {
      return undefined
    }
    const slot = issued[0]?.slot ?? 0
    let missing = 1
    for (const credit of issued) {
      const used = Math.min(credit.amount, missing)
      credit.amount -= used
      missing -= used
    }
    return { service, slot }
  }

  /** Returns the credit of a retry that was not sent; it expires as if it had not been taken. */
  giveBack (credit: RetryCredit): void {
    const issued = this.getIssued(credit.service)
    const first = issued[0]
    if (this.isExpired(credit)) {
      return
    }
    if (first?.slot === credit.slot) {
      first.amount += 1
    } else {
      issued.unshift({ slot: credit.slot, amount: 1 })
    }
  }

  isExpired ({ slot }: RetryCredit): boolean {
    return slot <= this.currentSlot - slotsPerWindow
  }

  describe (service: string): BudgetState {
    return { credit: sum(this.getIssued(service)), share: this.share }
  }

  private get currentSlot (): number {
    return Math.floor(this.elapsed.read() / (this.budget.windowMs / slotsPerWindow))
  }

  private issue (service: string, amount: number): void {
    const issued = this.getIssued(service)
    const { currentSlot: slot } = this
    const last = issued.at(-1)
    if (last?.slot === slot) {
      last.amount += amount
    } else {
      issued.push({ slot, amount })
    }
  }

  /** Returns the credit that has not expired. */
  private getIssued (service: string): IssuedCredit[] {
    const oldest = this.currentSlot - slotsPerWindow + 1
    const issued = (this.services.get(service) ?? []).filter(({ slot, amount }) => slot >= oldest && amount > 0)
    this.services.set(service, issued)
    return issued
  }
}

function sum (issued: readonly IssuedCredit[]): number {
  let total = 0
  for (const { amount } of issued) {
    total += amount
  }
  return total
}
