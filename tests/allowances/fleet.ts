/**
 * Simulates a fleet of entries in one process on a manual clock, with a store and a network whose faults the tests set.
 */
import * as assert from 'node:assert/strict'
import * as clients from '../../src/allowances/client.js'
import * as configuration from '../../src/contracts/configuration.js'
import * as directStore from '../support/direct_store.js'
import * as failures from '../../src/contracts/failure.js'
import * as host from '../../src/host/types.js'
import * as identities from '../../src/contracts/identity.js'
import * as leaseholderHosts from '../../src/allowances/leaseholder_host.js'
import * as links from '../../src/links/types.js'
import * as manualClock from '../support/manual_clock.js'
import * as meters from '../../src/metrics/types.js'
import * as protocol from '../../src/contracts/protocol.js'
import * as recorders from '../../src/timeline/types.js'
import * as storeCore from '../../standins/store_core.js'
import * as timings from '../../src/allowances/timing.js'
import * as types from '../../src/allowances/types.js'

const leaseCheckMs = 50

/** Queues the events of a paused process until it is resumed. */
class Gate {
  private waiting: (() => void)[] | undefined

  pause (): void {
    this.waiting ??= []
  }

  resume (): void {
    const waiting = this.waiting ?? []
    this.waiting = undefined
    for (const action of waiting) {
      action()
    }
  }

  run (action: () => void): void {
    if (this.waiting === undefined) {
      action()
    } else {
      this.waiting.push(action)
    }
  }

  pass (): Promise<void> {
    return new Promise(resolve => this.run(resolve))
  }
}

class GatedClock extends host.Clock {
  constructor (private readonly base: host.Clock, private readonly gate: Gate) {
    super()
  }

  override monotonicMs (): number {
    return this.base.monotonicMs()
  }

  override wallMs (): number {
    return this.base.wallMs()
  }

  override after (delayMs: number, action: () => void): host.Stop {
    let isStopped = false
    const stop = this.base.after(delayMs, () => this.gate.run(() => isStopped || action()))
    return () => {
      isStopped = true
      stop()
    }
  }
}

class GatedStore extends directStore.DirectStore {
  constructor (core: storeCore.StoreCore, private readonly gate: Gate) {
    super(core)
  }

  override async commit (transaction: host.StoreTransaction): Promise<failures.Result<host.StoreCommit>> {
    const result = await super.commit(transaction)
    await this.gate.pass()
    return result
  }

  override async renewLease (id: string): Promise<failures.Result<host.StoreLease>> {
    const result = await super.renewLease(id)
    await this.gate.pass()
    return result
  }
}

class SilentLog extends host.Log {
  override info (): void {}
  override warn (): void {}
  override error (): void {}
}

/** A link that reaches the handlers of another entry of the fleet. */
class DirectLink extends links.Link {
  override readonly remote = undefined
  override readonly isOpen = true

  constructor (override readonly address: identities.Address, private readonly from: Entry, private readonly fleet: Fleet) {
    super()
  }

  override async call<Method extends protocol.MethodName> (
    method: Method, params: protocol.Params<Method>
  ): Promise<failures.Result<protocol.Answer<Method>>> {
    const lost = failures.createFailure('may_have_run', 'link_lost', [this.address.host])
    const text = JSON.stringify(params)
    const copy = protocol.methods[method].params.parse(JSON.parse(text)) as protocol.Params<Method>
    this.fleet.countBytes(method, this.from.vm.node, this.address.host, text.length)
    await this.fleet.delay(this.from)
    const to = this.fleet.find(this.address)
    if (to === undefined || this.fleet.isCut(this.from, to)) {
      return failures.fail(lost)
    }
    await to.gate.pass()
    const handler = to.handlers[method]
    assert.ok(handler !== undefined)
    const result = await handler(copy, undefined as never)
    this.fleet.countBytes(method, this.address.host, this.from.vm.node, JSON.stringify(result.extract()).length)
    await this.fleet.delay(this.from)
    await this.from.gate.pass()
    return this.fleet.isCut(to, this.from) ? failures.fail(lost) : result
  }

