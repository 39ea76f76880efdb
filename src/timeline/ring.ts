/**
 * The events of this process: a bounded ring, stamped with Lamport time.
 */
import * as events from '../contracts/events.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as types from './types.js'

/** Lamport time of a process: grows with every event and past every received stamp. */
export class LamportClock {
  private tick = 0

  get current (): number {
    return this.tick
  }

  /** Moves past the current time and returns the new one. */
  advance (): number {
    this.tick += 1
    return this.tick
  }

  /** Takes note of a time that another process sent. */
  witness (tick: number): void {
    this.tick = Math.max(this.tick, tick)
  }
}

/** What to read of the ring. */
export interface RingQuery {
  /** Only events of this request. */
  readonly request?: string | undefined
  /** At most this many, the newest ones. */
  readonly limit: number
}

export class EventRing extends types.Recorder {
  private readonly drafts: events.EventDraft[] = []
  private readonly ticks: Float64Array
  private readonly wallTimes: Float64Array
  private sequence = 0

  /** `capacity` is the number of events kept. */
  constructor (
    private readonly identity: identities.Identity,
    private readonly clock: host.Clock,
    private readonly lamport: LamportClock,
    private readonly capacity: number
  ) {
    super()
    this.ticks = new Float64Array(capacity)
    this.wallTimes = new Float64Array(capacity)
  }

  /** Takes an event over; the draft must not be changed afterwards. */
  override record (draft: events.EventDraft): void {
    const slot = this.sequence % this.capacity
    this.sequence += 1
    this.drafts[slot] = draft
    this.ticks[slot] = this.lamport.advance()
    this.wallTimes[slot] = this.clock.wallMs()
  }

  /** Returns the matching events, oldest first. */
  read (query: RingQuery): readonly events.Event[] {
    const found: events.Event[] = []
    for (const event of this.listNewestFirst()) {
      if (found.length === query.limit) {
        break
      }
      if (query.request === undefined || event.request === query.request) {
        found.push(event)
      }
    }
    return found.reverse()
  }

  private * listNewestFirst (): Generator<events.Event> {
    const oldest = Math.max(0, this.sequence - this.capacity)
    for (let index = this.sequence - 1; index >= oldest; index -= 1) {
      const event = this.createEvent(index)
      if (event !== undefined) {
        yield event
      }
    }
  }

  /** Returns the event at an index that counts from the start of the process. */
  private createEvent (index: number): events.Event | undefined {
    const slot = index % this.capacity
    const draft = this.drafts[slot]
    const tick = this.ticks[slot]
    const wallMs = this.wallTimes[slot]
    if (draft === undefined || tick === undefined || wallMs === undefined) {
      return undefined
    }
    const { node, role, boot } = this.identity
    return { ...draft, node, role, boot, sequence: index + 1, tick, wallMs }
  }
}
