/**
 * What a gateway thinks of each server, from the outcomes of its own sends.
 */

/** How a send to a server ended, as far as the server's health goes. */
export type SendOutcome = 'good' | 'error' | 'unreachable' | 'silent'

/** Weight of the newest outcome in the failure rate: about ten sends are remembered. */
const newestWeight = 0.1
/** Weight of the newest time in the smoothed time. */
const newestTimeWeight = 0.15
/** First time that a server without an answer is left out, in milliseconds; doubled with each further one. */
const firstPauseMs = 400
/** Longest time that a server is left out, in milliseconds; well below the length of an outage. */
const longestPauseMs = 3_000

interface Record {
  failureRate: number
  answerMs: number | undefined
  pausedUntilMs: number
  misses: number
}

export class ServerHealth {
  private readonly servers = new Map<string, Record>()

  /** Notes the outcome of a send; `elapsedMs` is the time to the answer. Returns true if the server is newly left out. */
  note (server: string, outcome: SendOutcome, nowMs: number, elapsedMs?: number): boolean {
    const record = this.getRecord(server)
    record.failureRate += ((outcome === 'good' ? 0 : 1) - record.failureRate) * newestWeight
    if (outcome === 'good' || outcome === 'error') {
      record.misses = 0
      if (elapsedMs !== undefined) {
        record.answerMs = record.answerMs === undefined
          ? elapsedMs
          : record.answerMs + (elapsedMs - record.answerMs) * newestTimeWeight
      }
      return false
    }
    const wasPaused = record.pausedUntilMs > nowMs
    const pauseMs = Math.min(longestPauseMs, firstPauseMs * 2 ** record.misses)
    record.misses += 1
    // A single answer that stays out may be the connection's fault: the server is left out from the second on.
    if (outcome === 'unreachable' || record.misses > 1) {
      record.pausedUntilMs = Math.max(record.pausedUntilMs, nowMs + pauseMs)
      return !wasPaused
    }
    return false
  }

  isPaused (server: string, nowMs: number): boolean {
    return (this.servers.get(server)?.pausedUntilMs ?? 0) > nowMs
  }

  /** Share of recent sends that failed, from 0 to 1. */
  getFailureRate (server: string): number {
    return this.servers.get(server)?.failureRate ?? 0
  }

  /** Smoothed time to an answer, in milliseconds. */
  getAnswerMs (server: string): number | undefined {
    return this.servers.get(server)?.answerMs
  }

  forget (server: string): void {
    this.servers.delete(server)
  }

  private getRecord (server: string): Record {
    const found = this.servers.get(server)
    if (found !== undefined) {
      return found
    }
    const created = { failureRate: 0, answerMs: undefined, pausedUntilMs: 0, misses: 0 }
    this.servers.set(server, created)
    return created
  }
}
