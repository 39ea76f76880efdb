/**
 * Figures from what was sent and answered. Pure.
 */

/** Tokens charged to a workspace at a time. */
export interface Charge {
  readonly atMs: number
  readonly tokens: number
}

/** Rate in tokens a second, and burst in tokens. */
export interface Allowance {
  readonly rate: number
  readonly burst: number
}

/** A workspace's part in sharing what the fleet can serve. */
export interface Claim {
  readonly name: string
  readonly weight: number
  /** Tokens that it asked for inside its rate. */
  readonly demand: number
}

const secondMs = 1000

/** Returns the value below which the share of the values lies, by nearest rank; `undefined` for no values. */
export function getPercentile (values: readonly number[], share: number): number | undefined {
  const sorted = [...values].sort((first, second) => first - second)
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)]
}

/**
 * Tells for each charge, in order of time, whether it is inside the rate: whether a bucket that starts full and
 * takes only the charges inside the rate holds enough for it.
 */
export function findInside (charges: readonly Charge[], allowance: Allowance): boolean[] {
  let level = allowance.burst
  let lastMs = charges[0]?.atMs ?? 0
  const inside: boolean[] = []
  for (const { atMs, tokens } of charges) {
    level = Math.min(allowance.burst, level + (atMs - lastMs) * allowance.rate / secondMs)
    lastMs = atMs
    const isInside = tokens <= level
    inside.push(isInside)
    level -= isInside ? tokens : 0
  }
  return inside
}

/** Returns the tokens by which the worst window of time exceeds rate x window + burst; 0 if none does. */
export function getOvershoot (charges: readonly Charge[], allowance: Allowance): number {
  let worst = 0
  let excess = 0
  let lastMs = 0
  for (const { atMs, tokens } of [...charges].sort((first, second) => first.atMs - second.atMs)) {
    const earned = (atMs - lastMs) * allowance.rate / secondMs
    excess = Math.max(0, excess - earned) + tokens
    lastMs = atMs
    worst = Math.max(worst, excess - allowance.burst)
  }
  return worst
}

/**
 * Returns each workspace's fair share of `capacity` tokens: shared by weight, none above its demand, and what
 * one leaves goes to the others.
 */
export function getFairShares (claims: readonly Claim[], capacity: number): Map<string, number> {
  const shares = new Map<string, number>()
  let left = capacity
  let weight = claims.reduce((sum, claim) => sum + claim.weight, 0)
  const byNeed = [...claims].sort((first, second) => first.demand / first.weight - second.demand / second.weight)
  for (const claim of byNeed) {
    const share = Math.min(claim.demand, weight === 0 ? 0 : left * claim.weight / weight)
    shares.set(claim.name, share)
    left -= share
    weight -= claim.weight
  }
  return shares
}

/** Returns mean, least and largest of the values. */
export function getSpread (values: readonly number[]): { mean: number, least: number, largest: number } {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  return { mean, least: Math.min(...values), largest: Math.max(...values) }
}
