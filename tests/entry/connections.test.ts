import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'
import * as fakes from './fake_agents.js'
import * as fixtures from './fixture.js'
import * as rawCallers from '../../platform/tests/raw_caller.js'
import * as worlds from './world.js'

const completion = '{"model":"m","prompt":"Hi there","stream":true}'
/** Time in which a request that was passed on would have reached an agent. */
const settleMs = 50

function writeRequest (path: string, body: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${worlds.key}\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

test.describe('a connection of a caller in a planned stop', { timeout: 60_000 }, () => {
  let fixture: fixtures.Fixture
  let caller: rawCallers.RawCaller
  test.beforeEach(async () => {
    fixture = await fixtures.Fixture.create()
    caller = new rawCallers.RawCaller(fixture.port)
    await caller.connected()
  })
  test.afterEach(async () => {
    await caller.close()
    fixture.close()
  })

  // Guards against a request that runs without an answer behind a stream whose end has closed the connection.
  test.it('has the request behind a stream refused as not run', async () => {
    const { world } = fixture
    world.setScript('decode', (agent, { attempt }) => agent.emit(attempt, { kind: 'started', offset: 0 }))
    caller.write(writeRequest('/v1/completions', completion))
    await fixture.waitUntil(() => world.listStarts('decode').length === 1)
    const drained = fixture.entry.drain()
    await world.clock.advance(60_000)
    const [received] = world.listStarts('decode')
    received?.agent.emit(received.start.attempt, { kind: 'text', offset: 1, text: 'late', tokens: 1 })
    received?.agent.emit(received.start.attempt, fakes.createStop(2))
    caller.write(writeRequest('/bookings', 'a'))
    await caller.ended()
    assert.match(caller.received, /late/)
    assert.deepEqual(world.listStarts('service'), [])
    await drained
  })

  // Guards against a request that runs without an answer behind one whose answer closes the connection.
  test.it('has no request passed on behind one whose answer closes it', async () => {
    const { world } = fixture
    world.setScript('service', (agent, { attempt }) => {
      agent.emit(attempt, { kind: 'started', offset: 0 })
      agent.emit(attempt, fakes.createAnswered(1, 'booked'))
    })
    const drained = fixture.entry.drain()
    caller.write(writeRequest('/bookings', 'a') + writeRequest('/bookings', 'b'))
    await caller.ended()
    await timers.setTimeout(settleMs)
    assert.match(caller.received, /^HTTP\/1.1 200 [^]*^connection: close[^]*booked/im)
    assert.equal(world.listStarts('service').length, 1)
    await world.clock.advance(1_000)
    await drained
  })

  // Guards against the end of the process while a part of an answer is still to be written.
  test.it('is waited for while its caller reads slowly', async () => {
    const { world } = fixture
    const text = 'b'.repeat(8_000_000)
    world.setScript('service', (agent, { attempt }) => {
      agent.emit(attempt, { kind: 'started', offset: 0 })
      agent.emit(attempt, fakes.createAnswered(1, text))
    })
    caller.socket.pause()
    caller.write(writeRequest('/bookings', 'a'))
    await fixture.waitUntil(() => world.listStarts('service').length === 1)
    const drained = fixture.entry.drain().then(() => fixture.close())
    await world.clock.advance(1_000)
    await timers.setTimeout(settleMs)
    caller.socket.resume()
    await caller.ended()
    assert.ok(caller.received.endsWith(text), `${caller.received.length} bytes`)
    await drained
  })

  // Guards against a request that runs without an answer behind a refusal that Node.js would write out of turn.
  test.it('has no request passed on behind one without a host', async () => {
    const { world } = fixture
    world.setScript('service', (agent, { attempt }) => {
      agent.emit(attempt, { kind: 'started', offset: 0 })
      agent.emit(attempt, fakes.createAnswered(1, 'booked'))
    })
    caller.write(writeRequest('/bookings', 'a') + 'GET / HTTP/1.1\r\n\r\n' + writeRequest('/bookings', 'b'))
    await caller.ended()
    await timers.setTimeout(settleMs)
    assert.match(caller.received, /^HTTP\/1.1 200 [^]*HTTP\/1.1 400 /)
    assert.equal(world.listStarts('service').length, 1)
  })
})

test.describe('requests behind a running one', { timeout: 60_000 }, () => {
  let fixture: fixtures.Fixture
  let caller: rawCallers.RawCaller
  test.beforeEach(async () => {
    fixture = await fixtures.Fixture.create()
    caller = new rawCallers.RawCaller(fixture.port)
    await caller.connected()
    fixture.world.setScript('service', () => {})
    caller.write(writeRequest('/bookings', 'a'))
    await fixture.waitUntil(() => fixture.world.listStarts('service').length === 1)
  })
  test.afterEach(async () => {
    await caller.close()
    fixture.close()
  })

  async function answer (): Promise<void> {
    const { world } = fixture
    const [received] = world.listStarts('service')
    world.setScript('service', (agent, { attempt }) => {
      agent.emit(attempt, { kind: 'started', offset: 0 })
      agent.emit(attempt, fakes.createAnswered(1, 'booked'))
    })
    received?.agent.emit(received.start.attempt, { kind: 'started', offset: 0 })
    received?.agent.emit(received.start.attempt, fakes.createAnswered(1, 'booked'))
    await caller.ended()
  }

  // Guards against a refusal as not run that the caller takes for the answer to the request that runs.
  test.it('that cannot be parsed do not get their refusal in its place', async () => {
    caller.write('no request\r\n\r\n')
    await timers.setTimeout(settleMs)
    assert.equal(caller.received, '')
    await answer()
    assert.match(caller.received, /^HTTP\/1.1 200 [^]*booked$/)
    assert.equal(caller.end, 'orderly')
  })

  // Guards against a connection that is cut with requests on their way because one read brought too many.
  test.it('do not cut it when there are too many', async () => {
    const { world } = fixture
    caller.write(writeRequest('/bookings', 'b').repeat(200))
    await timers.setTimeout(settleMs)
    await answer()
    assert.equal(caller.received.split('booked').length - 1, 33)
    assert.equal(caller.end, 'orderly')
    assert.equal(world.listStarts('service').length, 33)
  })
})
