/**
 * A token bucket that limits retries to a fraction of the requests, so that retries cannot multiply the load.
 */

/** Retries added to the budget by each request. */
const retriesPerRequest = 0.1

/** Capacity of the budget, in retries. */
const maximumBalance = 20

export class RetryBudget {
  private balance = maximumBalance

  /** Adds the share of one request to the budget. */
  earn (): void {
    this.balance = Math.min(maximumBalance, this.balance + retriesPerRequest)
  }

  /** Takes one retry out of the budget; returns false if there is none. */
  trySpend (): boolean {
    if (this.balance < 1) {
      return false
    }
    this.balance -= 1
    return true
  }
}
