/**
 * When decode memory becomes free for a request, from how long runs hold memory and what waits before it.
 *
 * Pattern: more memory is asked for than runs that end free. A request far back in the queues is refused at its deadline although that
 * could be told on its arrival, and its caller learns too late to try again. Performs no input or output.
 */

/** Weight of the newest run in the mean time for which memory is held. */
const newestRunWeight = 0.05
/** Time for which the sum of the used memory is not computed again, in milliseconds: one period of the check of the queue. */
const usageValidMs = 20
/** Part of the requests of equal rank at other gateways that are served before one at this gateway. */
const equalRankPart = 0.5

/** Memory that waits to be given before a request, in tokens. */
export interface DemandAhead {
  /** At this gateway. */
  readonly ownTokens: number
  /** At other gateways: of more urgent requests, and of those of equal rank. */
  readonly urgentTokens: number
  readonly equalTokens: number
}

export class CapacityForecast {
  /** Mean time for which a token of memory is held, in milliseconds, by service. */
  private readonly holds = new Map<string, number>()
  private readonly usage = new Map<string, { readonly tokens: number, readonly atMs: number }>()

  /** Records a run that is placed, and how long it is expected to hold its memory. */
  recordRun (service: string, holdMs: number): void {
    if (Number.isFinite(holdMs) && holdMs > 0) {
      const before = this.holds.get(service) ?? holdMs
      this.holds.set(service, before + (holdMs - before) * newestRunWeight)
    }
  }

  /** Returns the tokens that become free in a millisecond at all gateways; undefined while that is not known. */
  getRate (service: string, sumUsed: () => number, nowMs: number): number | undefined {
    const holdMs = this.holds.get(service)
    if (holdMs === undefined) {
      return undefined
    }
    let used = this.usage.get(service)
    if (used === undefined || nowMs - used.atMs > usageValidMs) {
      used = { tokens: sumUsed(), atMs: nowMs }
      this.usage.set(service, used)
    }
    return used.tokens > 0 ? used.tokens / holdMs : undefined
  }

  /** Returns what `getRate` would, without a change of state. */
  observeRate (service: string, sumUsed: () => number, nowMs: number): number | undefined {
    const holdMs = this.holds.get(service)
    const usage = this.usage.get(service)
    const tokens = holdMs === undefined ? 0 : usage === undefined || nowMs - usage.atMs > usageValidMs ? sumUsed() : usage.tokens
    return holdMs === undefined || tokens <= 0 ? undefined : tokens / holdMs
  }

  /** Returns the time until a request that needs so many tokens gets them, in milliseconds, at a rate of tokens in a millisecond. */
  estimateWaitMs (neededTokens: number, ahead: DemandAhead, rate: number): number {
    return (ahead.ownTokens + ahead.urgentTokens + ahead.equalTokens * equalRankPart + neededTokens) / rate
  }
}
