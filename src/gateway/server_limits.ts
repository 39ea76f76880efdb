/**
 * Limits that servers state in their answers: the requests a second that a server takes from all gateways together. The limit of a
 * cold server, which is stated by the configuration, comes on top.
 *
 * A limit belongs to one process of a server and holds for as long as its answers state it. Gateways report statements to each
 * other; of two about the same process the later one counts. Performs no input or output.
 */
import type * as coldLimits from './availability/cold_limit.js'
import type * as coldServers from './availability/cold_servers.js'
import * as host from '../host/types.js'
import * as messages from './peer_messages.js'
import * as routing from '../contracts/routing.js'
import * as types from './types.js'

/** Time for which an unconfirmed statement is kept, in milliseconds: any request to the server within it renews the statement. */
const retentionMs = 600_000
/** Time for which the end of a limit is reported to other gateways, in milliseconds. */
const endReportMs = 10_000
/** Limit on the statements in one message to another gateway; half of them are the latest changes, the rest take turns. */
const reportedStatements = 8
/** Least difference in age with which another gateway's statement of the same value counts as later, in milliseconds: its age lacks the time in transit. */
const refreshMs = 1_000
/** Value that stands for a server without a limit in messages. */
const noLimit = -1

/** The latest statement of a server's process about its limit. Times are on the monotonic clock, in milliseconds. */
interface Statement {
  /** Requests a second; undefined if the server states no limit any more. */
  readonly perSecond: number | undefined
  /** Start time of the server's process in milliseconds since the Unix epoch, or 0. */
  readonly bornMs: number
  /** When it was last true. */
  readonly observedMs: number
  /** When the limit changed to this value, as this gateway learned it. */
  readonly changedMs: number
}

type NewStatement = Omit<Statement, 'changedMs'>

export class ServerLimits {
  private readonly statements = new Map<string, Statement>()
  /** Position in the statements from which the next message takes those that have not changed lately. */
  private nextReported = 0

  constructor (private readonly log: host.Log, private readonly cold?: coldServers.ColdServers) {}

  /** Number of servers with a limit in force. */
  get count (): number {
    let count = 0
    for (const { perSecond } of this.statements.values()) {
      count += perSecond === undefined ? 0 : 1
    }
    return count
  }

  /** Requests a second that a server takes from all gateways together; undefined without a limit. */
  getLimit (server: routing.RoutedServer, nowMs: number): number | undefined {
    const statement = this.statements.get(server.id)
    const isInForce = statement !== undefined && statement.bornMs >= (server.bornMs ?? 0) && nowMs - statement.observedMs <= retentionMs
    const stated = isInForce ? statement.perSecond : undefined
    const cold = this.cold?.getLimit(server.id, nowMs)
    return cold === undefined ? stated : Math.min(cold.perSecond, stated ?? Infinity)
  }

  /** Returns the limit of a cold server, which lies below its bound; undefined for any other. */
  getColdLimit (server: string, nowMs: number): coldLimits.ColdLimit | undefined {
    return this.cold?.getLimit(server, nowMs)
  }

  /** Time until a server is no longer cold, in milliseconds; undefined if it is not cold. */
  getColdLeftMs (server: string, nowMs: number): number | undefined {
    return this.getColdLimit(server, nowMs) === undefined ? undefined : this.cold?.getLeftMs(server, nowMs)
  }

  /** Requests a second by the latest statement of a server, whichever of its processes made it. */
  getStatedLimit (server: string): number | undefined {
    return this.statements.get(server)?.perSecond
  }

  /** Time since the latest statement of a server was last true, in milliseconds. */
  getAgeMs (server: string, nowMs: number): number | undefined {
    const statement = this.statements.get(server)
    return statement === undefined ? undefined : Math.round(nowMs - statement.observedMs)
  }

