import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as directStores from '../support/direct_store.js'
import * as agentAssignments from '../../src/configuration/agent_assignment.js'
import * as failures from '../../src/contracts/failure.js'
import * as fixture from './fixture.js'
import * as host from '../../src/host/types.js'
import * as layout from '../../src/configuration/layout.js'

/** While frozen, answers range reads from the last page read before for the prefix, as a stale replica of the store does. */
class StaleStore extends directStores.DirectStore {
  private readonly pages = new Map<string, host.StorePage>()
  isFrozen = false

  override async readRange (range: host.StoreRange): Promise<failures.Result<host.StorePage>> {
    const page = this.pages.get(range.prefix)
    if (this.isFrozen && page !== undefined) {
      return failures.succeed({ ...page, entries: page.entries.filter(entry => entry.key > (range.after ?? '')) })
    }
    const read = await super.readRange(range)
    read.ifRight(found => this.pages.set(range.prefix, found))
    return read
  }
}

/** Like `StaleStore`, but answers transactions with a stale head too, and reports no watched changes. */
class StaleTransactionStore extends StaleStore {
  override async commit (): Promise<failures.Result<host.StoreCommit>> {
    const read = await super.readRange({ prefix: layout.headKey })
    return read.map(page => ({ succeeded: true, revision: page.revision, reads: [page.entries[0]] }))
  }

  override watch (): host.Stop {
    return () => {}
  }
}

async function createEntry (network: fixture.Network): Promise<fixture.Process> {
  const entry = network.addEntry()
  await entry.start()
  return entry
}

async function addWorkspaces (entry: fixture.Process, from: number, to: number): Promise<void> {
  for (let index = from; index <= to; index += 1) {
    await fixture.change(entry, `op-${index}`, [fixture.createWorkspace(`w${index}`)])
  }
}

const server = { role: 'decode', zone: 'a', models: ['m'], memoryPieces: 10 }

