/**
 * The writes by which a leaseholder renews its hold on a shard: they keep the holder key bound to a valid lease, and
 * the record naming standbys that answer.
 */
import * as records from './record.js'
import * as shardTypes from './shard_types.js'
import * as leaseholderStates from './leaseholder_state.js'
import * as timings from './timing.js'
import * as types from './types.js'

export interface RenewalContext {
  readonly self: types.EntryVm
  readonly entries: readonly types.EntryVm[]
  /** Whether this process has a valid lease. */
  readonly hasLease: boolean
  readonly nowMs: number
  readonly timing: timings.LeaseTiming
}

/** Returns the write that is due, if any. */
export function planWrite (own: leaseholderStates.LeaseholderState, context: RenewalContext): shardTypes.Write | undefined {
  const { hasLease, nowMs } = context
  if (own.leaseId === undefined) {
    return hasLease ? { record: own.record, expectedRevision: own.revision, holder: 'put' } : undefined
  }
  if (nowMs >= own.validity.getLeaseUntilMs()) {
    return undefined
  }
  own.resetFailures(nowMs)
  const standbys = chooseStandbys(own, context)
  const removed = own.listRemoved(standbys)
  if (isSameSet(standbys, own.record.successors) && isSameSet(removed, own.record.former ?? [])) {
    return undefined
  }
  const record = { ...own.record, successors: [...standbys], former: [...removed] }
  return { record, expectedRevision: own.revision, holder: 'keep' }
}

/** Keeps the standbys as they are if the local quotas would otherwise add up to more than the allowances. */
function chooseStandbys (own: leaseholderStates.LeaseholderState, context: RenewalContext): readonly records.Member[] {
  const chosen = own.chooseStandbys(context.self, context.entries)
  const quotas = 1 + chosen.length + own.listRemoved(chosen).length
  return quotas * context.timing.localQuotaFraction <= 1 ? chosen : own.record.successors
}

function isSameSet (one: readonly records.Member[], other: readonly records.Member[]): boolean {
  const nodes = new Set(one.map(member => member.node))
  return one.length === other.length && other.every(member => nodes.has(member.node))
}
