/**
 * Accounts for the engine's KV cache memory, in pieces (blocks of the cache).
 */

/** Memory of one attempt. */
export interface Holding {
  /** Pieces held now. */
  held: number
  /** Pieces that the attempt is expected to hold at its end; never less than `held`. */
  expected: number
  /** Pieces needed beyond the engine's memory; the engine preempts requests until they are free. */
  owed: number
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
  private readonly holdings = new Set<Holding>()
  private held = 0
  private expected = 0
  private owed = 0

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
  fits (demand: PieceDemand, promised: number): boolean {
    return this.owed === 0 && this.expected + promised + demand.expected <= this.total
  }

  /** Returns whether the demand fits into the empty memory. */
  couldFit (demand: PieceDemand): boolean {
    return demand.maximum <= this.total
  }

  take (demand: PieceDemand): Holding {
    const holding = { held: 0, expected: demand.expected, owed: 0, maximum: demand.maximum }
    this.holdings.add(holding)
    this.expected += holding.expected
    this.raise(holding, demand.initial)
    return holding
  }

  /** Records that the attempt has grown to `tokens` tokens. */
  grow (holding: Holding, tokens: number): void {
    const pieces = Math.min(holding.maximum, this.countPieces(tokens))
    if (pieces > holding.held + holding.owed) {
      this.raise(holding, pieces)
    }
  }

  /** Frees all pieces of an attempt. A second call has no effect. */
  release (holding: Holding): void {
    if (!this.holdings.delete(holding)) {
      return
    }
    this.held -= holding.held
    this.owed -= holding.owed
    this.expected -= holding.expected
    this.settleOwed()
  }

  /** Lowers the expected pieces to the held ones, for an attempt that does not grow any more. */
  freeze (holding: Holding): void {
    if (!this.holdings.has(holding)) {
      return
    }
    this.expected -= holding.expected - holding.held
    holding.expected = holding.held
    this.owed -= holding.owed
    holding.owed = 0
  }

  private raise (holding: Holding, pieces: number): void {
    const wanted = pieces - holding.held - holding.owed
    const taken = Math.min(wanted, Math.max(0, this.total - this.held))
    holding.held += taken
    this.held += taken
    holding.owed += wanted - taken
    this.owed += wanted - taken
    if (pieces > holding.expected) {
      this.expected += holding.maximum - holding.expected
      holding.expected = holding.maximum
    }
  }

  private settleOwed (): void {
    if (this.owed === 0) {
      return
    }
    for (const holding of this.holdings) {
      const paid = Math.min(holding.owed, this.total - this.held)
      if (paid <= 0) {
        continue
      }
      holding.owed -= paid
      holding.held += paid
      this.owed -= paid
      this.held += paid
    }
  }
}
