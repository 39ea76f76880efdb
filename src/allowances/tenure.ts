/**
 * State of a shard while this process is its leaseholder: the validity of the lease, the buckets, and the promises and
 * low-water marks exchanged with the standbys. Standbys are `successors` in the term record, and low-water marks are
 * `floors` on the wire.
 */
import * as floors from './floors.js'
import * as keeperShares from './keeper_shares.js'
import * as keepers from './keeper.js'
import * as placement from './placement.js'
import * as records from './record.js'
import * as rights from './right.js'
import * as succession from './succession.js'
import * as timings from './timing.js'
import * as types from './types.js'

/** Consecutive failed requests after which a standby is replaced. */
const failuresToReplace = 3
/** Requests per renewal period to a standby that does not answer. */
const retriesPerPeriod = 4

/** Time after which standbys that did not answer may be named again, in milliseconds. */
const forgiveMs = 10_000

/** A request to be sent to a standby or a removed member. */
export interface Outgoing {
  readonly to: records.Member
  readonly request: succession.PromiseRequest
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
  knowsRelease: boolean
}

export interface TenureStart {
  readonly shard: number
  readonly stored: records.StoredRecord
  readonly startedMs: number
  /** Charges are decided from this time on. */
  readonly serveFromMs: number
  readonly inheritance: keepers.Inheritance
  /** Set if there was an earlier term. Without one, no process has had a local quota yet. */
  readonly takenOver?: { readonly hasUsedShare: boolean }
}

export class Tenure {
  readonly right: rights.Right
  readonly keeper: keepers.Keeper
  readonly serveFromMs: number
  /** Lease that the holder key is bound to; `undefined` if the key has to be written again. */
  leaseId: string | undefined
  /** Whether this leaseholder has stopped permanently, to hand the shard over. */
  isStopped = false
  private stored: records.StoredRecord
  private forgivenMs: number
  private readonly ledger = new floors.FloorLedger()
  private readonly peers = new Map<string, Peer>()
  private required: readonly records.Member[] = []
  private readonly shares: keeperShares.KeeperShares

  constructor (private readonly start: TenureStart, private readonly timing: timings.KeeperTiming) {
    const { stored, startedMs, inheritance } = start
    this.stored = stored
    this.forgivenMs = startedMs
    this.serveFromMs = start.serveFromMs
    this.right = new rights.Right(timing)
    const others = start.takenOver === undefined ? [] : keeperShares.listOthers(stored.record)
    const part = 1 - timing.shareOfAllowance * others.length
    const inheritedPart = start.takenOver?.hasUsedShare === true ? part - timing.shareOfAllowance : part
    this.keeper = new keepers.Keeper(startedMs, { ...inheritance, part: inheritedPart }, timing, part)
    const context = { right: this.right, keeper: this.keeper, floorOf: this.getFloor, timing }
    this.shares = new keeperShares.KeeperShares(context, others, startedMs)
    this.adoptMembers(stored.record)
  }

  get record (): records.TermRecord {
    return this.stored.record
  }

  get revision (): number {
    return this.stored.revision
  }

  isServing (nowMs: number): boolean {
    const hasPart = this.right.isHeld(nowMs) || nowMs < this.shares.getOwnUntilMs()
    return !this.isStopped && nowMs >= this.serveFromMs && hasPart
  }

  /** Resizes the buckets to the part of the allowances that may be used now. Must precede any other call. */
  sync (nowMs: number): void {
    this.shares.sync(nowMs)
  }

  /** Replaces the record by the one that the store holds. */
  adopt (stored: records.StoredRecord): void {
    const told = this.record.successors
    this.stored = stored
    this.shares.recallOthers(stored.record, told)
    this.adoptMembers(stored.record)
  }

  /** Adds the standbys of a write whose outcome is not known yet. */
  expect (successors: readonly records.Member[]): void {
    const added = successors.filter(one => !this.required.some(other => other.node === one.node))
    this.setRequired([...this.required, ...added])
  }

  /** Decides a charge. After `floor_reached`, new low-water marks should be sent at once. */
  charge (charge: types.Charge, nowMs: number): keepers.Decision {
    const isWhole = this.right.isHeld(nowMs)
    const part = this.keeper.part - (isWhole ? 0 : this.timing.shareOfAllowance)
    const reserveOf = (workspace: string): number => part > 0 ? part * this.getFloor(workspace) : 0
    const decision = this.keeper.charge(charge, nowMs, reserveOf)
    if (decision.kind === 'floor_reached') {
      this.ledger.update(this.listViews(nowMs, charge), isWhole)
    }
    return decision
  }

  /** Sets new low-water marks where levels have moved far enough. */
  updateFloors (nowMs: number): void {
    if (this.required.length > 0) {
      this.ledger.update(this.listViews(nowMs), this.right.isHeld(nowMs))
    }
  }

