/**
 * Coordinates stage changes of engines. One gateway at a time is the coordinator, by an exclusive lease on a key in the store. Its
 * orders carry the revision of that key as fencing token, so that engines refuse orders of an earlier coordinator.
 */
import * as contexts from './context.js'
import * as host from '../host/types.js'
import * as leases from './store_lease.js'
import * as mirrors from './mirror.js'
import * as positions from '../contracts/store_position.js'
import * as routing from '../contracts/routing.js'
import * as splits from './stage_split.js'

const key = 'mulberryflow/duty/stages'
/** Interval at which the split of stages is evaluated, in milliseconds. */
const periodMs = 500
/** Time-out of a report or an order, in milliseconds. */
const answerMs = 800
/** Time after which an order without visible effect is abandoned, in milliseconds: a delayed order has been carried out by then. */
const effectMs = 16_000
const accepted = 202
const holdsAlready = 200
const fencedOff = 412

interface Ordered {
  readonly to: routing.EngineStage
  readonly untilMs: number
}

export class OrderDuty extends mirrors.MirrorObserver {
  private readonly lease: leases.StoreLease
  private readonly services = new Map<string, splits.StageSplit>()
  private readonly ordered = new Map<string, Ordered>()
  private fence: number | undefined
  private mayOrderFromMs = Infinity
  private isLoaded = false
  private isTaken = false
  private isOrdering = false
  private stopTicks: host.Stop | undefined

  constructor (
    private readonly context: contexts.GatewayContext,
    store: host.Store,
    /** Load offered to a service by the callers of all gateways. */
    private readonly readLoad: (service: string) => splits.OfferedLoad
  ) {
    super()
    const { system, settings } = context
    const duty = this
    this.lease = new leases.StoreLease(store, system, {
      key,
      value: JSON.stringify({ node: settings.node }),
      ttlMs: Math.max(settings.timing.orderLeaseMs, settings.timing.minimumLeaseMs),
      isExclusive: true,
      mayTry: () => duty.isLoaded && !duty.isTaken
    }, new class extends leases.LeaseObserver {
      override held (revision: number): void {
        duty.gain(revision)
      }

      override lost (reason: string): void {
        duty.drop(reason)
      }
    }())
  }

  /** Servers that are changing their stage by order of this gateway. */
  listSwitching (): readonly string[] {
    return [...this.ordered.keys()]
  }

  start (): void {
    this.lease.start()
    this.stopTicks = this.context.system.clock.every(periodMs, () => this.tick())
  }

  async leave (): Promise<void> {
    this.stopTicks?.()
    this.fence = undefined
    await this.lease.stop()
  }

  override put (item: mirrors.MirrorItem): void {
    this.isTaken = this.isTaken || item.key === key
  }

  override removed (removedKey: string): void {
    if (removedKey === key) {
      this.isTaken = false
      this.lease.recheck()
    }
  }

  override updated (): void {
    if (!this.isLoaded) {
      this.isLoaded = true
      this.lease.recheck()
    }
  }

  private gain (revision: number): void {
    const { system, settings } = this.context
    this.fence = positions.createFence(revision)
    // The previous coordinator may have sent orders until its lease ended.
    this.mayOrderFromMs = system.clock.monotonicMs() + settings.timing.orderLeaseMs
    system.log.info('became stage coordinator', { fence: this.fence, pauseMs: settings.timing.orderLeaseMs })
  }

  private drop (reason: string): void {
    if (this.fence !== undefined) {
      this.context.system.log.warn('lost the stage coordinator lease', { fence: this.fence, reason })
    }
    this.fence = undefined
    this.ordered.clear()
  }

  private tick (): void {
    const { directory, routing: rules, system } = this.context
    const nowMs = system.clock.monotonicMs()
    this.forgetDone(nowMs)
    this.context.fleet.setSwitching(this.listSwitching())
    const table = rules.table
    if (table === undefined || this.fence === undefined || this.isOrdering || !this.lease.isHeld || nowMs < this.mayOrderFromMs) {
      return
    }
    for (const service of table.document.services) {
      if (service.engine === undefined) {
        continue
      }
      const order = this.plan(service.name, directory.listReady(service.name), nowMs)
      if (order !== undefined) {
        this.isOrdering = true
        this.order(service.name, order.server, order.to).catch((error: unknown) => {
          system.log.error('stage change order failed on an unexpected error', { server: order.server.id, error: String(error) })
        }).finally(() => {
          this.isOrdering = false
        })
        return
      }
    }
  }

