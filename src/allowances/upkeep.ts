/**
 * The writes by which a keeper keeps its shard: its holder key bound to a live lease, and the record naming
 * successors that answer.
 */
import * as records from './record.js'
import * as shardTypes from './shard_types.js'
import * as tenures from './tenure.js'
import * as types from './types.js'

export interface Situation {
  readonly self: types.EntryVm
  readonly entries: readonly types.EntryVm[]
  /** Whether this process has a live lease. */
  readonly hasLease: boolean
  readonly nowMs: number
}

/** Returns the write that is due, if any. */
export function planWrite (own: tenures.Tenure, situation: Situation): shardTypes.Write | undefined {
  const { self, entries, hasLease, nowMs } = situation
  if (own.leaseId === undefined) {
    return hasLease ? { record: own.record, expectedRevision: own.revision, holder: 'put' } : undefined
  }
  if (nowMs >= own.right.getLeaseUntilMs()) {
    return undefined
  }
  own.forgiveOthers(nowMs)
  const successors = own.chooseSuccessors(self, entries)
  if (isSameSet(successors, own.record.successors)) {
    return undefined
  }
  const record = { ...own.record, successors: [...successors] }
  return { record, expectedRevision: own.revision, holder: 'keep' }
}

function isSameSet (one: readonly records.Member[], other: readonly records.Member[]): boolean {
  const nodes = new Set(one.map(member => member.node))
  return one.length === other.length && other.every(member => nodes.has(member.node))
}
