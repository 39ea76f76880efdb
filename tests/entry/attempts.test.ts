import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as failures from '../../src/contracts/failure.js'
import * as fakes from './fake_agents.js'
import * as fixtures from './fixture.js'
import * as settings from '../../src/contracts/settings.js'
import * as work from '../../src/contracts/work.js'
import * as worlds from './world.js'

const text = (offset: number, value: string): work.Frame => ({ kind: 'text', offset, text: value, tokens: 1 })
const { sessionLeaseMs } = settings.Timing.parse({})
const started: work.Frame = { kind: 'started', offset: 0 }

test.describe('attempts', { timeout: 60_000 }, () => {
  let fixture: fixtures.Fixture
  let world: worlds.World
  test.beforeEach(async () => {
    fixture = await fixtures.Fixture.create()
    world = fixture.world
  })
  test.afterEach(() => fixture.finish())

  /** Starts a streamed completion whose decode emits no text without the test. */
  async function startSilentDecode (body: object = {}): Promise<{ answered: Promise<fixtures.Answer> } & worlds.Received> {
    world.setScript('decode', (agent, { attempt }) => agent.emit(attempt, started))
    const answered = fixture.complete({ stream: true, ...body })
    await fixture.waitUntil(() => world.listStarts('decode').length === 1)
    const [received] = world.listStarts('decode') as [worlds.Received]
    await fixture.waitUntil(() => received.agent.attempts.get(received.start.attempt)?.state === 'running')
    return { answered, ...received }
  }

  test.describe('frames', () => {
    test.it('are dropped if they have another attempt, request, agent or an old offset', async () => {
      const { answered, agent, start } = await startSilentDecode()
      agent.emit(start.attempt, text(1, 'right'))
      agent.send({ request: start.request, attempt: 'other' }, [text(2, 'wrong')])
      agent.send({ request: 'other', attempt: start.attempt }, [text(2, 'wrong')])
      agent.send(start, [text(1, 'twice'), text(0, 'twice')])
      const other = world.listAgents('decode').find(candidate => candidate !== agent)
      other?.send(start, [text(2, 'wrong')])
      agent.emit(start.attempt, fakes.createStop(2))
      assert.equal(fixtures.readStream((await answered).body), 'right')
      await fixture.waitUntilIdle()
    })

    test.it('are requested again by offset if some are missing', async () => {
      const { answered, agent, start } = await startSilentDecode()
      agent.link.isOpen = false
      agent.emit(start.attempt, text(1, 'a'))
      agent.link.isOpen = true
      agent.emit(start.attempt, text(2, 'b'))
      agent.emit(start.attempt, fakes.createStop(3))
      assert.equal(fixtures.readStream((await answered).body), 'ab')
      assert.deepEqual(agent.listParams('work.resume').map(resume => resume.offset), [1])
    })

    test.it('are requested again if the last one does not arrive', async () => {
      const { answered, agent, start } = await startSilentDecode()
      agent.emit(start.attempt, text(1, 'a'))
      agent.link.isOpen = false
      agent.emit(start.attempt, fakes.createStop(2))
      agent.link.isOpen = true
      await world.clock.advance(3000)
      assert.equal(fixtures.readStream((await answered).body), 'a')
    })

    test.it('are acknowledged after the last one', async () => {
      const { answered, agent, start } = await startSilentDecode()
      agent.emit(start.attempt, fakes.createStop(1))
      await answered
      await world.clock.advance(0)
      const { request, attempt } = start
      assert.deepEqual(agent.notices, [{ name: 'work.acknowledge', notice: { request, attempt, offset: 2 } }])
    })
  })

  test.describe('a lost link', () => {
    test.it('lets a stream with text resume at the same agent, from its offset', async () => {
      const { answered, agent, start } = await startSilentDecode()
      agent.emit(start.attempt, text(1, 'a'))
      agent.link.cut()
      agent.emit(start.attempt, text(2, 'b'))
      agent.emit(start.attempt, fakes.createStop(3))
      await world.clock.advance(sessionLeaseMs - 100)
      agent.link.reopen()
      assert.equal(fixtures.readStream((await answered).body), 'ab')
      assert.equal(world.listStarts('decode').length, 1)
      await fixture.waitUntilIdle()
    })

    test.it('ends a stream with text with an error event after the session lease', async () => {
      const { answered, agent, start } = await startSilentDecode()
      agent.emit(start.attempt, text(1, 'a'))
      agent.link.cut()
      await world.clock.advance(sessionLeaseMs)
      const { body } = await answered
      assert.match(body, /event: error\ndata: .*"code":"stream_interrupted","verdict":"ran"/)
      assert.doesNotMatch(body, /\[DONE\]/)
      assert.deepEqual(fixture.allowances.settled, [3])
    })

    test.it('leads to another attempt if there is no text, with the same prefill while its KV cache is kept', async () => {
      const { answered, agent, start } = await startSilentDecode()
      world.setScript('decode', fakes.runAtOnce)
      agent.link.cut()
      await world.clock.advance(300)
      assert.equal(fixtures.readStream((await answered).body), 'Hello there')
      assert.equal(world.listStarts('prefill').length, 1)
      assert.equal(world.listStarts('decode').length, 2)
      agent.link.reopen()
      await world.clock.advance(100)
      assert.equal(agent.attempts.get(start.attempt)?.state, 'cancelled')
      await fixture.waitUntilIdle()
    })

    test.it('leads to a new prefill if the KV cache of the old one has been evicted', async () => {
      const { answered, agent } = await startSilentDecode()
      await world.clock.advance(800)
      world.setScript('decode', fakes.runAtOnce)
      agent.link.cut()
      await world.clock.advance(300)
      assert.equal(fixtures.readStream((await answered).body), 'Hello there')
      assert.equal(world.listStarts('prefill').length, 2)
    })
  })

  test.describe('an agent that has restarted', () => {
    test.it('interrupts a stream that cannot be repeated', async () => {
      const { answered, agent, start } = await startSilentDecode()
      agent.emit(start.attempt, text(1, 'a'))
      agent.link.cut()
      agent.restart('boot2')
      agent.link.reopen()
      assert.match((await answered).body, /"code":"stream_interrupted"/)
      await fixture.waitUntilIdle()
    })

    test.it('continues a seeded stream without repeating delivered text', async () => {
      const { answered, agent, start } = await startSilentDecode({ seed: 1 })
      agent.emit(start.attempt, text(1, 'Hello th'))
      world.setScript('decode', fakes.runAtOnce)
      agent.link.cut()
      agent.restart('boot2')
      agent.link.reopen()
      const { body } = await answered
      assert.equal(fixtures.readStream(body), 'Hello there')
      assert.match(body, /\[DONE\]/)
    })

    test.it('interrupts a seeded stream whose repetition differs from the delivered text', async () => {
      const { answered, agent, start } = await startSilentDecode({ seed: 1 })
      agent.emit(start.attempt, text(1, 'Good'))
      world.setScript('decode', fakes.runAtOnce)
      agent.link.cut()
      agent.restart('boot2')
      agent.link.reopen()
      const { body } = await answered
      assert.equal(fixtures.readStream(body), 'Good')
      assert.match(body, /"code":"stream_interrupted"/)
      await fixture.waitUntilIdle()
    })
  })

  test.describe('a caller that leaves', () => {
    test.it('has its work cancelled until the agent confirms, even after a lost link', async () => {
      world.setScript('decode', (agent, { attempt }) => agent.emit(attempt, started))
      const request = fixture.open({ path: '/v1/completions' })
      request.on('error', () => {})
      request.end('{"model":"m","prompt":"Hi"}')
      await fixture.waitUntil(() => world.listStarts('decode').length === 1)
      const [{ agent, start }] = world.listStarts('decode') as [worlds.Received]
      world.loseMessages('decode', 'work.cancel', 'call')
      request.destroy()
      await fixture.waitUntil(() => agent.listParams('work.cancel').length === 1)
      await world.clock.advance(500)
      agent.link.cut()
      await world.clock.advance(2 * sessionLeaseMs - 100)
      assert.equal(fixture.entry.getFigures()['cancelsUnconfirmed'], 1)
      world.stopLosses()
      agent.link.reopen()
      await world.clock.advance(100)
      assert.equal(agent.attempts.get(start.attempt)?.state, 'cancelled')
      await fixture.waitUntilIdle()
    })

    test.it('has its slot released, and no prefill started, while its prefill is delayed', async () => {
      for (const agent of world.listAgents('decode')) {
        agent.waitMs = 800
      }
      const request = fixture.open({ path: '/v1/completions' })
      request.on('error', () => {})
      request.end('{"model":"m","prompt":"Hi"}')
      await fixture.waitUntil(() => world.listAgents('decode').every(agent => agent.listParams('work.offer').length > 0))
      await world.clock.advance(100)
      request.destroy()
      await fixture.waitUntilIdle()
      await world.clock.advance(1_000)
      assert.deepEqual(world.listStarts(''), [])
    })

    test.it('is no longer tracked after two session leases, when the agent has cancelled the work itself', async () => {
      world.setScript('decode', (agent, { attempt }) => agent.emit(attempt, started))
      const request = fixture.open({ path: '/v1/completions' })
      request.on('error', () => {})
      request.end('{"model":"m","prompt":"Hi"}')
      await fixture.waitUntil(() => world.listStarts('decode').length === 1)
      const [{ agent }] = world.listStarts('decode') as [worlds.Received]
      agent.link.cut()
      request.destroy()
      await fixture.waitUntil(() => fixture.entry.getFigures()['cancelsUnconfirmed'] === 1)
      await world.clock.advance(2 * sessionLeaseMs - 100)
      assert.equal(fixture.entry.getFigures()['cancelsUnconfirmed'], 1)
      await world.clock.advance(300)
      assert.equal(fixture.entry.getFigures()['cancelsUnconfirmed'], 0)
    })
  })

  test.describe('starts', () => {
    test.it('whose answer is lost are cancelled and retried', async () => {
      world.loseMessages('prefill', 'work.start', 'answer', 1)
      const script = (agent: fakes.FakeAgent, start: work.Start): void => {
        if (world.listStarts('prefill').length > 1) {
          fakes.runAtOnce(agent, start)
        }
      }
      world.setScript('prefill', script)
      assert.equal((await fixture.complete({})).status, 200)
      assert.equal(world.listStarts('prefill').length, 2)
      await fixture.waitUntilIdle()
    })

    test.it('are limited in number, and the verdict of the failure covers all of them', async () => {
      world.loseMessages('prefill', 'work.start', 'call')
      const answer = await fixture.complete({})
      assert.equal(world.listStarts('prefill').length, 3)
      assert.equal(fixtures.readFailure(answer)[2], 'may_have_run')
      assert.deepEqual(fixture.allowances.settled, [0])
      await fixture.waitUntilIdle()
    })
  })

  test.describe('a server that refuses a decode because its wait is too long', () => {
    test.it('is replaced by another one, with the same prefill', async () => {
      const failure = failures.createFailure('not_run', 'target_unreachable', [500, 600], 100)
      world.setScript('decode', (agent, start) => {
        if (world.listStarts('decode').length === 1) {
          agent.emit(start.attempt, { kind: 'failed', offset: 0, failure })
          return
        }
        fakes.runAtOnce(agent, start)
      })
      assert.equal((await fixture.complete({})).status, 200)
      assert.equal(world.listStarts('prefill').length, 1)
      assert.equal(new Set(world.listStarts('decode').map(({ agent }) => agent.name)).size, 2)
      await fixture.waitUntilIdle()
    })
  })

  test.describe('a finished prefill', () => {
    test.it('is cancelled when the request fails', async () => {
      const failure = failures.createFailure('ran', 'internal', ['x'])
      world.setScript('decode', (agent, { attempt }) => agent.emit(attempt, { kind: 'failed', offset: 0, failure }))
      await fixture.complete({})
      const [{ agent, start }] = world.listStarts('prefill') as [worlds.Received]
      await fixture.waitUntilIdle()
      assert.deepEqual(agent.listParams('work.cancel').map(cancel => cancel.attempt), [start.attempt])
      const { request, attempt } = start
      await world.clock.advance(0)
      assert.deepEqual(agent.notices.map(({ notice }) => notice), [
        { request, attempt, offset: Number.MAX_SAFE_INTEGER },
        { request, attempt, offset: 2 }
      ])
    })
  })

  test.describe('a request that takes too long', () => {
    test.it('fails with a time-out, and its work is cancelled', async () => {
      const { answered } = await startSilentDecode()
      await world.clock.advance(300_000)
      assert.deepEqual(fixtures.readFailure(await answered), [504, 'request_timeout', 'ran'])
      await fixture.waitUntilIdle()
    })
  })
})
