/**
 * Converts the decision on a charge into the answer that is sent to the requesting entry.
 */
import * as shardBuckets from './shard_buckets.js'
import * as protocol from '../contracts/protocol.js'
import * as verdicts from '../contracts/verdict.js'

export type ChargeAnswer = protocol.Answer<'allowance.charge'>

/** Returns the answer for a leaseholder's decision in a term; `retryMs` is the pause before a retry. */
export function createChargeAnswer (decision: shardBuckets.Decision, term: number, retryMs: number): ChargeAnswer {
  const refused = { granted: false, term, retryAfterMs: 0 }
  switch (decision.kind) {
    case 'granted':
      return { granted: true, term, retryAfterMs: 0 }
    case 'exhausted':
      return { ...refused, reason: 'exhausted', retryAfterMs: decision.retryAfterMs }
    case 'exceeds_burst':
      return { ...refused, reason: 'exceeds_burst', burstTokens: decision.burstTokens }
    case 'settled':
      return { ...refused, reason: 'settled' }
    case 'floor_reached':
    case 'unknown_workspace':
      return { ...refused, reason: 'not_yet', retryAfterMs: retryMs }
    default:
      return verdicts.assertNever(decision)
  }
}
