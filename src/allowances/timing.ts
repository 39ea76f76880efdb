/**
 * Timing of the leaseholders of shards and their clients.
 */

export interface LeaseTiming {
  /** Time to live of a process's lease in the store, in milliseconds. */
  readonly leaseTtlMs: number
  /** Period of lease renewals, promise renewals and observations, in milliseconds. */
  readonly renewMs: number
  /** How long a promise of a standby lasts from the receipt of the request, in milliseconds. The same in all processes. */
  readonly promiseMs: number
  /** Time-out of a request to a standby, in milliseconds. */
  readonly promiseTimeoutMs: number
  /** An entry accepts a grant only within this time of sending the charge, in milliseconds. */
  readonly grantTtlMs: number
  /** Time-out of a charge over all attempts of a client, in milliseconds. */
  readonly chargeTimeoutMs: number
  /** Delay of a client before it retries a charge, in milliseconds. */
  readonly retryMs: number
  /** A leaseholder stops this long after its last contact with the store, in milliseconds. The same in all processes. */
  readonly maximumExtensionMs: number
  /** Greatest relative difference between the rates of two monotonic clocks. */
  readonly clockDrift: number
  /** Longest time from a charge to its settlement, in milliseconds; after it, all charged tokens count as used. */
  readonly chargeRetentionMs: number
  /** How long the tombstone of a settled charge is kept, so that a repeated or late one is not counted, in milliseconds. */
  readonly tombstoneMs: number
  /** Maximum number of standbys named by a leaseholder. */
  readonly standbys: number
  /** Fraction of rate and burst that each process with a local quota may use alone. The same in all processes. */
  readonly localQuotaFraction: number
  /**
   * How long a local quota may be used after the last contact of all processes that have one, in milliseconds. The same
   * in all processes.
   */
  readonly localQuotaMs: number
}

export const defaultTiming: LeaseTiming = {
  leaseTtlMs: 3000,
  renewMs: 1000,
  promiseMs: 3000,
  promiseTimeoutMs: 300,
  grantTtlMs: 400,
  chargeTimeoutMs: 1500,
  retryMs: 20,
  maximumExtensionMs: 3_600_000,
  clockDrift: 0.002,
  chargeRetentionMs: 600_000,
  tombstoneMs: 30_000,
  standbys: 4,
  localQuotaFraction: 0.05,
  localQuotaMs: 600_000
}

/** Returns how long the holder of a lease or promise of `ttlMs` may rely on it, given the clock drift. */
export function getUsableMs (ttlMs: number, timing: LeaseTiming): number {
  return ttlMs * (1 - timing.clockDrift)
}

/** Returns how long another process must wait until a lease or promise of `ttlMs` has certainly expired. */
export function getExpiryWaitMs (ttlMs: number, timing: LeaseTiming): number {
  return ttlMs * (1 + timing.clockDrift)
}
