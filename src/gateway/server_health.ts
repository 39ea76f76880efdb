/**
 * Health of each server, from the outcomes of this gateway's requests and of those that other gateways report.
 *
 * Pattern: a server loses answers for some seconds, during which each of many gateways sends it only a few requests. Failures are
 * summed over all gateways, so that all of them together avoid the server after as many failures as a single gateway would need.
 */

/** Outcome of a request, as far as it concerns the health of the server. */
export type SendOutcome = 'good' | 'error' | 'unreachable' | 'silent'

/** Weight of the newest value in the moving average of the answer time. */
const newestAnswerWeight = 0.15
/** First pause of a server that did not answer, in milliseconds; doubled with each consecutive failure (exponential backoff). */
const firstPauseMs = 400
/** Longest pause of a server, in milliseconds; well below the length of an outage. */
const longestPauseMs = 3_000
/** Time constant of the decay of outcomes, in milliseconds: covers some requests of each gateway, yet short compared with a disturbance. */
const outcomeDecayMs = 4_000
/** Successful requests assumed for each server, so that a single failure among few requests has little effect. */
const assumedSuccesses = 4
/** Sums below this are not reported. */
const minimumReportedSum = 0.5
/** Time after which the report of another gateway no longer counts, in milliseconds. */
const reportExpiryMs = 2_000

/** Requests to a server in the last seconds, and how many of them failed; both decay exponentially. */
export type Outcomes = [sends: number, failures: number]

interface ServerRecord {
  answerMs: number | undefined
  pausedUntilMs: number
  consecutiveMisses: number
  readonly outcomes: Outcomes
  updatedMs: number
}

interface PeerReport {
  readonly outcomes: Readonly<Record<string, Outcomes>>
  readonly receivedMs: number
}

export class ServerHealth {
  private readonly servers = new Map<string, ServerRecord>()
  private readonly peerReports = new Map<string, PeerReport>()

  /** `onPaused` is called when a server is paused, and when its pause is extended, with the end of the pause. */
  constructor (private readonly onPaused: (server: string, untilMs: number, nowMs: number) => void = () => {}) {}

  /** Records the outcome of a request; `elapsedMs` is the time to the answer. Returns true if this pauses a server that was not paused. */
  record (server: string, outcome: SendOutcome, nowMs: number, elapsedMs?: number): boolean {
    const record = this.getRecord(server)
    const [sends, failures] = readOutcomes(record, nowMs)
    record.outcomes[0] = sends + 1
    record.outcomes[1] = failures + (outcome === 'good' ? 0 : 1)
    record.updatedMs = nowMs
    if (outcome === 'good' || outcome === 'error') {
      record.consecutiveMisses = 0
      if (elapsedMs !== undefined) {
        record.answerMs = record.answerMs === undefined
          ? elapsedMs
          : record.answerMs + (elapsedMs - record.answerMs) * newestAnswerWeight
      }
      return false
    }
    const wasPaused = record.pausedUntilMs > nowMs
    const pauseMs = Math.min(longestPauseMs, firstPauseMs * 2 ** record.consecutiveMisses)
    record.consecutiveMisses += 1
    // A single missing answer may be the fault of the connection; the server is paused from the second one on.
    if (outcome === 'unreachable' || record.consecutiveMisses > 1) {
      record.pausedUntilMs = Math.max(record.pausedUntilMs, nowMs + pauseMs)
      this.onPaused(server, record.pausedUntilMs, nowMs)
      return !wasPaused
    }
    return false
  }

  isPaused (server: string, nowMs: number): boolean {
    return (this.servers.get(server)?.pausedUntilMs ?? 0) > nowMs
  }

  /** Fraction of recent requests that failed, from 0 to 1: the worse of this gateway's and all gateways' fractions. */
  getFailureRate (server: string, nowMs: number): number {
    const record = this.servers.get(server)
    let [sends, failures] = record === undefined ? [0, 0] : readOutcomes(record, nowMs)
    const own = failures / (sends + assumedSuccesses)
    for (const { outcomes, receivedMs: atMs } of this.peerReports.values()) {
      const reported = nowMs - atMs > reportExpiryMs ? undefined : outcomes[server]
      sends += reported?.[0] ?? 0
      failures += reported?.[1] ?? 0
    }
    return Math.max(own, failures / (sends + assumedSuccesses))
  }

  /** Age of the oldest report of another gateway that counts for a server's failure rate, in milliseconds; undefined if there is none. */
  getReportAgeMs (server: string, nowMs: number): number | undefined {
    let oldestMs: number | undefined
    for (const { outcomes, receivedMs } of this.peerReports.values()) {
      if (nowMs - receivedMs <= reportExpiryMs && outcomes[server] !== undefined) {
        oldestMs = Math.max(oldestMs ?? 0, nowMs - receivedMs)
      }
    }
    return oldestMs
  }

  /** Replaces the outcomes of another gateway, or of all gateways of another zone. */
  updatePeer (peer: string, outcomes: Readonly<Record<string, Outcomes>>, atMs: number): void {
    this.peerReports.set(peer, { outcomes, receivedMs: atMs })
  }

  /** Drops the outcomes received under a name. */
  forgetPeer (peer: string): void {
    this.peerReports.delete(peer)
  }

  /** Returns the outcomes of this gateway's requests. */
  listOutcomes (nowMs: number): Record<string, Outcomes> {
    const listed: Record<string, Outcomes> = {}
    for (const [server, record] of this.servers) {
      const [sends, failures] = readOutcomes(record, nowMs)
      if (sends >= minimumReportedSum) {
        listed[server] = [round(sends), round(failures)]
      }
    }
    return listed
  }

  /** Returns the sums of the outcomes of this gateway and the named ones, for servers with failures only. */
  aggregateOutcomes (names: readonly string[], nowMs: number): Record<string, Outcomes> {
    const sums = this.listOutcomes(nowMs)
    for (const name of names) {
      const report = this.peerReports.get(name)
      for (const [server, [sends, failures]] of Object.entries(report !== undefined && nowMs - report.receivedMs <= reportExpiryMs ? report.outcomes : {})) {
        const sum = sums[server] ?? [0, 0]
        sums[server] = [round(sum[0] + sends), round(sum[1] + failures)]
      }
    }
    return Object.fromEntries(Object.entries(sums).filter(([, [, failures]]) => failures >= minimumReportedSum))
  }

  /** Moving average of the time to an answer, in milliseconds. */
  getAnswerMs (server: string): number | undefined {
    return this.servers.get(server)?.answerMs
  }

  forget (server: string): void {
    this.servers.delete(server)
  }

  private getRecord (server: string): ServerRecord {
    const found = this.servers.get(server)
    if (found !== undefined) {
      return found
    }
    const created = { answerMs: undefined, pausedUntilMs: 0, consecutiveMisses: 0, outcomes: [0, 0] as Outcomes, updatedMs: 0 }
    this.servers.set(server, created)
    return created
  }
}

/** Returns the sums of a server, decayed to the current time. */
function readOutcomes (record: ServerRecord, nowMs: number): Outcomes {
  const factor = Math.exp(-Math.max(0, nowMs - record.updatedMs) / outcomeDecayMs)
  return [record.outcomes[0] * factor, record.outcomes[1] * factor]
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}