test.describe('Replica', () => {
  test.describe('of an entry', () => {
    test.it('reads a snapshot, then follows the store', async () => {
      const network = new fixture.Network()
      const entry = await createEntry(network)
      await addWorkspaces(entry, 1, 3)
      const late = await createEntry(network)
      assert.deepEqual([late.replica.version, late.replica.isReady], [3, true])
      await addWorkspaces(entry, 4, 4)
      assert.equal(late.replica.version, 4)
      assert.notEqual(late.replica.document.getWorkspace('w4'), undefined)
    })

    test.it('refuses a snapshot made of stale pages', async () => {
      const network = new fixture.Network()
      const entry = await createEntry(network)
      const store = new StaleStore(network.core)
      await store.readRange({ prefix: layout.sectionPrefix })
      await addWorkspaces(entry, 1, 2)
      store.isFrozen = true
      const late = network.addEntry(store)
      network.unreachablePorts.add(entry.address.port)
      await late.start()
      assert.equal(late.replica.isReady, false)
      store.isFrozen = false
      await network.clock.advance(1_000)
      assert.deepEqual([late.replica.version, late.replica.isReady], [2, true])
    })

    test.it('does not become ready with an old version while a peer reports a newer one', async () => {
      const network = new fixture.Network()
      const entry = await createEntry(network)
      await addWorkspaces(entry, 1, 1)
      const store = new StaleTransactionStore(network.core)
      await store.commit()
      await store.readRange({ prefix: layout.sectionPrefix })
      await store.readRange({ prefix: layout.changePrefix })
      store.isFrozen = true
      await addWorkspaces(entry, 2, 3)
      const late = network.addEntry(store)
      await late.start()
      assert.deepEqual([late.replica.version, late.replica.isReady], [1, false])
      await network.clock.advance(200)
      assert.deepEqual([late.replica.version, late.replica.isReady], [3, true])
    })

    test.it('reads missing changes from another entry while the store is down', async () => {
      const network = new fixture.Network()
      const entry = await createEntry(network)
      const store = new directStores.DirectStore(network.core)
      const other = network.addEntry(store)
      await other.start()
      store.setDown(true)
      await addWorkspaces(entry, 1, 2)
      assert.equal(other.replica.version, 0)
      other.replica.hear(2, entry.identity)
      await network.clock.advance(200)
      assert.equal(other.replica.version, 2)
      store.setDown(false)
      await addWorkspaces(entry, 3, 3)
      await network.clock.advance(10_000)
      assert.equal(other.replica.version, 3)
    })

    test.it('becomes ready from another entry while the store is down', async () => {
      const network = new fixture.Network()
      const entry = await createEntry(network)
      await addWorkspaces(entry, 1, 2)
      const store = new directStores.DirectStore(network.core)
      store.setDown(true)
      const late = network.addEntry(store)
      await late.start()
      assert.equal(late.replica.isReady, false)
      await network.clock.advance(200)
      assert.deepEqual([late.replica.version, late.replica.isReady], [2, true])
    })

    test.it('never reads its configuration from an agent', async () => {
      const network = new fixture.Network()
      const entry = await createEntry(network)
      await addWorkspaces(entry, 1, 1)
      const agent = network.addAgent()
      await agent.start()
      agent.replica.hear(1, entry.identity)
      await network.clock.advance(200)
      network.unreachablePorts.add(entry.address.port)
      const store = new directStores.DirectStore(network.core)
      store.setDown(true)
      const late = network.addEntry(store)
      await late.start()
      late.replica.hear(1, agent.identity)
      await network.clock.advance(5_000)
      assert.deepEqual([late.replica.version, late.replica.isReady, agent.reads], [0, false, 0])
      const answer = await new fixture.DirectLink(late, agent.address).call('configuration.read', { since: 0 })
      assert.equal(answer.swap().unsafeCoerce().code, 'configuration_forbidden')
    })

    test.it('reads a snapshot when the missing changes are no longer in the store', async () => {
      const network = new fixture.Network()
      const entry = await createEntry(network)
      await addWorkspaces(entry, 1, 1)
      const store = new directStores.DirectStore(network.core)
      const other = network.addEntry(store)
      await other.start()
      store.setDown(true)
      network.unreachablePorts.add(entry.address.port)
      await addWorkspaces(entry, 2, 4)
      network.core.commit({ compare: [], success: [{ kind: 'delete', key: layout.getChangeKey(2) }], failure: [] })
      store.setDown(false)
      await network.clock.advance(1_000)
      assert.equal(other.replica.version, 4)
      assert.notEqual(other.replica.document.getWorkspace('w2'), undefined)
    })

    test.it('never reverts to an older version when the store does', async () => {
      const network = new fixture.Network()
      const entry = await createEntry(network)
      await addWorkspaces(entry, 1, 3)
      network.core.commit({
        compare: [],
        success: [{ kind: 'put', key: layout.headKey, value: '{"version":1}' }, { kind: 'delete', key: layout.getSectionKey('workspaces/w3') }],
        failure: []
      })
      const store = entry.store as directStores.DirectStore
      store.setDown(true)
      store.setDown(false)
      await network.clock.advance(5_000)
      assert.equal(entry.replica.version, 3)
      assert.notEqual(entry.replica.document.getWorkspace('w3'), undefined)
      const refused = await fixture.tryChange(entry, 'op', [fixture.createWorkspace('x')])
      assert.equal(refused.swap().unsafeCoerce().code, 'change_contended')
    })

    test.it('passes the names of the changed sections to listeners', async () => {
      const network = new fixture.Network()
      const entry = await createEntry(network)
      const seen: unknown[] = []
      entry.replica.onChange((version, sections) => seen.push([version, sections]))
      await addWorkspaces(entry, 1, 2)
      assert.deepEqual(seen, [[1, ['workspaces/w1']], [2, ['workspaces/w2']]])
    })
  })

  test.describe('of the entry that accepts a change', () => {
    test.it('pushes it to open sessions, without secret sections to agents', async () => {
      const network = new fixture.Network()
      const entry = await createEntry(network)
      const notices: string[] = []
      const open = (role: 'entry' | 'agent', isOpen: boolean): void => entry.replica.sessionObserver.opened({
        id: role, remote: { ...entry.identity, role }, isOpen, bufferedBytes: 0, notify: (_name, notice) => notices.push(`${role} ${JSON.stringify(notice)}`)
      })
      open('agent', true)
      open('entry', true)
      open('entry', false)
      await fixture.change(entry, 'op', [fixture.createWorkspace('a'), { name: 'keys/a', expectedVersion: 0, body: { keys: [] } }])
      assert.equal(notices.length, 2)
      assert.equal(notices[0]?.startsWith('agent') && !notices[0].includes('keys/a'), true)
      assert.equal(notices[1]?.includes('keys/a'), true)
    })
  })

  test.describe('of an agent', () => {
    test.it('reads the configuration without secret sections, first as a snapshot and then as changes', async () => {
      const network = new fixture.Network()
      const entry = await createEntry(network)
      await fixture.change(entry, 'op', [
        fixture.createWorkspace('a'), { name: 'keys/a', expectedVersion: 0, body: { keys: [] } }
      ])
      const agent = network.addAgent()
      await agent.start()
      agent.replica.hear(1, entry.identity)
      await network.clock.advance(200)
      assert.deepEqual(agent.replica.document.listSections().map(section => section.name), ['workspaces/a'])
      await fixture.change(entry, 'op-2', [{ name: 'keys/a', expectedVersion: 1, body: { keys: [{ id: 'k', hash: 'b'.repeat(64), createdAtMs: 1 }] } }])
      agent.replica.hear(2, entry.identity)
      await network.clock.advance(200)
      assert.deepEqual([agent.replica.version, agent.replica.document.getSection('keys/a')], [2, undefined])
    })

    test.it('serves the configuration to other agents', async () => {
      const network = new fixture.Network()
      const entry = await createEntry(network)
      await addWorkspaces(entry, 1, 1)
      const agents = [network.addAgent(), network.addAgent()]
      for (const agent of agents) {
        await agent.start()
      }
      agents[0]?.replica.hear(1, entry.identity)
      await network.clock.advance(200)
      network.unreachablePorts.add(entry.address.port)
      agents[1]?.replica.hear(1, agents[0]?.identity)
      await network.clock.advance(200)
      assert.equal(agents[1]?.replica.version, 1)
    })

    test.it('learns of a change from the entries responsible for it, without any other message', async () => {
      const network = new fixture.Network()
      const entries = [await createEntry(network), await createEntry(network), await createEntry(network)]
      const agent = network.addAgent()
      await agent.start()
      const [entry] = entries as [fixture.Process]
      await fixture.change(entry, 'op', [
        { name: 'models/m', expectedVersion: 0, body: {} },
        { name: 'servers/s', expectedVersion: 0, body: { ...server, agent: agent.address } }
      ])
      await network.clock.advance(4_000)
      assert.deepEqual([agent.replica.version, agent.replica.isReady], [1, true])
      assert.equal(entries.reduce((sum, { reads }) => sum + reads, 0) <= 1 + 3 * 2, true)
    })

    test.it('applies the next change from a notification, and reads from a peer after a gap', async () => {
      const network = new fixture.Network()
      const entry = await createEntry(network)
      const agent = network.addAgent()
      await agent.start()
      const session = { remote: entry.identity } as Parameters<typeof agent.replica.sessionObserver.notified>[0]
      const notice = (version: number): void => agent.replica.sessionObserver.notified(session, 'configuration.changed', {
        change: { version, operation: 'o', team: 'root', atMs: 0, sections: [] }
      })
      await addWorkspaces(entry, 1, 3)
      notice(1)
      assert.equal(agent.replica.version, 1)
      notice(3)
      assert.equal(agent.replica.version, 1)
      await network.clock.advance(200)
      assert.equal(agent.replica.version, 3)
    })
  })

  test.describe('withdrawn keys', () => {
    test.it('reach the other entries', async () => {
      const network = new fixture.Network()
      const entries = [await createEntry(network), await createEntry(network)] as const
      const key = { id: 'k', hash: 'c'.repeat(64), createdAtMs: 1 }
      await fixture.change(entries[0], 'op-1', [fixture.createWorkspace('a'), { name: 'keys/a', expectedVersion: 0, body: { keys: [key] } }])
      assert.equal(entries[1].replica.document.findKey(key.hash)?.key.withdrawnAtMs, undefined)
      await fixture.change(entries[0], 'op-2', [{ name: 'keys/a', expectedVersion: 1, body: { keys: [{ ...key, withdrawnAtMs: 5 }] } }])
      assert.equal(entries[1].replica.document.findKey(key.hash)?.key.withdrawnAtMs, 5)
    })
  })
})

test.describe('isResponsible', () => {
  test.it('assigns each agent to the same two entries', () => {
    const entries = Array.from({ length: 20 }, (_, index) => ({ host: '10.0.0.1', port: 1 + index }))
    for (let port = 100; port < 150; port += 1) {
      const responsible = entries.filter(own => agentAssignments.isResponsible(own, entries.filter(other => other !== own), { host: '10.0.0.2', port }))
      assert.equal(responsible.length, agentAssignments.responsibleEntries)
    }
  })
})
