import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as failures from '../../src/contracts/failure.js'
import * as fakes from './fake_agents.js'
import * as fixtures from './fixture.js'
import * as worlds from './world.js'

test.describe('requests that are refused, retried or sent elsewhere', { timeout: 60_000 }, () => {
  let fixture: fixtures.Fixture
  let world: worlds.World
  test.beforeEach(async () => {
    fixture = await fixtures.Fixture.create()
    world = fixture.world
  })
  test.afterEach(() => fixture.finish())

  test.describe('a server that is leaving', () => {
    test.it('gets no requests after it has sent the notification', async () => {
      const [first] = world.listAgents('prefill') as [fakes.FakeAgent]
      first.link.deliver('server.leaving', { load: { ...fakes.createLoad(), draining: true } })
      for (let request = 0; request < 5; request += 1) {
        await fixture.complete({})
      }
      assert.deepEqual(first.calls, [])
    })
  })

  test.describe('a caller that leaves while its allowance is charged', () => {
    test.it('has its grant settled with 0 tokens', async () => {
      const request = fixture.open({ path: '/v1/completions' })
      request.on('error', () => {})
      const grant = fixture.allowances.delay()
      request.end('{"model":"m","prompt":"Hi"}')
      await fixture.waitUntil(() => fixture.allowances.charged.length === 1)
      request.destroy()
      await fixture.waitUntil(() => fixture.entry.getFigures()['requestsInFlight'] === 0)
      grant()
      await fixture.waitUntil(() => fixture.allowances.settled.length === 1)
      assert.deepEqual(fixture.allowances.settled, [0])
      assert.deepEqual(world.listStarts(''), [])
    })
  })

  test.describe('an exhausted allowance', () => {
    test.it('is reported with a retry time, and nothing runs', async () => {
      fixture.allowances.refusal = failures.createFailure('not_run', 'allowance_exhausted', ['a'], 2500)
      const answer = await fixture.complete({})
      assert.deepEqual(fixtures.readFailure(answer), [429, 'allowance_exhausted', 'not_run'])
      assert.equal(answer.headers['retry-after'], '3')
      assert.deepEqual(world.listStarts(''), [])
    })
  })

  test.describe('retries', () => {
    test.it('are limited to a fraction of the requests when every decode fails', async () => {
      const failure = failures.createFailure('ran', 'server_failed', ['s', 'x'])
      world.setScript('decode', (agent, { attempt }) => agent.emit(attempt, { kind: 'failed', offset: 0, failure }))
      for (let request = 0; request < 50; request += 1) {
        const answer = await fixture.complete({})
        assert.deepEqual(fixtures.readFailure(answer), [502, 'server_failed', 'ran'])
      }
      assert.ok(world.listStarts('decode').length <= 50 + 20 + 5)
    })
  })

  test.describe('regions', () => {
    test.it('of other entries are used only if the local region has no usable server', async () => {
      const changeServer = (name: string, changes: object): void => {
        world.change(`servers/${name}`, { ...world.document.getServer(name), ...changes })
      }
      changeServer('prefill1', { region: 'far' })
      for (let request = 0; request < 5; request += 1) {
        await fixture.complete({})
      }
      assert.deepEqual(world.listAgents('prefill1')[0]?.calls, [])
      changeServer('prefill2', { state: 'leaving' })
      assert.equal((await fixture.complete({})).status, 200)
    })
  })

  test.describe('refusals', () => {
    test.it('are sent immediately, with the predicted retry time', async () => {
      for (const agent of world.listAgents('prefill')) {
        agent.waitMs = 5000
      }
      const answer = await fixture.complete({})
      assert.deepEqual(fixtures.readFailure(answer), [503, 'target_unreachable', 'not_run'])
      assert.equal(answer.headers['retry-after'], '4')
      assert.deepEqual(fixture.allowances.settled, [0])
      await fixture.waitUntilIdle()
    })

    test.it('are not sent for connections that broke while idle and have been replaced', async () => {
      world.loseMessages('prefill', 'work.offer', 'call', 2)
      world.loseMessages('decode', 'work.offer', 'answer', 2)
      assert.equal((await fixture.complete({})).status, 200)
    })

    test.it('say not_run when no server can be reached', async () => {
      for (const link of world.pool.list()) {
        link.isOpen = false
      }
      const answer = await fixture.complete({})
      assert.deepEqual(fixtures.readFailure(answer), [503, 'no_server', 'not_run'])
      assert.equal(answer.headers['retry-after'], '1')
    })
  })
})
