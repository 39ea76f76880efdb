/**
 * The write by which a process becomes the leaseholder of a shard.
 */
import * as eligibility from './eligibility.js'
import * as placement from './placement.js'
import * as records from './record.js'
import * as shardTypes from './shard_types.js'
import * as shardViews from './shard_view.js'

/**
 * Returns the write for the term after the one in view. `isReleased` means that the earlier holder has reported that
 * it has stopped.
 */
export function createTakeOver (
  view: shardViews.ShardView, candidate: eligibility.Candidate, isReleased: boolean
): shardTypes.Write {
  const earlier = view.stored
  const { self, boot } = candidate
  const record: records.TermRecord = {
    term: (earlier?.record.term ?? 0) + 1,
    holder: { node: self.node, address: self.address },
    holderBoot: boot,
    successors: listStandbys(earlier?.record, candidate),
    former: listRemoved(earlier?.record, candidate, isReleased)
  }
  return { record, expectedRevision: earlier?.revision ?? 0, holder: 'put' }
}

/** Unless it was released, the earlier holder may still use its local quota, as may the members removed before it. */
function listRemoved (
  earlier: records.TermRecord | undefined, candidate: eligibility.Candidate, isReleased: boolean
): records.Member[] {
  if (earlier === undefined) {
    return []
  }
  const removed = earlier.former ?? []
  const all = isReleased ? removed : [...removed, earlier.holder]
  return all.filter(member => member.node !== candidate.self.node)
}

/** A new holder starts with the standbys of the old one, without itself. The old holder's VM may be gone. */
function listStandbys (
  earlier: records.TermRecord | undefined, candidate: eligibility.Candidate
): records.Member[] {
  const { shard, self, entries, timing } = candidate
  if (earlier !== undefined) {
    return earlier.successors.filter(member => member.node !== self.node)
  }
  const chosen = placement.chooseStandbys(shard, self, entries, timing.standbys)
  return chosen.map(entry => ({ node: entry.node, address: entry.address }))
}
