/**
 * Health of each server, from the outcomes of this gateway's requests and of those that other gateways report.
 *
 * Pattern: a server loses answers for some seconds, during which each of many gateways sends it only a few requests. Failures are
 * summed over all gateways, so that all of them together avoid the server after as many failures as a single gateway would need.
 */

/** Outcome of a request, as far as it concerns the health of the server. */
export type SendOutcome = 'good' | 'error' | 'unreachable' | 'silent'

/** Weight of the newest value in the moving average of the answer time. */
const newestTimeWeight = 0.15
/** First pause of a server that did not answer, in milliseconds; doubled with each consecutive failure (exponential backoff). */
const firstPauseMs = 400
/** Longest pause of a server, in milliseconds; well below the length of an outage. */
const longestPauseMs = 3_000
/** Time constant of the decay of outcomes, in milliseconds: covers some requests of each gateway, yet short compared with a disturbance. */
const summingMs = 4_000
/** Successful requests assumed for each server, so that a single failure among few requests has little effect. */
const assumedSends = 4
/** Sums below this are not reported. */
const leastTold = 0.5
/** Time after which the report of another gateway no longer counts, in milliseconds. */
const heardLifeMs = 2_000

/** Requests to a server in the last seconds, and how many of them failed; both decay exponentially. */
export type Outcomes = [sends: number, failures: number]

interface ServerRecord {
  answerMs: number | undefined
  pausedUntilMs: number
  misses: number
  readonly outcomes: Outcomes
  summedMs: number
}

interface Heard {
  readonly outcomes: Readonly<Record<string, Outcomes>>
  readonly heardMs: number
}

export class ServerHealth {
  private readonly servers = new Map<string, ServerRecord>()
  private readonly heard = new Map<string, Heard>()

  /** Records the outcome of a request; `elapsedMs` is the time to the answer. Returns true if this pauses a server that was not paused. */
  note (server: string, outcome: SendOutcome, nowMs: number, elapsedMs?: number): boolean {
    const record = this.getRecord(server)
    const [sends, failures] = readOutcomes(record, nowMs)
    record.outcomes[0] = sends + 1
    record.outcomes[1] = failures + (outcome === 'good' ? 0 : 1)
    record.summedMs = nowMs
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
    // A single missing answer may be the fault of the connection; the server is paused from the second one on.
    if (outcome === 'unreachable' || record.misses > 1) {
      record.pausedUntilMs = Math.max(record.pausedUntilMs, nowMs + pauseMs)
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
    const own = failures / (sends + assumedSends)
    for (const { outcomes, heardMs } of this.heard.values()) {
      const told = nowMs - heardMs > heardLifeMs ? undefined : outcomes[server]
      sends += told?.[0] ?? 0
      failures += told?.[1] ?? 0
    }
    return Math.max(own, failures / (sends + assumedSends))
  }

  /** Replaces the outcomes of another gateway, or of all gateways of another zone. */
  hear (peer: string, outcomes: Readonly<Record<string, Outcomes>>, heardMs: number): void {
    this.heard.set(peer, { outcomes, heardMs })
  }

  /** Drops the outcomes received under a name. */
  forgetPeer (peer: string): void {
    this.heard.delete(peer)
  }

  /** Returns the outcomes of this gateway's requests. */
  listOutcomes (nowMs: number): Record<string, Outcomes> {
    const listed: Record<string, Outcomes> = {}
    for (const [server, record] of this.servers) {
      const [sends, failures] = readOutcomes(record, nowMs)
      if (sends >= leastTold) {
        listed[server] = [round(sends), round(failures)]
      }
    }
    return listed
  }

  /** Returns the sums of the outcomes of this gateway and the named ones, for servers with failures only. */
  listTogether (names: readonly string[], nowMs: number): Record<string, Outcomes> {
    const sums = this.listOutcomes(nowMs)
    for (const name of names) {
      const heard = this.heard.get(name)
      for (const [server, [sends, failures]] of Object.entries(heard !== undefined && nowMs - heard.heardMs <= heardLifeMs ? heard.outcomes : {})) {
        const sum = sums[server] ?? [0, 0]
        sums[server] = [round(sum[0] + sends), round(sum[1] + failures)]
      }
    }
    return Object.fromEntries(Object.entries(sums).filter(([, [, failures]]) => failures >= leastTold))
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
    const created = { answerMs: undefined, pausedUntilMs: 0, misses: 0, outcomes: [0, 0] as Outcomes, summedMs: 0 }
    this.servers.set(server, created)
    return created
  }
}

/** Returns the sums of a server, decayed to the current time. */
function readOutcomes (record: ServerRecord, nowMs: number): Outcomes {
  const factor = Math.exp(-Math.max(0, nowMs - record.summedMs) / summingMs)
  return [record.outcomes[0] * factor, record.outcomes[1] * factor]
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}
