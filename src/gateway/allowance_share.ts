/**
 * Distributed rate limiter: allowances of workspaces over all gateways, without a remote call per request.
 *
 * Every gateway keeps a token bucket for each workspace and gossips the total that it has admitted. An unresponsive
 * gateway is assumed to use its even share of the rate, so that gateways on both sides of a network partition stay
 * within the allowance together.
 */
import * as exchangePlans from './exchange_plan.js'
import * as routing from '../contracts/routing.js'
import * as settings from './settings.js'

/** Part of the tolerated excess that is added to the bucket's depth, so that short peaks within the allowance of a window are not refused. */
const depthPart = 0.35
/** Part of the tolerated excess that the two sides of a network partition may use together. */
const partitionPart = 0.35
/** Upper bound on the excess during a partition, in parts of the rate. */
const highestPartitionPart = 0.3

/** Requests up to this part of the burst count as small. */
const smallPart = 0.05
/** Debt that small requests may leave, in parts of the burst, so that large requests of the same workspace do not starve them. */
const smallDebtPart = 0.5

/** Weight of the newest sample in the exponential moving average of a zone's rate. */
const newestRateWeight = 0.3
/** Longest time over which a zone's rate is extrapolated after its last aggregate: by then its gateways report individually. */
const longestGapMs = 3_000
/** Age of a zone aggregate from which its rate is extrapolated, in parts of the time after which a gateway counts as unresponsive. */
const assumingPart = 1 / 3

interface Bucket {
  workspace: routing.RoutedWorkspace
  level: number
  updatedMs: number
  admitted: number
}

/** Totals that a gateway, or a zone as a whole, has reported as admitted. */
interface Source {
  readonly boot: string
  readonly admitted: Map<string, number>
}

/** Totals of a zone and their growth rates by workspace, in units per millisecond. */
interface ZoneSource extends Source {
  readonly heardMs: number
  readonly rates: Map<string, number>
  /** Units charged by workspace since `lastSeenMs` by extrapolating the rates. */
  readonly assumed: Map<string, number>
}

export type AllowanceVerdict =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused', readonly retryAfterMs: number }

export class AllowanceShare {
  private readonly buckets = new Map<string, Bucket>()
  /** When each other gateway was last seen, in milliseconds. */
  private readonly peers = new Map<string, number>()
  private readonly gatewaySources = new Map<string, Source>()
  private readonly zoneSources = new Map<string, ZoneSource>()
  /** Units that the other gateways of this zone reported as admitted, since this process started. */
  private readonly heardInZone = new Map<string, number>()
  private silenceMs = exchangePlans.minimumUnresponsiveMs

  /** `tolerance` is the excess over the allowance that a window may have. */
  constructor (private readonly tolerance: settings.GatewaySettings['allowance']) {}

  /** Returns the cost of a request in its workspace's unit. */
  static measure (workspace: routing.RoutedWorkspace, tokens: number | undefined): number {
    return workspace.unit === 'requests' ? 1 : tokens ?? workspace.plainTokens
  }

  /** Sets the workspaces; usage at other gateways counts against their buckets from now on. */
  setWorkspaces (workspaces: readonly routing.RoutedWorkspace[], nowMs: number): void {
    const names = new Set<string>()
    for (const workspace of workspaces) {
      names.add(workspace.name)
      this.refill(workspace, nowMs)
    }
    for (const name of this.buckets.keys()) {
      if (!names.has(name)) {
        this.buckets.delete(name)
      }
    }
  }

  /** Sets the other gateways of the deployment and drops the state of all others. */
  setPeers (names: readonly string[], silenceMs = exchangePlans.minimumUnresponsiveMs): void {
    this.silenceMs = silenceMs
    for (const name of this.peers.keys()) {
      if (!names.includes(name)) {
        this.peers.delete(name)
        this.gatewaySources.delete(name)
      }
    }
    for (const name of names) {
      if (!this.peers.has(name)) {
        this.peers.set(name, -Infinity)
      }
    }
  }

