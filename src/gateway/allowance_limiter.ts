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
const maximumPartitionPart = 0.3

/** Requests up to this part of the burst count as small. */
const smallRequestPart = 0.05
/** Debt that small requests may leave, in parts of the burst, so that large requests of the same workspace do not starve them. */
const smallRequestDebtPart = 0.5

/** Weight of the newest sample in the exponential moving average of a zone's rate. */
const rateSmoothingWeight = 0.3
/** Longest time over which a zone's rate is extrapolated after its last aggregate: by then its gateways report individually. */
const maximumExtrapolationMs = 3_000
/** Age of a zone aggregate from which its rate is extrapolated, in parts of the time after which a gateway counts as unresponsive. */
const extrapolationDelayPart = 1 / 3

interface Bucket {
  workspace: routing.RoutedWorkspace
  level: number
  updatedMs: number
  admitted: number
}

/** Totals that a gateway, or a zone as a whole, has reported as admitted. */
interface ReportedTotals {
  readonly boot: string
  readonly admitted: Map<string, number>
}

/** Totals of a zone and their growth rates by workspace, in units per millisecond. */
interface ZoneTotals extends ReportedTotals {
  readonly lastSeenMs: number
  readonly rates: Map<string, number>
  /** Units charged by workspace since `lastSeenMs` by extrapolating the rates. */
  readonly extrapolated: Map<string, number>
}

export type AllowanceVerdict =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused', readonly retryAfterMs: number }

export class AllowanceLimiter {
  private readonly buckets = new Map<string, Bucket>()
  /** When each other gateway was last seen, in milliseconds. */
  private readonly peerLastSeenMs = new Map<string, number>()
  private readonly gatewayTotals = new Map<string, ReportedTotals>()
  private readonly zoneTotals = new Map<string, ZoneTotals>()
  /** Units that the other gateways of this zone reported as admitted, since this process started. */
  private readonly admittedInZone = new Map<string, number>()
  private unresponsiveAfterMs = exchangePlans.minimumUnresponsiveMs

  /** `tolerance` is the excess over the allowance that a window may have. `onGrowth` is told what other gateways have admitted, refunds as negative units. */
  constructor (
    private readonly tolerance: settings.GatewaySettings['allowance'],
    private readonly onGrowth: (workspace: string, units: number) => void = () => {}
  ) {}

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
  setPeers (names: readonly string[], unresponsiveAfterMs = exchangePlans.minimumUnresponsiveMs): void {
    this.unresponsiveAfterMs = unresponsiveAfterMs
    for (const name of this.peerLastSeenMs.keys()) {
      if (!names.includes(name)) {
        this.peerLastSeenMs.delete(name)
        this.gatewayTotals.delete(name)
      }
    }
    for (const name of names) {
      if (!this.peerLastSeenMs.has(name)) {
        this.peerLastSeenMs.set(name, -Infinity)
      }
    }
  }

  /** Records that another gateway is alive. */
  recordSeen (name: string, lastSeenMs: number): void {
    this.peerLastSeenMs.set(name, Math.max(lastSeenMs, this.peerLastSeenMs.get(name) ?? -Infinity))
  }

  /** Debits the growth of the totals that another gateway has admitted since its boot. */
  receiveTotals (name: string, boot: string, admitted: Readonly<Record<string, number>>, nowMs: number, isOwnZone = false): void {
    this.recordSeen(name, nowMs)
    const source = this.gatewayTotals.get(name)
    if (source === undefined || source.boot !== boot) {
      // Units admitted before the gateway's first report may lie outside the current window, so they are not charged.
      this.gatewayTotals.set(name, { boot, admitted: new Map(Object.entries(admitted)) })
      return
    }
    for (const [workspace, units] of this.debitGrowth(source, admitted)) {
      if (isOwnZone) {
        this.admittedInZone.set(workspace, (this.admittedInZone.get(workspace) ?? 0) + units)
      }
    }
  }

