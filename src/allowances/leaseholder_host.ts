/**
 * Runs the shards of allowances in an entry process: reads and writes their keys in the store, exchanges promises
 * with other entries, and answers charges of the shards that this process is the leaseholder of or has a local quota of.
 * A leaseholder is a `keeper` on the wire and in metrics.
 */
import * as chargeAnswers from './charge_answer.js'
import * as configuration from '../contracts/configuration.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as shardKeyStores from './shard_key_store.js'
import * as keyFollowers from './key_follower.js'
import * as links from '../links/types.js'
import * as meters from '../metrics/types.js'
import * as placement from './placement.js'
import * as processLeases from './process_lease.js'
import * as protocol from '../contracts/protocol.js'
import * as recorders from '../timeline/types.js'
import * as records from './record.js'
import * as shards from './shard.js'
import * as shardTypes from './shard_types.js'
import * as standbys from './standby.js'
import * as leaseholderStates from './leaseholder_state.js'
import * as timeouts from './timeout.js'
import * as timings from './timing.js'
import * as types from './types.js'
import * as verdicts from '../contracts/verdict.js'

/** Interval of the tick that drives the shards, in milliseconds. */
const tickMs = 100
/** Time-out for handing all shards over before the process exits, in milliseconds. */
const handOverTimeoutMs = 3000

export type ChargeRequest = protocol.Params<'allowance.charge'>
export type Settlement = protocol.Params<'allowance.settle'>

/** Returns the workspaces of the current configuration with their allowances. */
export type Workspaces = () => ReadonlyMap<string, configuration.Workspace>

export interface LeaseholderHostContext {
  readonly boot: string
  readonly entries: types.Entries
  readonly store: host.Store
  readonly links: links.LinkPool
  readonly clock: host.Clock
  readonly log: host.Log
  readonly recorder: recorders.Recorder
  readonly meter: meters.Meter
  readonly workspaces: Workspaces
  readonly timing: timings.LeaseTiming
}

export class LeaseholderHost {
  private readonly keys: shardKeyStores.ShardKeyStore
  private readonly follower: keyFollowers.KeyFollower
  private readonly lease: processLeases.ProcessLease
  private readonly standby: standbys.Standby
  private readonly shards: shards.Shard[] = []
  private readonly hints = new Map<number, { readonly term: number, readonly leaseholder: records.Member }>()
  private stopTicks: host.Stop = () => {}
  private isLeaseWanted = false
  private onIdle: (() => void) | undefined

  constructor (private readonly context: LeaseholderHostContext) {
    const { store, boot, clock, timing } = context
    this.keys = new shardKeyStores.ShardKeyStore(store, boot)
    this.follower = new keyFollowers.KeyFollower({ keys: this.keys, store, clock, timing }, {
      onShardCount: (count, wanted) => this.createShards(count, wanted),
      onShardKeys: (shard, keys) => this.observe(shard, keys)
    })
    this.lease = new processLeases.ProcessLease(store, clock, timing, lease => this.broadcast({ kind: 'lease', lease }))
    this.standby = new standbys.Standby(boot, clock.monotonicMs(), timing)
  }

  /** Number of shards; 0 until it is known from the store. */
  get shardCount (): number {
    return this.shards.length
  }

  /** Starts the host; `shardCount` takes effect only at the first start of the deployment. */
  start (shardCount: number): void {
    this.stopTicks = this.context.clock.every(tickMs, () => this.tick())
    this.follower.start(shardCount)
  }

  /** Hands all shards over and acquires none any more. Charges are still referred to the leaseholders until `stop`. */
  async leave (): Promise<void> {
    this.broadcast({ kind: 'leave' })
    if (this.isAnyHeld()) {
      const idle = new Promise<void>(resolve => {
        this.onIdle = resolve
      })
      await Promise.race([idle, this.context.clock.sleep(handOverTimeoutMs)])
    }
    await this.lease.revoke()
  }

  /** Stops the host without handing over. */
  stop (): void {
    this.stopTicks()
    this.follower.stop()
  }

