import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as failures from '../../src/contracts/failure.js'
import * as fakes from './fake_agents.js'
import * as fixtures from './fixture.js'
import * as work from '../../src/contracts/work.js'
import * as worlds from './world.js'

const started: work.Frame = { kind: 'started', offset: 0 }

test.describe('the reserved decode slot', { timeout: 60_000 }, () => {
  let fixture: fixtures.Fixture
  let world: worlds.World
  test.beforeEach(async () => {
    fixture = await fixtures.Fixture.create()
    world = fixture.world
  })
  test.afterEach(() => fixture.finish())

  test.it('is requested again when the reservation expires before the prefill ends', async () => {
    world.setScript('prefill', (agent, start) => {
      world.clock.after(5_000, () => fakes.runAtOnce(agent, start))
      agent.emit(start.attempt, started)
    })
    const answered = fixture.complete({})
    await fixture.waitUntil(() => world.listStarts('prefill').length === 1)
    const before = world.listAgents('decode').flatMap(agent => agent.listParams('work.offer')).length
    await world.clock.advance(5_000)
    assert.equal((await answered).status, 200)
    const after = world.listAgents('decode').flatMap(agent => agent.listParams('work.offer')).length
    assert.deepEqual([before, after], [2, 4])
    await fixture.waitUntilIdle()
  })

  test.it('is required: a request without one is refused before its prefill', async () => {
    for (const agent of world.listAgents('decode')) {
      agent.refusesReservations = true
      agent.waitMs = 700
    }
    const answer = await fixture.complete({})
    assert.equal(answer.status, 503)
    assert.match(answer.body, /target_unreachable/)
    assert.match(answer.body, /not_run/)
    assert.equal(world.listStarts('prefill').length, 0)
    await fixture.waitUntilIdle()
  })

  test.it('leaves time to try another decode server while the KV cache is kept', async () => {
    await fixture.complete({})
    const [{ start }] = world.listStarts('decode') as [worlds.Received]
    // At least the 500 ms by which a KV cache may be early, and at most 640 ms, so that 160 of its 800 ms remain for
    // another server.
    assert.ok(start.maximumWaitMs >= 500 && start.maximumWaitMs <= 640, `${start.maximumWaitMs}`)
    await fixture.waitUntilIdle()
  })

  test.it('delays the prefill if it starts later than the KV cache would be kept', async () => {
    for (const agent of world.listAgents('decode')) {
      agent.waitMs = 800
    }
    const answered = fixture.complete({})
    await fixture.waitUntil(() => world.listAgents('decode').every(agent => agent.listParams('work.offer').length > 0))
    await world.clock.advance(295)
    assert.equal(world.listStarts('prefill').length, 0)
    await world.clock.advance(10)
    const [{ start }] = world.listStarts('prefill') as [worlds.Received]
    assert.ok(start.maximumWaitMs <= 1_600, `${start.maximumWaitMs} ms exceed the time that the target leaves`)
    assert.equal((await answered).status, 200)
    await fixture.waitUntilIdle()
  })

  test.it('is taken from the server with a reservation, even if a server without one has a shorter wait', async () => {
    const [first, second] = world.listAgents('decode') as [fakes.FakeAgent, fakes.FakeAgent]
    first.refusesReservations = true
    first.waitMs = 100
    second.waitMs = 400
    assert.equal((await fixture.complete({})).status, 200)
    assert.deepEqual(world.listStarts('decode').map(({ agent }) => agent.name), [second.name])
    await fixture.waitUntilIdle()
  })

  test.it('is requested again for the time given by the prefill offer before the request is refused', async () => {
    for (const agent of world.listAgents('prefill')) {
      agent.waitMs = 200
    }
    for (const agent of world.listAgents('decode')) {
      agent.refusesReservations = true
      agent.waitMs = 1_400
    }
    assert.equal((await fixture.complete({})).status, 503)
    const offers = world.listAgents('decode').flatMap(agent => agent.listParams('work.offer'))
    assert.deepEqual([offers.length, offers.filter(offer => offer.expectedInMs >= 200).length], [5, 3])
    await fixture.waitUntilIdle()
  })

  test.it('is refused with the code share_exceeded to a workspace above its share', async () => {
    for (const agent of world.listAgents('decode')) {
      agent.refusesReservations = true
      agent.isAboveShare = true
      agent.waitMs = 400
    }
    assert.deepEqual(fixtures.readFailure(await fixture.complete({})), [429, 'share_exceeded', 'not_run'])
    assert.equal(world.listStarts('prefill').length, 0)
    await fixture.waitUntilIdle()
  })

  test.it('may start as late as the first-token deadline allows, up to a bound', async () => {
    await fixture.complete({})
    const [offer] = world.listAgents('decode').flatMap(agent => agent.listParams('work.offer'))
    assert.ok((offer?.maximumWaitMs ?? 0) > 990 && (offer?.maximumWaitMs ?? 0) <= 1_000, `${offer?.maximumWaitMs}`)
    for (const agent of world.listAgents('prefill')) {
      agent.waitMs = 1_500
    }
    await fixture.complete({})
    const renewed = world.listAgents('decode').flatMap(agent => agent.listParams('work.offer')).at(-1)
    assert.ok((renewed?.maximumWaitMs ?? 0) > 100 && (renewed?.maximumWaitMs ?? 0) < 200, `${renewed?.maximumWaitMs}`)
    await fixture.waitUntilIdle()
  })

  test.it('gives the retry time of the agent if there is no reservation', async () => {
    for (const agent of world.listAgents('decode')) {
      agent.refusesReservations = true
      agent.waitMs = 1_500
      agent.retryAfterMs = 600
    }
    const answer = await fixture.complete({})
    assert.equal(answer.headers['retry-after'], '1')
    await fixture.waitUntilIdle()
  })

  test.it('is reserved for the end of the prefill, and again when the prefill offer changes that time', async () => {
    for (const agent of world.listAgents('prefill')) {
      agent.waitMs = 1200
    }
    await fixture.complete({})
    const offers = world.listAgents('decode').flatMap(agent => agent.listParams('work.offer'))
    const latest = Math.max(...offers.map(offer => offer.expectedInMs))
    assert.ok(latest >= 1200 && latest < 1300, `${latest}`)
    assert.equal(offers.length, 3)
    await fixture.waitUntilIdle()
  })

  test.it('is released when the prefill fails', async () => {
    world.setScript('prefill', (agent, { attempt }) => {
      const failure = failures.createFailure('ran', 'internal', ['x'])
      agent.emit(attempt, { kind: 'failed', offset: 0, failure })
    })
    assert.equal((await fixture.complete({})).status, 500)
    await fixture.waitUntilIdle()
  })
})