  /** Debits the growth of another zone's totals. `boot` names the relay that counts them and its boot. */
  receiveZoneTotals (zone: string, boot: string, admitted: Readonly<Record<string, number>>, nowMs: number): void {
    const source = this.zoneTotals.get(zone)
    const elapsedMs = Math.max(1, nowMs - (source?.lastSeenMs ?? nowMs))
    const rates = source?.rates ?? new Map<string, number>()
    if (source === undefined || source.boot !== boot) {
      // The new relay counts from a different start, so the extrapolated charge for the time between the two aggregates stands.
      if (source !== undefined) {
        this.extrapolate(source, nowMs, 0)
      }
      this.zoneTotals.set(zone, { boot, admitted: new Map(Object.entries(admitted)), lastSeenMs: nowMs, rates, extrapolated: new Map() })
      return
    }
    for (const [workspace, units] of source.extrapolated) {
      this.debit(workspace, -units)
    }
    const growth = this.debitGrowth(source, admitted)
    for (const workspace of Object.keys(admitted)) {
      const before = rates.get(workspace) ?? 0
      rates.set(workspace, before + ((growth.get(workspace) ?? 0) / elapsedMs - before) * rateSmoothingWeight)
    }
    this.zoneTotals.set(zone, { ...source, lastSeenMs: nowMs, extrapolated: new Map() })
  }

  /** Drops the totals of a zone whose gateways report individually from now on. */
  forgetZone (zone: string): void {
    this.zoneTotals.delete(zone)
  }

  /** Drops the totals of a gateway that is covered by its zone's aggregate from now on. */
  forgetGateway (name: string): void {
    this.gatewayTotals.delete(name)
  }

  /** Charges a request, or returns when the workspace may retry. */
  charge (workspace: routing.RoutedWorkspace, units: number, nowMs: number): AllowanceVerdict {
    if (workspace.rate <= 0) {
      return { kind: 'admitted' }
    }
    const bucket = this.refill(workspace, nowMs)
    const missing = findMissing(bucket, units)
    if (missing > 0) {
      return { kind: 'refused', retryAfterMs: Math.ceil(missing / workspace.rate * 1000) }
    }
    bucket.level -= units
    bucket.admitted += units
    return { kind: 'admitted' }
  }

  /** Returns when the workspace may retry a request that `charge` would refuse now, otherwise `undefined`. */
  getRetryMs (workspace: routing.RoutedWorkspace, units: number, nowMs: number): number | undefined {
    if (workspace.rate <= 0) {
      return undefined
    }
    const missing = findMissing(this.refill(workspace, nowMs), units)
    return missing > 0 ? Math.ceil(missing / workspace.rate * 1000) : undefined
  }

  /** Returns what `getRetryMs` would, without a change of state, for an explanation. */
  observeRetryMs (workspace: routing.RoutedWorkspace, units: number, nowMs: number): number | undefined {
    if (workspace.rate <= 0) {
      return undefined
    }
    const missing = findMissing({ workspace, level: this.observeLevel(workspace, nowMs) }, units)
    return missing > 0 ? Math.ceil(missing / workspace.rate * 1000) : undefined
  }

  /** Returns the units that a workspace has left, without a change of state. */
  observeLevel (workspace: routing.RoutedWorkspace, nowMs: number): number {
    const bucket = this.buckets.get(workspace.name)
    if (bucket === undefined) {
      return 0
    }
    let { level } = bucket
    for (const source of this.zoneTotals.values()) {
      const rate = source.rates.get(workspace.name)
      const units = rate === undefined ? undefined : getExtrapolatedUnits(source, rate, nowMs, this.unresponsiveAfterMs * extrapolationDelayPart)
      level = units === undefined ? level : Math.min(this.getDepth(bucket.workspace), level - (units - (source.extrapolated.get(workspace.name) ?? 0)))
    }
    return this.refillLevel(level, workspace, nowMs - bucket.updatedMs, nowMs)
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
    for (const [workspace, units] of this.admittedInZone) {
      admitted[workspace] = (admitted[workspace] ?? 0) + units
    }
    return admitted
  }

  /** Charges the extrapolated usage of a zone since its last aggregate, if that is at least `minimumAgeMs` old. */
  private extrapolate (source: ZoneTotals, nowMs: number, minimumAgeMs: number): void {
    for (const [workspace, rate] of source.rates) {
      const units = getExtrapolatedUnits(source, rate, nowMs, minimumAgeMs)
      if (units === undefined) {
        return
      }
      this.debit(workspace, units - (source.extrapolated.get(workspace) ?? 0))
      source.extrapolated.set(workspace, units)
    }
  }

