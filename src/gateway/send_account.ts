/**
 * Accounts for the sends of one request against the retry budget. Its first send is free, and so is the first prefill that a server
 * accepts; a prefill that a server rejects counts like any other send.
 */
import * as retryBudgets from './retry_budget.js'
import * as types from './types.js'

export class SendAccount {
  /** Whether the request was sent to a server to be run. */
  hasSentRun = false
  private counted = 0
  private hasPrefilled = false
  /** Credit for the next send. */
  private reserved: retryBudgets.RetryCredit | undefined
  /** Credit that the latest send used. */
  private used: retryBudgets.RetryCredit | undefined

  constructor (private readonly retries: retryBudgets.RetryBudget, private readonly service: string) {}

  /** Whether the next send is a retry. */
  get isRetry (): boolean {
    return this.counted > 0
  }

  /** Makes sure that there is credit for the next send; returns false if not. */
  reserve (): boolean {
    if (!this.isRetry || (this.reserved !== undefined && !this.retries.isExpired(this.reserved))) {
      return true
    }
    this.reserved = this.retries.take(this.service)
    return this.reserved !== undefined
  }

  /** Counts a send, for which credit was reserved. */
  recordSend (purpose: types.ForwardPlan['purpose'] = 'run'): void {
    this.hasSentRun ||= purpose === 'run'
    this.counted += 1
    this.used = this.reserved
    this.reserved = undefined
  }

  /** Takes back the latest send, which has not reached a server. */
  recordUnsent (): void {
    this.counted -= 1
    this.reserved = this.used
    this.used = undefined
  }

  /** Records that a server has accepted the latest send, a prefill. */
  recordPrefilled (): void {
    if (!this.hasPrefilled) {
      this.hasPrefilled = true
      this.recordUnsent()
    }
  }

  /** Gives back the credit that was not used. */
  release (): void {
    if (this.reserved !== undefined) {
      this.retries.giveBack(this.reserved)
      this.reserved = undefined
    }
  }
}
