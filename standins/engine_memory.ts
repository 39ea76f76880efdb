/**
 * Memory of an engine, in pieces, with its holders.
 */
import * as host from '../src/host/types.js'

/** Pieces held for one request or one exported KV cache. */
export class Holding {
  constructor (private readonly memory: PieceMemory, public label: string, private count: number) {}

  get pieces (): number {
    return this.count
  }

  /** Takes one more piece. Returns false when none is free. */
  tryGrow (): boolean {
    if (this.memory.free < 1) {
      return false
    }
    this.count += 1
    this.memory.noteUse(1)
    return true
  }

  /** Gives all pieces back. Calling it twice is harmless. */
  release (): void {
    this.memory.noteUse(-this.count)
    this.memory.remove(this)
    this.count = 0
  }
}

export class PieceMemory {
  private readonly holdings = new Set<Holding>()
  private used = 0
  private peak = 0
  /** When the last piece was given back, on the wall clock in milliseconds; `undefined` while any is held. */
  private emptySinceMs: number | undefined

  constructor (readonly total: number, private readonly clock: host.Clock) {
    this.emptySinceMs = clock.wallMs()
  }

  get free (): number {
    return this.total - this.used
  }

  /** Takes pieces for a holder; `undefined` when too few are free. */
  tryTake (label: string, pieces: number): Holding | undefined {
    if (pieces > this.free) {
      return undefined
    }
    const holding = new Holding(this, label, pieces)
    this.holdings.add(holding)
    this.noteUse(pieces)
    return holding
  }

  noteUse (pieces: number): void {
    this.used += pieces
    this.peak = Math.max(this.peak, this.used)
    if (this.used > 0) {
      this.emptySinceMs = undefined
    } else {
      this.emptySinceMs ??= this.clock.wallMs()
    }
  }

  remove (holding: Holding): void {
    this.holdings.delete(holding)
  }

  describe (): object {
    const holders = [...this.holdings].map(holding => ({ label: holding.label, pieces: holding.pieces }))
    return { total: this.total, used: this.used, peak: this.peak, emptySinceMs: this.emptySinceMs, holders }
  }
}
