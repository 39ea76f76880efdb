/**
 * State machine of one shard in one process: tracks the leaseholder, and acquires, renews and releases the lease for
 * this process. Takes events and the time, returns actions.
 */
import * as configuration from '../contracts/configuration.js'
import * as eligibility from './eligibility.js'
import * as shardBuckets from './shard_buckets.js'
import * as records from './record.js'
import * as shareUsers from './share_user.js'
import * as shardTypes from './shard_types.js'
import * as shardViews from './shard_view.js'
import * as standbys from './standby.js'
import * as takeOvers from './take_over.js'
import * as leaseholderStates from './leaseholder_state.js'
import * as timings from './timing.js'
import * as types from './types.js'
import * as leaseRenewals from './lease_renewal.js'
import * as verdicts from '../contracts/verdict.js'
import * as writeSlots from './write_slot.js'

/** The record that a write of this process left in the store. */
interface Found {
  readonly stored: records.StoredRecord
  readonly holderLease: string | undefined
  readonly storeRevision: number
}

export class Shard {
  private readonly latest: shardViews.LatestView
  private lease: shardTypes.ProcessLease | undefined
  private own: leaseholderStates.LeaseholderState | undefined
  private readonly slot = new writeSlots.WriteSlot()
  private releasedTerm = 0
  private isLeaving = false
  private isExtended = false
  private readonly share: shareUsers.ShareUser
  /** Actions of calls that return none, kept until the next tick. */
  private late: readonly shardTypes.Action[] = []

  constructor (private readonly owner: shardTypes.ShardOwner, nowMs: number) {
    this.latest = new shardViews.LatestView(nowMs)
    this.share = new shareUsers.ShareUser(owner.shard, owner.succession, owner.timing)
  }

  /** The state of the shard while this process is its leaseholder, whether or not it may decide charges now. */
  get tenure (): leaseholderStates.LeaseholderState | undefined {
    return this.own
  }

  /** The latest known term record. */
  get record (): records.TermRecord | undefined {
    return this.own?.record ?? this.view.stored?.record
  }

  /** Whether a write by which this process would become the leaseholder is pending. */
  get isAcquiring (): boolean {
    return this.slot.current?.holder === 'put' && this.own === undefined
  }

  accept (event: shardTypes.Event, nowMs: number): readonly shardTypes.Action[] {
    this.own?.sync(nowMs)
    switch (event.kind) {
      case 'observed':
        return this.observe(event.sighting, nowMs)
      case 'lease':
        return this.noteLease(event.lease)
      case 'outcome':
        return this.noteOutcome(event.write, event.leaseId, event.outcome, nowMs)
      case 'answer':
        return this.noteAnswer(event.node, event.sentMs, event.answer, nowMs)
      case 'tick':
        return this.tick(event.entries, nowMs)
      case 'leave':
        return this.leave(nowMs)
      default:
        return verdicts.assertNever(event)
    }
  }

  /** Answers a leaseholder that requests a promise not to take the shard over. */
  answerPromise (request: standbys.PromiseRequest, nowMs: number): standbys.PromiseAnswer {
    if (this.owner.succession.isCurrent(request)) {
      this.yieldTo(request.term, nowMs)
    }
    return this.owner.succession.answer(request, nowMs, this.own === undefined && !this.isAcquiring)
  }

  /** Stops using the local quota, and the lease if it is of an earlier term, in favor of the holder of `term`. */
  private yieldTo (term: number, nowMs: number): void {
    this.share.end(nowMs)
    if (this.own !== undefined && term > this.own.record.term) {
      this.late = this.lose(this.own)
    }
  }

  /** Decides a charge; `undefined` if this process may not decide it. */
  charge (charge: types.Charge, nowMs: number): shardBuckets.Decision | undefined {
    this.own?.sync(nowMs)
    if (this.own === undefined) {
      return this.share.charge(charge, nowMs)
    }
    return this.own.isServing(nowMs) ? this.own.charge(charge, nowMs) : undefined
  }