  /** Records that another gateway is alive. */
  noteHeard (name: string, heardMs: number): void {
    this.peers.set(name, Math.max(heardMs, this.peers.get(name) ?? -Infinity))
  }

  /** Debits the growth of the totals that another gateway has admitted since its boot. */
  hear (name: string, boot: string, admitted: Readonly<Record<string, number>>, nowMs: number, isOwnZone = false): void {
    this.noteHeard(name, nowMs)
    const source = this.gatewaySources.get(name)
    if (source === undefined || source.boot !== boot) {
      // Units admitted before the gateway's first report may lie outside the current window, so they are not charged.
      this.gatewaySources.set(name, { boot, admitted: new Map(Object.entries(admitted)) })
      return
    }
    for (const [workspace, units] of this.takeGrowth(source, admitted)) {
      if (isOwnZone) {
        this.heardInZone.set(workspace, (this.heardInZone.get(workspace) ?? 0) + units)
      }
    }
  }

  /** Debits the growth of another zone's totals. `boot` names the relay that counts them and its boot. */
  hearZone (zone: string, boot: string, admitted: Readonly<Record<string, number>>, nowMs: number): void {
    const source = this.zoneSources.get(zone)
    const elapsedMs = Math.max(1, nowMs - (source?.heardMs ?? nowMs))
    const rates = source?.rates ?? new Map<string, number>()
    if (source === undefined || source.boot !== boot) {
      // The new relay counts from a different start, so the extrapolated charge for the time between the two aggregates stands.
      if (source !== undefined) {
        this.assumeAll(source, nowMs, 0)
      }
      this.zoneSources.set(zone, { boot, admitted: new Map(Object.entries(admitted)), heardMs: nowMs, rates, assumed: new Map() })
      return
    }
    for (const [workspace, units] of source.assumed) {
      this.take(workspace, -units)
    }
    const growth = this.takeGrowth(source, admitted)
    for (const workspace of Object.keys(admitted)) {
      const before = rates.get(workspace) ?? 0
      rates.set(workspace, before + ((growth.get(workspace) ?? 0) / elapsedMs - before) * newestRateWeight)
    }
    this.zoneSources.set(zone, { ...source, heardMs: nowMs, assumed: new Map() })
  }

  /** Drops the totals of a zone whose gateways report individually from now on. */
  forgetZone (zone: string): void {
    this.zoneSources.delete(zone)
  }

  /** Drops the totals of a gateway that is covered by its zone's aggregate from now on. */
  forgetGateway (name: string): void {
    this.gatewaySources.delete(name)
  }

  /** Charges a request, or returns when the workspace may retry. */
  charge (workspace: routing.RoutedWorkspace, units: number, nowMs: number): AllowanceVerdict {
    if (workspace.rate <= 0) {
      return { kind: 'admitted' }
    }
    const bucket = this.refill(workspace, nowMs)
    // A request above the burst is admitted from a full bucket and leaves a debt.
    const needed = units <= workspace.burst * smallPart
      ? units - workspace.burst * smallDebtPart
      : Math.min(units, workspace.burst)
    if (bucket.level < needed) {
      const missing = needed - bucket.level
      return { kind: 'refused', retryAfterMs: Math.ceil(missing / workspace.rate * 1000) }
    }
    bucket.level -= units
    bucket.admitted += units
    return { kind: 'admitted' }
  }

  /** Refunds the charge of a request that never ran. */
  refund (workspace: string, units: number): void {
    const bucket = this.buckets.get(workspace)
    if (bucket !== undefined) {
      bucket.level += units
      bucket.admitted -= units
    }
  }

  /** Returns the totals that this gateway has admitted since it started. */
  listAdmitted (): Record<string, number> {
    const admitted: Record<string, number> = {}
    for (const [workspace, bucket] of this.buckets) {
      admitted[workspace] = Math.round(bucket.admitted)
    }
    return admitted
  }

