import * as assert from 'node:assert/strict'
import * as crypto from 'node:crypto'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'
import * as deployments from './deployment.js'

/** Longer than every lease in the store, in milliseconds. */
const longOutageMs = 7_000

test.describe('The platform\'s store', () => {
  let deployment: deployments.Deployment

  test.before(async () => {
    deployment = await deployments.Deployment.start()
  })

  test.after(() => deployment.stop())

  const setFaults = (faults: object): Promise<void> => deployment.fleet.store.setFaults(faults)

  async function serve (): Promise<void> {
    const asks = [0, 1].flatMap(entry => ['grants', 'surf'].map(workspace => ({ entry, workspace, tokens: 2 })))
    const answers = await Promise.all(asks.map(ask => deployment.complete(ask).answer))
    assert.deepEqual(answers.map(({ outcome, code }) => ({ outcome, code })), asks.map(() => ({ outcome: 'whole', code: undefined })))
  }

  async function serveFor (durationMs: number): Promise<void> {
    const untilMs = performance.now() + durationMs
    while (performance.now() < untilMs) {
      await serve()
      await timers.setTimeout(250)
    }
  }

  for (const outage of ['refuse', 'hang'] as const) {
    test.it(`that is down for longer than every lease (${outage}) refuses nobody inside the rate`, async () => {
      await setFaults({ outage })
      await serveFor(longOutageMs)
      await setFaults({ outage: 'none' })
      await serve()
      await deployment.check()
    })
  }

  test.it('that is slow refuses nobody inside the rate', async () => {
    await setFaults({ delayMs: 1_000 })
    await serveFor(4_000)
    await setFaults({ delayMs: 0 })
    await deployment.check()
  })

  test.it('that loses the answer of a write takes the change once', async () => {
    const edit = { name: 'workspaces/one', expectedVersion: 0, body: { title: 'One', allowance: { tokensPerSecond: 1, burstTokens: 1 } } }
    await setFaults({ lostAnswers: 1 })
    const operation = crypto.randomUUID()
    const first = await deployment.change([edit], { operation })
    const again = await deployment.change([edit], { operation, entry: 1 })
    assert.ok([200, 504].includes(first.status), JSON.stringify(first.body))
    assert.deepEqual([again.status, again.body.repeated, again.body.sections], [200, true, [{ name: 'workspaces/one', version: 1 }]])
    await setFaults({ lostAnswers: 0 })
    await deployment.check()
  })

  test.it('takes one of several racing changes of a section, and all changes of different ones', async () => {
    const createEdit = (name: string, title: string): { name: string, expectedVersion: number, body: object } => {
      return { name, expectedVersion: 0, body: { title, allowance: { tokensPerSecond: 1, burstTokens: 1 } } }
    }
    const numbers = [0, 1, 2, 3, 4, 5]
    const same = await Promise.all(numbers.map(number => {
      return deployment.change([createEdit('workspaces/same', `By ${number}`)], { entry: number % 2 })
    }))
    assert.deepEqual(same.map(({ status }) => status).sort(), [200, 409, 409, 409, 409, 409])
    const different = await Promise.all(numbers.map(number => {
      return deployment.change([createEdit(`workspaces/different-${number}`, 'Own')], { entry: number % 2 })
    }))
    assert.deepEqual(different.map(({ status }) => status), numbers.map(() => 200))
    await assertSame('workspaces/same')
  })

  test.it('takes nothing from a team without the right to a section, through either entry', async () => {
    const credential = crypto.randomBytes(24).toString('hex')
    const credentialHash = crypto.createHash('sha256').update(credential).digest('hex')
    const team = { name: 'teams/coast', expectedVersion: 0, body: { credentialHash, sections: ['workspaces/surf'] } }
    assert.equal((await deployment.change([team])).status, 200)
    const stolen = { name: 'workspaces/stolen', expectedVersion: 0, body: { allowance: { tokensPerSecond: 1, burstTokens: 1 } } }
    for (const entry of [0, 1]) {
      await deployment.waitFor('the team is known', async () => {
        return (await deployment.operate(entry, 'GET', '/admin/v1/sections', undefined, credential)).status === 200
      }, deployments.forceLimitMs)
      assert.equal((await deployment.change([stolen], { entry, credential })).status, 403)
      assert.equal((await deployment.operate(entry, 'GET', '/admin/v1/sections/workspaces/stolen')).status, 404)
    }
  })

  test.it('that goes down just after a key was withdrawn leaves it withdrawn everywhere, also with an entry replaced', async () => {
    await setFaults({ staleReads: 'serializable' })
    await deployment.withdraw('surf', 0)
    await setFaults({ outage: 'refuse' })
    await waitForRefusal(1)
    await deployment.fleet.restart('entry-b-1')
    await assertNeverServed(1, 2_000)
    await setFaults({ outage: 'none' })
    await deployment.waitForReady()
    await waitForRefusal(1)
    await assertNeverServed(1, 1_000)
    await setFaults({ staleReads: 'none' })
    await deployment.check()
  })

  const askWithdrawn = async (entry: number): Promise<string | undefined> => {
    const answer = await deployment.complete({ entry, workspace: 'surf', tokens: 1 }).answer
    return answer.outcome === 'whole' ? 'whole' : answer.code
  }

  const waitForRefusal = (entry: number): Promise<void> => deployment.waitFor('the key is refused', async () => {
    return await askWithdrawn(entry) === 'key_withdrawn'
  }, deployments.forceLimitMs)

  async function assertNeverServed (entry: number, durationMs: number): Promise<void> {
    const untilMs = performance.now() + durationMs
    while (performance.now() < untilMs) {
      assert.notEqual(await askWithdrawn(entry), 'whole')
      await timers.setTimeout(50)
    }
  }

  /** Waits until both entries show the same body of a section. */
  const assertSame = (name: string): Promise<void> => deployment.waitFor('both entries show the same', async () => {
    const read = (entry: number): Promise<any> => deployment.operate(entry, 'GET', `/admin/v1/sections/${name}`)
    const [first, second] = await Promise.all([read(0), read(1)])
    return first.status === 200 && JSON.stringify(first.body) === JSON.stringify(second.body)
  }, deployments.forceLimitMs)
})
