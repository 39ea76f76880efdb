/**
 * State of a shard while this process is its leaseholder: the validity of the lease, the buckets, and the promises and
 * low-water marks exchanged with the standbys. Standbys are `successors` in the term record, and low-water marks are
 * `floors` on the wire.
 */
import * as lowWaterMarks from './low_water_marks.js'
import * as quotaLedgers from './quota_ledger.js'
import * as shardBuckets from './shard_buckets.js'
import * as placement from './placement.js'
import * as records from './record.js'
import * as leaseValidities from './lease_validity.js'
import * as standbys from './standby.js'
import * as timings from './timing.js'
import * as types from './types.js'

/** Consecutive failed requests after which a standby is replaced. */
const maximumFailures = 3
/** Requests per renewal period to a standby that does not answer. */
const retriesPerPeriod = 4

/** Time after which standbys that did not answer may be named again, in milliseconds. */
const failureResetMs = 10_000

/** A request to be sent to a standby or a removed member. */
export interface PeerRequest {
  readonly to: records.Member
  readonly request: standbys.PromiseRequest
}

interface Peer {
  boot: string | undefined
  /** Monotonic time of the peer in its last answer. */
  answeredAtMs: number
  /** Boot identifier of the last accepted promise. */
  promisedBoot: string | undefined
  isInFlight: boolean
  sentMs: number
  failures: number
  /** Whether the peer has acknowledged that this leaseholder has stopped. */
  hasAcknowledgedRelease: boolean
}

export interface LeaseholderStart {
  readonly shard: number
  readonly stored: records.StoredRecord
  readonly startedMs: number
  /** Charges are decided from this time on. */
  readonly serveFromMs: number
  readonly initialBalances: shardBuckets.InitialBalances
  /** Set if there was an earlier term. Without one, no process has had a local quota yet. */
  readonly takenOver?: { readonly hasUsedQuota: boolean }
}

export class LeaseholderState {
  readonly validity: leaseValidities.LeaseValidity
  readonly buckets: shardBuckets.ShardBuckets
  readonly serveFromMs: number
  /** Lease that the holder key is bound to; `undefined` if the key has to be written again. */
  leaseId: string | undefined
  /** Whether this leaseholder has stopped permanently, to hand the shard over. */
  isStopped = false
  private stored: records.StoredRecord
  private failuresResetMs: number
  private readonly ledger = new lowWaterMarks.LowWaterMarkLedger()
  private readonly peers = new Map<string, Peer>()
  private standbys: readonly records.Member[] = []
  private readonly quotas: quotaLedgers.QuotaLedger

  constructor (private readonly start: LeaseholderStart, private readonly timing: timings.LeaseTiming) {
    const { stored, startedMs, initialBalances } = start
    this.stored = stored
    this.failuresResetMs = startedMs
    this.serveFromMs = start.serveFromMs
    this.validity = new leaseValidities.LeaseValidity(timing)
    const others = start.takenOver === undefined ? [] : quotaLedgers.listQuotaUsers(stored.record)
    const part = 1 - timing.localQuotaFraction * others.length
    const initialPart = start.takenOver?.hasUsedQuota === true ? part - timing.localQuotaFraction : part
    this.buckets = new shardBuckets.ShardBuckets(startedMs, { ...initialBalances, part: initialPart }, timing, part)
    const context = { validity: this.validity, buckets: this.buckets, reserveOf: this.getReserve, timing }
    this.quotas = new quotaLedgers.QuotaLedger(context, others, startedMs)
    this.adoptMembers(stored.record)
  }

  get record (): records.TermRecord {
    return this.stored.record
  }

  get revision (): number {
    return this.stored.revision
  }

  isServing (nowMs: number): boolean {
    const hasPart = this.validity.isValid(nowMs) || nowMs < this.quotas.getOwnUntilMs()
    return !this.isStopped && nowMs >= this.serveFromMs && hasPart
  }

  /** Resizes the buckets to the part of the allowances that may be used now. Must precede any other call. */
  sync (nowMs: number): void {
    this.quotas.sync(nowMs)
  }

  /** Replaces the record by the one that the store holds. */
  adopt (stored: records.StoredRecord): void {
    const previous = this.record.successors
    this.stored = stored
    this.quotas.recallUnnamed(stored.record, previous)
    this.adoptMembers(stored.record)
  }

  /** Adds the standbys of a write whose outcome is not known yet. */
  addStandbys (members: readonly records.Member[]): void {
    const added = members.filter(one => !this.standbys.some(other => other.node === one.node))
    this.setStandbys([...this.standbys, ...added])
  }