  /** Returns the requests that are due. */
  createRequests (nowMs: number): readonly Outgoing[] {
    const outgoing: Outgoing[] = []
    for (const member of this.required) {
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
  noteAnswer (node: string, sentMs: number, answer: succession.PromiseAnswer | undefined, nowMs: number): void {
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
    if (this.shares.isFormer(node)) {
      this.shares.noteForgone(node, sentMs, answer)
      return
    }
    this.ledger.acknowledge(node, isSameBoot ? answer.sequence : 0)
    if (answer.promised && this.isStopped && isSameBoot) {
      peer.knowsRelease = true
    }
    if (answer.promised && !this.isStopped && this.isContinuous(peer, answer.boot, nowMs)) {
      peer.promisedBoot = answer.boot
      this.right.notePromise(node, sentMs)
      if (this.shares.noteLent(node, sentMs, answer, nowMs)) {
        this.updateFloors(nowMs)
      }
    }
  }

  /** Stops deciding permanently and sets the final low-water marks. */
  stop (nowMs: number): void {
    this.isStopped = true
    const last: floors.Floor[] = []
    for (const view of this.listViews(nowMs)) {
      last.push({ workspace: view.workspace, tokens: Math.max(0, Math.floor(view.level)) })
    }
    this.ledger.fix(last)
  }

  /** Whether all responsive standbys have acknowledged that this leaseholder has stopped. */
  isReleaseKnown (): boolean {
    return this.required.every(member => {
      const peer = this.getPeer(member.node)
      return peer.knowsRelease || peer.failures >= failuresToReplace
    })
  }

  /** Returns the members to be listed as removed by a record that names these standbys. */
  chooseFormer (successors: readonly records.Member[]): readonly records.Member[] {
    const nodes = new Set(successors.map(member => member.node))
    return [...this.shares.listFormer(), ...this.record.successors.filter(member => !nodes.has(member.node))]
  }

  /** Returns the standbys that the record should name. */
  chooseSuccessors (self: types.EntryVm, entries: readonly types.EntryVm[]): readonly records.Member[] {
    const usable = entries.filter(entry => {
      return entry.state === 'live' && this.isAnswering(entry.node) && !this.shares.isFormer(entry.node)
    })
    const named = new Set(this.record.successors.map(member => member.node))
    const kept = usable.filter(entry => named.has(entry.node))
    const ranked = placement.chooseSuccessors(this.start.shard, self, usable, this.timing.successors)
    const added = ranked.filter(entry => !named.has(entry.node))
    const chosen = [...kept, ...added].slice(0, this.timing.successors)
    return chosen.map(entry => ({ node: entry.node, address: entry.address }))
  }

  /** Clears the failures of entries that are not named periodically, so that they may be named again. */
  forgiveOthers (nowMs: number): void {
    if (nowMs - this.forgivenMs < forgiveMs) {
      return
    }
    this.forgivenMs = nowMs
    for (const node of [...this.peers.keys()]) {
      if (!this.required.some(member => member.node === node)) {
        this.peers.delete(node)
      }
    }
  }

  private readonly getFloor = (workspace: string): number => this.ledger.getReserve(workspace)

  private adoptMembers (record: records.TermRecord): void {
    this.shares.setFormer(record.former ?? [])
    this.setRequired(record.successors)
  }

  private setRequired (members: readonly records.Member[]): void {
    this.required = members
    const nodes = members.map(member => member.node)
    this.right.setRequired(nodes)
    this.shares.setRequired(nodes)
    this.ledger.setSuccessors(nodes)
  }

  /**
   * Whether a promise proves that no standby has taken over. After the lease has lapsed, a standby may have taken over
   * and lost that state in a restart. Only the process that promised before the lapse can rule it out.
   */
  private isContinuous (peer: Peer, boot: string, nowMs: number): boolean {
    return peer.promisedBoot === boot || this.right.isHeld(nowMs)
  }

  private isAnswering (node: string): boolean {
    return (this.peers.get(node)?.failures ?? 0) < failuresToReplace
  }

  private isDue (node: string, peer: Peer, nowMs: number): boolean {
    if (this.isStopped) {
      return !peer.knowsRelease
    }
    const isUrgent = peer.failures === 0 && peer.boot !== undefined && this.ledger.isBehind(node)
    const periodMs = peer.failures > 0 ? this.timing.renewMs / retriesPerPeriod : this.timing.renewMs
    return isUrgent || nowMs - peer.sentMs >= periodMs
  }

  private createForgoRequests (nowMs: number): readonly Outgoing[] {
    const outgoing: Outgoing[] = []
    for (const member of this.isStopped ? [] : this.shares.listFormer()) {
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
  private getShareMs (node: string, peer: Peer, nowMs: number): number {
    const isNamed = this.record.successors.some(member => member.node === node)
    const isPromised = peer.boot === peer.promisedBoot && this.shares.isLent(node, nowMs)
    const mayTell = isNamed && isPromised && !this.isStopped
    return mayTell ? Math.max(0, this.shares.getUntilMs() - nowMs) : 0
  }

  private createRequest (node: string, peer: Peer, nowMs: number): succession.PromiseRequest {
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
      shareMs: this.getShareMs(node, peer, nowMs),
      echoMs: peer.answeredAtMs,
      forgo: false
    }
  }

  private * listViews (nowMs: number, wanted?: types.Charge): Iterable<floors.BucketView> {
    for (const workspace of this.keeper.listWorkspaces()) {
      const bucket = this.keeper.getBucket(workspace)
      if (bucket === undefined) {
        continue
      }
      const wantedTokens = wanted?.workspace === workspace ? wanted.tokens : 0
      yield { workspace, level: bucket.getLevel(nowMs), burstTokens: bucket.allowance.burstTokens, wantedTokens }
    }
    for (const [workspace, level] of this.keeper.listUnclaimedFloors()) {
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
      knowsRelease: false
    }
    this.peers.set(node, fresh)
    return fresh
  }
}
