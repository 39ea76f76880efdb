/**
 * The attempts of an agent: the live ones, and a bounded history of ended ones for deduplication.
 */
import * as attempts from './attempt.js'
import * as types from './types.js'
import * as verdicts from '../contracts/verdict.js'

/** An ended attempt, or a tombstone for an attempt that was cancelled before it arrived. */
export interface EndedAttempt {
  readonly key: string
  readonly state: 'finished' | 'cancelled' | 'unknown'
  readonly verdict: verdicts.Verdict
  readonly endedAtMs: number
  /** Set until the end is acknowledged. */
  attempt: attempts.Attempt | undefined
}

export class AttemptTable {
  private readonly live = new Map<string, attempts.Attempt>()
  /** Ordered by end time. */
  private readonly ended = new Map<string, EndedAttempt>()
  private readonly bySession = new Map<string, Set<attempts.Attempt>>()

  private unsettled = 0

  constructor (private readonly retention: types.Retention) {}

  get liveCount (): number {
    return this.live.size
  }

  get endedCount (): number {
    return this.ended.size
  }

  /** The number of live attempts and of ended attempts whose end is not acknowledged. */
  get unsettledCount (): number {
    return this.unsettled
  }

  /** When the oldest ended attempt may be removed; `undefined` if there is none. */
  get nextPruneMs (): number | undefined {
    const oldest = this.getOldest()
    return oldest === undefined ? undefined : oldest.endedAtMs + this.retention.attemptsKeptMs
  }

  getLive (key: string): attempts.Attempt | undefined {
    return this.live.get(key)
  }

  getEnded (key: string): EndedAttempt | undefined {
    return this.ended.get(key)
  }

  /** Returns whether an attempt is known in any state. */
  has (key: string): boolean {
    return this.live.has(key) || this.ended.has(key)
  }

  /** Prunes the history, and returns whether there is space for one more attempt. */
  hasCapacity (nowMs: number): boolean {
    this.prune(nowMs)
    return this.live.size + this.ended.size < this.retention.attemptsKept
  }

  add (attempt: attempts.Attempt): void {
    this.live.set(attempt.key, attempt)
    this.addToSession(attempt)
  }

  /** Removes an attempt that was not admitted after all. */
  remove (attempt: attempts.Attempt): void {
    this.live.delete(attempt.key)
    this.removeFromSession(attempt)
  }

  /** Moves an attempt to the history, with its current state. */
  end (attempt: attempts.Attempt, nowMs: number): void {
    this.live.delete(attempt.key)
    const state = attempt.state === 'cancelled' ? 'cancelled' : 'finished'
    this.ended.set(attempt.key, { key: attempt.key, state, verdict: attempt.verdict, endedAtMs: nowMs, attempt })
  }

  /** Adds a tombstone, so that the attempt does not start when it arrives. */
  addTombstone (key: string, state: 'unknown' | 'cancelled', nowMs: number): void {
    this.ended.set(key, { key, state, verdict: 'not_run', endedAtMs: nowMs, attempt: undefined })
  }

  /** Releases the frames of an ended attempt. Its history entry stays, so that a duplicate is still recognized. */
  releaseFrames (ended: EndedAttempt): void {
    if (ended.attempt === undefined) {
      return
    }
    ended.attempt.frames.clear()
    this.removeFromSession(ended.attempt)
    ended.attempt = undefined
  }

  /** Removes an ended attempt from its expired session. Only the answer of a finished call stays available. */
  detachSession (attempt: attempts.Attempt): void {
    const ended = this.ended.get(attempt.key)
    if (ended === undefined) {
      return
    }
    if (attempt.state === 'finished' && attempt.demand.kind === 'call') {
      this.removeFromSession(attempt)
      return
    }
    this.releaseFrames(ended)
  }

  /** Moves an attempt to another session. */
  moveToSession (attempt: attempts.Attempt, session: string): void {
    this.removeFromSession(attempt)
    attempt.session = session
    this.addToSession(attempt)
  }

  /** Lists the attempts of a session that are live or whose end is not acknowledged. */
  listBySession (session: string): readonly attempts.Attempt[] {
    return [...this.bySession.get(session) ?? []]
  }

  /** Removes ended attempts that are too old and, when the table is full, those of which no duplicate can arrive any more. */
  prune (nowMs: number): void {
    for (const ended of this.ended.values()) {
      if (!this.isRemovable(ended, nowMs)) {
        return
      }
      this.releaseFrames(ended)
      this.ended.delete(ended.key)
    }
  }

  private isRemovable (ended: EndedAttempt, nowMs: number): boolean {
    const ageMs = nowMs - ended.endedAtMs
    if (ageMs < this.retention.lateArrivalMs) {
      return false
    }
    return ageMs >= this.retention.attemptsKeptMs || this.live.size + this.ended.size >= this.retention.attemptsKept
  }

  private getOldest (): EndedAttempt | undefined {
    return this.ended.values().next().value
  }

  private addToSession (attempt: attempts.Attempt): void {
    this.unsettled += 1
    const members = this.bySession.get(attempt.session)
    if (members === undefined) {
      this.bySession.set(attempt.session, new Set([attempt]))
      return
    }
    members.add(attempt)
  }

  private removeFromSession (attempt: attempts.Attempt): void {
    const members = this.bySession.get(attempt.session)
    if (members?.delete(attempt) !== true) {
      return
    }
    this.unsettled -= 1
    if (members.size === 0) {
      this.bySession.delete(attempt.session)
    }
  }
}
