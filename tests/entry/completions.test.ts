import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fixtures from './fixture.js'

test.describe('completions', { timeout: 60_000 }, () => {
  let fixture: fixtures.Fixture
  test.beforeEach(async () => {
    fixture = await fixtures.Fixture.create()
  })
  test.afterEach(() => {
    fixture.close()
    assert.deepEqual(fixture.log.errors, [])
  })

  test.it('answers whole', async () => {
    const answer = await fixture.complete({ max_tokens: 5 })
    assert.equal(answer.status, 200)
    const body = JSON.parse(answer.body) as { choices: { text: string }[], usage: { total_tokens: number } }
    assert.equal(body.choices[0]?.text, 'Hello there')
    assert.equal(body.usage.total_tokens, 5)
    await fixture.waitUntilIdle()
  })

  test.it('streams, and ends with [DONE]', async () => {
    const answer = await fixture.complete({ stream: true })
    assert.equal(answer.headers['content-type'], 'text/event-stream; charset=utf-8')
    assert.equal(fixtures.readStream(answer.body), 'Hello there')
    assert.match(answer.body, /data: \[DONE\]\n\n$/)
    await fixture.waitUntilIdle()
  })

  test.it('formats chat messages as a prompt', async () => {
    const body = JSON.stringify({ model: 'm', messages: [{ role: 'user', content: 'Hi' }] })
    const answer = await fixture.send({ path: '/v1/chat/completions', body })
    assert.match(answer.body, /"role":"assistant","content":"Hello there"/)
    const task = fixture.world.listStarts('prefill')[0]?.start.task
    assert.equal(task?.kind === 'prefill' && task.generation.prompt, '<|user|>\nHi\n<|assistant|>\n')
  })

  test.it('charges an upper bound and settles once with the engine\'s usage', async () => {
    await fixture.complete({ prompt: [1, 2, 3], max_tokens: 7 })
    assert.deepEqual(fixture.allowances.charged.map(charge => charge.tokens), [10])
    assert.deepEqual(fixture.allowances.settled, [5])
  })
})
