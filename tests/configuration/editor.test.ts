import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as changeRequests from '../../src/configuration/change_request.js'
import * as credentials from '../../src/configuration/credentials.js'
import * as directStores from '../support/direct_store.js'
import * as failures from '../../src/contracts/failure.js'
import * as fixture from './fixture.js'
import * as host from '../../src/host/types.js'
import * as layout from '../../src/configuration/layout.js'
import * as storeCore from '../../standins/store_core.js'

async function createTwoEntries (): Promise<[fixture.Process, fixture.Process]> {
  const network = new fixture.Network()
  const entries: [fixture.Process, fixture.Process] = [network.addEntry(), network.addEntry()]
  await entries[0].start()
  await entries[1].start()
  return entries
}

function getAcceptance (result: failures.Result<changeRequests.Decision>): changeRequests.Acceptance {
  const decision = result.unsafeCoerce()
  assert.equal(decision.kind, 'accepted', JSON.stringify(decision))
  return decision.kind === 'accepted' ? decision.acceptance : assert.fail()
}

function getRefusal (result: failures.Result<changeRequests.Decision>): changeRequests.Refusal {
  const decision = result.unsafeCoerce()
  return decision.kind === 'refused' ? decision.refusal : assert.fail('the change was accepted')
}

/** Loses the answer to the write with the given number, before or after the write takes effect. */
class AnswerLosingStore extends directStores.DirectStore {
  writes = 0
  constructor (core: storeCore.StoreCore, private readonly lostWrite: number, private readonly takesEffect: boolean) {
    super(core)
  }

  override async commit (transaction: host.StoreTransaction): ReturnType<directStores.DirectStore['commit']> {
    const isWrite = transaction.success.some(operation => operation.kind !== 'get')
    this.writes += isWrite ? 1 : 0
    if (!isWrite || this.writes !== this.lostWrite) {
      return super.commit(transaction)
    }
    if (this.takesEffect) {
      await super.commit(transaction)
    }
    return failures.fail(failures.createFailure('may_have_run', 'store_answer_lost', ['test']))
  }
}

