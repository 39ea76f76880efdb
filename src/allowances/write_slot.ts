/**
 * The single write of a shard's keys that may be in flight. A write of unknown outcome is retried until the store has
 * decided it. Its comparison can succeed only once, so that no late copy of it takes effect.
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

  /** The write whose outcome is not decided yet. */
  get current (): shardTypes.Write | undefined {
    return this.pending?.write
  }

  fill (write: shardTypes.Write): void {
    this.pending = { write, isInFlight: false, isUncertain: false }
  }

  clear (): void {
    this.pending = undefined
  }

  /** Returns the write if it is to be sent now, and marks it as in flight. */
  take (): shardTypes.Write | undefined {
    if (this.pending === undefined || this.pending.isInFlight) {
      return undefined
    }
    this.pending.isInFlight = true
    return this.pending.write
  }

  /** Records an outcome. Returns whether it decides the pending write; false for any other write. */
  recordOutcome (write: shardTypes.Write, outcome: shardTypes.Outcome): boolean {
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
