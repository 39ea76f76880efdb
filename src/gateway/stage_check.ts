/**
 * Determines whether a server that granted a reservation and then refused the request is changing its stage.
 *
 * Pattern: the gateway that ordered the change is cut off before its gossip reaches the others, and each of them has prompts
 * prefilled without effect for an engine that still grants reservations. The engine refuses a prompt whose KV cache cannot be
 * fetched in the same way, so its report is requested.
 */
import * as exchanges from './exchange.js'
import * as routing from '../contracts/routing.js'

/** Longest wait for a server's report, in milliseconds. */
const reportAnswerMs = 300

export class StageCheck extends exchanges.RequestScope {
  /** Excludes a server that reports an order in progress, at all gateways; for `standardMs` where its profile sets no time. */
  async run (server: routing.RoutedServer, standardMs: number): Promise<void> {
    const { dialect, fleet, permits, pool } = this.context
    if ((await permits.take(server)).kind === 'refused') {
      this.log('engine report not read', { server: server.id, reason: 'the limit of the server allows no request now' })
      return
    }
    const outcome = await pool.call(server, dialect.writeReportRequest(server), reportAnswerMs)
    const report = outcome.kind === 'answered' && outcome.status === 200 ? dialect.readReport(outcome.body) : undefined
    const isSwitching = report?.isRight() === true && report.unsafeCoerce().isBusy
    if (isSwitching) {
      fleet.recordSwitching(server, this.request.service.engine?.switchMs ?? standardMs, this.now())
    }
    this.log('server refused a request after granting its reservation', { server: server.id, isSwitching, stage: server.stage })
  }
}
