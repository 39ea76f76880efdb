/**
 * A budget of retries: a share of the requests, so that retries cannot multiply the load.
 */

/** Retries that each request earns. */
const retriesPerRequest = 0.1

/** Most retries that can be saved up. */
const maximumSaved = 20

export class RetryBudget {
  private saved = maximumSaved

  /** Counts a request. */
  earn (): void {
    this.saved = Math.min(maximumSaved, this.saved + retriesPerRequest)
  }

  /** Takes one retry out of the budget; false when there is none. */
  trySpend (): boolean {
    if (this.saved < 1) {
      return false
    }
    this.saved -= 1
    return true
  }
}
