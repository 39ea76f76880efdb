import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'
import * as deployments from './deployment.js'

/** Longer than a session lease and a keeper's lease, in milliseconds. */
const frozenMs = 6_000

test.describe('Processes that die or freeze', () => {
  let deployment: deployments.Deployment

  test.before(async () => {
    deployment = await deployments.Deployment.start()
  })

  test.after(() => deployment.stop())

  /** Waits until requests through both entries are answered whole again. */
  async function waitForService (): Promise<void> {
    await deployment.waitForReady()
    await deployment.waitFor('both entries serve', async () => {
      const answers = await Promise.all([0, 1].map(entry => deployment.complete({ entry, tokens: 2 }).answer))
      return answers.every(answer => answer.outcome === 'whole')
    })
  }

  test.it('an entry killed in the middle of streams leaves nothing held', async () => {
    const cut = deployment.completeAll(4, { entry: 1, tokens: 400 })
    const kept = deployment.completeAll(2, { entry: 0, tokens: 100 })
    await Promise.all([...cut, ...kept].map(exchange => exchange.firstText))
    await deployment.fleet.getProcess('entry-b-1').kill()
    const answers = await Promise.all(kept.map(exchange => exchange.answer))
    assert.deepEqual(answers.map(answer => answer.outcome), ['whole', 'whole'])
    await deployment.waitFor('engines hold nothing', async () => await deployment.countHeldPieces() === 0)
    await deployment.fleet.restart('entry-b-1')
    await waitForService()
    await deployment.check(cut.length)
  })

  test.it('an agent killed in the middle of streams is told to every caller', async () => {
    const streams = [0, 1].map(entry => deployment.complete({ entry, tokens: 400 }))
    await Promise.all(streams.map(stream => stream.firstText))
    await deployment.fleet.restart('decode-b-1.agent')
    const answers = await Promise.all(streams.map(stream => stream.answer))
    assert.deepEqual(answers.map(answer => answer.outcome), ['failed', 'failed'])
    assert.deepEqual(answers.filter(answer => answer.verdict === 'not_run'), [])
    await deployment.waitFor('engines hold nothing', async () => await deployment.countHeldPieces() === 0)
    await waitForService()
    await deployment.check()
  })

  test.it('an engine killed in the middle of streams is told to every caller', async () => {
    const streams = [0, 1].map(entry => deployment.complete({ entry, tokens: 400 }))
    await Promise.all(streams.map(stream => stream.firstText))
    await deployment.fleet.restart('decode-b-1.server')
    const answers = await Promise.all(streams.map(stream => stream.answer))
    assert.deepEqual(answers.map(answer => answer.outcome), ['failed', 'failed'])
    assert.deepEqual(answers.filter(answer => answer.verdict === 'not_run'), [])
    await waitForService()
    await deployment.check()
  })

  test.it('an entry frozen past its session lease holds nothing, and answers nobody twice afterwards', async () => {
    const streams = deployment.completeAll(3, { entry: 1, tokens: 400 })
    await Promise.all(streams.map(stream => stream.firstText))
    const entry = deployment.fleet.getProcess('entry-b-1')
    entry.freeze()
    await deployment.waitFor('engines hold nothing', async () => await deployment.countHeldPieces() === 0)
    entry.resume()
    const answers = await Promise.all(streams.map(stream => stream.answer))
    assert.deepEqual(answers.map(answer => answer.outcome), ['failed', 'failed', 'failed'])
    await waitForService()
    await deployment.check()
  })

  test.it('an entry frozen past its keeper lease refuses nobody at the other entry', async () => {
    const entry = deployment.fleet.getProcess('entry-b-1')
    entry.freeze()
    const untilMs = performance.now() + frozenMs
    await waitForOther()
    while (performance.now() < untilMs) {
      await timers.setTimeout(500)
      const answers = await Promise.all(['grants', 'surf'].map(workspace => deployment.complete({ workspace, tokens: 2 }).answer))
      assert.deepEqual(answers.map(answer => answer.outcome), ['whole', 'whole'])
    }
    entry.resume()
    await waitForService()
    await deployment.check()
  })

  /** Waits until the other entry has taken over what the frozen one kept. */
  const waitForOther = (): Promise<void> => deployment.waitFor('the other entry serves both workspaces', async () => {
    const answers = await Promise.all(['grants', 'surf'].map(workspace => deployment.complete({ workspace, tokens: 2 }).answer))
    return answers.every(answer => answer.outcome === 'whole')
  })
})
