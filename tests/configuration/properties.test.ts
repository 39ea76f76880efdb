import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fastCheck from 'fast-check'
import * as changeRequests from '../../src/configuration/change_request.js'
import * as configuration from '../../src/contracts/configuration.js'
import * as directStores from '../support/direct_store.js'
import * as failures from '../../src/contracts/failure.js'
import * as fixture from './fixture.js'
import * as host from '../../src/host/types.js'
import * as layout from '../../src/configuration/layout.js'
import * as manualClocks from '../support/manual_clock.js'
import * as storeCore from '../../standins/store_core.js'

type Fault = 'none' | 'none' | 'lost' | 'dropped' | 'late' | 'refused'

/** Injects a fault from a list into each commit that writes. */
class FaultyStore extends directStores.DirectStore {
  readonly delayed: host.StoreTransaction[] = []

  constructor (core: storeCore.StoreCore, private readonly faults: Fault[]) {
    super(core)
  }

  override async commit (transaction: host.StoreTransaction): ReturnType<directStores.DirectStore['commit']> {
    if (!transaction.success.some(operation => operation.kind === 'put')) {
      await Promise.resolve()
      return super.commit(transaction)
    }
    const fault = this.faults.shift() ?? 'none'
    if (fault === 'none') {
      return super.commit(transaction)
    }
    if (fault === 'refused') {
      return failures.fail(failures.createFailure('not_run', 'store_unavailable', ['test']))
    }
    if (fault === 'lost') {
      await super.commit(transaction)
    }
    if (fault === 'late') {
      this.delayed.push(transaction)
    }
    return failures.fail(failures.createFailure('may_have_run', 'store_answer_lost', ['test']))
  }

  /** Applies the delayed commits. */
  async deliverDelayed (): Promise<void> {
    for (const transaction of this.delayed.splice(0)) {
      await super.commit(transaction)
    }
  }
}

interface Call {
  readonly entry: number
  readonly operation: number
  readonly waits: boolean
}

const faults = fastCheck.array(fastCheck.constantFrom<Fault[]>('none', 'none', 'lost', 'dropped', 'late', 'refused'), { maxLength: 12 })
const calls = fastCheck.array(fastCheck.record<Call>({
  entry: fastCheck.nat(1), operation: fastCheck.nat(7), waits: fastCheck.boolean()
}), { minLength: 1, maxLength: 14 })

/** Returns the edit of an operation, which is the same whenever the operation is repeated. */
function createEdit (call: Call): changeRequests.Edit {
  const section = call.operation % 3
  return { name: `workspaces/w${section}`, expectedVersion: call.operation % 2, body: { title: `by ${call.operation}`, allowance: fixture.allowance } }
}

async function runCalls (list: readonly Call[], faultLists: readonly [Fault[], Fault[]]): Promise<void> {
  const network = new fixture.Network()
  const stores = faultLists.map(list => new FaultyStore(network.core, [...list]))
  const entries = stores.map(store => network.addEntry(store))
  for (const entry of entries) {
    await entry.start()
  }
  const outcomes: { call: Call, result: failures.Result<changeRequests.Decision> }[] = []
  const running: Promise<unknown>[] = []
  for (const call of list) {
    const entry = entries[call.entry] as fixture.Process
    const outcome = fixture.tryChange(entry, `op-${call.operation}`, [createEdit(call)]).then(result => outcomes.push({ call, result }))
    running.push(outcome)
    if (call.waits) {
      await outcome
      await stores[0]?.deliverDelayed()
    }
  }
  await Promise.all(running)
  for (const store of stores) {
    await store.deliverDelayed()
  }
  await manualClocks.settlePromises()
  const changes = readChanges(network.core)
  checkChanges(changes)
  checkOutcomes(outcomes, changes)
  for (const entry of entries) {
    assert.equal(entry.replica.version, changes.length)
    assert.deepEqual(entry.replica.document.listSections().toSorted(byName), replay(changes))
  }
}

function readChanges (core: storeCore.StoreCore): readonly configuration.Change[] {
  const page = core.readRange({ prefix: layout.changePrefix })
  return page.entries.map(entry => layout.parseChange(entry.value) ?? assert.fail())
}

function byName (left: configuration.Section, right: configuration.Section): number {
  return left.name < right.name ? -1 : 1
}

