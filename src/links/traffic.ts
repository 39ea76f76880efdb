/**
 * Counts bytes and messages on the links of a process, separately for control traffic and for callers' work.
 */

/** Methods whose messages carry requests of callers and their results. */
const workMethods: ReadonlySet<string> = new Set(['work.start', 'work.frames', 'work.resume'])

export type Direction = 'sent' | 'received'
export type Purpose = 'control' | 'work'

/** Totals since process start. */
export interface TrafficTotals {
  bytes: number
  messages: number
}

export class Traffic {
  private readonly totals: Readonly<Record<Purpose, Readonly<Record<Direction, TrafficTotals>>>> = {
    control: { sent: createTotals(), received: createTotals() },
    work: { sent: createTotals(), received: createTotals() }
  }

  /** Counts a message. One without a method is the answer to a call and counts as control traffic. */
  add (direction: Direction, method: string | undefined, bytes: number): void {
    const purpose: Purpose = method !== undefined && workMethods.has(method) ? 'work' : 'control'
    const totals = this.totals[purpose][direction]
    totals.bytes += bytes
    totals.messages += 1
  }

  get (purpose: Purpose, direction: Direction): Readonly<TrafficTotals> {
    return this.totals[purpose][direction]
  }
}

function createTotals (): TrafficTotals {
  return { bytes: 0, messages: 0 }
}
