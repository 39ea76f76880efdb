/**
 * The limit of a cold server, and the token bucket that keeps it.
 *
 * Pattern: servers return after a crash or an evacuation while callers ask for far more than they take, and many gateways send to
 * them at the same moment. The bound applies to any one second and to all gateways, those out of contact included. Performs no input
 * or output.
 */

/** Window of the bound, in milliseconds. */
const windowMs = 1_000
/** Time for which a permit for a cold server may be used after it was taken, in milliseconds. */
export const coldPermitMs = 300
/** Longest time between a grant and the moment at which it is taken, and spread of the way to the server, in milliseconds. */
const transitMs = 200
/**
 * Part of the bound that one issuer may use. Two gateways can take themselves for the issuer of a server for as long as they do not
 * see the same gateways, and gateways that their issuer does not answer use their shares besides.
 */
const issuerPart = 0.5
/** Depth of the bucket as a part of the bound. */
const depthPart = 0.05
/** Least rate as a part of the bound: applies to bounds of a few requests, of which the first permit takes more than half. */
const minimumRatePart = 0.2
/** Longest wait that is stated to a gateway, in milliseconds: a server may stop being cold at any time. */
const maximumWaitMs = 1_000
/** Time by which the rate can be overdrawn by requests without a permit, in milliseconds. */
const maximumDebtMs = 2_000

/** Rate and depth of a token bucket, in requests a second and requests. */
export interface ColdLimit {
  readonly perSecond: number
  readonly depth: number
}

/** What the operator tolerates beyond the rate of a cold server, in any one second. */
export interface ColdTolerance {
  /** Factor on the rate. */
  readonly over: number
  /** Requests in addition. */
  readonly slack: number
}

/** Returns the limit whose grants of one second stay within the bound, together with those that are used up to a permit's lifetime later. */
export function createColdLimit (perSecond: number, { over, slack }: ColdTolerance): ColdLimit {
  const bound = perSecond * over + slack
  if (bound < 1) {
    return { perSecond: 0, depth: 0 }
  }
  const depth = Math.max(1, bound * depthPart)
  const seconds = (windowMs + coldPermitMs + transitMs) / 1000
  const rate = Math.max(bound * minimumRatePart, (bound * issuerPart - depth) / seconds)
  return { perSecond: perSecond > 0 ? Math.min(rate, perSecond) : rate, depth }
}

/** Returns a part of a limit. */
export function scaleLimit ({ perSecond, depth }: ColdLimit, part: number): ColdLimit {
  return { perSecond: perSecond * part, depth: depth * part }
}

/**
 * Token bucket of one gateway. Where the gateway may issue less than one request at a time, an unused permit lapses and the next one
 * comes at a random moment: gateways out of contact, each with a saved-up permit, would otherwise use all of them in the same second.
 */
export class ColdBucket {
  private level: number
  private fullMs: number | undefined

  /** `nextUnit` returns random numbers in [0, 1). */
  constructor (private updatedMs: number, depth: number, private readonly nextUnit: () => number) {
    this.level = depth < 1 ? nextUnit() : 0
  }

  /** Takes up to `wanted` permits; `waitMs` is the time until the next one, in milliseconds. */
  take (wanted: number, limit: ColdLimit, nowMs: number): { readonly granted: number, readonly waitMs: number } {
    this.refill(limit, nowMs)
    const granted = Math.max(0, Math.min(wanted, Math.floor(this.level)))
    this.level -= granted
    return { granted, waitMs: this.getWaitMs(limit, nowMs) }
  }

  /** Counts requests that were sent without a permit. */
  spend (count: number, limit: ColdLimit, nowMs: number): void {
    this.refill(limit, nowMs)
    this.level = Math.max(Math.min(this.level, -limit.perSecond * maximumDebtMs / 1000), this.level - Math.max(0, count))
  }

  /** Time until the next permit, in milliseconds. */
  getWaitMs (limit: ColdLimit, nowMs: number): number {
    this.refill(limit, nowMs)
    return this.level >= 1 ? 0 : Math.min(maximumWaitMs, Math.ceil((1 - this.level) * 1000 / limit.perSecond))
  }

  /** Returns what `getWaitMs` would, without a change of state; a permit that lapses meanwhile is not foreseen. */
  observeWaitMs ({ perSecond, depth }: ColdLimit, nowMs: number): number {
    const level = Math.min(Math.max(1, depth), this.level + Math.max(0, nowMs - this.updatedMs) * perSecond / 1000)
    return level >= 1 ? 0 : Math.min(maximumWaitMs, Math.ceil((1 - level) * 1000 / perSecond))
  }

  private refill ({ perSecond, depth }: ColdLimit, nowMs: number): void {
    const capacity = Math.max(1, depth)
    const refilled = this.level + Math.max(0, nowMs - this.updatedMs) * perSecond / 1000
    this.level = Math.min(capacity, refilled)
    this.updatedMs = nowMs
    if (refilled < capacity || perSecond <= 0) {
      this.fullMs = undefined
      return
    }
    this.fullMs ??= nowMs - (refilled - capacity) * 1000 / perSecond
    if (depth < 1 && nowMs - this.fullMs > coldPermitMs) {
      this.level = this.nextUnit()
      this.fullMs = undefined
    }
  }
}
