/**
 * Ledger of the engine's memory, in pieces.
 */

/** What one attempt holds. */
export interface Holding {
  /** Pieces held now. */
  held: number
  /** Pieces that the attempt is expected to hold at its end; at least `held`. */
  expected: number
  /** Pieces needed beyond the engine's memory; the engine preempts until they are free. */
  owed: number
  /** Pieces that the attempt holds at most. */
  readonly maximum: number
}

/** Pieces that an attempt needs now, is expected to need, and may need. */
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

  /** Pieces that all holdings are expected to reach together. */
  get expectedPieces (): number {
    return this.expected
  }

  /** Pieces that are neither held nor expected to be. */
  get freePieces (): number {
    return Math.max(0, this.total - Math.max(this.held, this.expected))
  }

  /** Changes the size of the memory; what is held stays held. */
  resize (totalPieces: number): void {
    this.total = totalPieces
  }

  countPieces (tokens: number): number {
    return this.total === 0 ? 0 : Math.ceil(tokens / this.pieceTokens)
  }

  /** Tells whether the demand fits when `promised` pieces are kept free. */
  fits (demand: PieceDemand, promised: number): boolean {
    return this.owed === 0 && this.expected + promised + demand.expected <= this.total
  }

  /** Tells whether the demand could ever be met. */
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

  /** Records that the attempt has grown to so many tokens. */
  grow (holding: Holding, tokens: number): void {
    const pieces = Math.min(holding.maximum, this.countPieces(tokens))
    if (pieces > holding.held + holding.owed) {
      this.raise(holding, pieces)
    }
  }

  /** Gives everything back. Calling it twice is harmless. */
  release (holding: Holding): void {
    if (!this.holdings.delete(holding)) {
      return
    }
    this.held -= holding.held
    this.owed -= holding.owed
    this.expected -= holding.expected
    this.settleOwed()
  }

  /** Lowers a holding to what it holds now; it does not grow any more. */
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
