import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as changeRequests from '../../src/configuration/change_request.js'
import * as failures from '../../src/contracts/failure.js'
import * as identities from '../../src/contracts/identity.js'
import * as standinClient from '../support/standin_client.js'
import * as stores from '../../standins/store.js'
import * as wired from '../support/wired_process.js'

const allowance = { tokensPerSecond: 1, burstTokens: 1 }

test.describe('Configuration over HTTP store and links', () => {
  let store: stores.Store
  let storeUrl: string
  const entries: identities.Address[] = []
  const processes: wired.WiredProcess[] = []
  test.beforeEach(async () => {
    store = new stores.Store()
    storeUrl = `http://127.0.0.1:${await store.listen('127.0.0.1', 0)}`
  })
  test.afterEach(async () => {
    for (const process of processes.splice(0)) {
      await process.stop()
    }
    entries.length = 0
    await store.close()
  })

  async function startEntry (node: string, options: Partial<wired.WiredOptions> = {}): Promise<wired.WiredProcess> {
    const entry = await wired.WiredProcess.start({ node, storeUrl, entries, ...options })
    entries.push(entry.address)
    processes.push(entry)
    return entry
  }

  async function startAgent (node: string): Promise<wired.WiredProcess> {
    const agent = await wired.WiredProcess.start({ node, entries: [] })
    processes.push(agent)
    return agent
  }

  async function change (entry: wired.WiredProcess, operation: string, edits: readonly changeRequests.Edit[]): Promise<failures.Result<changeRequests.Decision>> {
    const request = changeRequests.createChangeRequest({ operation, edits: [...edits] })
    const result = await entry.editor?.change(wired.administratorCredential, request)
    return result ?? assert.fail('no editor')
  }

  function setFaults (faults: object): Promise<unknown> {
    return standinClient.post(`${storeUrl}/_faults`, faults)
  }

  const workspace = (name: string): changeRequests.Edit => ({ name: `workspaces/${name}`, expectedVersion: 0, body: { allowance } })

  test.it('reaches other entries by their watches on the store, and agents through the entries', async () => {
    const first = await startEntry('e1')
    await first.replica.whenReady()
    const second = await startEntry('e2', { watchRenewMs: 100 })
    await second.replica.whenReady()
    const agent = await startAgent('a1')
    const decision = (await change(first, 'op-1', [
      { name: 'models/m', expectedVersion: 0, body: {} },
      { name: 'servers/s', expectedVersion: 0, body: { role: 'decode', zone: 'z', agent: agent.address, models: ['m'], memoryPieces: 1 } },
      workspace('a'),
      { name: 'keys/a', expectedVersion: 0, body: { keys: [] } }
    ])).unsafeCoerce()
    assert.equal(decision.kind, 'accepted')
    await second.reach(1)
    await agent.reach(1)
    assert.equal(agent.replica.document.getSection('keys/a'), undefined)
    await change(second, 'op-2', [workspace('b')])
    await agent.reach(2)
    await first.reach(2)
  })

  test.it('resolves the outcome of a commit whose answer is lost', async () => {
    const entry = await startEntry('e1')
    await entry.replica.whenReady()
    await setFaults({ lostAnswers: 2 })
    const decision = (await change(entry, 'op', [workspace('a')])).unsafeCoerce()
    assert.deepEqual(decision.kind === 'accepted' && [decision.acceptance.version, decision.acceptance.repeated], [1, false])
    await entry.reach(1)
  })

  test.it('does not take the document from a store that answers with stale range reads', async () => {
    const entry = await startEntry('e1')
    await entry.replica.whenReady()
    await setFaults({ staleReads: 'all' })
    await change(entry, 'op', [workspace('a')])
    entries.length = 0
    const late = await startEntry('e2')
    await setFaults({ staleReads: 'none' })
    await late.replica.whenReady()
    assert.equal(late.replica.version, 1)
  })

  test.it('loads the document from another entry while the store does not answer', async () => {
    const entry = await startEntry('e1')
    await entry.replica.whenReady()
    await change(entry, 'op', [workspace('a')])
    await setFaults({ outage: 'hang' })
    const late = await startEntry('e2', { storeTimeoutMs: 200 })
    await late.replica.whenReady()
    assert.equal(late.replica.version, 1)
    const result = await change(late, 'op-2', [workspace('b')])
    assert.equal(result.swap().unsafeCoerce().verdict, 'not_run')
  })
})
