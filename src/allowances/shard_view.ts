/**
 * Latest observed state of a shard's keys. Watches, reads and the answers to writes may arrive out of order: the
 * observation with the highest store revision wins.
 */
import * as records from './record.js'

/** State of a shard's keys in the store. */
export interface ShardView {
  readonly stored: records.StoredRecord | undefined
  /** Whether the holder key exists. */
  readonly isHeld: boolean
  /** Time at which this process first observed this record revision without a holder key. */
  readonly vacantSinceMs: number
}

/** A shard's keys as of one revision of the store. */
export interface Observation {
  readonly stored: records.StoredRecord | undefined
  readonly isHeld: boolean
  /** Revision of the store up to which all changes of the keys are included. */
  readonly storeRevision: number
}

export class LatestView {
  private view: ShardView
  private storeRevision = 0

  /** Before the first observation the shard counts as held. */
  constructor (nowMs: number) {
    this.view = { stored: undefined, isHeld: true, vacantSinceMs: nowMs }
  }

  get current (): ShardView {
    return this.view
  }

  /** Applies an observation unless a later one has been applied. */
  update (observation: Observation, nowMs: number): void {
    const { stored, isHeld, storeRevision } = observation
    if (storeRevision < this.storeRevision) {
      return
    }
    this.storeRevision = storeRevision
    const isSame = stored?.revision === this.view.stored?.revision && isHeld === this.view.isHeld
    if (!isSame) {
      this.view = { stored, isHeld, vacantSinceMs: nowMs }
    }
  }
}
