/**
 * Limits that servers state in their answers: the requests a second that a server takes from all gateways together.
 *
 * A limit belongs to one process of a server and holds for as long as its answers state it. Performs no input or output.
 */
import * as host from '../host/types.js'
import * as routing from '../contracts/routing.js'
import * as types from './types.js'

/** Time for which an unconfirmed statement is kept, in milliseconds: any request to the server within it renews the statement. */
const retentionMs = 600_000

/** The latest statement of a server's process about its limit. */
interface Statement {
  /** Requests a second; undefined if the server states no limit any more. */
  readonly perSecond: number | undefined
  /** Start time of the server's process in milliseconds since the Unix epoch, or 0. */
  readonly bornMs: number
  /** When it was last true, on the monotonic clock, in milliseconds. */
  readonly observedMs: number
}

export class ServerLimits {
  private readonly statements = new Map<string, Statement>()

  constructor (private readonly log: host.Log) {}

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
    return isInForce ? statement.perSecond : undefined
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

  /** Drops the statement of a server that has been removed. */
  forget (server: string): void {
    if (this.statements.delete(server)) {
      this.log.info('server limit dropped', { server, reason: 'the server was removed' })
    }
  }

  private apply (server: string, next: Statement, nowMs: number, teller: string | undefined): void {
    const last = this.statements.get(server)
    if (last !== undefined && (next.bornMs < last.bornMs || (next.bornMs === last.bornMs && next.observedMs <= last.observedMs))) {
      return
    }
    this.statements.set(server, next)
    if (last?.perSecond !== next.perSecond) {
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
