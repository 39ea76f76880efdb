/**
 * The write by which a process becomes the keeper of a shard.
 */
import * as eligibility from './eligibility.js'
import * as placement from './placement.js'
import * as records from './record.js'
import * as shardTypes from './shard_types.js'

/** Returns the write for the next term after the one in view. */
export function createTakeOver (view: eligibility.ShardView, candidate: eligibility.Candidate): shardTypes.Write {
  const earlier = view.stored
  const { self, boot } = candidate
  const record: records.TermRecord = {
    term: (earlier?.record.term ?? 0) + 1,
    holder: { node: self.node, address: self.address },
    holderBoot: boot,
    successors: createSuccessors(earlier?.record, candidate)
  }
  return { record, expectedRevision: earlier?.revision ?? 0, holder: 'put' }
}

/** A new holder starts with the successors of the old one, less itself; the old holder's VM may be gone. */
function createSuccessors (
  earlier: records.TermRecord | undefined, candidate: eligibility.Candidate
): records.Member[] {
  const { shard, self, entries, timing } = candidate
  if (earlier !== undefined) {
    return earlier.successors.filter(member => member.node !== self.node)
  }
  const chosen = placement.chooseSuccessors(shard, self, entries, timing.successors)
  return chosen.map(entry => ({ node: entry.node, address: entry.address }))
}