  /** Decides a charge. After `floor_reached`, new low-water marks should be sent at once. */
  charge (charge: types.Charge, nowMs: number): shardBuckets.Decision {
    const isWhole = this.validity.isValid(nowMs)
    const part = this.buckets.part - (isWhole ? 0 : this.timing.localQuotaFraction)
    const reserveOf = (workspace: string): number => part > 0 ? part * this.getReserve(workspace) : 0
    const decision = this.buckets.charge(charge, nowMs, reserveOf)
    if (decision.kind === 'floor_reached') {
      this.ledger.update(this.listViews(nowMs, charge), isWhole)
    }
    return decision
  }

  /** Sets new low-water marks where levels have moved far enough. */
  updateLowWaterMarks (nowMs: number): void {
    if (this.standbys.length > 0) {
      this.ledger.update(this.listViews(nowMs), this.validity.isValid(nowMs))
    }
  }

  /** Returns the requests that are due. */
  createRequests (nowMs: number): readonly PeerRequest[] {
    const outgoing: PeerRequest[] = []
    for (const member of this.standbys) {
      const peer = this.getPeer(member.node)
      if (!peer.isInFlight && this.isDue(member.node, peer, nowMs)) {
        peer.isInFlight = true
        peer.sentMs = nowMs
        outgoing.push({ to: member, request: this.createRequest(member.node, peer, nowMs) })
      }
    }
    return [...outgoing, ...this.createForgoRequests(nowMs)]
  }

  /** Records the answer of a standby; `undefined` if it did not answer. */
  recordAnswer (node: string, sentMs: number, answer: standbys.PromiseAnswer | undefined, nowMs: number): void {
    const peer = this.getPeer(node)
    peer.isInFlight = false
    if (answer === undefined) {
      peer.failures += 1
      return
    }
    peer.failures = 0
    const isSameBoot = peer.boot === answer.boot
    peer.boot = answer.boot
    peer.answeredAtMs = answer.atMs
    if (this.quotas.isRemoved(node)) {
      this.quotas.recordForgone(node, sentMs, answer)
      return
    }
    this.ledger.acknowledge(node, isSameBoot ? answer.sequence : 0)
    if (answer.promised && this.isStopped && isSameBoot) {
      peer.hasAcknowledgedRelease = true
    }
    if (answer.promised && !this.isStopped && this.isReliable(peer, answer.boot, nowMs)) {
      peer.promisedBoot = answer.boot
      this.validity.recordPromise(node, sentMs)
      if (this.quotas.recordPromise(node, sentMs, answer, nowMs)) {
        this.updateLowWaterMarks(nowMs)
      }
    }
  }

  /** Stops deciding permanently and sets the final low-water marks. */
  stop (nowMs: number): void {
    this.isStopped = true
    const last: lowWaterMarks.LowWaterMark[] = []
    for (const view of this.listViews(nowMs)) {
      last.push({ workspace: view.workspace, tokens: Math.max(0, Math.floor(view.level)) })
    }
    this.ledger.setFinal(last)
  }

  /** Whether all responsive standbys have acknowledged that this leaseholder has stopped. */
  isReleaseAcknowledged (): boolean {
    return this.standbys.every(member => {
      const peer = this.getPeer(member.node)
      return peer.hasAcknowledgedRelease || peer.failures >= maximumFailures
    })
  }

  /** Returns the members to be listed as removed by a record that names these standbys. */
  listRemoved (members: readonly records.Member[]): readonly records.Member[] {
    const nodes = new Set(members.map(member => member.node))
    return [...this.quotas.listRemoved(), ...this.record.successors.filter(member => !nodes.has(member.node))]
  }

  /** Returns the standbys that the record should name. */
  chooseStandbys (self: types.EntryVm, entries: readonly types.EntryVm[]): readonly records.Member[] {
    const usable = entries.filter(entry => {
      return entry.state === 'live' && this.isAnswering(entry.node) && !this.quotas.isRemoved(entry.node)
    })
    const named = new Set(this.record.successors.map(member => member.node))
    const kept = usable.filter(entry => named.has(entry.node))
    const ranked = placement.chooseStandbys(this.start.shard, self, usable, this.timing.standbys)
    const added = ranked.filter(entry => !named.has(entry.node))
    const chosen = [...kept, ...added].slice(0, this.timing.standbys)
    return chosen.map(entry => ({ node: entry.node, address: entry.address }))
  }

  /** Clears the failures of entries that are not named periodically, so that they may be named again. */
  resetFailures (nowMs: number): void {
    if (nowMs - this.failuresResetMs < failureResetMs) {
      return
    }
    this.failuresResetMs = nowMs
    for (const node of [...this.peers.keys()]) {
      if (!this.standbys.some(member => member.node === node)) {
        this.peers.delete(node)
      }
    }
  }

