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

interface Bucket {
  workspace: routing.RoutedWorkspace
  level: number
  updatedMs: number
  admitted: number
}

interface Peer {
  boot: string
  heardMs: number
  readonly admitted: Map<string, number>
}

export type AllowanceVerdict =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused', readonly retryAfterMs: number }

export class AllowanceShare {
  private readonly buckets = new Map<string, Bucket>()
  private readonly peers = new Map<string, Peer>()
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
      }
    }
    for (const name of names) {
      if (!this.peers.has(name)) {
        this.peers.set(name, { boot: '', heardMs: -Infinity, admitted: new Map() })
      }
    }
  }

  /** Takes in the totals that another gateway has admitted in this life. */
  hear (name: string, boot: string, admitted: Readonly<Record<string, number>>, nowMs: number): void {
    let peer = this.peers.get(name)
    if (peer === undefined || peer.boot !== boot) {
      // What a gateway admitted before it was first heard is not known to fall into the current window.
      peer = { boot, heardMs: nowMs, admitted: new Map(Object.entries(admitted)) }
      this.peers.set(name, peer)
    }
    peer.heardMs = nowMs
    for (const [workspace, total] of Object.entries(admitted)) {
      const before = peer.admitted.get(workspace) ?? 0
      peer.admitted.set(workspace, total)
      const bucket = this.buckets.get(workspace)
      if (bucket !== undefined) {
        // Totals also fall, by refunds.
        bucket.level = Math.min(this.getDepth(bucket.workspace), bucket.level - (total - before))
      }
    }
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
    for (const peer of this.peers.values()) {
      if (nowMs - peer.heardMs > this.silenceMs) {
        silent += 1
      }
    }
    return silent
  }
}
