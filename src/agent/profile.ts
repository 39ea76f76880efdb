/**
 * Free slots and memory pieces of a server over future time, as a step function.
 */

interface Step {
  readonly inMs: number
  readonly slots: number
  readonly pieces: number
}

export class Profile {
  private readonly steps: Step[] = []

  /** `slots` and `pieces` are the capacity that is free now. */
  constructor (private readonly slots: number, private readonly pieces: number) {}

  /** Adds capacity that becomes free at a time or, if negative, is taken. */
  add (inMs: number, slots: number, pieces: number): void {
    this.steps.push({ inMs, slots, pieces })
  }

  /**
   * Returns the earliest time, not before `fromMs`, from which on a slot and the pieces stay free; `undefined` if there
   * is none.
   */
  findRoom (fromMs: number, pieces: number): number | undefined {
    this.steps.sort((one, other) => one.inMs - other.inMs)
    let room = this.sum()
    let readyMs: number | undefined
    for (const step of [...this.steps].reverse()) {
      if (step.inMs !== readyMs && (room.slots < 1 || room.pieces < pieces)) {
        return readyMs
      }
      if (step.inMs <= fromMs) {
        return fromMs
      }
      readyMs = step.inMs
      room = { slots: room.slots - step.slots, pieces: room.pieces - step.pieces }
    }
    return room.slots < 1 || room.pieces < pieces ? readyMs : fromMs
  }

  private sum (): { readonly slots: number, readonly pieces: number } {
    let { slots, pieces } = this
    for (const step of this.steps) {
      slots += step.slots
      pieces += step.pieces
    }
    return { slots, pieces }
  }
}
