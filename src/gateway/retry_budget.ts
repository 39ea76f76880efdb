/**
 * This gateway's part of the retry budget of each service.
 *
 * The ratio applies to the gateway's own requests; the slack is divided evenly. The sum over all gateways stays
 * within the budget without any communication.
 */
import * as settings from './settings.js'

/** Part of the budget that is used, so that restarted gateways, which do not know their past sends, stay within it. */
const usedBudgetPart = 0.6
const slotsPerWindow = 10

/** State of the budget of a service, for logs. */
export interface BudgetState {
  /** Requests and retries in the current window. */
  readonly requests: number
  readonly retries: number
  /** Retries that this gateway may send in the window. */
  readonly allowed: number
  /** Number of gateways that are assumed to share the budget. */
  readonly gateways: number
}

interface SlotCounts {
  slot: number
  requests: number
  retries: number
}

export class RetryBudget {
  private readonly services = new Map<string, SlotCounts[]>()
  private gateways = 1

  constructor (private readonly budget: settings.GatewaySettings['retries']) {}

  /** Sets the number of gateways that share the budget. */
  setGatewayCount (count: number): void {
    this.gateways = Math.max(1, count)
  }

  /** Counts a request for a service, which raises the budget. */
  recordRequest (service: string, nowMs: number): void {
    this.getCounts(service, nowMs).requests += 1
  }

  /** Takes one retry out of the budget; returns false if none is left. */
  trySpend (service: string, nowMs: number): boolean {
    const { retries, allowed } = this.describe(service, nowMs)
    if (retries + 1 > allowed) {
      return false
    }
    this.getCounts(service, nowMs).retries += 1
    return true
  }

  describe (service: string, nowMs: number): BudgetState {
    this.getCounts(service, nowMs)
    let requests = 0
    let retries = 0
    for (const counts of this.services.get(service) ?? []) {
      requests += counts.requests
      retries += counts.retries
    }
    const allowed = usedBudgetPart * (this.budget.ratio * requests + this.budget.slack / this.gateways)
    return { requests, retries, allowed, gateways: this.gateways }
  }

  private getCounts (service: string, nowMs: number): SlotCounts {
    const slot = Math.floor(nowMs / (this.budget.windowMs / slotsPerWindow))
    const kept = (this.services.get(service) ?? []).filter(counts => counts.slot > slot - slotsPerWindow)
    let current = kept.at(-1)
    if (current?.slot !== slot) {
      current = { slot, requests: 0, retries: 0 }
      kept.push(current)
    }
    this.services.set(service, kept)
    return current
  }
}
