/**
 * This process's view of the servers: their reported loads, corrected by the tasks that this process has sent since
 * the report, and the prompt prefixes that their caches are assumed to hold.
 */
import * as configuration from '../contracts/configuration.js'
import * as work from '../contracts/work.js'

/** Load that a running task adds to its server. */
export interface Burden {
  readonly promptTokens: number
  readonly pieces: number
}

/** State of a server at a point in time. */
export interface Standing {
  readonly server: configuration.Server
  readonly isUsable: boolean
  readonly running: number
  /** Requests running and queued according to the last report, without corrections. */
  readonly reported: number
  readonly pendingPromptTokens: number
  /** Pieces of memory neither used nor promised; negative if the entry has sent more than fits. */
  readonly freePieces: number
  /** KV cache transfers on the server's link that this process has started. */
  readonly transfers: number
}

/** How long a server that did not answer is excluded, in milliseconds. */
const passOverMs = 2000

/** How long a server is excluded after it has reported that it is leaving, in milliseconds. */
const leavingMs = 2000

/** Maximum number of prefixes recorded for each server. */
const prefixesKept = 4096

interface Row {
  load: work.Load | undefined
  loadAtMs: number
  /** Corrections since the last reported load. */
  sentRequests: number
  sentPromptTokens: number
  sentPieces: number
  transfers: number
  passedOverUntilMs: number
  leavingUntilMs: number
  readonly prefixes: Set<string>
}

export class Picture {
  private readonly rows = new Map<string, Row>()

  /** Records a load reported by the server's agent. It includes all tasks sent until now, so the corrections are reset. */
  noteLoad (server: string, load: work.Load, nowMs: number): void {
    const row = this.getRow(server)
    row.load = load
    row.loadAtMs = nowMs
    row.sentRequests = 0
    row.sentPromptTokens = 0
    row.sentPieces = 0
    row.leavingUntilMs = load.draining ? nowMs + leavingMs : 0
  }

  /** Excludes a server that takes no new work. The exclusion ends, because the agent may restart under the same name. */
  noteLeaving (server: string, nowMs: number): void {
    this.getRow(server).leavingUntilMs = nowMs + leavingMs
  }

  /** Excludes a server that did not answer. */
  noteFailure (server: string, nowMs: number): void {
    this.getRow(server).passedOverUntilMs = nowMs + passOverMs
  }

  noteAnswered (server: string): void {
    this.getRow(server).passedOverUntilMs = 0
  }

  noteSent (server: string, burden: Burden): void {
    const row = this.getRow(server)
    row.sentRequests += 1
    row.sentPromptTokens += burden.promptTokens
    row.sentPieces += burden.pieces
  }

  noteEnded (server: string, burden: Burden): void {
    const row = this.getRow(server)
    row.sentRequests -= 1
    row.sentPromptTokens -= burden.promptTokens
    row.sentPieces -= burden.pieces
  }

  noteTransfer (server: string, change: 1 | -1): void {
    const row = this.getRow(server)
    row.transfers = Math.max(0, row.transfers + change)
  }

  /** Records prefixes that the server's cache holds now, and evicts the least recently recorded ones. */
  notePrefixes (server: string, prefixes: readonly string[]): void {
    const known = this.getRow(server).prefixes
    for (const prefix of prefixes) {
      known.delete(prefix)
      known.add(prefix)
    }
    for (const oldest of known) {
      if (known.size <= prefixesKept) {
        return
      }
      known.delete(oldest)
    }
  }

  /** Corrects the recorded prefixes by the number of leading ones that the server has found in its cache. */
  correctPrefixes (server: string, prefixes: readonly string[], found: number): void {
    this.notePrefixes(server, prefixes.slice(0, found))
    const known = this.getRow(server).prefixes
    for (const prefix of prefixes.slice(found)) {
      known.delete(prefix)
    }
  }

  /** Counts the leading prefixes that are assumed to be in the server's cache. */
  countPrefixes (server: string, prefixes: readonly string[]): number {
    const known = this.rows.get(server)?.prefixes
    if (known === undefined) {
      return 0
    }
    for (let index = prefixes.length - 1; index >= 0; index -= 1) {
      if (known.has(prefixes[index] ?? '')) {
        return index + 1
      }
    }
    return 0
  }

  getStanding (name: string, server: configuration.Server, nowMs: number): Standing {
    const row = this.getRow(name)
    const load = row.load
    const reported = (load?.running ?? 0) + (load?.queued ?? 0)
    return {
      server,
      isUsable: server.state === 'active' && row.leavingUntilMs <= nowMs && row.passedOverUntilMs <= nowMs,
      running: Math.max(0, reported + row.sentRequests),
      reported,
      pendingPromptTokens: estimatePending(row, server, nowMs),
      freePieces: getFreePieces(load, server) - row.sentPieces,
      transfers: row.transfers
    }
  }

  /** Removes servers that are no longer configured. */
  retain (names: ReadonlySet<string>): void {
    for (const name of [...this.rows.keys()]) {
      if (!names.has(name)) {
        this.rows.delete(name)
      }
    }
  }

  private getRow (server: string): Row {
    const known = this.rows.get(server)
    if (known !== undefined) {
      return known
    }
    const row = createRow()
    this.rows.set(server, row)
    return row
  }
}

function createRow (): Row {
  return {
    load: undefined,
    loadAtMs: 0,
    sentRequests: 0,
    sentPromptTokens: 0,
    sentPieces: 0,
    transfers: 0,
    passedOverUntilMs: 0,
    leavingUntilMs: 0,
    prefixes: new Set()
  }
}

/** Returns the pending prompt tokens: last report, less what the server has processed since, plus tasks sent since. */
function estimatePending (row: Row, server: configuration.Server, nowMs: number): number {
  const workedOff = (nowMs - row.loadAtMs) / 1000 * server.prefillTokensPerSecond
  const reported = Math.max(0, (row.load?.pendingPromptTokens ?? 0) - workedOff)
  return Math.max(0, reported + row.sentPromptTokens)
}

function getFreePieces (load: work.Load | undefined, server: configuration.Server): number {
  if (load === undefined) {
    return server.memoryPieces
  }
  return load.freePieces - load.promisedPieces
}
