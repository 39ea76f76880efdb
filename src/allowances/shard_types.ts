/**
 * What the shards of allowances exchange with the process around them.
 */
import * as records from './record.js'
import * as shardViews from './shard_view.js'
import * as succession from './succession.js'
import * as tenures from './tenure.js'
import * as timings from './timing.js'
import * as types from './types.js'

/** The lease of this process, as far as it is known to live. */
export interface ProcessLease {
  readonly id: string
  /** When its last successful grant or renewal was sent, in milliseconds. */
  readonly sentMs: number
}

/** A change of the shard's keys; made only if the record is still at the expected revision, 0 for none. */
export interface Write {
  readonly record: records.TermRecord
  readonly expectedRevision: number
  /** `put` writes the holder key and requires that there is none. */
  readonly holder: 'put' | 'keep' | 'delete'
}

/** A write was made. */
export interface Success {
  readonly kind: 'written'
  /** Revision of the record since then. */
  readonly revision: number
  readonly storeRevision: number
}

/** A write was refused; what the keys were at a revision of the store. */
export interface Refusal {
  readonly kind: 'refused'
  readonly stored: records.StoredRecord | undefined
  /** Lease of the holder key. */
  readonly holderLease: string | undefined
  readonly storeRevision: number
}

export type Outcome =
  | Success
  | Refusal
  /** Certainly without effect. */
  | { readonly kind: 'not_run' }
  | { readonly kind: 'unknown' }

export type Event =
  | { readonly kind: 'observed', readonly sighting: shardViews.Sighting }
  | { readonly kind: 'lease', readonly lease: ProcessLease | undefined }
  | { readonly kind: 'outcome', readonly write: Write, readonly leaseId: string | undefined, readonly outcome: Outcome }
  | { readonly kind: 'answer', readonly node: string, readonly sentMs: number, readonly answer: succession.PromiseAnswer | undefined }
  | { readonly kind: 'tick', readonly entries: readonly types.EntryVm[] }
  | { readonly kind: 'leave' }

export type Action =
  | { readonly kind: 'write', readonly write: Write, readonly leaseId: string | undefined }
  | { readonly kind: 'want_lease' }
  | { readonly kind: 'promise', readonly outgoing: tenures.Outgoing }
  | { readonly kind: 'report', readonly change: 'acquired' | 'extended' | 'shared' | 'lost', readonly term: number }

/** What a process knows about itself. */
export interface ShardOwner {
  readonly shard: number
  readonly self: types.EntryVm
  readonly boot: string
  readonly succession: succession.Succession
  readonly timing: timings.KeeperTiming
}
