/**
 * Claims an engine for this boot by sending its role with the fencing token, then polls its load and the changes of its
 * prefix cache.
 */
import * as backends from './backend.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as meters from '../metrics/types.js'
import * as settings from '../contracts/settings.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

const pollPeriodMs = 500

export interface EngineMonitorContext {
  readonly engine: backends.Engine
  /** Fencing token of this boot. */
  readonly fence: number
  readonly server: settings.AgentSettings['backend']
  readonly system: host.System
  readonly meter: meters.Meter
  readonly getLoad: () => work.Load
  readonly cacheChanged: (change: types.CacheChange) => void
}

export class EngineMonitor {
  private lastChange = 0
  private isReachable = true
  private isPolling = false
  private stopPolling: host.Stop = () => {}

  constructor (private readonly context: EngineMonitorContext) {}

  /** Sends the engine its role with the fencing token of this boot and starts polling. */
  async start (): Promise<void> {
    const { engine, fence, server, system } = this.context
    if (server.role !== 'service') {
      const result = await engine.sendCommand({ kind: 'change_role', role: server.role }, fence)
      result.ifLeft(failure => system.log.warn('the engine did not accept its role', { reason: failure.message }))
    }
    this.stopPolling = system.clock.every(pollPeriodMs, () => {
      this.poll()
    })
  }

  stop (): void {
    this.stopPolling()
  }

  private async poll (): Promise<void> {
    if (this.isPolling) {
      return
    }
    this.isPolling = true
    const { engine } = this.context
    const [load, changes] = await Promise.all([engine.readLoad(), engine.readCacheChanges(this.lastChange)])
    this.isPolling = false
    load.ifRight(reported => this.reportLoad(reported))
    changes.ifRight(report => this.applyChanges(report))
    this.logReachability(load)
  }

  private reportLoad (reported: backends.EngineLoad): void {
    const { meter, getLoad } = this.context
    const load = getLoad()
    meter.gauge('engine_running', {}, reported.running)
    meter.gauge('engine_waiting', {}, reported.waiting)
    meter.gauge('engine_memory_ratio', {}, reported.memoryUsage)
    meter.gauge('agent_running', {}, load.running)
    meter.gauge('agent_queued', {}, load.queued)
    meter.gauge('agent_free_pieces', {}, load.freePieces)
    meter.gauge('agent_promised_pieces', {}, load.promisedPieces)
  }

  private applyChanges (report: backends.CacheReport): void {
    if (report.last === this.lastChange) {
      return
    }
    this.lastChange = report.last
    if (report.hasGap) {
      this.context.meter.count('engine_cache_gaps_total', {})
    }
    this.context.cacheChanged(report)
  }

  /** Logs when the engine stops answering, and when it answers again. */
  private logReachability (load: failures.Result<backends.EngineLoad>): void {
    const { log } = this.context.system
    if (load.isRight() === this.isReachable) {
      return
    }
    this.isReachable = load.isRight()
    if (this.isReachable) {
      log.info('the engine answers again')
      return
    }
    load.ifLeft(failure => log.warn('the engine does not answer', { reason: failure.message }))
  }
}