  /** Applies changed allowances to the shards. */
  applyConfiguration (): void {
    const nowMs = this.context.clock.monotonicMs()
    for (const [workspace, section] of this.context.workspaces()) {
      this.getShardOf(workspace)?.setAllowance(workspace, section.allowance, nowMs)
    }
  }

  /** Returns the leaseholder of a shard as far as this process knows. */
  findLeaseholder (shard: number): records.Member | undefined {
    const hint = this.hints.get(shard)
    const stored = this.shards[shard]?.record
    if (hint !== undefined && hint.term > (stored?.term ?? 0)) {
      return hint.leaseholder
    }
    return stored?.holder
  }

  /** Records a leaseholder named by another process. */
  recordLeaseholder (shard: number, term: number, leaseholder: records.Member): void {
    if (term > (this.hints.get(shard)?.term ?? 0)) {
      this.hints.set(shard, { term, leaseholder })
    }
  }

  /** Whether this process is the leaseholder of the shard, even if it does not decide charges yet. */
  isLeaseholder (shard: number): boolean {
    return this.shards[shard]?.getStartMs(this.context.clock.monotonicMs()) !== undefined
  }

  /** Whether charges of the shard are answered here, as its leaseholder (even if not serving yet) or from a local quota. */
  isDecider (shard: number): boolean {
    return this.isLeaseholder(shard) || (this.shards[shard]?.isDeciding(this.context.clock.monotonicMs()) ?? false)
  }

  /** Returns the processes that may decide charges of a shard, the leaseholder first, as far as this process knows. */
  listDeciders (shard: number): readonly records.Member[] {
    const leaseholder = this.findLeaseholder(shard)
    const successors = this.shards[shard]?.record?.successors ?? []
    const known = new Set([this.context.entries.self.node, leaseholder?.node])
    return leaseholder === undefined ? [] : [leaseholder, ...successors.filter(member => !known.has(member.node))]
  }

  /** Answers a charge from this process or another. */
  answerCharge (request: ChargeRequest): chargeAnswers.ChargeAnswer {
    const shard = this.shards[request.shard]
    const nowMs = this.context.clock.monotonicMs()
    const charge = { id: request.charge, workspace: request.workspace, tokens: request.tokens }
    const decision = shard?.charge(charge, nowMs)
    if (shard === undefined || decision === undefined) {
      return this.createReferral(request.shard, nowMs)
    }
    if (decision.kind === 'floor_reached') {
      this.perform(request.shard, shard.createRequests(nowMs))
    }
    this.context.meter.count('allowance_charges_total', { outcome: decision.kind })
    return chargeAnswers.createChargeAnswer(decision, shard.record?.term ?? 0, this.context.timing.retryMs)
  }

  answerSettlement (settlement: Settlement): void {
    this.shards[settlement.shard]?.settle(settlement.charge, settlement.usedTokens, this.context.clock.monotonicMs())
  }

  answerPromise (request: standbys.PromiseRequest): standbys.PromiseAnswer {
    const nowMs = this.context.clock.monotonicMs()
    const shard = this.shards[request.shard]
    return shard?.answerPromise(request, nowMs) ?? this.standby.answer(request, nowMs, true)
  }

  /** Returns the handlers for calls of other processes. */
  createHandlers (): links.Handlers {
    return {
      'allowance.charge': async request => failures.succeed(this.answerCharge(request)),
      'allowance.settle': async settlement => {
        this.answerSettlement(settlement)
        return failures.succeed({})
      },
      'keeper.promise': async request => failures.succeed(this.answerPromise(request))
    }
  }

  private createReferral (shardNumber: number, nowMs: number): chargeAnswers.ChargeAnswer {
    const shard = this.shards[shardNumber]
    const term = shard?.record?.term ?? 0
    const startMs = shard?.getStartMs(nowMs)
    const leaseholder = this.findLeaseholder(shardNumber)
    if (startMs !== undefined || leaseholder === undefined || leaseholder.node === this.context.entries.self.node) {
      const retryAfterMs = Math.max(startMs ?? 0, this.context.timing.retryMs)
      return { granted: false, term, retryAfterMs, reason: 'not_yet' }
    }
    return { granted: false, term, retryAfterMs: 0, reason: 'not_keeper', keeper: leaseholder }
  }

