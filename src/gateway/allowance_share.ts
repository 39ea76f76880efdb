/**
 * Allowances of workspaces over all gateways, without a call for a request.
 *
 * Every gateway keeps a bucket for each workspace and tells the others the total that it has admitted. A gateway
 * that is not heard is assumed to use its even share of the rate, so that gateways that are cut off from each
 * other stay within the allowance together.
 */
import * as exchangePlans from './exchange_plan.js'
import * as routing from '../contracts/routing.js'
import * as settings from './settings.js'

/** Part of the tolerated excess that deepens the bucket: short peaks inside the allowance of a window are not refused. */
const depthPart = 0.35
/** Part of the tolerated excess that gateways which do not hear each other may use together. */
const partitionPart = 0.35
/** Most by which the rate may be exceeded by gateways that do not hear each other, in parts of the rate. */
const highestPartitionPart = 0.3

/** Requests below this part of the burst count as small. */
const smallPart = 0.05
/** Debt that small requests may leave, in parts of the burst: they are not shut out by the large ones of their workspace. */
const smallDebtPart = 0.5

/** Weight of the newest growth of a zone's totals in the smoothed rate. */
const newestRateWeight = 0.3
/** Longest time without the sum of a zone for which its gateways are taken to go on as before, in milliseconds: by then they are heard one by one. */
const longestGapMs = 3_000
/** Time without the sum of a zone from which on that is assumed, in parts of the time after which a gateway counts as silent. */
const assumingPart = 1 / 3

interface Bucket {
  workspace: routing.RoutedWorkspace
  level: number
  updatedMs: number
  admitted: number
}

/** What a gateway, or the gateways of a zone together, have said to have admitted. */
interface Source {
  readonly boot: string
  readonly admitted: Map<string, number>
}

/** The sums of a zone, and how fast its totals grow, in units a millisecond by workspace. */
interface ZoneSource extends Source {
  readonly heardMs: number
  readonly rates: Map<string, number>
  /** Units charged by workspace since then because the zone is taken to go on as before. */
  readonly assumed: Map<string, number>
}

export type AllowanceVerdict =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused', readonly retryAfterMs: number }

export class AllowanceShare {
  private readonly buckets = new Map<string, Bucket>()
  /** When each other gateway was last heard, in milliseconds. */
  private readonly peers = new Map<string, number>()
  private readonly gatewaySources = new Map<string, Source>()
  private readonly zoneSources = new Map<string, ZoneSource>()
  /** Units that the other gateways of the own zone were heard to admit, in this life. */
  private readonly heardInZone = new Map<string, number>()
  private silenceMs = exchangePlans.leastSilenceMs

  /** `tolerance` is what a window may exceed the allowance by. */
  constructor (private readonly tolerance: settings.GatewaySettings['allowance']) {}

  /** Returns what a request counts for in its workspace's unit. */
  static measure (workspace: routing.RoutedWorkspace, tokens: number | undefined): number {
    return workspace.unit === 'requests' ? 1 : tokens ?? workspace.plainTokens
  }

  /** Names the workspaces, so that what they use at other gateways counts here from now on. */
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

  /** Names the other gateways of the deployment; state of all others is dropped. One counts as silent after `silenceMs`. */
  setPeers (names: readonly string[], silenceMs = exchangePlans.leastSilenceMs): void {
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

  /** Notes that another gateway lives. */
  noteHeard (name: string, heardMs: number): void {
    this.peers.set(name, Math.max(heardMs, this.peers.get(name) ?? -Infinity))
  }

  /** Takes in the totals that another gateway has admitted in its life. */
  hear (name: string, boot: string, admitted: Readonly<Record<string, number>>, nowMs: number, isOwnZone = false): void {
    this.noteHeard(name, nowMs)
    const source = this.gatewaySources.get(name)
    if (source === undefined || source.boot !== boot) {
      // What was admitted before the gateway was first heard is not known to fall into the current window.
      this.gatewaySources.set(name, { boot, admitted: new Map(Object.entries(admitted)) })
      return
    }
    for (const [workspace, units] of this.takeGrowth(source, admitted)) {
      if (isOwnZone) {
        this.heardInZone.set(workspace, (this.heardInZone.get(workspace) ?? 0) + units)
      }
    }
  }

  /** Takes in the totals that the gateways of another zone have admitted, by the count of one of them in its life. */
  hearZone (zone: string, boot: string, admitted: Readonly<Record<string, number>>, nowMs: number): void {
    const source = this.zoneSources.get(zone)
    const elapsedMs = Math.max(1, nowMs - (source?.heardMs ?? nowMs))
    const rates = source?.rates ?? new Map<string, number>()
    if (source === undefined || source.boot !== boot) {
      // Another relay counts from another beginning: what is assumed of the time between the two stands.
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

  /** Forgets the count of a zone: its gateways are heard one by one now. */
  forgetZone (zone: string): void {
    this.zoneSources.delete(zone)
  }

  /** Forgets the count of a gateway: its zone's counts from now on. */
  forgetGateway (name: string): void {
    this.gatewaySources.delete(name)
  }

  /** Charges a request, or tells when the workspace may come back. */
  charge (workspace: routing.RoutedWorkspace, units: number, nowMs: number): AllowanceVerdict {
    if (workspace.rate <= 0) {
      return { kind: 'admitted' }
    }
    const bucket = this.refill(workspace, nowMs)
    // A request above the burst is let in from a full bucket and leaves a debt.
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

  /** Gives back what was charged for a request that never ran. */
  refund (workspace: string, units: number): void {
    const bucket = this.buckets.get(workspace)
    if (bucket !== undefined) {
      bucket.level += units
      bucket.admitted -= units
    }
  }

  /** Returns the totals that this gateway has admitted in this life. */
  listAdmitted (): Record<string, number> {
    const admitted: Record<string, number> = {}
    for (const [workspace, bucket] of this.buckets) {
      admitted[workspace] = Math.round(bucket.admitted)
    }
    return admitted
  }

  /** Returns the totals that this gateway has admitted or heard from the others of its zone in this life. */
  listZoneAdmitted (): Record<string, number> {
    const admitted = this.listAdmitted()
    for (const [workspace, units] of this.heardInZone) {
      admitted[workspace] = (admitted[workspace] ?? 0) + units
    }
    return admitted
  }

  /** Charges what a zone has probably admitted since its last sum, if that is older than the time in milliseconds. */
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

  /** Takes totals out of the buckets, as far as they have grown; returns by how much. */
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

  /** Takes units out of a bucket; fewer than none where totals fell by refunds. Tells whether there is one. */
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
      // A gateway that has just started does not know what was used before: it begins with its part of the burst.
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
    // What was saved up is divided, too: the gateways on the other side have saved up the same.
    found.level = Math.min(this.getDepth(workspace) * heardPart, found.level + elapsedMs / 1000 * workspace.rate * ratePart)
    return found
  }

  /** Most units that a workspace can save up. */
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