  /** Whether this process would decide a charge now, as the leaseholder or from its local quota. */
  isDeciding (nowMs: number): boolean {
    return this.own === undefined ? this.share.isServing(nowMs) : this.own.isServing(nowMs)
  }

  /** Returns the milliseconds until this process may decide charges, or `undefined` if it is not the leaseholder. */
  getStartMs (nowMs: number): number | undefined {
    if (this.own === undefined || this.own.isStopped || !this.own.validity.isValid(nowMs)) {
      return undefined
    }
    return Math.max(0, this.own.serveFromMs - nowMs)
  }

  settle (id: string, usedTokens: number, nowMs: number): void {
    this.own?.sync(nowMs)
    this.share.settle(id, usedTokens, nowMs)
    this.own?.buckets.settle(id, usedTokens, nowMs)
  }

  setAllowance (workspace: string, allowance: configuration.Allowance, nowMs: number): void {
    this.own?.sync(nowMs)
    this.share.setAllowance(workspace, allowance, nowMs)
    this.own?.buckets.setAllowance(workspace, allowance, nowMs)
  }

  /** Returns the promise requests that are due to be sent to the standbys. */
  createRequests (nowMs: number): readonly shardTypes.Action[] {
    const outgoing = this.own?.createRequests(nowMs) ?? []
    return outgoing.map(one => ({ kind: 'promise', outgoing: one }))
  }

  private get view (): shardViews.ShardView {
    return this.latest.current
  }

  private observe (sighting: shardViews.Sighting, nowMs: number): readonly shardTypes.Action[] {
    this.latest.note(sighting, nowMs)
    if (sighting.stored !== undefined) {
      this.owner.succession.recordTerm(this.owner.shard, sighting.stored.record.term)
    }
    return this.checkOwn()
  }

  /** Ends the leaseholder state once the store names another holder. */
  private checkOwn (): readonly shardTypes.Action[] {
    const own = this.own
    const stored = this.view.stored
    if (own === undefined || stored === undefined || stored.revision <= own.revision || this.isOwnRecord(stored.record)) {
      return []
    }
    return this.lose(own)
  }

  private lose (own: leaseholderStates.LeaseholderState): readonly shardTypes.Action[] {
    this.own = undefined
    this.slot.clear()
    this.isExtended = false
    return [{ kind: 'report', change: 'lost', term: own.record.term }]
  }

  private isOwnRecord (record: records.TermRecord): boolean {
    const isOwnProcess = record.holder.node === this.owner.self.node && record.holderBoot === this.owner.boot
    return isOwnProcess && (this.own === undefined || record.term === this.own.record.term)
  }

  private noteLease (lease: shardTypes.ProcessLease | undefined): readonly shardTypes.Action[] {
    this.lease = lease
    const own = this.own
    if (own === undefined || own.leaseId === undefined) {
      return []
    }
    if (lease?.id === own.leaseId) {
      own.validity.recordLease(lease.sentMs)
      return []
    }
    own.validity.recordLeaseLoss()
    own.leaseId = undefined
    return []
  }

  private tick (entries: readonly types.EntryVm[], nowMs: number): readonly shardTypes.Action[] {
    const late = this.late
    this.late = []
    return [...late, ...this.updateShare(nowMs), ...this.advance(entries, nowMs)]
  }

  private updateShare (nowMs: number): readonly shardTypes.Action[] {
    const hasBegun = this.own === undefined && this.share.update(nowMs)
    return hasBegun ? [{ kind: 'report', change: 'shared', term: this.record?.term ?? 0 }] : []
  }

  private advance (entries: readonly types.EntryVm[], nowMs: number): readonly shardTypes.Action[] {
    if (this.slot.current !== undefined) {
      return [...this.sendWrite(), ...this.createRequests(nowMs)]
    }
    if (this.own === undefined) {
      return this.tryTakeOver(entries, nowMs)
    }
    return this.maintain(this.own, entries, nowMs)
  }