  override notify (): void {}
  override retain (): host.Stop {
    return () => {}
  }

  override close (): void {}
}

class DirectPool extends links.LinkPool {
  constructor (private readonly from: Entry, private readonly fleet: Fleet) {
    super()
  }

  override get (address: identities.Address): links.Link {
    return new DirectLink(address, this.from, this.fleet)
  }

  override list (): readonly links.Link[] {
    return []
  }

  override observe (): host.Stop {
    return () => {}
  }

  override close (): void {}
}

class FleetEntries extends types.Entries {
  constructor (override readonly self: types.EntryVm, private readonly fleet: Fleet) {
    super()
  }

  override list (): readonly types.EntryVm[] {
    return [...this.fleet.listed.values()]
  }
}

/** One entry process of the fleet. */
export class Entry {
  readonly gate = new Gate()
  readonly store: directStore.DirectStore
  readonly host: leaseholderHosts.LeaseholderHost
  readonly client: clients.FleetAllowances
  readonly handlers: links.Handlers

  constructor (readonly vm: types.EntryVm, readonly boot: string, readonly fleet: Fleet) {
    this.store = new GatedStore(fleet.core, this.gate)
    const clock = new GatedClock(fleet.clock, this.gate)
    const shared = {
      links: new DirectPool(this, fleet),
      clock,
      recorder: new recorders.SilentRecorder(),
      meter: new meters.SilentMeter(),
      timing: fleet.timing
    }
    this.host = new leaseholderHosts.LeaseholderHost({
      ...shared,
      boot,
      entries: new FleetEntries(vm, fleet),
      store: this.store,
      log: new SilentLog(),
      workspaces: () => fleet.workspaces
    })
    this.observeDecisions()
    this.handlers = this.host.createHandlers()
    this.client = new clients.FleetAllowances({ ...shared, leaseholderHost: this.host })
  }

  /** Reports each granted charge of this entry to the fleet. */
  private observeDecisions (): void {
    const decide = this.host.answerCharge.bind(this.host)
    this.host.answerCharge = request => {
      const isLocalQuota = !this.host.isLeaseholder(request.shard)
      const answer = decide(request)
      if (answer.granted) {
        this.fleet.localQuotaGrants += isLocalQuota ? 1 : 0
        this.fleet.recordDecision(request.charge, `${this.boot} ${answer.term}`)
      }
      return answer
    }
  }
}

interface Accepted {
  readonly workspace: string
  readonly atMs: number
  used: number
}

/** Runs the entries, and adds up all accepted charges independently of the code under test. */
export class Fleet {
  readonly clock = new manualClock.ManualClock()
  readonly core = new storeCore.StoreCore(this.clock)
  readonly entries = new Map<string, Entry>()
  /** Entry VMs that the VM list returns; killed ones stay. */
  readonly listed = new Map<string, types.EntryVm>()
  readonly workspaces = new Map<string, configuration.Workspace>()
  readonly cuts = new Set<string>()
  readonly accepted: Accepted[] = []
  readonly refused: { readonly workspace: string, readonly atMs: number, readonly failure: failures.Failure }[] = []
  /** One-way delay of the network, in milliseconds. */
  delayMs = 1
  /** Bytes of parameters and results by method, and by node in both directions; without their envelopes. */
  readonly bytesOfMethod = new Map<string, number>()
  readonly bytesOfNode = new Map<string, number>()
  readonly messagesOfNode = new Map<string, number>()
  /** Charges granted by processes that are not the leaseholder at that time. */
  localQuotaGrants = 0
  private readonly decisions = new Map<string, { readonly decider: string, readonly atMs: number }>()
  private boots = 0
  private charges = 0

  constructor (readonly shards = 1, readonly timing: timings.LeaseTiming = timings.defaultTiming) {
    this.clock.every(leaseCheckMs, () => this.core.expireLeases())
  }

  addWorkspace (name: string, tokensPerSecond: number, burstTokens: number): void {
    this.workspaces.set(name, configuration.Workspace.parse({ allowance: { tokensPerSecond, burstTokens } }))
    for (const entry of this.entries.values()) {
      entry.host.applyConfiguration()
    }
  }

