/**
 * This process's view of the servers: their reported loads, corrected by the tasks that this process has sent since
 * the report, and the prompt prefixes that their caches are assumed to hold.
 */
import * as configuration from '../contracts/configuration.js'
import * as work from '../contracts/work.js'

/** Load that a running task adds to its server. */
export interface TaskLoad {
  readonly promptTokens: number
  readonly pieces: number
}

/** State of a server at a point in time. */
export interface ServerSnapshot {
  readonly server: configuration.Server
  readonly isUsable: boolean
  readonly running: number
  /** Requests running and queued according to the last report, without corrections. */
  readonly reportedRequests: number
  readonly pendingPromptTokens: number
  /** Pieces of memory neither used nor promised; negative if the entry has sent more than fits. */
  readonly freePieces: number
  /** KV cache transfers on the server's link that this process has started. */
  readonly transfers: number
}

/** How long a server that did not answer is excluded, in milliseconds. */
const unresponsiveExclusionMs = 2000

/** How long a server is excluded after it has reported that it is leaving, in milliseconds. */
const leavingExclusionMs = 2000

/** Maximum number of prefixes recorded for each server. */
const maximumPrefixes = 4096

interface ServerRecord {
  load: work.Load | undefined
  loadAtMs: number
  /** Corrections since the last reported load. */
  sentRequests: number
  sentPromptTokens: number
  sentPieces: number
  transfers: number
  unresponsiveUntilMs: number
  leavingUntilMs: number
  readonly prefixes: Set<string>
}

export class ClusterView {
  private readonly records = new Map<string, ServerRecord>()

  /** Records a load reported by the server's agent. It includes all tasks sent until now, so the corrections are reset. */
  recordLoad (server: string, load: work.Load, nowMs: number): void {
    const record = this.getRecord(server)
    record.load = load
    record.loadAtMs = nowMs
    record.sentRequests = 0
    record.sentPromptTokens = 0
    record.sentPieces = 0
    record.leavingUntilMs = load.draining ? nowMs + leavingExclusionMs : 0
  }

  /** Excludes a server that takes no new work. The exclusion ends, because the agent may restart under the same name. */
  recordLeaving (server: string, nowMs: number): void {
    this.getRecord(server).leavingUntilMs = nowMs + leavingExclusionMs
  }

  /** Excludes a server that did not answer. */
  recordFailure (server: string, nowMs: number): void {
    this.getRecord(server).unresponsiveUntilMs = nowMs + unresponsiveExclusionMs
  }

  recordAnswer (server: string): void {
    this.getRecord(server).unresponsiveUntilMs = 0
  }

  recordSent (server: string, taskLoad: TaskLoad): void {
    const record = this.getRecord(server)
    record.sentRequests += 1
    record.sentPromptTokens += taskLoad.promptTokens
    record.sentPieces += taskLoad.pieces
  }

  recordEnded (server: string, taskLoad: TaskLoad): void {
    const record = this.getRecord(server)
    record.sentRequests -= 1
    record.sentPromptTokens -= taskLoad.promptTokens
    record.sentPieces -= taskLoad.pieces
  }

  recordTransfer (server: string, change: 1 | -1): void {
    const record = this.getRecord(server)
    record.transfers = Math.max(0, record.transfers + change)
  }

  /** Records prefixes that the server's cache holds now, and evicts the least recently recorded ones. */
  recordPrefixes (server: string, prefixes: readonly string[]): void {
    const known = this.getRecord(server).prefixes
    for (const prefix of prefixes) {
      known.delete(prefix)
      known.add(prefix)
    }
    for (const oldest of known) {
      if (known.size <= maximumPrefixes) {
        return
      }
      known.delete(oldest)
    }
  }

  /** Corrects the recorded prefixes by the number of leading ones that the server has found in its cache. */
  correctPrefixes (server: string, prefixes: readonly string[], found: number): void {
    this.recordPrefixes(server, prefixes.slice(0, found))
    const known = this.getRecord(server).prefixes
    for (const prefix of prefixes.slice(found)) {
      known.delete(prefix)
    }
  }

  /** Counts the leading prefixes that are assumed to be in the server's cache. */
  countPrefixes (server: string, prefixes: readonly string[]): number {
    const known = this.records.get(server)?.prefixes
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

  getSnapshot (name: string, server: configuration.Server, nowMs: number): ServerSnapshot {
    const record = this.getRecord(name)
    const load = record.load
    const reportedRequests = (load?.running ?? 0) + (load?.queued ?? 0)
    return {
      server,
      isUsable: server.state === 'active' && record.leavingUntilMs <= nowMs && record.unresponsiveUntilMs <= nowMs,
      running: Math.max(0, reportedRequests + record.sentRequests),
      reportedRequests,
      pendingPromptTokens: estimatePendingPromptTokens(record, server, nowMs),
      freePieces: getFreePieces(load, server) - record.sentPieces,
      transfers: record.transfers
    }
  }

  /** Removes servers that are no longer configured. */
  retain (names: ReadonlySet<string>): void {
    for (const name of [...this.records.keys()]) {
      if (!names.has(name)) {
        this.records.delete(name)
      }
    }
  }

  private getRecord (server: string): ServerRecord {
    const known = this.records.get(server)
    if (known !== undefined) {
      return known
    }
    const record = createRecord()
    this.records.set(server, record)
    return record
  }
}

function createRecord (): ServerRecord {
  return {
    load: undefined,
    loadAtMs: 0,
    sentRequests: 0,
    sentPromptTokens: 0,
    sentPieces: 0,
    transfers: 0,
    unresponsiveUntilMs: 0,
    leavingUntilMs: 0,
    prefixes: new Set()
  }
}

/** Returns the pending prompt tokens: last report, less what the server has processed since, plus tasks sent since. */
function estimatePendingPromptTokens (record: ServerRecord, server: configuration.Server, nowMs: number): number {
  const processedTokens = (nowMs - record.loadAtMs) / 1000 * server.prefillTokensPerSecond
  const reported = Math.max(0, (record.load?.pendingPromptTokens ?? 0) - processedTokens)
  return Math.max(0, reported + record.sentPromptTokens)
}

function getFreePieces (load: work.Load | undefined, server: configuration.Server): number {
  if (load === undefined) {
    return server.memoryPieces
  }
  return load.freePieces - load.promisedPieces
}
