/**
 * Fault knobs of the store stand-in, and its call budget.
 */
import * as z from 'zod'
import * as outages from './outages.js'
import * as host from '../src/host/types.js'

export const StoreFaults = z.strictObject({
  /** `refuse` and `close` also end the open watches; `hang` silences them for good. */
  outage: outages.Outage.default('none'),
  /** Added to every answer, in milliseconds. */
  delayMs: z.number().nonnegative().default(0),
  /** Number of following writes that take effect and whose answers are lost. */
  lostAnswers: z.number().int().nonnegative().default(0),
  /** How those answers are lost. */
  lostAnswerKind: z.enum(['close', 'hang']).default('close'),
  /** Range reads answer from the state at the time when this was set: all of them, or the serializable ones. */
  staleReads: z.enum(['none', 'serializable', 'all']).default('none'),
  /** Writes a second above which calls are refused; 0 for no limit. */
  writesPerSecond: z.number().nonnegative().default(0),
  /** Reads a second above which calls are refused; 0 for no limit. */
  readsPerSecond: z.number().nonnegative().default(0)
})
export type StoreFaults = z.infer<typeof StoreFaults>

const secondMs = 1000

/** A bucket that holds one second of calls. */
export class CallBudget {
  private level: number | undefined
  private filledAtMs = 0

  constructor (private readonly clock: host.Clock) {}

  /** Takes one call. Returns false when the rate, in calls a second, is exceeded; 0 has no limit. */
  tryTake (rate: number): boolean {
    if (rate === 0) {
      return true
    }
    const now = this.clock.monotonicMs()
    const earned = (now - this.filledAtMs) * rate / secondMs
    this.level = Math.min(rate, (this.level ?? rate) + earned)
    this.filledAtMs = now
    if (this.level < 1) {
      return false
    }
    this.level -= 1
    return true
  }
}

/** Counts calls by kind and remembers the busiest second. */
export class CallCounts {
  private readonly counts = new Map<string, number>()
  private second = 0
  private inSecond = 0
  private peak = 0

  constructor (private readonly clock: host.Clock) {}

  /** Counts a call under its kind and its path. */
  addCall (kind: string, path: string): void {
    this.add(kind)
    this.add(path)
    const second = Math.floor(this.clock.monotonicMs() / secondMs)
    this.inSecond = second === this.second ? this.inSecond + 1 : 1
    this.second = second
    this.peak = Math.max(this.peak, this.inSecond)
  }

  /** Counts something that became of a call. */
  add (outcome: string): void {
    this.counts.set(outcome, (this.counts.get(outcome) ?? 0) + 1)
  }

  describe (): Readonly<Record<string, number>> {
    return { ...Object.fromEntries(this.counts), peakPerSecond: this.peak }
  }
}
