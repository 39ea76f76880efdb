import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as deployments from './deployment.js'

test.describe('The whole path', () => {
  let deployment: deployments.Deployment

  test.before(async () => {
    deployment = await deployments.Deployment.start()
  })

  test.after(() => deployment.stop())

  test.it('streams the whole text of the engine, through either entry', async () => {
    const exchanges = [0, 1].map(entry => deployment.complete({ entry }))
    for (const exchange of exchanges) {
      const answer = await exchange.answer
      assert.deepEqual([answer.status, answer.outcome], [200, 'whole'])
    }
    const counts = await deployment.check()
    assert.equal(counts.answeredOnce, counts.asked)
  })

  test.it('answers whole and as chat', async () => {
    assert.equal((await deployment.complete({ isStreamed: false }).answer).outcome, 'whole')
    const chat = { model: 'model', messages: [{ role: 'user', content: deployment.createPrompt() }], max_tokens: 4 }
    const url = `${deployment.getEntryUrl(0)}/v1/chat/completions`
    const answer = await deployment.send(undefined, undefined, { url, key: deployment.getKey(), body: chat }).answer
    assert.deepEqual([answer.outcome, answer.text.trim().split(' ').length], ['whole', 4])
    await deployment.check()
  })

  test.it('calls a plain service once, and an open route without a key', async () => {
    const answer = await deployment.call({ slot: 'dawn' }).answer
    assert.equal(answer.status, 201)
    const open = await deployment.call({ text: 'swell' }, { key: undefined, path: '/notices' }).answer
    assert.equal(open.status, 201)
    const closed = await deployment.call({ slot: 'noon' }, { key: undefined }).answer
    assert.deepEqual([closed.status, closed.verdict], [401, 'not_run'])
    await deployment.check()
  })

  test.it('gives each of two workspaces its own text when both ask at once', async () => {
    const exchanges = ['grants', 'surf', 'grants', 'surf', 'grants', 'surf'].map((workspace, index) => {
      return deployment.complete({ workspace, entry: index % 2, tokens: 20 + index })
    })
    const answers = await Promise.all(exchanges.map(exchange => exchange.answer))
    assert.deepEqual(answers.map(answer => answer.outcome), exchanges.map(() => 'whole'))
    await deployment.check()
  })

  test.it('refuses a withdrawn key through both entries while a stream under way is ended or finished whole', async () => {
    const streams = [0, 1].map(entry => deployment.complete({ entry, workspace: 'surf', tokens: 200 }))
    await Promise.all(streams.map(stream => stream.firstText))
    await deployment.withdraw('surf', 0)
    await deployment.waitFor('both entries refuse the key', async () => {
      const answers = await Promise.all([0, 1].map(entry => deployment.call({ late: entry }, { entry, key: deployment.getKey('surf') }).answer))
      return answers.every(answer => answer.code === 'key_withdrawn' && answer.verdict === 'not_run')
    }, deployments.forceLimitMs)
    const ended = await Promise.all(streams.map(stream => stream.answer))
    assert.deepEqual(ended.map(answer => answer.outcome).filter(outcome => outcome === 'broken'), [])
    await deployment.check()
  })
})
