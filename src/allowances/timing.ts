/**
 * Times of the keepers and their clients.
 */

export interface KeeperTiming {
  /** Time to live of a process's lease in the store, in milliseconds. */
  readonly leaseTtlMs: number
  /** Period of lease renewals, promise renewals and observations, in milliseconds. */
  readonly renewMs: number
  /** How long a successor's promise lasts from its receipt, in milliseconds. The same in all processes. */
  readonly promiseMs: number
  /** Longest wait for the answer of a successor, in milliseconds. */
  readonly promiseTimeoutMs: number
  /** An entry accepts a grant only within this time of sending the charge, in milliseconds. */
  readonly grantTtlMs: number
  /** Longest time in which a client keeps trying to charge, in milliseconds. */
  readonly chargeBoundMs: number
  /** Pause of a client before it asks a keeper again, in milliseconds. */
  readonly retryMs: number
  /** A keeper stops this long after its last contact with the store, in milliseconds. The same in all processes. */
  readonly maximumExtensionMs: number
  /** Greatest relative difference between the rates of two monotonic clocks. */
  readonly clockDrift: number
  /** Longest time from a charge to its settlement, in milliseconds; after it the bound counts as used. */
  readonly chargeKeptMs: number
  /** How long a settled charge is remembered, so that a repeated or late one is not counted, in milliseconds. */
  readonly tombstoneMs: number
  /** Successors named by a keeper, at most. */
  readonly successors: number
  /** Part of rate and burst that each process with a share may use by itself. The same in all processes. */
  readonly shareOfAllowance: number
  /** How long a share may be used after the last contact of all who have one, in milliseconds. The same in all processes. */
  readonly shareMs: number
}

export const defaultTiming: KeeperTiming = {
  leaseTtlMs: 3000,
  renewMs: 1000,
  promiseMs: 3000,
  promiseTimeoutMs: 300,
  grantTtlMs: 400,
  chargeBoundMs: 1500,
  retryMs: 20,
  maximumExtensionMs: 3_600_000,
  clockDrift: 0.002,
  chargeKeptMs: 600_000,
  tombstoneMs: 30_000,
  successors: 4,
  shareOfAllowance: 0.05,
  shareMs: 600_000
}

/** Returns how long a right of `ttlMs` may be believed by the one who holds it. */
export function getBelievedMs (ttlMs: number, timing: KeeperTiming): number {
  return ttlMs * (1 - timing.clockDrift)
}

/** Returns how long one who waits for a right of `ttlMs` to end must wait. */
export function getOutwaitMs (ttlMs: number, timing: KeeperTiming): number {
  return ttlMs * (1 + timing.clockDrift)
}
