/**
 * The writes by which a leaseholder renews its hold on a shard: they keep the holder key bound to a valid lease, and
 * the record naming standbys that answer.
 */
import * as records from './record.js'
import * as shardTypes from './shard_types.js'
import * as tenures from './tenure.js'
import * as timings from './timing.js'
import * as types from './types.js'

export interface Situation {
  readonly self: types.EntryVm
  readonly entries: readonly types.EntryVm[]
  /** Whether this process has a valid lease. */
  readonly hasLease: boolean
  readonly nowMs: number
  readonly timing: timings.KeeperTiming
}

/** Returns the write that is due, if any. */
export function planWrite (own: tenures.Tenure, situation: Situation): shardTypes.Write | undefined {
  const { hasLease, nowMs } = situation
  if (own.leaseId === undefined) {
    return hasLease ? { record: own.record, expectedRevision: own.revision, holder: 'put' } : undefined
  }
  if (nowMs >= own.right.getLeaseUntilMs()) {
    return undefined
  }
  own.forgiveOthers(nowMs)
  const successors = chooseSuccessors(own, situation)
  const former = own.chooseFormer(successors)
  if (isSameSet(successors, own.record.successors) && isSameSet(former, own.record.former ?? [])) {
    return undefined
  }
  const record = { ...own.record, successors: [...successors], former: [...former] }
  return { record, expectedRevision: own.revision, holder: 'keep' }
}

/** Keeps the standbys as they are if the local quotas would otherwise add up to more than the allowances. */
function chooseSuccessors (own: tenures.Tenure, situation: Situation): readonly records.Member[] {
  const chosen = own.chooseSuccessors(situation.self, situation.entries)
  const shares = 1 + chosen.length + own.chooseFormer(chosen).length
  return shares * situation.timing.shareOfAllowance <= 1 ? chosen : own.record.successors
}

function isSameSet (one: readonly records.Member[], other: readonly records.Member[]): boolean {
  const nodes = new Set(one.map(member => member.node))
  return one.length === other.length && other.every(member => nodes.has(member.node))
}
