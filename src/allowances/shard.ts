/**
 * State machine of one shard in one process: tracks the leaseholder, and acquires, renews and releases the lease for
 * this process. Takes events and the time, returns actions.
 */
import * as configuration from '../contracts/configuration.js'
import * as eligibility from './eligibility.js'
import * as shardBuckets from './shard_buckets.js'
import * as records from './record.js'
import * as localQuotas from './local_quota.js'
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
interface WrittenRecord {
  readonly stored: records.StoredRecord
  readonly holderLease: string | undefined
  readonly storeRevision: number
}

export class Shard {
  private readonly latest: shardViews.LatestView
  private lease: shardTypes.ProcessLease | undefined
  private ownState: leaseholderStates.LeaseholderState | undefined
  private readonly slot = new writeSlots.WriteSlot()
  private releasedTerm = 0
  private isLeaving = false
  private isExtended = false
  private readonly localQuota: localQuotas.LocalQuota
  /** Actions of calls that return none, kept until the next tick. */
  private pendingActions: readonly shardTypes.Action[] = []

  constructor (private readonly context: shardTypes.ShardContext, nowMs: number) {
    this.latest = new shardViews.LatestView(nowMs)
    this.localQuota = new localQuotas.LocalQuota(context.shard, context.succession, context.timing)
  }

  /** The state of the shard while this process is its leaseholder, whether or not it may decide charges now. */
  get leaseholderState (): leaseholderStates.LeaseholderState | undefined {
    return this.ownState
  }

  /** The latest known term record. */
  get record (): records.TermRecord | undefined {
    return this.ownState?.record ?? this.view.stored?.record
  }

  /** Whether a write by which this process would become the leaseholder is pending. */
  get isAcquiring (): boolean {
    return this.slot.current?.holder === 'put' && this.ownState === undefined
  }