  /** Debits the growth of totals from the buckets and returns it by workspace. */
  private debitGrowth (source: ReportedTotals, admitted: Readonly<Record<string, number>>): Map<string, number> {
    const growth = new Map<string, number>()
    for (const [workspace, total] of Object.entries(admitted)) {
      const units = total - (source.admitted.get(workspace) ?? 0)
      source.admitted.set(workspace, total)
      if (units !== 0 && this.debit(workspace, units)) {
        growth.set(workspace, units)
        this.onGrowth(workspace, units)
      }
    }
    return growth
  }

  /** Debits units from a bucket; they are negative where refunds lowered a total. Returns false without a bucket. */
  private debit (workspace: string, units: number): boolean {
    const bucket = this.buckets.get(workspace)
    if (bucket === undefined) {
      return false
    }
    bucket.level = Math.min(this.getDepth(bucket.workspace), bucket.level - units)
    return true
  }

  private refill (workspace: routing.RoutedWorkspace, nowMs: number): Bucket {
    const found = this.buckets.get(workspace.name)
    if (found === undefined) {
      // What was admitted before is not known, and the gateways may start again at any time: each start with saved-up units would renew them.
      const created = { workspace, level: 0, updatedMs: nowMs, admitted: 0 }
      this.buckets.set(workspace.name, created)
      return created
    }
    found.workspace = workspace
    for (const source of this.zoneTotals.values()) {
      this.extrapolate(source, nowMs, this.unresponsiveAfterMs * extrapolationDelayPart)
    }
    found.level = this.refillLevel(found.level, workspace, nowMs - found.updatedMs, nowMs)
    found.updatedMs = nowMs
    return found
  }

  /** Returns the level of a bucket after a time, in units. */
  private refillLevel (level: number, workspace: routing.RoutedWorkspace, elapsedMs: number, nowMs: number): number {
    const gateways = this.peerLastSeenMs.size + 1
    const responsivePart = (gateways - this.countUnresponsive(nowMs)) / gateways
    const excess = Math.min(maximumPartitionPart, partitionPart * this.getToleratedExcess(workspace) / this.getWindowUnits(workspace))
    const ratePart = Math.min(1, responsivePart * (1 + excess))
    // The saved-up units are divided, too: the other side of a partition holds the same balance.
    return Math.min(this.getDepth(workspace) * responsivePart, level + Math.max(0, elapsedMs) / 1000 * workspace.rate * ratePart)
  }

  /** Returns the bucket's depth: the most units that a workspace can save up. */
  private getDepth (workspace: routing.RoutedWorkspace): number {
    return workspace.burst + depthPart * this.getToleratedExcess(workspace)
  }

  private getToleratedExcess (workspace: routing.RoutedWorkspace): number {
    return this.tolerance.overPart * (this.getWindowUnits(workspace) + workspace.burst) + this.tolerance.slack
  }

  private getWindowUnits (workspace: routing.RoutedWorkspace): number {
    return workspace.rate * this.tolerance.windowMs / 1000
  }

  private countUnresponsive (nowMs: number): number {
    let unresponsive = 0
    for (const lastSeenMs of this.peerLastSeenMs.values()) {
      if (nowMs - lastSeenMs > this.unresponsiveAfterMs) {
        unresponsive += 1
      }
    }
    return unresponsive
  }
}

/** Returns the units that a zone is taken to have admitted since its last aggregate; undefined if that is younger than `minimumAgeMs`. */
function getExtrapolatedUnits ({ lastSeenMs }: ZoneTotals, rate: number, nowMs: number, minimumAgeMs: number): number | undefined {
  const extrapolatedMs = Math.min(maximumExtrapolationMs, nowMs - lastSeenMs)
  return extrapolatedMs < minimumAgeMs ? undefined : Math.max(0, rate * extrapolatedMs)
}

/** Returns how many units a bucket lacks for a request. */
function findMissing ({ level, workspace }: Pick<Bucket, 'level' | 'workspace'>, units: number): number {
  // A request above the burst is admitted from a full bucket and leaves a debt.
  const needed = units <= workspace.burst * smallRequestPart
    ? units - workspace.burst * smallRequestDebtPart
    : Math.min(units, workspace.burst)
  return needed - level
}