  private tryTakeOver (entries: readonly types.EntryVm[], nowMs: number): readonly shardTypes.Action[] {
    if (this.isLeaving) {
      return []
    }
    const { shard, self, boot, timing } = this.owner
    const promisedUntilMs = this.owner.succession.getPromisedUntilMs(shard)
    const candidate = { shard, self, boot, entries, promisedUntilMs, releasedTerm: this.releasedTerm, timing }
    const orphan = this.getOrphan()
    if (orphan !== undefined) {
      return this.write({ record: orphan.record, expectedRevision: orphan.revision, holder: 'delete' })
    }
    const fromMs = eligibility.getTakeOverMs(this.view, candidate)
    if (fromMs === undefined || nowMs < fromMs) {
      return []
    }
    if (this.lease === undefined) {
      return [{ kind: 'want_lease' }]
    }
    const isReleased = this.owner.succession.isReleased(shard, this.view.stored?.record.term ?? 0)
    return this.write(takeOvers.createTakeOver(this.view, candidate, isReleased))
  }

  /** Returns a record that names this process although it does not hold the shard: an abandoned write was applied late. */
  private getOrphan (): records.StoredRecord | undefined {
    const stored = this.view.stored
    const isOrphan = stored !== undefined && this.view.isHeld && this.isOwnRecord(stored.record)
    return isOrphan ? stored : undefined
  }

  private maintain (own: leaseholderStates.LeaseholderState, entries: readonly types.EntryVm[], nowMs: number): readonly shardTypes.Action[] {
    if (own.isStopped) {
      return this.continueRelease(own, nowMs)
    }
    const actions: shardTypes.Action[] = [...this.reportExtension(own, nowMs)]
    const { self, timing } = this.owner
    const write = leaseRenewals.planWrite(own, { self, entries, hasLease: this.lease !== undefined, nowMs, timing })
    if (write !== undefined) {
      own.addStandbys(write.record.successors)
      actions.push(...this.write(write))
    } else if (this.lease === undefined) {
      actions.push({ kind: 'want_lease' })
    }
    own.updateLowWaterMarks(nowMs)
    actions.push(...this.createRequests(nowMs))
    return actions
  }

  private reportExtension (own: leaseholderStates.LeaseholderState, nowMs: number): readonly shardTypes.Action[] {
    const wasExtended = this.isExtended
    this.isExtended = own.validity.isValid(nowMs) && nowMs >= own.validity.getLeaseUntilMs()
    const isNew = this.isExtended && !wasExtended
    return isNew ? [{ kind: 'report', change: 'extended', term: own.record.term }] : []
  }

  private write (write: shardTypes.Write): readonly shardTypes.Action[] {
    this.slot.fill(write)
    return this.sendWrite()
  }

  private sendWrite (): readonly shardTypes.Action[] {
    if (this.slot.current?.holder === 'put' && this.lease === undefined) {
      return [{ kind: 'want_lease' }]
    }
    const write = this.slot.take()
    return write === undefined ? [] : [{ kind: 'write', write, leaseId: this.lease?.id }]
  }

  private noteOutcome (
    write: shardTypes.Write, leaseId: string | undefined, outcome: shardTypes.Outcome, nowMs: number
  ): readonly shardTypes.Action[] {
    if (!this.slot.recordOutcome(write, outcome)) {
      return []
    }
    switch (outcome.kind) {
      case 'unknown':
        return []
      case 'not_run':
        this.own?.adopt({ record: this.own.record, revision: this.own.revision })
        return []
      case 'written':
        return this.noteWritten(write, createFound(write, leaseId, outcome), nowMs)
      case 'refused':
        return this.noteRefused(write, outcome, nowMs)
      default:
        return verdicts.assertNever(outcome)
    }
  }

