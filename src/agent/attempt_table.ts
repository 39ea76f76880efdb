/**
 * The attempts that an agent knows: those under way, and a bounded memory of ended ones.
 */
import * as attempts from './attempt.js'
import * as types from './types.js'
import * as verdicts from '../contracts/verdict.js'

/** An attempt that has ended, or a tombstone of one that never arrived. */
export interface Ended {
  readonly key: string
  readonly state: 'finished' | 'cancelled' | 'unknown'
  readonly verdict: verdicts.Verdict
  readonly endedAtMs: number
  /** Present until the end was acknowledged. */
  attempt: attempts.Attempt | undefined
}

export class AttemptTable {
  private readonly live = new Map<string, attempts.Attempt>()
  /** In the order in which they ended. */
  private readonly ended = new Map<string, Ended>()
  private readonly bySession = new Map<string, Set<attempts.Attempt>>()

  private unsettled = 0

  constructor (private readonly retention: types.Retention) {}

  get liveCount (): number {
    return this.live.size
  }

  get endedCount (): number {
    return this.ended.size
  }

  /** Attempts under way, and ended ones whose end was not acknowledged. */
  get unsettledCount (): number {
    return this.unsettled
  }

  /** When the oldest ended attempt may be forgotten, in milliseconds; `undefined` if there is none. */
  get nextPruneMs (): number | undefined {
    const oldest = this.getOldest()
    return oldest === undefined ? undefined : oldest.endedAtMs + this.retention.attemptsKeptMs
  }

  getLive (key: string): attempts.Attempt | undefined {
    return this.live.get(key)
  }

  getEnded (key: string): Ended | undefined {
    return this.ended.get(key)
  }

  /** Tells whether an attempt is known in any state. */
  has (key: string): boolean {
    return this.live.has(key) || this.ended.has(key)
  }

  /** Tells whether one more attempt can be remembered after its end; forgets old ones if need be. */
  hasRoom (nowMs: number): boolean {
    this.prune(nowMs)
    return this.live.size + this.ended.size < this.retention.attemptsKept
  }

  add (attempt: attempts.Attempt): void {
    this.live.set(attempt.key, attempt)
    this.join(attempt)
  }

  /** Forgets an attempt that was not taken up after all. */
  remove (attempt: attempts.Attempt): void {
    this.live.delete(attempt.key)
    this.leave(attempt)
  }

  /** Records that an attempt has ended in the state that it shows. */
  end (attempt: attempts.Attempt, nowMs: number): void {
    this.live.delete(attempt.key)
    const state = attempt.state === 'cancelled' ? 'cancelled' : 'finished'
    this.ended.set(attempt.key, { key: attempt.key, state, verdict: attempt.verdict, endedAtMs: nowMs, attempt })
  }

  /** Remembers an attempt that must not start. */
  bury (key: string, state: 'unknown' | 'cancelled', nowMs: number): void {
    this.ended.set(key, { key, state, verdict: 'not_run', endedAtMs: nowMs, attempt: undefined })
  }

  /** Drops the frames of an ended attempt; that it has been seen is still known. */
  settle (ended: Ended): void {
    if (ended.attempt === undefined) {
      return
    }
    ended.attempt.frames.release()
    this.leave(ended.attempt)
    ended.attempt = undefined
  }

  /** Takes an ended attempt from its session, which has gone; only the answer of a finished call is kept. */
  orphan (attempt: attempts.Attempt): void {
    const ended = this.ended.get(attempt.key)
    if (ended === undefined) {
      return
    }
    if (attempt.state === 'finished' && attempt.demand.kind === 'call') {
      this.leave(attempt)
      return
    }
    this.settle(ended)
  }

  /** Gives an attempt to another session. */
  move (attempt: attempts.Attempt, session: string): void {
    this.leave(attempt)
    attempt.session = session
    this.join(attempt)
  }

  /** Attempts of a session that are under way or whose end was not acknowledged. */
  listSession (session: string): readonly attempts.Attempt[] {
    return [...this.bySession.get(session) ?? []]
  }

  /** Forgets ended attempts by age, and by number those that can't arrive any more. */
  prune (nowMs: number): void {
    for (const ended of this.ended.values()) {
      if (!this.isForgettable(ended, nowMs)) {
        return
      }
      this.settle(ended)
      this.ended.delete(ended.key)
    }
  }

  private isForgettable (ended: Ended, nowMs: number): boolean {
    const ageMs = nowMs - ended.endedAtMs
    if (ageMs < this.retention.lateArrivalMs) {
      return false
    }
    return ageMs >= this.retention.attemptsKeptMs || this.live.size + this.ended.size >= this.retention.attemptsKept
  }

  private getOldest (): Ended | undefined {
    return this.ended.values().next().value
  }

  private join (attempt: attempts.Attempt): void {
    this.unsettled += 1
    const members = this.bySession.get(attempt.session)
    if (members === undefined) {
      this.bySession.set(attempt.session, new Set([attempt]))
      return
    }
    members.add(attempt)
  }

  private leave (attempt: attempts.Attempt): void {
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
