/**
 * The one write of a shard's keys that may be under way. A write of unknown outcome is sent again until the store
 * has decided it: its comparison can hold only once, so that no copy of it takes effect later.
 */
import * as shardTypes from './shard_types.js'

interface Pending {
  readonly write: shardTypes.Write
  isInFlight: boolean
  /** Whether an attempt may have taken effect. */
  isUncertain: boolean
}

export class WriteSlot {
  private pending: Pending | undefined

  /** The write that is not yet decided. */
  get current (): shardTypes.Write | undefined {
    return this.pending?.write
  }

  fill (write: shardTypes.Write): void {
    this.pending = { write, isInFlight: false, isUncertain: false }
  }

  clear (): void {
    this.pending = undefined
  }

  /** Returns the write if it is to be sent now, and counts it as sent. */
  take (): shardTypes.Write | undefined {
    if (this.pending === undefined || this.pending.isInFlight) {
      return undefined
    }
    this.pending.isInFlight = true
    return this.pending.write
  }

  /** Takes note of an outcome. Returns whether the write is decided by it; false also for another write. */
  conclude (write: shardTypes.Write, outcome: shardTypes.Outcome): boolean {
    const pending = this.pending
    if (pending === undefined || pending.write !== write) {
      return false
    }
    pending.isInFlight = false
    if (outcome.kind === 'unknown') {
      pending.isUncertain = true
    }
    if (outcome.kind === 'unknown' || (outcome.kind === 'not_run' && pending.isUncertain)) {
      return false
    }
    this.pending = undefined
    return true
  }
}
