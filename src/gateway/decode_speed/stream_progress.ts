/**
 * Times of the events of one stream. Pauses of a slow caller do not count.
 */

/** Events that make one measurement: streams are measured from their first second on, at little cost. */
const eventsPerMeasurement = 8

interface Mark {
  readonly events: number
  readonly atMs: number
}

export class StreamProgress {
  private mark: Mark | undefined

  /** `measured` is called with a number of events and the time that they took, in milliseconds. */
  constructor (private readonly measured: (events: number, elapsedMs: number) => void) {}

  /** Records that the stream has so many events. */
  advance (events: number, nowMs: number): void {
    const { mark } = this
    if (mark === undefined) {
      this.mark = { events, atMs: nowMs }
    } else if (events - mark.events >= eventsPerMeasurement) {
      this.mark = { events, atMs: nowMs }
      this.measured(events - mark.events, nowMs - mark.atMs)
    }
  }

  /** Records that the stream pauses for its caller. */
  interrupt (): void {
    this.mark = undefined
  }
}
