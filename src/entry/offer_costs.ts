/**
 * Costs by which offers are compared, in milliseconds. Pure functions.
 */
import * as offers from './offers.js'

/** Cost added to a decode server that made no reservation, in milliseconds. */
const noRoomMs = 60_000

/** Returns the time until the prefill would end. */
export function getPrefillCost ({ answer, candidate }: offers.Offered): number {
  return answer.waitMs + answer.serviceMs + candidate.wayMs
}

/** Weights the step time by occupancy, because a fuller decode server is slower. Offers without a reservation come last. */
export function getDecodeCost ({ answer, candidate }: offers.Offered): number {
  const { queued, running, slots } = answer.load
  const fill = slots === 0 ? 1 : (running + queued) / slots
  const refusedMs = answer.reservation === undefined ? noRoomMs : 0
  return refusedMs + answer.waitMs + (1 + fill) * answer.serviceMs + candidate.wayMs
}
