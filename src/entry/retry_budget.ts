/**
 * A token bucket that limits retries to a fraction of the requests, so that retries cannot multiply the load.
 */

/** Retries added to the budget by each request. */
const retriesPerRequest = 0.1

/** Capacity of the budget, in retries. */
const maximumSaved = 20

export class RetryBudget {
  private saved = maximumSaved

  /** Adds the share of one request to the budget. */
  earn (): void {
    this.saved = Math.min(maximumSaved, this.saved + retriesPerRequest)
  }

  /** Takes one retry out of the budget; returns false if there is none. */
  trySpend (): boolean {
    if (this.saved < 1) {
      return false
    }
    this.saved -= 1
    return true
  }
}