  /**
   * Records what an answer states. Only the server's signed answer to a request that was sent after the last statement of the limit
   * ends it: an earlier request may have been answered before the server set the limit.
   */
  recordAnswer (server: routing.RoutedServer, facts: types.AnswerFacts, sentMs: number, nowMs: number): void {
    const bornMs = server.bornMs ?? 0
    if (facts.limitPerSecond !== undefined) {
      this.apply(server.id, { perSecond: facts.limitPerSecond, bornMs, observedMs: nowMs }, nowMs, undefined)
    } else if (facts.isSigned && this.statements.get(server.id)?.perSecond !== undefined) {
      this.apply(server.id, { perSecond: undefined, bornMs, observedMs: sentMs }, nowMs, undefined)
    }
  }

  /** Returns the statement about a server as a message carries it. */
  describe (server: string, nowMs: number): messages.LimitStatement | undefined {
    const statement = this.statements.get(server)
    return statement === undefined ? undefined : createMessage(statement, nowMs)
  }

  /** Returns statements for a message to another gateway, those that changed last first; undefined if there are none. */
  listReported (nowMs: number): Record<string, messages.LimitStatement> | undefined {
    const current: [string, Statement][] = []
    for (const [server, statement] of this.statements) {
      if (nowMs - statement.observedMs > retentionMs) {
        this.statements.delete(server)
      } else if (statement.perSecond !== undefined || nowMs - statement.changedMs <= endReportMs) {
        current.push([server, statement])
      }
    }
    if (current.length === 0) {
      return undefined
    }
    if (current.length > reportedStatements) {
      current.sort(([, a], [, b]) => b.changedMs - a.changedMs)
    }
    const changedLast = current.slice(0, reportedStatements / 2)
    const others = current.slice(reportedStatements / 2)
    const reported = new Map(changedLast)
    for (let count = 0; count < Math.min(others.length, reportedStatements / 2); count += 1) {
      this.nextReported = (this.nextReported + 1) % others.length
      const [server, statement] = others[this.nextReported] as [string, Statement]
      reported.set(server, statement)
    }
    return Object.fromEntries([...reported].map(([server, statement]) => [server, createMessage(statement, nowMs)]))
  }

  /** Merges statements that another gateway reported as of a time on the monotonic clock. */
  merge (reported: Readonly<Record<string, messages.LimitStatement>>, teller: string, asOfMs: number, nowMs: number): void {
    for (const [server, [perSecond, bornMs, ageMs]] of Object.entries(reported)) {
      const next = { perSecond: perSecond === noLimit ? undefined : perSecond, bornMs, observedMs: asOfMs - Math.max(0, ageMs) }
      const last = this.statements.get(server)
      const isKnown = last?.perSecond === next.perSecond && last?.bornMs === bornMs && next.observedMs - last.observedMs < refreshMs
      if (!isKnown) {
        this.apply(server, next, nowMs, teller)
      }
    }
  }

  /** Drops the statement of a server that has been removed. */
  forget (server: string): void {
    if (this.statements.delete(server)) {
      this.log.info('server limit dropped', { server, reason: 'the server was removed' })
    }
  }

  private apply (server: string, next: NewStatement, nowMs: number, teller: string | undefined): void {
    const last = this.statements.get(server)
    if (last !== undefined && (next.bornMs < last.bornMs || (next.bornMs === last.bornMs && next.observedMs <= last.observedMs))) {
      return
    }
    const hasChanged = last?.perSecond !== next.perSecond
    this.statements.set(server, { ...next, changedMs: hasChanged ? nowMs : last?.changedMs ?? nowMs })
    if (hasChanged) {
      this.log.info(next.perSecond === undefined ? 'server limit ended' : 'server limit in force', {
        server,
        perSecond: next.perSecond,
        before: last?.perSecond,
        bornMs: next.bornMs,
        ageMs: Math.round(nowMs - next.observedMs),
        teller
      })
    }
  }
}

function createMessage ({ perSecond, bornMs, observedMs }: Statement, nowMs: number): messages.LimitStatement {
  return [perSecond ?? noLimit, bornMs, Math.round(nowMs - observedMs)]
}
