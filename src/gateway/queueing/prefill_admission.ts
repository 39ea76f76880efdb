/**
 * Which prompts are given to the prefill servers, and which requests are refused before they wait in vain.
 *
 * Pattern: in a burst, prompts of requests that are late in any case are read ahead of prompts whose first event would still be in time, and
 * requests wait until their deadline although those before them need the memory for longer. A late prompt is read only by a server
 * without a backlog. A request is refused while it has waited for a short time only, which costs its caller little.
 */

/** Backlog of a prefill server up to which it counts as idle, in parts of the prompt. */
const idleBacklogPart = 0.25
/** Longest wait before a refusal for lack of capacity that counts as immediate, in parts of the latency goal. */
const promptRefusalPart = 1 / 8
/** Expected wait from which a request is refused, in multiples of the time for which it may wait: the estimate of the wait is rough. */
const certaintyFactor = 1.5

/** A request that has found no capacity. */
export interface WaitingTimes {
  readonly arrivedMs: number
  readonly goalMs: number
  /** Latest start that is of use to the caller. */
  readonly latestMs: number
  /** Expected wait, in milliseconds; undefined if it cannot be told. */
  readonly waitMs: number | undefined
}

export class PrefillAdmission {
  /** Tells whether a prompt may be read now; `backlogTokens` are not yet read at the server that would read it first. */
  mayRead (isLate: boolean, promptTokens: number, backlogTokens: number): boolean {
    return !isLate || backlogTokens <= promptTokens * idleBacklogPart
  }

  /** Tells whether a request is to be refused now, because it will not be served in time. */
  isUnservable ({ arrivedMs, goalMs, latestMs, waitMs }: WaitingTimes, nowMs: number): boolean {
    return waitMs !== undefined && nowMs - arrivedMs <= goalMs * promptRefusalPart && waitMs > Math.max(0, latestMs - nowMs) * certaintyFactor
  }
}