  accept (event: shardTypes.Event, nowMs: number): readonly shardTypes.Action[] {
    this.ownState?.sync(nowMs)
    switch (event.kind) {
      case 'observed':
        return this.observe(event.observation, nowMs)
      case 'lease':
        return this.updateLease(event.lease)
      case 'outcome':
        return this.processOutcome(event.write, event.leaseId, event.outcome, nowMs)
      case 'answer':
        return this.processAnswer(event.node, event.sentMs, event.answer, nowMs)
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
    if (this.context.succession.isCurrent(request)) {
      this.yieldTo(request.term, nowMs)
    }
    return this.context.succession.answer(request, nowMs, this.ownState === undefined && !this.isAcquiring)
  }

  /** Stops using the local quota, and the lease if it is of an earlier term, in favor of the holder of `term`. */
  private yieldTo (term: number, nowMs: number): void {
    this.localQuota.deactivate(nowMs)
    if (this.ownState !== undefined && term > this.ownState.record.term) {
      this.pendingActions = this.dropState(this.ownState)
    }
  }

  /** Decides a charge; `undefined` if this process may not decide it. */
  charge (charge: types.Charge, nowMs: number): shardBuckets.Decision | undefined {
    this.ownState?.sync(nowMs)
    if (this.ownState === undefined) {
      return this.localQuota.charge(charge, nowMs)
    }
    return this.ownState.isServing(nowMs) ? this.ownState.charge(charge, nowMs) : undefined
  }

  /** Whether this process would decide a charge now, as the leaseholder or from its local quota. */
  isDeciding (nowMs: number): boolean {
    return this.ownState === undefined ? this.localQuota.isServing(nowMs) : this.ownState.isServing(nowMs)
  }

  /** Returns the milliseconds until this process may decide charges, or `undefined` if it is not the leaseholder. */
  getStartMs (nowMs: number): number | undefined {
    if (this.ownState === undefined || this.ownState.isStopped || !this.ownState.validity.isValid(nowMs)) {
      return undefined
    }
    return Math.max(0, this.ownState.serveFromMs - nowMs)
  }

  settle (id: string, usedTokens: number, nowMs: number): void {
    this.ownState?.sync(nowMs)
    this.localQuota.settle(id, usedTokens, nowMs)
    this.ownState?.buckets.settle(id, usedTokens, nowMs)
  }

  setAllowance (workspace: string, allowance: configuration.Allowance, nowMs: number): void {
    this.ownState?.sync(nowMs)
    this.localQuota.setAllowance(workspace, allowance, nowMs)
    this.ownState?.buckets.setAllowance(workspace, allowance, nowMs)
  }

  /** Returns the promise requests that are due to be sent to the standbys. */
  createRequests (nowMs: number): readonly shardTypes.Action[] {
    const outgoing = this.ownState?.createRequests(nowMs) ?? []
    return outgoing.map(request => ({ kind: 'promise', outgoing: request }))
  }

  private get view (): shardViews.ShardView {
    return this.latest.current
  }

  private observe (observation: shardViews.Observation, nowMs: number): readonly shardTypes.Action[] {
    this.latest.update(observation, nowMs)
    if (observation.stored !== undefined) {
      this.context.succession.recordTerm(this.context.shard, observation.stored.record.term)
    }
    return this.checkOwnership()
  }

  /** Ends the leaseholder state once the store names another holder. */
  private checkOwnership (): readonly shardTypes.Action[] {
    const state = this.ownState
    const stored = this.view.stored
    if (state === undefined || stored === undefined || stored.revision <= state.revision || this.isOwnRecord(stored.record)) {
      return []
    }
    return this.dropState(state)
  }

  private dropState (state: leaseholderStates.LeaseholderState): readonly shardTypes.Action[] {
    this.ownState = undefined
    this.slot.clear()
    this.isExtended = false
    return [{ kind: 'report', change: 'lost', term: state.record.term }]
  }

  private isOwnRecord (record: records.TermRecord): boolean {
    const isOwnProcess = record.holder.node === this.context.self.node && record.holderBoot === this.context.boot
    return isOwnProcess && (this.ownState === undefined || record.term === this.ownState.record.term)
  }

  private updateLease (lease: shardTypes.ProcessLease | undefined): readonly shardTypes.Action[] {
    this.lease = lease
    const state = this.ownState
    if (state === undefined || state.leaseId === undefined) {
      return []
    }
    if (lease?.id === state.leaseId) {
      state.validity.recordLease(lease.sentMs)
      return []
    }
    state.validity.recordLeaseLoss()
    state.leaseId = undefined
    return []
  }

  private tick (entries: readonly types.EntryVm[], nowMs: number): readonly shardTypes.Action[] {
    const pendingActions = this.pendingActions
    this.pendingActions = []
    return [...pendingActions, ...this.updateLocalQuota(nowMs), ...this.advance(entries, nowMs)]
  }

  private updateLocalQuota (nowMs: number): readonly shardTypes.Action[] {
    const hasBegun = this.ownState === undefined && this.localQuota.update(nowMs)
    return hasBegun ? [{ kind: 'report', change: 'shared', term: this.record?.term ?? 0 }] : []
  }

  private advance (entries: readonly types.EntryVm[], nowMs: number): readonly shardTypes.Action[] {
    if (this.slot.current !== undefined) {
      return [...this.sendWrite(), ...this.createRequests(nowMs)]
    }
    if (this.ownState === undefined) {
      return this.tryTakeOver(entries, nowMs)
    }
    return this.renew(this.ownState, entries, nowMs)
  }

  private tryTakeOver (entries: readonly types.EntryVm[], nowMs: number): readonly shardTypes.Action[] {
    if (this.isLeaving) {
      return []
    }
    const { shard, self, boot, timing } = this.context
    const promisedUntilMs = this.context.succession.getPromisedUntilMs(shard)
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
    const isReleased = this.context.succession.isReleased(shard, this.view.stored?.record.term ?? 0)
    return this.write(takeOvers.createTakeOver(this.view, candidate, isReleased))
  }

  /** Returns a record that names this process although it does not hold the shard: an abandoned write was applied late. */
  private getOrphan (): records.StoredRecord | undefined {
    const stored = this.view.stored
    const isOrphan = stored !== undefined && this.view.isHeld && this.isOwnRecord(stored.record)
    return isOrphan ? stored : undefined
  }

  private renew (state: leaseholderStates.LeaseholderState, entries: readonly types.EntryVm[], nowMs: number): readonly shardTypes.Action[] {
    if (state.isStopped) {
      return this.continueRelease(state, nowMs)
    }
    const actions: shardTypes.Action[] = [...this.reportExtension(state, nowMs)]
    const { self, timing } = this.context
    const write = leaseRenewals.planWrite(state, { self, entries, hasLease: this.lease !== undefined, nowMs, timing })
    if (write !== undefined) {
      state.addStandbys(write.record.successors)
      actions.push(...this.write(write))
    } else if (this.lease === undefined) {
      actions.push({ kind: 'want_lease' })
    }
    state.updateLowWaterMarks(nowMs)
    actions.push(...this.createRequests(nowMs))
    return actions
  }

  private reportExtension (state: leaseholderStates.LeaseholderState, nowMs: number): readonly shardTypes.Action[] {
    const wasExtended = this.isExtended
    this.isExtended = state.validity.isValid(nowMs) && nowMs >= state.validity.getLeaseUntilMs()
    const isNew = this.isExtended && !wasExtended
    return isNew ? [{ kind: 'report', change: 'extended', term: state.record.term }] : []
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

  private processOutcome (
    write: shardTypes.Write, leaseId: string | undefined, outcome: shardTypes.Outcome, nowMs: number
  ): readonly shardTypes.Action[] {
    if (!this.slot.recordOutcome(write, outcome)) {
      return []
    }
    switch (outcome.kind) {
      case 'unknown':
        return []
      case 'not_run':
        this.ownState?.adopt({ record: this.ownState.record, revision: this.ownState.revision })
        return []
      case 'written':
        return this.processWritten(write, createWrittenRecord(write, leaseId, outcome), nowMs)
      case 'refused':
        return this.processRefusal(write, outcome, nowMs)
      default:
        return verdicts.assertNever(outcome)
    }
  }

  private processWritten (write: shardTypes.Write, written: WrittenRecord, nowMs: number): readonly shardTypes.Action[] {
    const { stored, holderLease, storeRevision } = written
    if (write.holder === 'delete') {
      this.latest.update({ stored, isHeld: false, storeRevision }, nowMs)
      return this.finishRelease(stored)
    }
    const actions = this.ownState === undefined ? this.beginTerm(write, stored, nowMs) : []
    if (write.holder === 'put') {
      this.bindLease(holderLease)
    }
    this.ownState?.adopt(stored)
    const observation = { stored, isHeld: holderLease !== undefined, storeRevision }
    return [...actions, ...this.observe(observation, nowMs), ...this.createRequests(nowMs)]
  }

  private bindLease (leaseId: string | undefined): void {
    const state = this.ownState
    if (state !== undefined && leaseId !== undefined && this.lease?.id === leaseId) {
      state.leaseId = leaseId
      state.validity.recordLease(this.lease.sentMs)
    }
  }

  private beginTerm (write: shardTypes.Write, stored: records.StoredRecord, nowMs: number): readonly shardTypes.Action[] {
    const { shard, timing } = this.context
    const isFirst = write.expectedRevision === 0
    const initialBalances = isFirst
      ? shardBuckets.fullBalances
      : this.context.succession.getInitialBalances(shard, write.record.term - 1)
    const waitMs = isFirst ? 0 : timings.getExpiryWaitMs(timing.grantTtlMs, timing)
    const takenOver = isFirst ? undefined : { hasUsedQuota: this.localQuota.isActive }
    this.localQuota.deactivate(nowMs)
    this.ownState = new leaseholderStates.LeaseholderState(
      { shard, stored, startedMs: nowMs, serveFromMs: nowMs + waitMs, initialBalances, takenOver }, timing)
    return [{ kind: 'report', change: 'acquired', term: stored.record.term }]
  }

  /** An earlier attempt of the same write may have succeeded; then the record has its term, node and boot identifier. */
  private processRefusal (write: shardTypes.Write, outcome: shardTypes.Refusal, nowMs: number): readonly shardTypes.Action[] {
    const { stored, holderLease, storeRevision } = outcome
    if (stored !== undefined && stored.record.term === write.record.term && this.isOwnRecord(stored.record)) {
      if (write.holder === 'delete' && holderLease !== undefined) {
        return this.write({ ...write, expectedRevision: stored.revision })
      }
      return this.processWritten(write, { stored, holderLease, storeRevision }, nowMs)
    }
    return this.observe({ stored, isHeld: holderLease !== undefined, storeRevision }, nowMs)
  }

  private processAnswer (
    node: string, sentMs: number, answer: standbys.PromiseAnswer | undefined, nowMs: number
  ): readonly shardTypes.Action[] {
    const state = this.ownState
    if (state === undefined) {
      return []
    }
    state.recordAnswer(node, sentMs, answer, nowMs)
    if (state.isStopped) {
      return this.continueRelease(state, nowMs)
    }
    return this.createRequests(nowMs)
  }

  private leave (nowMs: number): readonly shardTypes.Action[] {
    this.isLeaving = true
    return this.release(nowMs)
  }

  /** Stops deciding charges, informs the standbys, and then deletes the holder key. */
  private release (nowMs: number): readonly shardTypes.Action[] {
    const state = this.ownState
    if (state === undefined || state.isStopped) {
      return []
    }
    state.stop(nowMs)
    return this.continueRelease(state, nowMs)
  }

  private continueRelease (state: leaseholderStates.LeaseholderState, nowMs: number): readonly shardTypes.Action[] {
    if (this.slot.current !== undefined) {
      return this.createRequests(nowMs)
    }
    if (!state.isReleaseAcknowledged()) {
      return this.createRequests(nowMs)
    }
    return this.write({ record: state.record, expectedRevision: state.revision, holder: 'delete' })
  }

  private finishRelease (stored: records.StoredRecord): readonly shardTypes.Action[] {
    this.releasedTerm = stored.record.term
    const state = this.ownState
    return state === undefined ? [] : this.dropState(state)
  }
}

function createWrittenRecord (write: shardTypes.Write, leaseId: string | undefined, outcome: shardTypes.Success): WrittenRecord {
  const { revision, storeRevision } = outcome
  return { stored: { record: write.record, revision }, holderLease: leaseId, storeRevision }
}
