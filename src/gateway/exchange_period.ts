/**
 * How often two gateways exchange their states.
 */

/** Period with few gateways, in milliseconds: short beside a prefill. */
const shortestPeriodMs = 100
/** Gateways up to which the shortest period holds; beyond, the exchanges a second of one gateway stay the same. */
const gatewaysAtShortestPeriod = 6

/** Returns the period in milliseconds for so many gateways. */
export function getExchangePeriodMs (gateways: number): number {
  return shortestPeriodMs * Math.max(1, gateways / gatewaysAtShortestPeriod)
}
