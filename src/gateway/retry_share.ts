/**
 * This gateway's part of the retry budget of each service.
 *
 * The ratio applies to the gateway's own requests; the slack is divided evenly. The sum over all gateways stays
 * within the budget without any communication.
 */
import * as settings from './settings.js'

/** Part of the budget that is used, so that restarted gateways, which do not know their past sends, stay within it. */
const usedPart = 0.6
const slotsPerWindow = 10

interface Counts {
  slot: number
  requests: number
  repeats: number
}

export class RetryShare {
  private readonly services = new Map<string, Counts[]>()
  private gateways = 1

  constructor (private readonly budget: settings.GatewaySettings['retries']) {}

  /** Sets the number of gateways that share the budget. */
  setGateways (count: number): void {
    this.gateways = Math.max(1, count)
  }

  /** Counts a request for a service, which raises the budget. */
  earn (service: string, nowMs: number): void {
    this.getCounts(service, nowMs).requests += 1
  }

  /** Takes one retry out of the budget; returns false if none is left. */
  trySpend (service: string, nowMs: number): boolean {
    const current = this.getCounts(service, nowMs)
    let requests = 0
    let repeats = 0
    for (const counts of this.services.get(service) ?? []) {
      requests += counts.requests
      repeats += counts.repeats
    }
    const allowed = usedPart * (this.budget.ratio * requests + this.budget.slack / this.gateways)
    if (repeats + 1 > allowed) {
      return false
    }
    current.repeats += 1
    return true
  }

  private getCounts (service: string, nowMs: number): Counts {
    const slot = Math.floor(nowMs / (this.budget.windowMs / slotsPerWindow))
    const kept = (this.services.get(service) ?? []).filter(counts => counts.slot > slot - slotsPerWindow)
    let current = kept.at(-1)
    if (current?.slot !== slot) {
      current = { slot, requests: 0, repeats: 0 }
      kept.push(current)
    }
    this.services.set(service, kept)
    return current
  }
}