  /** Starts an entry, or a new process on the VM of one that was killed. */
  start (node: string, zone = node): Entry {
    this.boots += 1
    const vm: types.EntryVm = { node, zone, address: { host: node, port: 1 }, state: 'live' }
    const entry = new Entry(vm, `${node}-${this.boots}`, this)
    this.entries.set(node, entry)
    this.listed.set(node, vm)
    entry.host.start(this.shards)
    return entry
  }

  kill (node: string): void {
    const entry = this.entries.get(node)
    entry?.host.stop()
    this.entries.delete(node)
  }

  setStoreDown (isDown: boolean): void {
    for (const entry of this.entries.values()) {
      entry.store.setDown(isDown)
    }
  }

  find (address: identities.Address): Entry | undefined {
    return this.entries.get(address.host)
  }

  isCut (from: Entry, to: Entry): boolean {
    return this.cuts.has(`${from.vm.node} ${to.vm.node}`)
  }

  delay (_from: Entry): Promise<void> {
    return this.clock.sleep(this.delayMs)
  }

  countBytes (method: string, from: string, to: string, bytes: number): void {
    addTo(this.bytesOfMethod, method, bytes)
    for (const node of [from, to]) {
      addTo(this.bytesOfNode, node, bytes)
      addTo(this.messagesOfNode, node, 1)
    }
  }

  recordDecision (charge: string, decider: string): void {
    if (this.decisions.get(charge)?.decider !== decider) {
      this.decisions.set(charge, { decider, atMs: this.clock.monotonicMs() })
    }
  }

  /** Returns the node whose process is the leaseholder of the shard. Fails if there are two. */
  findLeaseholder (shard = 0): string | undefined {
    const serving: string[] = []
    for (const [node, entry] of this.entries) {
      if (entry.host.isLeaseholder(shard)) {
        serving.push(node)
      }
    }
    assert.ok(serving.length <= 1, `two leaseholders: ${serving.join(' and ')}`)
    return serving[0]
  }

  /** Charges through an entry and settles after `runsMs`. `usedShare` of the charged tokens, between 0 and 1, is used. */
  async request (node: string, workspace: string, tokens: number, usedShare: number, runsMs: number): Promise<boolean> {
    const entry = this.entries.get(node)
    if (entry === undefined) {
      return true
    }
    this.charges += 1
    const id = `charge-${this.charges}`
    const result = await entry.client.charge({ id, workspace, tokens })
    return result.caseOf({
      Left: failure => {
        this.refused.push({ workspace, atMs: this.clock.monotonicMs(), failure })
        return false
      },
      Right: grant => {
        this.accept(id, grant, Math.floor(tokens * usedShare), runsMs)
        return true
      }
    })
  }

  private accept (id: string, grant: types.Grant, used: number, runsMs: number): void {
    const { workspace, tokens } = grant.charge
    const atMs = this.decisions.get(id)?.atMs ?? Number.NaN
    const accepted = { workspace, atMs, used: tokens }
    this.accepted.push(accepted)
    this.clock.after(runsMs, () => {
      accepted.used = used
      grant.settle(used)
    })
  }

  /** Returns the largest excess of any time window over rate x window + burst, in tokens; 0 or less if there is none. */
  getOvershoot (workspace: string): number {
    const allowance = this.workspaces.get(workspace)?.allowance
    assert.ok(allowance !== undefined)
    const list = this.accepted.filter(one => one.workspace === workspace).sort((one, other) => one.atMs - other.atMs)
    let worst = Number.NEGATIVE_INFINITY
    for (const [index, first] of list.entries()) {
      let used = 0
      for (const last of list.slice(index)) {
        used += last.used
        const windowMs = last.atMs - first.atMs
        worst = Math.max(worst, used - allowance.burstTokens - allowance.tokensPerSecond * windowMs / 1000)
      }
    }
    return worst
  }
}

function addTo (totals: Map<string, number>, key: string, amount: number): void {
  totals.set(key, (totals.get(key) ?? 0) + amount)
}
