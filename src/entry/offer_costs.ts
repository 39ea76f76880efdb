/**
 * Costs by which offers are compared, in milliseconds. Pure functions.
 */
import * as offers from './offers.js'

/** Cost added to a decode server that made no reservation, in milliseconds. */
const noReservationCostMs = 60_000

/** Returns the time until the prefill would end. */
export function getPrefillCostMs ({ answer, candidate }: offers.ServerOffer): number {
  return answer.waitMs + answer.serviceMs + candidate.networkMs
}

/** Weights the step time by occupancy, because a fuller decode server is slower. Offers without a reservation come last. */
export function getDecodeCostMs ({ answer, candidate }: offers.ServerOffer): number {
  const { queued, running, slots } = answer.load
  const occupancy = slots === 0 ? 1 : (running + queued) / slots
  const penaltyMs = answer.reservation === undefined ? noReservationCostMs : 0
  return penaltyMs + answer.waitMs + (1 + occupancy) * answer.serviceMs + candidate.networkMs
}
