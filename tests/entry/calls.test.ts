import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as failures from '../../src/contracts/failure.js'
import * as fakes from './fake_agents.js'
import * as fixtures from './fixture.js'
import * as work from '../../src/contracts/work.js'
import * as worlds from './world.js'

const started: work.Frame = { kind: 'started', offset: 0 }

function getCall (received: worlds.Received | undefined): work.ServiceCall {
  const task = received?.start.task
  assert.ok(task?.kind === 'call')
  return task.call
}

test.describe('calls of plain services', { timeout: 60_000 }, () => {
  let fixture: fixtures.Fixture
  let world: worlds.World
  test.beforeEach(async () => {
    fixture = await fixtures.Fixture.create()
    world = fixture.world
  })
  test.afterEach(() => {
    fixture.close()
    assert.deepEqual(fixture.log.errors, [])
  })

  const booking = { path: '/bookings', body: '{"slot":1}' }

  /** Drops the answer to a start and all cancellations: the call must be started once and end with an unknown outcome. */
  async function checkUnknownOutcome (): Promise<void> {
    world.setScript('service', () => {})
    world.loseMessages('service', 'work.start', 'answer')
    world.loseMessages('service', 'work.cancel', 'call')
    const answered = fixture.send(booking)
    await fixture.waitUntil(() => world.listAgents('service').some(agent => agent.listParams('work.cancel').length > 0))
    await world.clock.advance(2100)
    assert.equal(fixtures.readFailure(await answered)[2], 'may_have_run')
    assert.equal(world.listStarts('service').length, 1)
  }

  test.describe('the forwarded request', () => {
    test.it('contains no key, cookie or hop-by-hop header, but the entry\'s request id', async () => {
      const headers = {
        cookie: 'a=b', connection: 'close, x-hop', 'x-hop': 'c', te: 'trailers', 'x-kept': 'd', 'x-request-id': 'mine'
      }
      const answer = await fixture.send({ ...booking, path: '/bookings/7?a=b', headers })
      const call = getCall(world.listStarts('service')[0])
      assert.equal(call.target, '/bookings/7?a=b')
      assert.deepEqual(call.headers, { 'x-kept': 'd', 'x-request-id': answer.headers['x-request-id'] })
      assert.doesNotMatch(JSON.stringify(world.listStarts('').map(({ start }) => start)), new RegExp(worlds.key))
    })

    test.it('never contains the caller\'s key in the target, a header or the body', async () => {
      const inTarget = await fixture.send({ ...booking, path: `/bookings?key=${worlds.key}` })
      assert.deepEqual(fixtures.readFailure(inTarget), [400, 'headers_invalid', 'not_run'])
      const inHeader = await fixture.send({ ...booking, headers: { 'x-token': worlds.key } })
      assert.deepEqual(fixtures.readFailure(inHeader), [400, 'headers_invalid', 'not_run'])
      const inBody = await fixture.send({ ...booking, body: worlds.key })
      assert.deepEqual(fixtures.readFailure(inBody), [400, 'body_invalid', 'not_run'])
      assert.deepEqual(world.listStarts(''), [])
    })
  })

  test.describe('routes', () => {
    test.it('that are open need no key, but refuse a wrong one', async () => {
      assert.equal((await fixture.send({ method: 'GET', path: '/about', key: '' })).status, 200)
      assert.equal((await fixture.send({ method: 'GET', path: '/about', key: 'wrong-key' })).status, 401)
      assert.equal((await fixture.send({ method: 'GET', path: '/sessions', key: '' })).status, 401)
    })

    test.it('are not reached by ambiguous paths', async () => {
      for (const path of ['/about/%2e%2e/bookings', '/about/..%2fbookings', '/about/..\\bookings', '//bookings']) {
        const answer = await fixture.send({ method: 'GET', path, key: '' })
        assert.ok(answer.status === 404 || answer.status === 405 || answer.status === 401, `${path}: ${answer.status}`)
      }
      assert.deepEqual(world.listStarts(''), [])
    })

    test.it('refuse other methods', async () => {
      const answer = await fixture.send({ method: 'DELETE', path: '/sessions' })
      assert.deepEqual(fixtures.readFailure(answer), [405, 'method_not_allowed', 'not_run'])
    })
  })

  test.describe('at servers that seem to have capacity', () => {
    test.beforeEach(() => {
      for (const link of world.pool.list()) {
        link.introduce()
      }
    })
    const countOffers = (): number =>
      world.listAgents('service').reduce((sum, agent) => sum + agent.listParams('work.offer').length, 0)
    const listWaits = (): number[] => world.listStarts('service').map(({ start }) => start.maximumWaitMs)

    test.it('start without an offer, and must not be queued', async () => {
      assert.equal((await fixture.send(booking)).status, 200)
      assert.equal(countOffers(), 0)
      assert.deepEqual(listWaits(), [0])
    })

    test.it('request offers after a refusal, and run once', async () => {
      for (const agent of world.listAgents('service')) {
        agent.isFull = true
      }
      assert.equal((await fixture.send(booking)).status, 200)
      assert.ok(countOffers() > 0)
      const starts = world.listStarts('service')
      const refused = starts.filter(({ agent, start }) => agent.tombstones.has(start.attempt))
      assert.deepEqual([starts.length, refused.length, refused[0]?.start.maximumWaitMs], [2, 1, 0])
    })

    test.it('request offers when the agent has restarted', async () => {
      for (const agent of world.listAgents('service')) {
        agent.restart('boot2')
      }
      assert.equal((await fixture.send(booking)).status, 200)
      const boots = world.listStarts('service').map(({ start }) => start.boot)
      assert.deepEqual(boots.sort(), ['boot1', 'boot2'])
    })

    test.it('are not retried when the agent is unreachable', checkUnknownOutcome)

    test.it('request offers when half of the slots are in use', async () => {
      const load = { ...fakes.createLoad(), running: 10 }
      for (const link of world.pool.list()) {
        for (const observer of world.pool.observers) {
          observer.loadReported(link, load)
        }
      }
      assert.equal((await fixture.send(booking)).status, 200)
      assert.ok(countOffers() > 0)
    })

    test.it('request offers when they carry an Idempotency-Key, whose claim names the boot that answered', async () => {
      assert.equal((await fixture.send({ ...booking, headers: { 'idempotency-key': 'k1' } })).status, 200)
      assert.ok(countOffers() > 0)
    })
  })

  test.describe('that may not be repeated', () => {
    test.it('are retried at another server when the agent reports that they have not run', async () => {
      world.loseMessages('service', 'work.start', 'call', 1)
      assert.equal((await fixture.send(booking)).status, 200)
      const starts = world.listStarts('service')
      const lost = starts.filter(({ agent, start }) => agent.tombstones.has(start.attempt))
      assert.deepEqual([starts.length, lost.length], [2, 1])
      const [{ agent, start }] = lost as [worlds.Received]
      const { request, attempt } = start
      const notice = { request, attempt, offset: Number.MAX_SAFE_INTEGER }
      assert.deepEqual(agent.notices[0], { name: 'work.acknowledge', notice })
    })

    test.it('are not retried when the agent is unreachable', checkUnknownOutcome)

    test.it('continue when they have started although the answer to the start was lost', async () => {
      world.loseMessages('service', 'work.start', 'answer')
      world.setScript('service', (agent, { attempt }) => {
        agent.link.isOpen = false
        agent.emit(attempt, started)
        agent.link.isOpen = true
      })
      const answered = fixture.send(booking)
      await fixture.waitUntil(() => world.listStarts('service').length === 1)
      const [{ agent, start }] = world.listStarts('service') as [worlds.Received]
      await fixture.waitUntil(() => agent.listParams('work.resume').length > 0)
      agent.emit(start.attempt, fakes.createAnswered(1, 'booked'))
      assert.equal((await answered).body, 'booked')
      assert.equal(agent.listParams('work.cancel')[0]?.mode, 'unless_started')
    })

    test.it('are not retried after a failure of a started call', async () => {
      world.setScript('service', (agent, { attempt }) => {
        agent.emit(attempt, started)
        agent.emit(attempt, { kind: 'failed', offset: 1, failure: failures.createFailure('may_have_run', 'server_failed', ['s', 'x']) })
      })
      const answer = await fixture.send(booking)
      assert.deepEqual(fixtures.readFailure(answer), [502, 'server_failed', 'may_have_run'])
      assert.equal(world.listStarts('service').length, 1)
      const read = await fixture.send({ method: 'GET', path: '/sessions/1' })
      assert.equal(read.status, 502)
      assert.ok(world.listStarts('service').length > 2, 'an idempotent call is retried')
    })
  })

  test.describe('with an Idempotency-Key', () => {
    const claimed = { ...booking, headers: { 'idempotency-key': 'k1' } }
    let second: fixtures.Fixture
    test.beforeEach(async () => {
      second = await fixtures.Fixture.create(world, {}, 2)
    })
    test.afterEach(() => second.close())

    test.it('get the first answer through another entry', async () => {
      const first = await fixture.send(claimed)
      const again = await second.send(claimed)
      assert.equal(again.body, first.body)
      assert.equal(again.headers['idempotency-replayed'], 'true')
      assert.equal(world.listStarts('service').length, 1)
      const entries = world.store.core.readRange({ prefix: '/t/' }).entries
      assert.doesNotMatch(JSON.stringify(entries), /k1|key-of/)
    })

    test.it('are refused with another body, and run for another key', async () => {
      await fixture.send(claimed)
      const other = await second.send({ ...claimed, body: '{"slot":2}' })
      assert.deepEqual(fixtures.readFailure(other), [422, 'idempotency_key_reused', 'not_run'])
      await second.send({ ...claimed, headers: { 'idempotency-key': 'k2' } })
      assert.equal(world.listStarts('service').length, 2)
    })

    test.it('are refused while the first call is running, and then get its answer', async () => {
      world.setScript('service', (agent, { attempt }) => agent.emit(attempt, started))
      const answered = fixture.send(claimed)
      await fixture.waitUntil(() => world.listStarts('service').length === 1)
      const early = await second.send(claimed)
      assert.deepEqual(fixtures.readFailure(early), [409, 'idempotency_in_progress', 'may_have_run'])
      assert.equal(early.headers['retry-after'], '19')
      const [{ agent, start }] = world.listStarts('service') as [worlds.Received]
      agent.emit(start.attempt, fakes.createAnswered(1, 'booked'))
      assert.equal((await answered).body, 'booked')
      assert.equal((await second.send(claimed)).body, 'booked')
    })

    test.it('get the answer from the agent when the entry that made the claim does not settle it', async () => {
      world.setScript('service', (agent, { attempt }) => agent.emit(attempt, started))
      const request = fixture.open(claimed)
      request.on('error', () => {})
      request.end(claimed.body)
      await fixture.waitUntil(() => world.listStarts('service').length === 1)
      world.pool.observers.clear()
      const [{ agent, start }] = world.listStarts('service') as [worlds.Received]
      agent.emit(start.attempt, fakes.createAnswered(1, 'booked'))
      world.clock.stepWall(20_000)
      const again = await second.send(claimed)
      assert.equal(again.body, 'booked')
      assert.equal(world.listStarts('service').length, 1)
      request.destroy()
    })

    test.it('take over a claim whose call never started and no longer can', async () => {
      world.loseMessages('service', 'work.start', 'call')
      world.loseMessages('service', 'work.cancel', 'call')
      const request = fixture.open(claimed)
      request.on('error', () => {})
      request.end(claimed.body)
      await fixture.waitUntil(() => world.listStarts('service').length === 1)
      const [{ agent, start }] = world.listStarts('service') as [worlds.Received]
      world.stopLosses()
      world.clock.stepWall(20_000)
      const again = await second.send(claimed)
      assert.equal(again.status, 200)
      assert.ok(agent.tombstones.has(start.attempt))
      request.destroy()
    })

    test.it('are taken over by one entry only', async context => {
      world.loseMessages('service', 'work.start', 'call')
      world.loseMessages('service', 'work.cancel', 'call')
      const request = fixture.open(claimed)
      request.on('error', () => {})
      request.end(claimed.body)
      await fixture.waitUntil(() => world.listStarts('service').length === 1)
      world.stopLosses()
      world.clock.stepWall(20_000)
      world.setScript('service', (agent, { attempt }) => agent.emit(attempt, started))
      const third = await fixtures.Fixture.create(world, {}, 3)
      context.after(() => third.close())
      const answers = [second.send(claimed), third.send(claimed)]
      const refused = await Promise.race(answers)
      assert.deepEqual(fixtures.readFailure(refused), [409, 'idempotency_in_progress', 'may_have_run'])
      await fixture.waitUntil(() => world.listAgents('service').some(agent => agent.busy === 1))
      assert.equal(world.listStarts('service').length, 2)
      const { agent, start } = world.listStarts('service')[1] as worlds.Received
      agent.emit(start.attempt, fakes.createAnswered(1, 'booked'))
      assert.deepEqual((await Promise.all(answers)).map(answer => answer.status).sort(), [200, 409])
      request.destroy()
    })

    test.it('have an unknown outcome when the agent has restarted', async () => {
      world.setScript('service', (agent, { attempt }) => agent.emit(attempt, started))
      const answered = fixture.send(claimed)
      await fixture.waitUntil(() => world.listStarts('service').length === 1)
      const [{ agent }] = world.listStarts('service') as [worlds.Received]
      agent.link.cut()
      agent.restart('boot2')
      agent.link.reopen()
      assert.equal(fixtures.readFailure(await answered)[2], 'ran')
      await fixture.waitUntil(() => fixture.entry.getFigures()['claimsUnsettled'] === 0)
      const again = await second.send(claimed)
      assert.deepEqual(fixtures.readFailure(again), [409, 'idempotency_unknown', 'may_have_run'])
    })

    test.it('release the claim when nothing has run', async () => {
      world.loseMessages('service', 'work.start', 'call')
      const refused = await fixture.send(claimed)
      assert.equal(fixtures.readFailure(refused)[2], 'not_run')
      world.stopLosses()
      await fixture.waitUntil(() => fixture.entry.getFigures()['claimsUnsettled'] === 0)
      assert.equal((await second.send(claimed)).status, 200)
    })

    test.it('run once although answers to writes of the store are lost', async () => {
      world.store.lostAnswers = 1
      const answered = fixture.send(claimed)
      await fixture.waitUntil(() => world.store.lostAnswers === 0)
      await world.clock.advance(1000)
      assert.equal((await answered).status, 200)
      assert.equal((await second.send(claimed)).headers['idempotency-replayed'], 'true')
      assert.equal(world.listStarts('service').length, 1)
    })

    test.it('are refused as not run while the store is down', async () => {
      world.store.setDown(true)
      const answer = await fixture.send(claimed)
      assert.deepEqual(fixtures.readFailure(answer), [503, 'store_unavailable', 'not_run'])
      assert.equal(answer.headers['retry-after'], '1')
      assert.deepEqual(world.listStarts('service'), [])
    })

    test.it('have their outcome recorded after an outage of the store', async () => {
      world.setScript('service', (agent, { attempt }) => agent.emit(attempt, started))
      const answered = fixture.send(claimed)
      await fixture.waitUntil(() => world.listStarts('service').length === 1)
      const [{ agent, start }] = world.listStarts('service') as [worlds.Received]
      world.store.setDown(true)
      agent.emit(start.attempt, fakes.createAnswered(1, 'booked'))
      assert.equal((await answered).body, 'booked')
      world.store.setDown(false)
      await world.clock.advance(1000)
      await fixture.waitUntil(() => fixture.entry.getFigures()['claimsUnsettled'] === 0)
      assert.equal((await second.send(claimed)).body, 'booked')
    })

    test.it('continue after the caller disconnects, so that a retry gets the answer', async () => {
      world.setScript('service', (agent, { attempt }) => agent.emit(attempt, started))
      const request = fixture.open(claimed)
      request.on('error', () => {})
      request.end(claimed.body)
      await fixture.waitUntil(() => world.listStarts('service').length === 1)
      const [{ agent, start }] = world.listStarts('service') as [worlds.Received]
      request.destroy()
      await fixture.waitUntil(() => fixture.entry.getFigures()['requestsInFlight'] === 0)
      agent.emit(start.attempt, fakes.createAnswered(1, 'booked'))
      await fixture.waitUntil(() => fixture.entry.getFigures()['claimsUnsettled'] === 0)
      assert.equal((await second.send(claimed)).body, 'booked')
    })

    test.it('are refused when the key is too long', async () => {
      const answer = await fixture.send({ ...booking, headers: { 'idempotency-key': 'a'.repeat(300) } })
      assert.deepEqual(fixtures.readFailure(answer), [400, 'idempotency_key_invalid', 'not_run'])
    })
  })
})
