/**
 * Accounts for the engine's KV cache memory, in pieces (blocks of the cache).
 */

/** Memory of one attempt. */
export interface Allocation {
  /** Pieces held now. */
  held: number
  /** Pieces that the attempt is expected to hold at its end; never less than `held`. */
  expected: number
  /** Pieces needed beyond the engine's memory; the engine preempts requests until they are free. */
  deficit: number
  /** Upper bound of the pieces that the attempt holds. */
  readonly maximum: number
}

/** Pieces that an attempt needs at its start, is expected to need, and needs at most. */
export interface PieceDemand {
  readonly initial: number
  readonly expected: number
  readonly maximum: number
}

export class MemoryLedger {
  private readonly allocations = new Set<Allocation>()
  private held = 0
  private expected = 0
  private deficit = 0

  constructor (private total: number, readonly pieceTokens: number) {}

  get totalPieces (): number {
    return this.total
  }

  get heldPieces (): number {
    return this.held
  }

  /** The sum of the expected pieces of all attempts. */
  get expectedPieces (): number {
    return this.expected
  }

  /** The number of pieces that are neither held nor expected to be. */
  get freePieces (): number {
    return Math.max(0, this.total - Math.max(this.held, this.expected))
  }

  /** Changes the size of the memory. Held pieces are not affected. */
  resize (totalPieces: number): void {
    this.total = totalPieces
  }

  countPieces (tokens: number): number {
    return this.total === 0 ? 0 : Math.ceil(tokens / this.pieceTokens)
  }

  /** Returns whether the demand fits if `reserved` further pieces must stay free. */
  fits (demand: PieceDemand, reserved: number): boolean {
    return this.deficit === 0 && this.expected + reserved + demand.expected <= this.total
  }

  /** Returns whether the demand fits into the empty memory. */
  couldFit (demand: PieceDemand): boolean {
    return demand.maximum <= this.total
  }

  allocate (demand: PieceDemand): Allocation {
    const allocation = { held: 0, expected: demand.expected, deficit: 0, maximum: demand.maximum }
    this.allocations.add(allocation)
    this.expected += allocation.expected
    this.raise(allocation, demand.initial)
    return allocation
  }

  /** Records that the attempt has grown to `tokens` tokens. */
  grow (allocation: Allocation, tokens: number): void {
    const pieces = Math.min(allocation.maximum, this.countPieces(tokens))
    if (pieces > allocation.held + allocation.deficit) {
      this.raise(allocation, pieces)
    }
  }

  /** Frees all pieces of an attempt. A second call has no effect. */
  release (allocation: Allocation): void {
    if (!this.allocations.delete(allocation)) {
      return
    }
    this.held -= allocation.held
    this.deficit -= allocation.deficit
    this.expected -= allocation.expected
    this.coverDeficits()
  }

  /** Lowers the expected pieces to the held ones, for an attempt that does not grow any more. */
  freeze (allocation: Allocation): void {
    if (!this.allocations.has(allocation)) {
      return
    }
    this.expected -= allocation.expected - allocation.held
    allocation.expected = allocation.held
    this.deficit -= allocation.deficit
    allocation.deficit = 0
  }

  private raise (allocation: Allocation, pieces: number): void {
    const wanted = pieces - allocation.held - allocation.deficit
    const taken = Math.min(wanted, Math.max(0, this.total - this.held))
    allocation.held += taken
    this.held += taken
    allocation.deficit += wanted - taken
    this.deficit += wanted - taken
    if (pieces > allocation.expected) {
      this.expected += allocation.maximum - allocation.expected
      allocation.expected = allocation.maximum
    }
  }

  private coverDeficits (): void {
    if (this.deficit === 0) {
      return
    }
    for (const allocation of this.allocations) {
      const covered = Math.min(allocation.deficit, this.total - this.held)
      if (covered <= 0) {
        continue
      }
      allocation.deficit -= covered
      allocation.held += covered
      this.deficit -= covered
      this.held += covered
    }
  }
}
