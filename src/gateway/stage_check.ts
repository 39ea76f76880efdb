/**
 * Finds out whether a server that granted room and refused the run changes its stage.
 *
 * Pattern: the gateway that ordered the change is cut off before it tells the others, and each of them has prompts read in vain for
 * an engine that grants room. A prompt whose KV cache cannot be fetched is refused alike, so the engine is asked.
 */
import * as exchanges from './exchange.js'
import * as routing from '../contracts/routing.js'

/** Longest wait for a server's report, in milliseconds. */
const reportAnswerMs = 300

export class StageCheck extends exchanges.RequestScope {
  /** Has a server that reports an order under way left out everywhere; for `standardMs` where its profile names no time. */
  async run (server: routing.RoutedServer, standardMs: number): Promise<void> {
    const { dialect, fleet, pool } = this.context
    const outcome = await pool.call(server, dialect.writeReportRequest(server), reportAnswerMs)
    const report = outcome.kind === 'answered' && outcome.status === 200 ? dialect.readReport(outcome.body) : undefined
    const isSwitching = report?.isRight() === true && report.unsafeCoerce().isBusy
    if (isSwitching) {
      fleet.noteSwitching(server, this.request.service.engine?.switchMs ?? standardMs, this.now())
    }
    this.log('run refused though room was granted', { server: server.id, isSwitching, stage: server.stage })
  }
}