/** Reference model: applies the changes in order, and checks that each increments the section's version by one. */
function replay (changes: readonly configuration.Change[]): readonly configuration.Section[] {
  const sections = new Map<string, configuration.Section>()
  for (const section of changes.flatMap(change => change.sections)) {
    assert.equal(section.version, (sections.get(section.name)?.version ?? 0) + 1)
    sections.set(section.name, section)
  }
  return [...sections.values()].toSorted(byName)
}

function checkChanges (changes: readonly configuration.Change[]): void {
  assert.deepEqual(changes.map(change => change.version), changes.map((_, index) => index + 1))
  assert.equal(new Set(changes.map(change => change.operation)).size, changes.length, 'an operation took effect twice')
}

/** Checks that the reported outcome of each operation agrees with the final content of the store. */
function checkOutcomes (
  outcomes: readonly { call: Call, result: failures.Result<changeRequests.Decision> }[], changes: readonly configuration.Change[]
): void {
  for (const { call, result } of outcomes) {
    const made = changes.find(change => change.operation === `op-${call.operation}`)
    const decision = result.extract()
    if ('kind' in decision && decision.kind === 'accepted') {
      assert.equal(decision.acceptance.version, made?.version)
      continue
    }
    const failure = 'kind' in decision ? decision.refusal.failure : decision
    const others = outcomes.filter(other => other.call.operation === call.operation && other.result !== result)
    if (failure.verdict === 'not_run' && others.length === 0) {
      assert.equal(made, undefined, `"${failure.code}" was reported with verdict not_run, but the change took effect`)
    }
  }
}

test.describe('Editors with concurrent calls and lost, dropped and late commits', () => {
  test.it('apply each operation at most once, report its outcome correctly, and leave all replicas with the same document', async () => {
    await fastCheck.assert(fastCheck.asyncProperty(calls, faults, faults, (list, first, second) => runCalls(list, [first, second])), { seed: 7, numRuns: 400 })
  })
})

type Step = { readonly kind: number, readonly index: number, readonly advanceMs: number }

const steps = fastCheck.array(fastCheck.record<Step>({
  kind: fastCheck.nat(6), index: fastCheck.nat(2), advanceMs: fastCheck.nat(700)
}), { maxLength: 30 })

/** Runs changes under store outages and network partitions. Each replica's version must only increase, and all replicas must converge. */
async function runSteps (list: readonly Step[]): Promise<void> {
  const network = new fixture.Network()
  const stores = [0, 1, 2].map(() => new directStores.DirectStore(network.core))
  const entries = stores.map(store => network.addEntry(store))
  const agent = network.addAgent()
  const all = [...entries, agent]
  const lastVersions = new Map<fixture.Process, number>()
  for (const process of all) {
    await process.start()
    process.replica.onChange(version => {
      assert.equal(version > (lastVersions.get(process) ?? 0), true, 'the version of a replica decreased')
      lastVersions.set(process, version)
    })
  }
  let operation = 0
  for (const { kind, index, advanceMs } of list) {
    const entry = entries[index] as fixture.Process
    if (kind <= 1) {
      operation += 1
      await fixture.tryChange(entry, `op-${operation}`, [fixture.createWorkspace(`w${operation}`)])
    } else if (kind === 2 || kind === 3) {
      stores[index]?.setDown(kind === 2)
    } else if (kind === 4) {
      network.unreachablePorts.add(entry.address.port)
    } else if (kind === 5) {
      network.unreachablePorts.delete(entry.address.port)
    } else {
      await new fixture.DirectLink(entry, agent.address).call('status.read', {})
    }
    await network.clock.advance(advanceMs)
  }
  network.unreachablePorts.clear()
  for (const store of stores) {
    store.setDown(false)
  }
  await network.clock.advance(10_000)
  await new fixture.DirectLink(entries[0] as fixture.Process, agent.address).call('status.read', {})
  await network.clock.advance(10_000)
  const version = readChanges(network.core).length
  assert.deepEqual(all.map(process => process.replica.version), all.map(() => version))
  const names = (process: fixture.Process): readonly string[] => process.replica.document.listSections().map(section => section.name).toSorted()
  for (const process of all) {
    assert.deepEqual(names(process), names(all[0] as fixture.Process))
  }
}

test.describe('Replicas under store outages and network partitions', () => {
  test.it('never decrease in version, and converge when the faults end', async () => {
    await fastCheck.assert(fastCheck.asyncProperty(steps, runSteps), { seed: 11, numRuns: 200 })
  })
})
