/**
 * Reservations: a slot and memory kept for the time at which a task is expected to arrive.
 */

export interface Reservation {
  readonly id: string
  readonly request: string
  readonly workspace: string
  readonly weight: number
  readonly session: string
  readonly pieces: number
  readonly expectedAtMs: number
  /** Expected time from start to end. */
  readonly serviceMs: number
  readonly lapsesAtMs: number
}

export class ReservationBook {
  private readonly reservations = new Map<string, Reservation>()
  private pieces = 0

  get size (): number {
    return this.reservations.size
  }

  get promisedPieces (): number {
    return this.pieces
  }

  /** The earliest expected arrival of all reservations; infinity if there are none. */
  get firstExpectedMs (): number {
    let first = Number.POSITIVE_INFINITY
    for (const reservation of this.reservations.values()) {
      first = Math.min(first, reservation.expectedAtMs)
    }
    return first
  }

  list (): Iterable<Reservation> {
    return this.reservations.values()
  }

  get (id: string): Reservation | undefined {
    return this.reservations.get(id)
  }

  add (reservation: Reservation): void {
    this.reservations.set(reservation.id, reservation)
    this.pieces += reservation.pieces
  }

  /** Removes and returns a reservation; `undefined` if it does not exist. */
  remove (id: string): Reservation | undefined {
    const reservation = this.reservations.get(id)
    if (reservation !== undefined) {
      this.reservations.delete(id)
      this.pieces -= reservation.pieces
    }
    return reservation
  }

  /** Removes and returns the reservations of a session. */
  removeSession (session: string): readonly Reservation[] {
    const removed = [...this.reservations.values()].filter(reservation => reservation.session === session)
    for (const reservation of removed) {
      this.remove(reservation.id)
    }
    return removed
  }

  listRequest (request: string): readonly Reservation[] {
    return [...this.reservations.values()].filter(reservation => reservation.request === request)
  }
}
