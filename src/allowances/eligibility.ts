/**
 * Decides when this process may try to become the leaseholder of a shard.
 *
 * The holder of an earlier term may extend it without the store by promises. Until that is ruled out, only processes
 * whose promise it would need may take over: the named standbys, and the holder's own VM once its process has ended.
 */
import * as placement from './placement.js'
import * as records from './record.js'
import * as shardViews from './shard_view.js'
import * as timings from './timing.js'
import * as types from './types.js'

/** Delay between consecutive candidates for one shard, so that they do not all write at once. */
const staggerMs = 300

export interface Candidate {
  readonly shard: number
  readonly self: types.EntryVm
  readonly boot: string
  readonly entries: readonly types.EntryVm[]
  /** Until when this process has promised not to take the shard over. */
  readonly promisedUntilMs: number
  /** Highest term that this process has released voluntarily. */
  readonly releasedTerm: number
  readonly timing: timings.LeaseTiming
}

/** Returns the earliest time at which the candidate may try to take over, or `undefined` while the holder key exists. */
export function getTakeOverMs (view: shardViews.ShardView, candidate: Candidate): number | undefined {
  if (view.isHeld) {
    return undefined
  }
  const record = view.stored?.record
  if (record === undefined) {
    return view.vacantSinceMs + getRank(candidate) * staggerMs
  }
  const freeMs = Math.max(view.vacantSinceMs, candidate.promisedUntilMs)
  return freeMs + getDelayMs(record, candidate)
}

function getDelayMs (record: records.TermRecord, candidate: Candidate): number {
  const { self, boot, timing } = candidate
  const isOwn = record.holder.node === self.node
  if (isOwn && record.holderBoot === boot && record.term > candidate.releasedTerm) {
    return 0
  }
  if (record.successors.length === 0) {
    return getRank(candidate) * staggerMs
  }
  const index = record.successors.findIndex(successor => successor.node === self.node)
  if (index >= 0) {
    return index * staggerMs
  }
  if (isOwn) {
    return timings.getExpiryWaitMs(timing.promiseMs, timing) + record.successors.length * staggerMs
  }
  return timings.getExpiryWaitMs(timing.maximumExtensionMs, timing) + getRank(candidate) * staggerMs
}

function getRank (candidate: Candidate): number {
  const ranked = placement.rankEntries(candidate.shard, candidate.entries)
  return Math.max(0, ranked.findIndex(entry => entry.node === candidate.self.node))
}
