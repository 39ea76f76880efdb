/**
 * Free slots and memory pieces of a server over future time, as a step function.
 */

interface CapacityChange {
  readonly inMs: number
  readonly slots: number
  readonly pieces: number
}

export class CapacityProfile {
  private readonly changes: CapacityChange[] = []

  /** `slots` and `pieces` are the capacity that is free now. */
  constructor (private readonly slots: number, private readonly pieces: number) {}

  /** Adds capacity that becomes free at a time or, if negative, is taken. */
  add (inMs: number, slots: number, pieces: number): void {
    this.changes.push({ inMs, slots, pieces })
  }

  /**
   * Returns the earliest time, not before `fromMs`, from which on a slot and the pieces stay free; `undefined` if there
   * is none.
   */
  findCapacity (fromMs: number, pieces: number): number | undefined {
    this.changes.sort((one, other) => one.inMs - other.inMs)
    let free = this.sum()
    let readyMs: number | undefined
    for (const change of [...this.changes].reverse()) {
      if (change.inMs !== readyMs && (free.slots < 1 || free.pieces < pieces)) {
        return readyMs
      }
      if (change.inMs <= fromMs) {
        return fromMs
      }
      readyMs = change.inMs
      free = { slots: free.slots - change.slots, pieces: free.pieces - change.pieces }
    }
    return free.slots < 1 || free.pieces < pieces ? readyMs : fromMs
  }

  private sum (): { readonly slots: number, readonly pieces: number } {
    let { slots, pieces } = this
    for (const change of this.changes) {
      slots += change.slots
      pieces += change.pieces
    }
    return { slots, pieces }
  }
}