  private noteWritten (write: shardTypes.Write, found: Found, nowMs: number): readonly shardTypes.Action[] {
    const { stored, holderLease, storeRevision } = found
    if (write.holder === 'delete') {
      this.latest.note({ stored, isHeld: false, storeRevision }, nowMs)
      return this.finishRelease(stored)
    }
    const actions = this.own === undefined ? this.begin(write, stored, nowMs) : []
    if (write.holder === 'put') {
      this.bindLease(holderLease)
    }
    this.own?.adopt(stored)
    const sighting = { stored, isHeld: holderLease !== undefined, storeRevision }
    return [...actions, ...this.observe(sighting, nowMs), ...this.createRequests(nowMs)]
  }

  private bindLease (leaseId: string | undefined): void {
    const own = this.own
    if (own !== undefined && leaseId !== undefined && this.lease?.id === leaseId) {
      own.leaseId = leaseId
      own.validity.recordLease(this.lease.sentMs)
    }
  }

  private begin (write: shardTypes.Write, stored: records.StoredRecord, nowMs: number): readonly shardTypes.Action[] {
    const { shard, timing } = this.owner
    const isFirst = write.expectedRevision === 0
    const inheritance = isFirst
      ? shardBuckets.fullBalances
      : this.owner.succession.getInitialBalances(shard, write.record.term - 1)
    const waitMs = isFirst ? 0 : timings.getExpiryWaitMs(timing.grantTtlMs, timing)
    const takenOver = isFirst ? undefined : { hasUsedQuota: this.share.isActive }
    this.share.end(nowMs)
    this.own = new leaseholderStates.LeaseholderState(
      { shard, stored, startedMs: nowMs, serveFromMs: nowMs + waitMs, initialBalances: inheritance, takenOver }, timing)
    return [{ kind: 'report', change: 'acquired', term: stored.record.term }]
  }

  /** An earlier attempt of the same write may have succeeded; then the record has its term, node and boot identifier. */
  private noteRefused (write: shardTypes.Write, outcome: shardTypes.Refusal, nowMs: number): readonly shardTypes.Action[] {
    const { stored, holderLease, storeRevision } = outcome
    if (stored !== undefined && stored.record.term === write.record.term && this.isOwnRecord(stored.record)) {
      if (write.holder === 'delete' && holderLease !== undefined) {
        return this.write({ ...write, expectedRevision: stored.revision })
      }
      return this.noteWritten(write, { stored, holderLease, storeRevision }, nowMs)
    }
    return this.observe({ stored, isHeld: holderLease !== undefined, storeRevision }, nowMs)
  }

  private noteAnswer (
    node: string, sentMs: number, answer: standbys.PromiseAnswer | undefined, nowMs: number
  ): readonly shardTypes.Action[] {
    const own = this.own
    if (own === undefined) {
      return []
    }
    own.recordAnswer(node, sentMs, answer, nowMs)
    if (own.isStopped) {
      return this.continueRelease(own, nowMs)
    }
    return this.createRequests(nowMs)
  }

  private leave (nowMs: number): readonly shardTypes.Action[] {
    this.isLeaving = true
    return this.release(nowMs)
  }

  /** Stops deciding charges, informs the standbys, and then deletes the holder key. */
  private release (nowMs: number): readonly shardTypes.Action[] {
    const own = this.own
    if (own === undefined || own.isStopped) {
      return []
    }
    own.stop(nowMs)
    return this.continueRelease(own, nowMs)
  }

  private continueRelease (own: leaseholderStates.LeaseholderState, nowMs: number): readonly shardTypes.Action[] {
    if (this.slot.current !== undefined) {
      return this.createRequests(nowMs)
    }
    if (!own.isReleaseAcknowledged()) {
      return this.createRequests(nowMs)
    }
    return this.write({ record: own.record, expectedRevision: own.revision, holder: 'delete' })
  }

  private finishRelease (stored: records.StoredRecord): readonly shardTypes.Action[] {
    this.releasedTerm = stored.record.term
    const own = this.own
    return own === undefined ? [] : this.lose(own)
  }
}

function createFound (write: shardTypes.Write, leaseId: string | undefined, outcome: shardTypes.Success): Found {
  const { revision, storeRevision } = outcome
  return { stored: { record: write.record, revision }, holderLease: leaseId, storeRevision }
}
