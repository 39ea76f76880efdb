/**
 * What a gateway thinks of each server, from the outcomes of its own sends and of those that the other gateways tell.
 *
 * Pattern: a server loses answers for some seconds, and each of many gateways sends it only a few calls in that time. Failures
 * are summed over all, so that the fleet avoids the server after as many of them as one gateway alone would need.
 */

/** How a send to a server ended, as far as the server's health goes. */
export type SendOutcome = 'good' | 'error' | 'unreachable' | 'silent'

/** Weight of the newest time in the smoothed time. */
const newestTimeWeight = 0.15
/** First time that a server without an answer is left out, in milliseconds; doubled with each further one. */
const firstPauseMs = 400
/** Longest time that a server is left out, in milliseconds; well below the length of an outage. */
const longestPauseMs = 3_000
/** Time over which outcomes are summed, in milliseconds: some calls of each gateway, short beside a disturbance. */
const summingMs = 4_000
/** Sends without a failure that the sum of a server begins with, so that one failure among few sends says little. */
const assumedSends = 4
/** Sums below this are not told. */
const leastTold = 0.5
/** How long what another gateway told counts, in milliseconds. */
const heardLifeMs = 2_000

/** Sends to a server in the last seconds, and how many of them failed; older ones weigh less. */
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

  /** Notes the outcome of a send; `elapsedMs` is the time to the answer. Returns true if the server is newly left out. */
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

  /** Share of recent sends that failed, from 0 to 1: of the own ones or of all gateways', whichever is worse. */
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

  /** Takes in the outcomes of another gateway, or of all gateways of another zone. */
  hear (peer: string, outcomes: Readonly<Record<string, Outcomes>>, heardMs: number): void {
    this.heard.set(peer, { outcomes, heardMs })
  }

  /** Drops what was heard under a name. */
  forgetPeer (peer: string): void {
    this.heard.delete(peer)
  }

  /** Returns the outcomes of this gateway's sends. */
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

  /** Returns the outcomes of this gateway and those heard under the names together, for servers with failures only. */
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

  /** Smoothed time to an answer, in milliseconds. */
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

/** Returns the sums of a server as they weigh now. */
function readOutcomes (record: ServerRecord, nowMs: number): Outcomes {
  const factor = Math.exp(-Math.max(0, nowMs - record.summedMs) / summingMs)
  return [record.outcomes[0] * factor, record.outcomes[1] * factor]
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}
