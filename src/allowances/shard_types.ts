/**
 * Events, actions and store writes that the state machine of a shard of allowances exchanges with its process.
 */
import * as records from './record.js'
import * as shardViews from './shard_view.js'
import * as standbys from './standby.js'
import * as leaseholderStates from './leaseholder_state.js'
import * as timings from './timing.js'
import * as types from './types.js'

/** The store lease of this process, as of its last confirmed renewal. */
export interface ProcessLease {
  readonly id: string
  /** Time at which the last successful grant or renewal was sent. */
  readonly sentMs: number
}

/** A conditional write of the shard's keys: applied only if the record is still at the expected revision, 0 if there must be none. */
export interface Write {
  readonly record: records.TermRecord
  readonly expectedRevision: number
  /** `put` writes the holder key and requires that it does not exist. */
  readonly holder: 'put' | 'keep' | 'delete'
}

/** The write was applied. */
export interface Success {
  readonly kind: 'written'
  /** Revision of the record after the write. */
  readonly revision: number
  readonly storeRevision: number
}

/** The write was refused; gives the keys as of a revision of the store. */
export interface Refusal {
  readonly kind: 'refused'
  readonly stored: records.StoredRecord | undefined
  /** Lease to which the holder key is bound; `undefined` without a holder key. */
  readonly holderLease: string | undefined
  readonly storeRevision: number
}

export type Outcome =
  | Success
  | Refusal
  /** The write certainly had no effect. */
  | { readonly kind: 'not_run' }
  | { readonly kind: 'unknown' }

export type Event =
  | { readonly kind: 'observed', readonly observation: shardViews.Observation }
  | { readonly kind: 'lease', readonly lease: ProcessLease | undefined }
  | { readonly kind: 'outcome', readonly write: Write, readonly leaseId: string | undefined, readonly outcome: Outcome }
  | { readonly kind: 'answer', readonly node: string, readonly sentMs: number, readonly answer: standbys.PromiseAnswer | undefined }
  | { readonly kind: 'tick', readonly entries: readonly types.EntryVm[] }
  | { readonly kind: 'leave' }

export type Action =
  | { readonly kind: 'write', readonly write: Write, readonly leaseId: string | undefined }
  | { readonly kind: 'want_lease' }
  | { readonly kind: 'promise', readonly outgoing: leaseholderStates.PeerRequest }
  | { readonly kind: 'report', readonly change: 'acquired' | 'extended' | 'shared' | 'lost', readonly term: number }

/** The shard's number, the identity of this process, and its dependencies. */
export interface ShardContext {
  readonly shard: number
  readonly self: types.EntryVm
  readonly boot: string
  readonly succession: standbys.Standby
  readonly timing: timings.LeaseTiming
}