  private readonly getReserve = (workspace: string): number => this.ledger.getReserve(workspace)

  private adoptMembers (record: records.TermRecord): void {
    this.quotas.setRemoved(record.former ?? [])
    this.setStandbys(record.successors)
  }

  private setStandbys (members: readonly records.Member[]): void {
    this.standbys = members
    const nodes = members.map(member => member.node)
    this.validity.setStandbys(nodes)
    this.quotas.setStandbys(nodes)
    this.ledger.setStandbys(nodes)
  }

  /**
   * Whether a promise proves that no standby has taken over. After the lease has lapsed, a standby may have taken over
   * and lost that state in a restart. Only the process that promised before the lapse can rule it out.
   */
  private isReliable (peer: Peer, boot: string, nowMs: number): boolean {
    return peer.promisedBoot === boot || this.validity.isValid(nowMs)
  }

  private isAnswering (node: string): boolean {
    return (this.peers.get(node)?.failures ?? 0) < maximumFailures
  }

  private isDue (node: string, peer: Peer, nowMs: number): boolean {
    if (this.isStopped) {
      return !peer.hasAcknowledgedRelease
    }
    const isUrgent = peer.failures === 0 && peer.boot !== undefined && this.ledger.isBehind(node)
    const periodMs = peer.failures > 0 ? this.timing.renewMs / retriesPerPeriod : this.timing.renewMs
    return isUrgent || nowMs - peer.sentMs >= periodMs
  }

  private createForgoRequests (nowMs: number): readonly PeerRequest[] {
    const outgoing: PeerRequest[] = []
    for (const member of this.isStopped ? [] : this.quotas.listRemoved()) {
      const peer = this.getPeer(member.node)
      if (!peer.isInFlight && nowMs - peer.sentMs >= this.timing.renewMs) {
        peer.isInFlight = true
        peer.sentMs = nowMs
        const plain = { sequence: 0, base: 0, floors: [], toBoot: undefined, shareMs: 0, forgo: true }
        outgoing.push({ to: member, request: { ...this.createRequest(member.node, peer, nowMs), ...plain } })
      }
    }
    return outgoing
  }

  /** Returns how long a standby may use its local quota; 0 unless it is certainly named and its quota accounted for. */
  private getQuotaMs (node: string, peer: Peer, nowMs: number): number {
    const isNamed = this.record.successors.some(member => member.node === node)
    const isPromised = peer.boot === peer.promisedBoot && this.quotas.isLent(node, nowMs)
    const mayAnnounce = isNamed && isPromised && !this.isStopped
    return mayAnnounce ? Math.max(0, this.quotas.getUntilMs() - nowMs) : 0
  }

  private createRequest (node: string, peer: Peer, nowMs: number): standbys.PromiseRequest {
    const announcement = peer.boot === undefined
      ? { sequence: 0, base: 0, floors: [] }
      : this.ledger.send(node)
    return {
      shard: this.start.shard,
      term: this.record.term,
      holder: this.record.holder.node,
      holderBoot: this.record.holderBoot,
      forMs: this.timing.promiseMs,
      sequence: announcement.sequence,
      base: announcement.base,
      floors: [...announcement.floors],
      toBoot: peer.boot,
      released: this.isStopped,
      revision: this.revision,
      shareMs: this.getQuotaMs(node, peer, nowMs),
      echoMs: peer.answeredAtMs,
      forgo: false
    }
  }

  private * listViews (nowMs: number, wanted?: types.Charge): Iterable<lowWaterMarks.BucketView> {
    for (const workspace of this.buckets.listWorkspaces()) {
      const bucket = this.buckets.getBucket(workspace)
      if (bucket === undefined) {
        continue
      }
      const wantedTokens = wanted?.workspace === workspace ? wanted.tokens : 0
      yield { workspace, level: bucket.getLevel(nowMs), burstTokens: bucket.allowance.burstTokens, wantedTokens }
    }
    for (const [workspace, level] of this.buckets.listUnclaimedLevels()) {
      yield { workspace, level, burstTokens: 0 }
    }
  }

  private getPeer (node: string): Peer {
    const known = this.peers.get(node)
    if (known !== undefined) {
      return known
    }
    const fresh = {
      boot: undefined,
      answeredAtMs: 0,
      promisedBoot: undefined,
      isInFlight: false,
      sentMs: Number.NEGATIVE_INFINITY,
      failures: 0,
      hasAcknowledgedRelease: false
    }
    this.peers.set(node, fresh)
    return fresh
  }
}