test.describe('Editor', () => {
  test.describe('routes of plain services', () => {
    const createService = (name: string, ...methods: string[]): { name: string, expectedVersion: number, body: unknown } => ({
      name: `services/${name}`,
      expectedVersion: 0,
      body: { routes: methods.map(method => ({ prefix: '/reports', methods: [method], idempotent: method === 'GET' })) }
    })

    test.it('may share a prefix within a service if their methods differ', async () => {
      const [entry] = await createTwoEntries()
      getAcceptance(await fixture.tryChange(entry, 'op', [createService('a', 'GET', 'POST')]))
    })

    test.it('may not share prefix and method, nor a prefix with another service', async () => {
      const [entry] = await createTwoEntries()
      getRefusal(await fixture.tryChange(entry, 'op-1', [createService('a', 'GET', 'GET')]))
      getRefusal(await fixture.tryChange(entry, 'op-2', [createService('a', 'GET'), createService('b', 'POST')]))
    })
  })

  test.describe('acceptance', () => {
    test.it('changes several sections atomically', async () => {
      const [entry] = await createTwoEntries()
      const edits = [fixture.createWorkspace('a'), { name: 'keys/a', expectedVersion: 0, body: { keys: [] } }]
      const acceptance = getAcceptance(await fixture.tryChange(entry, 'op', edits))
      assert.deepEqual(acceptance, {
        version: 1, sections: [{ name: 'workspaces/a', version: 1 }, { name: 'keys/a', version: 1 }], repeated: false
      })
      assert.equal(entry.replica.document.getWorkspace('a')?.allowance.burstTokens, 1000)
    })

    test.it('lists every mistake and changes nothing', async () => {
      const [entry] = await createTwoEntries()
      const refusal = getRefusal(await fixture.tryChange(entry, 'op', [
        fixture.createWorkspace('a', { models: ['missing'] }),
        { name: 'workspaces/b', expectedVersion: 0, body: { allowance: { tokensPerSecond: -1 }, extra: 1 } },
        { name: 'keys/c', expectedVersion: 0, body: { keys: [] } },
        { name: 'gardens/d', expectedVersion: 0, body: {} }
      ]))
      const places = refusal.mistakes.map(mistake => `${mistake.section}:${mistake.path}`)
      assert.deepEqual(places, [
        'workspaces/b:allowance.tokensPerSecond', 'workspaces/b:allowance.burstTokens', 'workspaces/b:',
        'gardens/d:', 'workspaces/a:models.0', 'keys/c:'
      ])
      assert.equal(refusal.failure.verdict, 'not_run')
      assert.equal(entry.replica.version, 0)
    })

    test.it('refuses to delete a section that another section refers to', async () => {
      const [entry] = await createTwoEntries()
      await fixture.change(entry, 'op-1', [{ name: 'models/m', expectedVersion: 0, body: {} }, fixture.createWorkspace('a', { models: ['m'] })])
      const refusal = getRefusal(await fixture.tryChange(entry, 'op-2', [{ name: 'models/m', expectedVersion: 1 }]))
      assert.equal(refusal.mistakes[0]?.path, 'models.0')
    })

    test.it('refuses to make a withdrawn key valid again', async () => {
      const [entry] = await createTwoEntries()
      const key = { id: 'k', hash: 'a'.repeat(64), createdAtMs: 1 }
      await fixture.change(entry, 'op-1', [
        fixture.createWorkspace('a'), { name: 'keys/a', expectedVersion: 0, body: { keys: [{ ...key, withdrawnAtMs: 2 }] } }
      ])
      const refusal = getRefusal(await fixture.tryChange(entry, 'op-2', [{ name: 'keys/a', expectedVersion: 1, body: { keys: [key] } }]))
      assert.equal(refusal.mistakes[0]?.path, 'keys.0.withdrawnAtMs')
    })

    test.it('continues the version number of a deleted section when it is created again', async () => {
      const [entry] = await createTwoEntries()
      await fixture.change(entry, 'op-1', [fixture.createWorkspace('a')])
      await fixture.change(entry, 'op-2', [{ name: 'workspaces/a', expectedVersion: 1 }])
      const acceptance = getAcceptance(await fixture.tryChange(entry, 'op-3', [fixture.createWorkspace('a')]))
      assert.deepEqual(acceptance.sections, [{ name: 'workspaces/a', version: 3 }])
    })

    test.it('keeps a bounded number of changes in the store', async () => {
      const [entry] = await createTwoEntries()
      const { core } = entry.network
      core.commit({ compare: [], success: [{ kind: 'put', key: layout.headKey, value: `{"version":${layout.keptChanges}}` }, { kind: 'put', key: layout.getChangeKey(1), value: '{}' }], failure: [] })
      const other = entry.network.addEntry()
      await other.start()
      await fixture.change(other, 'op', [fixture.createWorkspace('a')])
      assert.equal(core.read(layout.getChangeKey(1)), undefined)
    })
  })

  test.describe('access rights', () => {
    const credential = 'team-credential-of-drafting'
    const team = { credentialHash: credentials.hashSecret(credential), sections: ['workspaces/draft-*', 'policy'] }

    test.it('lets a team change its own sections only', async () => {
      const [entry, other] = await createTwoEntries()
      await fixture.change(entry, 'op-1', [{ name: 'teams/drafting', expectedVersion: 0, body: team }])
      const own = await fixture.tryChange(other, 'op-2', [fixture.createWorkspace('draft-1')], credential)
      assert.equal(getAcceptance(own).version, 2)
      assert.equal(entry.replica.document.getSection('workspaces/draft-1')?.owner, 'drafting')
      const foreign = await fixture.tryChange(other, 'op-3', [fixture.createWorkspace('draft-2'), fixture.createWorkspace('x')], credential)
      assert.equal(getRefusal(foreign).failure.code, 'section_forbidden')
      assert.equal(entry.replica.document.getWorkspace('draft-2'), undefined)
    })

    test.it('never lets a team change teams', async () => {
      const [entry] = await createTwoEntries()
      await fixture.change(entry, 'op-1', [{ name: 'teams/t', expectedVersion: 0, body: { ...team, sections: ['*'] } }])
      const result = await fixture.tryChange(entry, 'op-2', [{ name: 'teams/t', expectedVersion: 1 }], credential)
      assert.equal(getRefusal(result).failure.code, 'section_forbidden')
    })

    test.it('refuses a credential that another entry has just removed', async () => {
      const [entry, other] = await createTwoEntries()
      await fixture.change(entry, 'op-1', [{ name: 'teams/t', expectedVersion: 0, body: team }])
      other.replica.stop()
      await fixture.change(entry, 'op-2', [{ name: 'teams/t', expectedVersion: 1 }])
      const result = await fixture.tryChange(other, 'op-3', [fixture.createWorkspace('draft-1')], credential)
      assert.equal(getRefusal(result).failure.code, 'operator_unknown')
    })
  })

  test.describe('races', () => {
    test.it('accepts changes of different sections through two entries at once', async () => {
      const [entry, other] = await createTwoEntries()
      const results = await Promise.all(Array.from({ length: 6 }, (_, index) =>
        fixture.tryChange(index % 2 === 0 ? entry : other, `op-${index}`, [fixture.createWorkspace(`w${index}`)])))
      const versions = results.map(result => getAcceptance(result).version).sort()
      assert.deepEqual(versions, [1, 2, 3, 4, 5, 6])
    })

    test.it('accepts one of two concurrent changes of a section, and lists what has changed in the refusal of the other', async () => {
      const [entry, other] = await createTwoEntries()
      await fixture.change(entry, 'op-0', [fixture.createWorkspace('a')])
      const edit = (title: string): changeRequests.Edit => ({ name: 'workspaces/a', expectedVersion: 1, body: { title, allowance: fixture.allowance } })
      const results = await Promise.all([
        fixture.tryChange(entry, 'op-1', [edit('one')]), fixture.tryChange(other, 'op-2', [edit('two')])
      ])
      const decisions = results.map(result => result.unsafeCoerce())
      assert.deepEqual(decisions.map(decision => decision.kind).sort(), ['accepted', 'refused'])
      const refused = decisions.find(decision => decision.kind === 'refused')
      const [stale] = refused?.kind === 'refused' ? refused.refusal.stale : []
      assert.equal(stale?.version, 2)
      assert.deepEqual(stale?.since.map(({ sectionVersion, differences }) => [sectionVersion, differences[0]?.path]), [[2, 'title']])
    })

    test.it('refuses the change without access rights, whichever of two concurrent changes comes first', async () => {
      const [entry, other] = await createTwoEntries()
      const credential = 'credential-of-filing'
      const team = { credentialHash: credentials.hashSecret(credential), sections: ['services/*'] }
      await fixture.change(entry, 'op-0', [fixture.createWorkspace('a'), { name: 'teams/filing', expectedVersion: 0, body: team }])
      const edit = { name: 'workspaces/a', expectedVersion: 1, body: { allowance: fixture.allowance } }
      const [foreign, own] = await Promise.all([
        fixture.tryChange(other, 'op-1', [edit], credential), fixture.tryChange(entry, 'op-2', [edit])
      ])
      assert.deepEqual([getRefusal(foreign).failure.code, getRefusal(foreign).failure.verdict], ['section_forbidden', 'not_run'])
      assert.equal(getAcceptance(own).version, 2)
    })

    test.it('keeps the rules across sections when a section and a reference to it change concurrently', async () => {
      const [entry, other] = await createTwoEntries()
      await fixture.change(entry, 'op-0', [{ name: 'models/m', expectedVersion: 0, body: {} }])
      const results = await Promise.all([
        fixture.tryChange(entry, 'op-1', [{ name: 'models/m', expectedVersion: 1 }]),
        fixture.tryChange(other, 'op-2', [fixture.createWorkspace('a', { models: ['m'] })])
      ])
      assert.deepEqual(results.map(result => result.unsafeCoerce().kind).sort(), ['accepted', 'refused'])
    })
  })

  test.describe('lost answers', () => {
    for (const takesEffect of [true, false]) {
      test.it(`settles a commit whose answer is lost ${takesEffect ? 'after' : 'before'} it takes effect`, async () => {
        const network = new fixture.Network()
        const entry = network.addEntry(new AnswerLosingStore(network.core, 1, takesEffect))
        await entry.start()
        const acceptance = getAcceptance(await fixture.tryChange(entry, 'op', [fixture.createWorkspace('a')]))
        assert.deepEqual([acceptance.version, acceptance.repeated], [1, false])
        await network.clock.advance(0)
        assert.equal(entry.replica.version, 1)
      })
    }

    test.it('returns the first outcome to a repeated call through another entry', async () => {
      const [entry, other] = await createTwoEntries()
      await fixture.change(entry, 'op', [fixture.createWorkspace('a')])
      await fixture.change(entry, 'op-2', [{ name: 'workspaces/a', expectedVersion: 1 }])
      const acceptance = getAcceptance(await fixture.tryChange(other, 'op', [fixture.createWorkspace('a')]))
      assert.deepEqual([acceptance.version, acceptance.repeated], [1, true])
      assert.equal(other.replica.document.getWorkspace('a'), undefined)
    })

    test.it('refuses another change with the same operation', async () => {
      const [entry, other] = await createTwoEntries()
      await fixture.change(entry, 'op', [fixture.createWorkspace('a')])
      const result = await fixture.tryChange(other, 'op', [fixture.createWorkspace('b')])
      assert.equal(getRefusal(result).failure.code, 'operation_reused')
    })

    test.it('says may_have_run when the store goes down after the answer is lost', async () => {
      const network = new fixture.Network()
      const store = new AnswerLosingStore(network.core, 1, true)
      const entry = network.addEntry(store)
      await entry.start()
      const pending = fixture.tryChange(entry, 'op', [fixture.createWorkspace('a')])
      while (store.writes === 0) {
        await Promise.resolve()
      }
      store.setDown(true)
      assert.equal((await pending).swap().unsafeCoerce().verdict, 'may_have_run')
      store.setDown(false)
      assert.equal(getAcceptance(await fixture.tryChange(entry, 'op', [fixture.createWorkspace('a')])).repeated, true)
    })

    test.it('says not_run when the store is down from the start', async () => {
      const [entry] = await createTwoEntries()
      const store = entry.store as directStores.DirectStore
      store.setDown(true)
      const result = await fixture.tryChange(entry, 'op', [fixture.createWorkspace('a')])
      assert.equal(result.swap().unsafeCoerce().verdict, 'not_run')
    })
  })
})