  private getShardOf (workspace: string): shards.Shard | undefined {
    return this.shards.length === 0 ? undefined : this.shards[placement.getShard(workspace, this.shards.length)]
  }

  private createShards (count: number, wanted: number): void {
    if (this.shards.length > 0) {
      return
    }
    if (count !== wanted) {
      this.context.log.warn('The number of allowance shards cannot be changed after the first start of the deployment', { count, wanted })
    }
    const { boot, entries, clock, timing } = this.context
    for (let shard = 0; shard < count; shard += 1) {
      const owner = { shard, self: entries.self, boot, succession: this.standby, timing }
      this.shards.push(new shards.Shard(owner, clock.monotonicMs()))
    }
    this.broadcast({ kind: 'lease', lease: this.lease.current })
  }

  private observe (shard: number, keys: shardKeyStores.ShardKeys): void {
    this.accept(shard, { kind: 'observed', observation: { ...keys } })
  }

  private tick (): void {
    this.isLeaseWanted = false
    if (!this.isAnyHeld()) {
      this.lease.dropExpired()
    }
    this.broadcast({ kind: 'tick', entries: this.context.entries.list() })
    if (this.isLeaseWanted || this.isAnyHeld()) {
      this.lease.maintain()
    }
    this.context.meter.gauge('allowance_shards_kept', {}, this.countHeld())
  }

  private broadcast (event: shardTypes.Event): void {
    for (const shard of this.shards.keys()) {
      this.accept(shard, event)
    }
  }

  private accept (shardNumber: number, event: shardTypes.Event): void {
    const shard = this.shards[shardNumber]
    if (shard === undefined) {
      return
    }
    this.perform(shardNumber, shard.accept(event, this.context.clock.monotonicMs()))
    if (this.onIdle !== undefined && !this.isAnyHeld()) {
      this.onIdle()
      this.onIdle = undefined
    }
  }

  private perform (shard: number, actions: readonly shardTypes.Action[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case 'write':
          this.write(shard, action.write, action.leaseId)
          break
        case 'want_lease':
          this.isLeaseWanted = true
          break
        case 'promise':
          this.requestPromise(shard, action.outgoing)
          break
        case 'report':
          this.report(shard, action.change, action.term)
          break
        default:
          verdicts.assertNever(action)
      }
    }
  }

  private async write (shard: number, write: shardTypes.Write, leaseId: string | undefined): Promise<void> {
    const outcome = await this.keys.write(shard, write, leaseId)
    this.accept(shard, { kind: 'outcome', write, leaseId, outcome })
  }

  private async requestPromise (shard: number, outgoing: leaseholderStates.PeerRequest): Promise<void> {
    const { clock, timing } = this.context
    const sentMs = clock.monotonicMs()
    const call = this.context.links.get(outgoing.to.address)
      .call('keeper.promise', outgoing.request, timing.promiseTimeoutMs)
    const result = await timeouts.awaitWithTimeout(call, timing.promiseTimeoutMs, clock)
    const answer = result?.caseOf({ Left: () => undefined, Right: value => value })
    this.accept(shard, { kind: 'answer', node: outgoing.to.node, sentMs, answer })
  }

  private report (shard: number, change: 'acquired' | 'extended' | 'shared' | 'lost', term: number): void {
    this.context.recorder.record({ kind: `keeper.${change}`, details: { shard, term } })
    this.context.meter.count('allowance_keeper_changes_total', { change })
    if (change === 'acquired' || change === 'shared') {
      this.fillShard(shard)
    }
  }

  private fillShard (shardNumber: number): void {
    const nowMs = this.context.clock.monotonicMs()
    const shard = this.shards[shardNumber]
    for (const [workspace, section] of this.context.workspaces()) {
      if (placement.getShard(workspace, this.shards.length) === shardNumber) {
        shard?.setAllowance(workspace, section.allowance, nowMs)
      }
    }
  }

  private isAnyHeld (): boolean {
    return this.countHeld() > 0
  }

  private countHeld (): number {
    let held = 0
    for (const shard of this.shards) {
      held += shard.leaseholderState === undefined ? 0 : 1
    }
    return held
  }
}
