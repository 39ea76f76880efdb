/**
 * What it costs to take an offer, in milliseconds, for the choice among offers. Pure.
 */
import * as offers from './offers.js'

/** Cost of a decode server that keeps no room, in milliseconds. */
const noRoomMs = 60_000

/** Returns the time until a prefill would have ended. */
export function getPrefillCost ({ answer, candidate }: offers.Offered): number {
  return answer.waitMs + answer.serviceMs + candidate.wayMs
}

/** A fuller decode server takes longer for each step; one that keeps no room comes last. */
export function getDecodeCost ({ answer, candidate }: offers.Offered): number {
  const { queued, running, slots } = answer.load
  const fill = slots === 0 ? 1 : (running + queued) / slots
  const refusedMs = answer.reservation === undefined ? noRoomMs : 0
  return refusedMs + answer.waitMs + (1 + fill) * answer.serviceMs + candidate.wayMs
}