  private plan (
    service: string, servers: readonly routing.RoutedServer[], nowMs: number
  ): { readonly server: routing.RoutedServer, readonly to: routing.EngineStage } | undefined {
    let prefill = 0
    let decode = 0
    for (const server of servers) {
      const stage = this.ordered.get(server.id)?.to ?? server.stage
      prefill += stage === 'prefill' ? 1 : 0
      decode += stage === 'decode' ? 1 : 0
    }
    const split = this.services.get(service) ?? new splits.StageSplit()
    this.services.set(service, split)
    const change = split.decide(prefill, decode, this.readLoad(service), nowMs)
    if (change === undefined) {
      return undefined
    }
    let best: routing.RoutedServer | undefined
    let bestLoad = Infinity
    for (const server of servers) {
      if (server.stage !== change.from || this.ordered.has(server.id) || this.context.health.isPaused(server.id, nowMs)) {
        continue
      }
      const { tokens, unread } = this.context.fleet.getLoad(server.id, nowMs)
      if (tokens + unread < bestLoad) {
        best = server
        bestLoad = tokens + unread
      }
    }
    return best === undefined ? undefined : { server: best, to: change.to }
  }

  private async order (service: string, server: routing.RoutedServer, to: routing.EngineStage): Promise<void> {
    const { dialect, meter, pool, settings, system } = this.context
    const report = await pool.call(server, dialect.writeReportRequest(server), answerMs)
    const read = report.kind === 'answered' && report.status === 200 ? dialect.readReport(report.body) : undefined
    if (read === undefined || read.isLeft() || this.fence === undefined || !this.lease.isHeld) {
      system.log.info('no stage change order', { server: server.id, reason: 'the server sent no report, or the coordinator lease is not certain' })
      this.services.get(service)?.noteChange(system.clock.monotonicMs())
      return
    }
    const { stage, isBusy, orders } = read.unsafeCoerce()
    const fence = this.fence
    this.services.get(service)?.noteChange(system.clock.monotonicMs())
    if (isBusy || stage === to) {
      system.log.info('no stage change order', { server: server.id, reason: isBusy ? 'the server is carrying out another order' : 'the server is already at the stage' })
      return
    }
    if (!await this.lease.verify() || this.fence !== fence) {
      system.log.info('no stage change order', { server: server.id, fence, reason: 'the store did not confirm the coordinator lease' })
      return
    }
    this.ordered.set(server.id, { to, untilMs: system.clock.monotonicMs() + effectMs })
    this.context.fleet.setSwitching(this.listSwitching())
    const outgoing = dialect.writeStageOrder(server, { stage: to, holder: settings.node, fence, expectedOrders: orders })
    const outcome = await pool.call(server, outgoing, answerMs)
    const status = outcome.kind === 'answered' ? outcome.status : undefined
    const load = this.readLoad(service)
    meter.count('gateway_orders_total', { outcome: String(status ?? outcome.kind) })
    system.log.info('sent stage change order', {
      server: server.id,
      stage: to,
      fence,
      expectedOrders: orders,
      outcome: outcome.kind,
      status,
      prefillLoad: Number(load.prefill.toFixed(2)),
      decodeLoad: Number(load.decode.toFixed(2))
    })
    if (status === fencedOff) {
      this.drop('an engine has seen a higher fencing token')
      await this.lease.stop()
    } else if (status !== undefined && status !== accepted && status !== holdsAlready) {
      this.ordered.delete(server.id)
    }
  }

  private forgetDone (nowMs: number): void {
    for (const [id, { to, untilMs }] of this.ordered) {
      const server = this.context.directory.find(id)
      if (server === undefined || server.stage === to || nowMs >= untilMs) {
        this.ordered.delete(id)
      }
    }
  }
}
