/**
 * A shard's keys as this process knows them from watches, reads and the answers to its writes, which may overtake one
 * another: what is known as of a later revision of the store stands.
 */
import * as records from './record.js'

/** A shard as the store shows it. */
export interface ShardView {
  readonly stored: records.StoredRecord | undefined
  /** Whether the holder key exists. */
  readonly isHeld: boolean
  /** Since when this process has seen the same record without a holder key, in milliseconds. */
  readonly vacantSinceMs: number
}

/** A shard's keys as of one revision of the store. */
export interface Sighting {
  readonly stored: records.StoredRecord | undefined
  readonly isHeld: boolean
  /** Revision of the store up to which this is all that has happened to the keys. */
  readonly storeRevision: number
}

export class LatestView {
  private view: ShardView
  private storeRevision = 0

  /** Before the first sighting the shard counts as held. */
  constructor (nowMs: number) {
    this.view = { stored: undefined, isHeld: true, vacantSinceMs: nowMs }
  }

  get current (): ShardView {
    return this.view
  }

  /** Takes note of a sighting unless a later one is known. */
  note (sighting: Sighting, nowMs: number): void {
    const { stored, isHeld, storeRevision } = sighting
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
