/**
 * Gateways in steps of time that share the places of one decode server and learn of each other by gossip that is late.
 */
import * as capacityQueues from '../../../src/gateway/queueing/capacity_queue.js'
import * as fairShares from '../../../src/gateway/queueing/fair_shares.js'
import * as messages from '../../../src/gateway/peer_messages.js'
import * as metrics from '../../../src/metrics/types.js'
import * as placementDeferrals from '../../../src/gateway/queueing/placement_deferral.js'
import * as recordedLogs from '../../support/recorded_log.js'
import * as routing from '../../../src/contracts/routing.js'
import * as waitingDemands from '../../../src/gateway/queueing/waiting_demand.js'

const stepMs = 20
export const gossipPeriodMs = 100
export const gossipDelayMs = 100
/** Memory of a request, in tokens; each has the same. */
export const requestTokens = 4_000

export interface SimulatedRequest {
  readonly rank: number
  readonly workspace?: string
  /** How long it may wait, in milliseconds. */
  readonly goalMs?: number
}

export interface SimulatedEnd extends SimulatedRequest {
  readonly gateway: SimulatedGateway
  readonly waitedMs: number
  readonly isPlaced: boolean
}

export class SimulatedGateway {
  readonly log = new recordedLogs.RecordedLog()
  readonly shares = new fairShares.FairShares()
  readonly demand = new waitingDemands.WaitingDemand(this.log)
  readonly deferral = new placementDeferrals.PlacementDeferral(this.demand, this.log, new metrics.SilentMeter())
  readonly queue = new capacityQueues.CapacityQueue(() => {}, this.shares)
  readonly toldRuns = new Map<string, number>()
  readonly toldTotals = new Map<string, Map<string, number>>()
  readonly totals = new Map<string, number>()
  runs = 0
  isRunning = true
  /** Whether it runs a version that does not tell what waits. */
  isOld = false

  constructor (readonly name: string) {}
}

export class QueueingFleet {
  nowMs = 0
  readonly gateways: SimulatedGateway[]
  readonly ends: SimulatedEnd[] = []
  /** Sum over time of the free places while something waited, in milliseconds. */
  idlePlaceMs = 0
  private running: { readonly endMs: number, readonly gateway: SimulatedGateway }[] = []
  private readonly news: { readonly atMs: number, readonly apply: () => void }[] = []
  private serial = 0

  constructor (count: number, private readonly places: number, private readonly runMs: number, workspaces: readonly routing.RoutedWorkspace[] = []) {
    this.gateways = Array.from({ length: count }, (_unused, index) => new SimulatedGateway(`g${index}`))
    for (const { shares } of this.gateways) {
      shares.setWorkspaces(workspaces, 0)
    }
  }

  request (gateway: SimulatedGateway, request: SimulatedRequest): void {
    const arrivedMs = this.nowMs
    const workspace = request.workspace ?? ''
    this.serial += 1
    const id = String(this.serial)
    gateway.queue.add({
      id,
      priority: request.rank,
      expectedOutputTokens: 0,
      sinceMs: arrivedMs,
      latestMs: arrivedMs + (request.goalMs ?? Infinity),
      isLate: false,
      claim: { service: 's', workspace, tokens: requestTokens, memoryTokens: requestTokens, arrivedMs, isUnservable: () => false },
      tryReserve: () => this.tryReserve(gateway, id, request),
      settle: isPlaced => this.ends.push({ ...request, gateway, waitedMs: this.nowMs - arrivedMs, isPlaced })
    })
  }

  /** Moves time on by one step: runs end, gossip arrives and leaves, the queues are checked. */
  step (): void {
    this.nowMs += stepMs
    for (const { gateway } of this.running.filter(({ endMs }) => endMs <= this.nowMs)) {
      gateway.runs -= 1
    }
    this.running = this.running.filter(({ endMs }) => endMs > this.nowMs)
    for (const { apply } of this.news.splice(0, this.news.findIndex(({ atMs }) => atMs > this.nowMs) >>> 0)) {
      apply()
    }
    for (const gateway of this.gateways.filter(({ isRunning }) => isRunning)) {
      if (this.nowMs % gossipPeriodMs === 0) {
        this.tell(gateway)
      }
      gateway.queue.dispatch(this.nowMs)
    }
    if (this.gateways.some(({ queue, isRunning }) => isRunning && queue.length > 0)) {
      this.idlePlaceMs += (this.places - this.running.length) * stepMs
    }
  }

  private tryReserve (gateway: SimulatedGateway, id: string, { rank, workspace }: SimulatedRequest): boolean {
    let free = this.places - gateway.runs
    for (const runs of gateway.toldRuns.values()) {
      free -= runs
    }
    const candidate = { id, service: 's', rank, countPlaces: () => Math.max(0, free) }
    if (gateway.deferral.shouldDefer(candidate, gossipPeriodMs, this.nowMs) || free <= 0 || this.running.length >= this.places) {
      return false
    }
    gateway.runs += 1
    gateway.totals.set(workspace ?? '', (gateway.totals.get(workspace ?? '') ?? 0) + requestTokens)
    this.running.push({ endMs: this.nowMs + this.runMs, gateway })
    return true
  }

  private tell (gateway: SimulatedGateway): void {
    const asOfMs = this.nowMs
    const own = gateway.queue.listClaimants()
      .map(({ priority, claim }) => ({ service: 's', rank: priority, tokens: claim.memoryTokens, sinceMs: claim.arrivedMs }))
    const waiting: messages.GatewayStatus['waiting'] = gateway.isOld ? undefined : gateway.demand.describe(own, asOfMs)
    const totals = new Map(gateway.totals)
    const { runs } = gateway
    this.news.push({
      atMs: asOfMs + gossipDelayMs,
      apply: () => {
        for (const other of this.gateways.filter(candidate => candidate !== gateway)) {
          other.toldRuns.set(gateway.name, runs)
          other.demand.updatePeer(gateway.name, waiting, asOfMs, this.nowMs)
          for (const [workspace, total] of totals) {
            other.shares.recordTold(workspace, total - (other.toldTotals.get(gateway.name)?.get(workspace) ?? 0), this.nowMs)
          }
          other.toldTotals.set(gateway.name, totals)
        }
      }
    })
  }
}
