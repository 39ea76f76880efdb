/**
 * Percentiles of measured values.
 */

/** Returns the value below which a share in [0, 1] of the values lies. */
export function getPercentile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((first, second) => first - second)
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share))
  return sorted[index] ?? Number.NaN
}
