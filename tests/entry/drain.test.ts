import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fakes from './fake_agents.js'
import * as fixtures from './fixture.js'

test.describe('drain', { timeout: 60_000 }, () => {
  let fixture: fixtures.Fixture
  test.beforeEach(async () => {
    fixture = await fixtures.Fixture.create()
  })
  test.afterEach(() => fixture.close())

  test.it('reports not ready immediately, and keeps serving while the load balancer lags', async () => {
    assert.equal(fixture.entry.isReady(), true)
    const drained = fixture.entry.drain()
    assert.equal(fixture.entry.isReady(), false)
    const answer = await fixture.complete({})
    assert.equal(answer.status, 200)
    assert.equal(answer.headers.connection, 'close')
    await fixture.world.clock.advance(1000)
    await drained
  })

  test.it('waits for streams that take longer', async () => {
    const { world } = fixture
    world.setScript('decode', (agent, { attempt }) => agent.emit(attempt, { kind: 'started', offset: 0 }))
    const answered = fixture.complete({ stream: true })
    await fixture.waitUntil(() => world.listStarts('decode').length === 1)
    let isDrained = false
    const drained = fixture.entry.drain().then(() => {
      isDrained = true
    })
    await world.clock.advance(60_000)
    assert.equal(isDrained, false)
    const [received] = world.listStarts('decode')
    received?.agent.emit(received.start.attempt, { kind: 'text', offset: 1, text: 'late', tokens: 1 })
    received?.agent.emit(received.start.attempt, fakes.createStop(2))
    assert.equal(fixtures.readStream((await answered).body), 'late')
    await drained
  })

  test.it('records the outcome of claimed calls before it ends', async () => {
    const { world } = fixture
    world.setScript('service', (agent, { attempt }) => {
      world.store.setDown(true)
      agent.emit(attempt, { kind: 'started', offset: 0 })
      agent.emit(attempt, fakes.createAnswered(1, 'booked'))
    })
    const answer = await fixture.send({ path: '/bookings', headers: { 'idempotency-key': 'k' } })
    assert.equal(answer.body, 'booked')
    let isDrained = false
    const drained = fixture.entry.drain().then(() => {
      isDrained = true
    })
    await world.clock.advance(5000)
    assert.equal(isDrained, false)
    world.store.setDown(false)
    await world.clock.advance(1000)
    await drained
    assert.match(world.store.core.readRange({ prefix: '/t/' }).entries[0]?.value ?? '', /"state":"answered"/)
  })
})
