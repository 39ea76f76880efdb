/**
 * Coordinates stage changes of engines. One gateway at a time is the coordinator, by an exclusive lease on a key in the store. Its
 * orders carry the revision of that key as fencing token, so that engines refuse orders of an earlier coordinator.
 */
import * as contexts from './context.js'
import * as host from '../host/types.js'
import * as backoffs from './order_backoff.js'
import * as leases from './store_lease.js'
import * as replicas from './store_replica.js'
import * as positions from '../contracts/store_position.js'
import * as routing from '../contracts/routing.js'
import * as splits from './stage_split.js'

const key = 'mulberryflow/duty/stages'
/** Interval at which the split of stages is evaluated, in milliseconds. */
const evaluationPeriodMs = 500
/** Time-out of a report or an order, in milliseconds. */
const callTimeoutMs = 800
/** Time after which an order without visible effect is abandoned, in milliseconds: a delayed order has been carried out by then. */
const effectTimeoutMs = 16_000
const acceptedStatus = 202
const unchangedStatus = 200
const fencedOffStatus = 412

interface PendingOrder {
  readonly service: string
  readonly to: routing.EngineStage
  readonly untilMs: number
}

export class StageCoordinator extends replicas.ReplicaObserver {
  private readonly lease: leases.StoreLease
  private readonly splits = new Map<string, splits.StageSplit>()
  private readonly backoff = new backoffs.OrderBackoff()
  private readonly pendingOrders = new Map<string, PendingOrder>()
  private fencingToken: number | undefined
  private mayOrderFromMs = Infinity
  private isLoaded = false
  private isKeyTaken = false
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
    const coordinator = this
    this.lease = new leases.StoreLease(store, system, {
      key,
      value: JSON.stringify({ node: settings.node }),
      ttlMs: Math.max(settings.timing.orderLeaseMs, settings.timing.minimumLeaseMs),
      isExclusive: true,
      mayTry: () => coordinator.isLoaded && !coordinator.isKeyTaken
    }, new class extends leases.LeaseObserver {
      override held (revision: number): void {
        coordinator.handleAcquired(revision)
      }

      override lost (reason: string): void {
        coordinator.handleLost(reason)
      }
    }())
  }

  /** Servers that are changing their stage by order of this gateway. */
  listSwitching (): readonly string[] {
    return [...this.pendingOrders.keys()]
  }

  start (): void {
    this.lease.start()
    this.stopTicks = this.context.system.clock.every(evaluationPeriodMs, () => this.tick())
  }

  async leave (): Promise<void> {
    this.stopTicks?.()
    this.fencingToken = undefined
    await this.lease.stop()
  }

  override put (item: replicas.ReplicaItem): void {
    this.isKeyTaken = this.isKeyTaken || item.key === key
  }

  override removed (removedKey: string): void {
    if (removedKey === key) {
      this.isKeyTaken = false
      this.lease.recheck()
    }
  }

  override updated (): void {
    if (!this.isLoaded) {
      this.isLoaded = true
      this.lease.recheck()
    }
  }

  private handleAcquired (revision: number): void {
    const { system, settings } = this.context
    this.fencingToken = positions.createFence(revision)
    // The previous coordinator may have sent orders until its lease ended.
    this.mayOrderFromMs = system.clock.monotonicMs() + settings.timing.orderLeaseMs
    system.log.info('became stage coordinator', { fence: this.fencingToken, pauseMs: settings.timing.orderLeaseMs })
  }

  private handleLost (reason: string): void {
    if (this.fencingToken !== undefined) {
      this.context.system.log.warn('lost the stage coordinator lease', { fence: this.fencingToken, reason })
    }
    this.fencingToken = undefined
    this.pendingOrders.clear()
  }

  private tick (): void {
    const { directory, routing: rules, system } = this.context
    const nowMs = system.clock.monotonicMs()
    this.removeCompleted(nowMs)
    this.context.fleet.setSwitching(this.listSwitching())
    const table = rules.table
    if (table === undefined || this.fencingToken === undefined || this.isOrdering || !this.lease.isHeld || nowMs < this.mayOrderFromMs) {
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
      const stage = this.pendingOrders.get(server.id)?.to ?? server.stage
      prefill += stage === 'prefill' ? 1 : 0
      decode += stage === 'decode' ? 1 : 0
    }
    const split = this.splits.get(service) ?? new splits.StageSplit()
    this.splits.set(service, split)
    const change = split.decide(prefill, decode, this.readLoad(service), nowMs)
    if (change === undefined || this.backoff.isPaused(createOrderKind(service, change.to), nowMs)) {
      return undefined
    }
    let best: routing.RoutedServer | undefined
    let bestLoad = Infinity
    for (const server of this.context.permits.selectAvailable(servers)) {
      if (server.stage !== change.from || this.pendingOrders.has(server.id) || this.context.health.isPaused(server.id, nowMs)) {
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
    const { dialect, meter, permits, pool, settings, system } = this.context
    if ((await permits.take(server)).kind === 'refused') {
      system.log.info('no stage change order', { server: server.id, reason: 'the limit of the server allows no request now' })
      return
    }
    const report = await pool.call(server, dialect.writeReportRequest(server), callTimeoutMs)
    const read = report.kind === 'answered' && report.status === 200 ? dialect.readReport(report.body) : undefined
    if (read === undefined || read.isLeft() || this.fencingToken === undefined || !this.lease.isHeld) {
      system.log.info('no stage change order', { server: server.id, reason: 'the server sent no report, or the coordinator lease is not certain' })
      this.splits.get(service)?.recordChange(system.clock.monotonicMs())
      return
    }
    const { stage, isBusy, orders } = read.unsafeCoerce()
    const fencingToken = this.fencingToken
    this.splits.get(service)?.recordChange(system.clock.monotonicMs())
    if (isBusy || stage === to) {
      system.log.info('no stage change order', { server: server.id, reason: isBusy ? 'the server is carrying out another order' : 'the server is already at the stage' })
      return
    }
    const permit = await permits.take(server)
    const permitMs = system.clock.monotonicMs()
    if (permit.kind === 'refused') {
      system.log.info('no stage change order', { server: server.id, reason: 'the limit of the server allows no order now' })
      return
    }
    if (!await this.lease.verify() || this.fencingToken !== fencingToken) {
      system.log.info('no stage change order', { server: server.id, fence: fencingToken, reason: 'the store did not confirm the coordinator lease' })
      permits.giveBack(server, permit.source)
      return
    }
    if (this.context.directory.isEvacuated(server) || !permits.isUsable(server, permit.source, permitMs)) {
      system.log.info('no stage change order', { server: server.id, reason: 'the zone was evacuated or the permit for the cold server expired meanwhile' })
      permits.giveBack(server, permit.source)
      return
    }
    this.pendingOrders.set(server.id, { service, to, untilMs: system.clock.monotonicMs() + effectTimeoutMs })
    this.context.fleet.setSwitching(this.listSwitching())
    const outgoing = dialect.writeStageOrder(server, { stage: to, holder: settings.node, fence: fencingToken, expectedOrders: orders })
    const outcome = await pool.call(server, outgoing, callTimeoutMs)
    const status = outcome.kind === 'answered' ? outcome.status : undefined
    const load = this.readLoad(service)
    meter.count('gateway_orders_total', { outcome: String(status ?? outcome.kind) })
    system.log.info('sent stage change order', {
      server: server.id,
      stage: to,
      fence: fencingToken,
      expectedOrders: orders,
      outcome: outcome.kind,
      status,
      prefillLoad: Number(load.prefill.toFixed(2)),
      decodeLoad: Number(load.decode.toFixed(2))
    })
    if (status === fencedOffStatus) {
      this.handleLost('an engine has seen a higher fencing token')
      await this.lease.stop()
    } else if (status !== undefined && status !== acceptedStatus && status !== unchangedStatus) {
      this.pendingOrders.delete(server.id)
    }
  }

  private removeCompleted (nowMs: number): void {
    for (const [id, { service, to, untilMs }] of this.pendingOrders) {
      const server = this.context.directory.find(id)
      if (server !== undefined && server.stage !== to && nowMs < untilMs) {
        continue
      }
      this.pendingOrders.delete(id)
      const kind = createOrderKind(service, to)
      if (server?.stage === to) {
        this.backoff.recordSuccess(kind)
      } else if (server === undefined) {
        const pauseMs = this.backoff.recordLoss(kind, nowMs)
        this.context.system.log.warn('engine lost while it had an order', { server: id, service, stage: to, pauseMs })
      }
    }
  }
}

function createOrderKind (service: string, to: routing.EngineStage): string {
  return `${service} ${to}`
}
