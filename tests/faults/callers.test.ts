import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as callers from './caller.js'
import * as deployments from './deployment.js'

/** Prompt tokens whose prefill takes about half a second. */
const longPromptTokens = 4_000

/** Prompt tokens of which eight prefills, one after the other, still meet the target for the first token. */
const queuedPromptTokens = 1_000

test.describe('Callers that leave', () => {
  let deployment: deployments.Deployment

  test.before(async () => {
    deployment = await deployments.Deployment.start()
  })

  test.after(() => deployment.stop())

  const readServer = (name: string): Promise<any> => deployment.fleet.getServer(name).standin.readState(true)

  const createPrompt = (tokens: number): string => deployment.createPrompt().padEnd(4 * tokens, ' of costs')

  /** Lets all callers leave and checks that nothing is held for them. */
  async function leaveAll (exchanges: readonly callers.Exchange[]): Promise<void> {
    for (const exchange of exchanges) {
      exchange.leave()
    }
    await deployment.waitForRelease()
    const counts = await deployment.check()
    assert.ok(counts.left >= exchanges.length, JSON.stringify(counts))
  }

  test.it('during prefill leave no memory held', async () => {
    const exchanges = [0, 1].map(entry => deployment.complete({ entry, isStreamed: entry === 0 }, createPrompt(longPromptTokens)))
    await deployment.waitFor('a prefill runs', async () => (await readServer('prefill-a-1')).memory.used > 0)
    await leaveAll(exchanges)
  })

  test.it('in the queue leave no memory held', async () => {
    const exchanges = Array.from({ length: 8 }, (_, index) => {
      return deployment.complete({ entry: index % 2 }, createPrompt(queuedPromptTokens))
    })
    await deployment.waitFor('a prefill runs', async () => (await readServer('prefill-a-1')).memory.used > 0)
    await leaveAll(exchanges)
  })

  test.it('during a stalled transfer leave no memory held', async () => {
    const { standin } = deployment.fleet.getServer('prefill-a-1')
    await standin.setFaults({ stallTransfers: true })
    const exchange = deployment.complete()
    await deployment.waitFor('a transfer is stalled', async () => (await readServer('prefill-a-1')).transfers.out > 0)
    exchange.leave()
    await deployment.waitForRelease()
    await standin.setFaults({ stallTransfers: false })
    await deployment.check()
  })

  test.it('during decode leave no memory held, streamed or not', async () => {
    const exchanges = [0, 1].map(entry => deployment.complete({ entry, tokens: 400 }))
    exchanges.push(deployment.complete({ tokens: 400, isStreamed: false }))
    await Promise.all(exchanges.slice(0, 2).map(exchange => exchange.firstText))
    await deployment.waitFor('all decode', async () => (await readServer('decode-b-1')).running === exchanges.length)
    await leaveAll(exchanges)
  })

  test.it('all at once with an entry that is killed leave no memory held', async () => {
    const exchanges = deployment.completeAll(6, { entry: 1, tokens: 400 })
    const others = deployment.completeAll(3, { entry: 0 })
    await Promise.all(exchanges.map(exchange => exchange.firstText))
    for (const exchange of exchanges.slice(0, 3)) {
      exchange.leave()
    }
    await deployment.fleet.getProcess('entry-b-1').kill()
    await Promise.all(others.map(exchange => exchange.answer))
    await deployment.waitFor('engines hold nothing', async () => await deployment.countHeldPieces() === 0)
    await deployment.fleet.restart('entry-b-1')
    await deployment.check(3)
  })
})
