/**
 * Least-squares lines through measured points.
 */

export interface Point {
  readonly x: number
  readonly y: number
}

export interface Line {
  readonly slope: number
  readonly intercept: number
}

/** Fits y = intercept + slope * x. */
export function fitLine (points: readonly Point[]): Line {
  const meanX = getMean(points.map(point => point.x))
  const meanY = getMean(points.map(point => point.y))
  let covariance = 0
  let variance = 0
  for (const point of points) {
    covariance += (point.x - meanX) * (point.y - meanY)
    variance += (point.x - meanX) ** 2
  }
  const slope = variance === 0 ? 0 : covariance / variance
  return { slope, intercept: meanY - slope * meanX }
}

function getMean (values: readonly number[]): number {
  let sum = 0
  for (const value of values) {
    sum += value
  }
  return sum / values.length
}