  /** Returns the totals that this gateway has admitted or received from the others of its zone since it started. */
  listZoneAdmitted (): Record<string, number> {
    const admitted = this.listAdmitted()
    for (const [workspace, units] of this.heardInZone) {
      admitted[workspace] = (admitted[workspace] ?? 0) + units
    }
    return admitted
  }

  /** Charges the extrapolated usage of a zone since its last aggregate, if that is at least `fromMs` old. */
  private assumeAll (source: ZoneSource, nowMs: number, fromMs: number): void {
    const gapMs = Math.min(longestGapMs, nowMs - source.heardMs)
    if (gapMs < fromMs) {
      return
    }
    for (const [workspace, rate] of source.rates) {
      const units = Math.max(0, rate * gapMs)
      this.take(workspace, units - (source.assumed.get(workspace) ?? 0))
      source.assumed.set(workspace, units)
    }
  }

  /** Debits the growth of totals from the buckets and returns it by workspace. */
  private takeGrowth (source: Source, admitted: Readonly<Record<string, number>>): Map<string, number> {
    const growth = new Map<string, number>()
    for (const [workspace, total] of Object.entries(admitted)) {
      const units = total - (source.admitted.get(workspace) ?? 0)
      source.admitted.set(workspace, total)
      if (units !== 0 && this.take(workspace, units)) {
        growth.set(workspace, units)
      }
    }
    return growth
  }

  /** Debits units from a bucket; they are negative where refunds lowered a total. Returns false without a bucket. */
  private take (workspace: string, units: number): boolean {
    const bucket = this.buckets.get(workspace)
    if (bucket === undefined) {
      return false
    }
    bucket.level = Math.min(this.getDepth(bucket.workspace), bucket.level - units)
    return true
  }

  private refill (workspace: routing.RoutedWorkspace, nowMs: number): Bucket {
    const gateways = this.peers.size + 1
    const found = this.buckets.get(workspace.name)
    if (found === undefined) {
      // A gateway that has just started does not know past usage, so it begins with an even share of the burst.
      const created = { workspace, level: workspace.burst / gateways, updatedMs: nowMs, admitted: 0 }
      this.buckets.set(workspace.name, created)
      return created
    }
    found.workspace = workspace
    for (const source of this.zoneSources.values()) {
      this.assumeAll(source, nowMs, this.silenceMs * assumingPart)
    }
    const elapsedMs = Math.max(0, nowMs - found.updatedMs)
    found.updatedMs = nowMs
    const heardPart = (gateways - this.countSilent(nowMs)) / gateways
    const excess = Math.min(highestPartitionPart, partitionPart * this.getTolerated(workspace) / this.getWindowUnits(workspace))
    const ratePart = Math.min(1, heardPart * (1 + excess))
    // The saved-up units are divided, too: the other side of a partition holds the same balance.
    found.level = Math.min(this.getDepth(workspace) * heardPart, found.level + elapsedMs / 1000 * workspace.rate * ratePart)
    return found
  }

  /** Returns the bucket's depth: the most units that a workspace can save up. */
  private getDepth (workspace: routing.RoutedWorkspace): number {
    return workspace.burst + depthPart * this.getTolerated(workspace)
  }

  private getTolerated (workspace: routing.RoutedWorkspace): number {
    return this.tolerance.overPart * (this.getWindowUnits(workspace) + workspace.burst) + this.tolerance.slack
  }

  private getWindowUnits (workspace: routing.RoutedWorkspace): number {
    return workspace.rate * this.tolerance.windowMs / 1000
  }

  private countSilent (nowMs: number): number {
    let silent = 0
    for (const heardMs of this.peers.values()) {
      if (nowMs - heardMs > this.silenceMs) {
        silent += 1
      }
    }
    return silent
  }
}
