import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as test from 'node:test'
import * as fixtures from './fixture.js'
import * as worlds from './world.js'

const limits = {
  bodyBytes: 2000, headerBytes: 4000, headerCount: 20, stalledCallerBytes: 300_000, requestsInFlight: 3
}

test.describe('bad input', { timeout: 60_000 }, () => {
  let fixture: fixtures.Fixture
  test.beforeEach(async () => {
    fixture = await fixtures.Fixture.create(new worlds.World(), limits)
  })
  test.afterEach(async () => {
    await fixture.waitUntilIdle()
    fixture.close()
    assert.deepEqual(fixture.log.errors, [])
  })

  const completion = { path: '/v1/completions', body: '{"model":"m","prompt":"Hi"}' }

  test.describe('bodies', () => {
    const cases: readonly (readonly [string, string, number, string])[] = [
      ['malformed JSON', '{"model":', 400, 'body_malformed'],
      ['a wrong type', '{"model":"m","prompt":7}', 400, 'body_invalid'],
      ['several choices', '{"model":"m","prompt":"Hi","n":2}', 400, 'body_invalid'],
      ['too many output tokens', '{"model":"m","prompt":"Hi","max_tokens":5000}', 400, 'body_invalid'],
      ['an unknown model', '{"model":"x","prompt":"Hi"}', 404, 'model_unknown'],
      ['more than the burst', `{"model":"m","prompt":[${'1,'.repeat(500)}1],"max_tokens":4096}`, 400, ''],
      ['more than the limit', JSON.stringify({ model: 'm', prompt: 'x'.repeat(3000) }), 413, 'body_too_large'],
      ['the caller\'s key', `{"model":"m","prompt":"${worlds.key}"}`, 400, 'body_invalid']
    ]
    for (const [title, body, status, code] of cases) {
      test.it(`refuses ${title}`, async () => {
        if (code === '') {
          fixture.world.change('workspaces/a', { allowance: { tokensPerSecond: 1, burstTokens: 100 } })
        }
        const answer = await fixture.send({ ...completion, body })
        assert.deepEqual(fixtures.readFailure(answer), [status, code || 'request_exceeds_burst', 'not_run'])
        assert.deepEqual(fixture.world.listStarts(''), [])
      })
    }

    test.it('refuses a body by its content-length before it arrives', async () => {
      const request = fixture.open({ ...completion, headers: { 'content-length': '3000' } })
      request.write('x')
      assert.equal((await fixtures.readAnswer(request)).status, 413)
      request.destroy()
    })

    test.it('refuses a chunked body that grows over the limit', async () => {
      const request = fixture.open(completion)
      request.write('x'.repeat(1500))
      request.write('x'.repeat(1500))
      const answer = await fixtures.readAnswer(request)
      assert.deepEqual(fixtures.readFailure(answer), [413, 'body_too_large', 'not_run'])
      request.destroy()
    })

    test.it('disconnects a caller that sends one byte a second', async () => {
      const request = fixture.open({ ...completion, headers: { 'content-length': '100' } })
      const answered = fixtures.readAnswer(request)
      for (let second = 0; second < 10; second += 1) {
        request.write('x')
        await fixture.waitUntil(() => fixture.entry.getFigures()['requestsInFlight'] === 1)
        await fixture.world.clock.advance(1000)
      }
      const answer = await answered
      assert.deepEqual(fixtures.readFailure(answer), [408, 'body_too_slow', 'not_run'])
      assert.equal(answer.headers.connection, 'close')
      request.destroy()
    })
  })

  test.describe('keys', () => {
    test.it('refuses no key, a wrong key, and a model that the workspace may not use', async () => {
      const refuse = async (key: string): Promise<unknown> =>
        fixtures.readFailure(await fixture.send({ ...completion, key }))
      assert.deepEqual(await refuse(''), [401, 'key_missing', 'not_run'])
      assert.deepEqual(await refuse('wrong-key'), [401, 'key_unknown', 'not_run'])
      assert.deepEqual(await refuse(worlds.otherKey), [403, 'workspace_forbidden', 'not_run'])
    })

    test.it('refuses another workspace\'s key on a route of a service', async () => {
      const answer = await fixture.send({ path: '/bookings', key: worlds.otherKey })
      assert.deepEqual(fixtures.readFailure(answer), [403, 'workspace_forbidden', 'not_run'])
    })

    test.it('lists only the models of the workspace', async () => {
      const list = async (key: string): Promise<string> =>
        (await fixture.send({ method: 'GET', path: '/v1/models', key })).body
      assert.match(await list(worlds.key), /"id":"m"/)
      assert.doesNotMatch(await list(worlds.otherKey), /"id":"m"/)
    })
  })

  test.describe('request smuggling', () => {
    const start = `POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${worlds.key}\r\n`
    const body = completion.body
    const cases: readonly (readonly [string, string])[] = [
      ['two content-lengths', `${start}Content-Length: ${body.length}\r\nContent-Length: 3\r\n\r\n${body}`],
      ['transfer-encoding beside content-length',
        `${start}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n1b\r\n${body}\r\n0\r\n\r\n`],
      ['an unknown transfer-encoding', `${start}Transfer-Encoding: chunked, x\r\n\r\n0\r\n\r\n`],
      ['a bare line feed in a header', `${start}X-A: b\nX-C: d\r\nContent-Length: ${body.length}\r\n\r\n${body}`],
      ['a bare carriage return in a header', `${start}X-A: b\rX-C: d\r\nContent-Length: ${body.length}\r\n\r\n${body}`],
      ['a second key', `${start}Authorization: Bearer other-key\r\nContent-Length: ${body.length}\r\n\r\n${body}`],
      ['a key in another header', `${start}X-Api-Key: other-key\r\nContent-Length: ${body.length}\r\n\r\n${body}`],
      ['a connection header that lists authorization', `${start}Connection: Authorization\r\nContent-Length: 0\r\n\r\n`],
      ['too many headers', `${start}${'X-A: b\r\n'.repeat(20)}Content-Length: 0\r\n\r\n`],
      ['too many bytes of headers', `${start}X-A: ${'b'.repeat(5000)}\r\n\r\n`]
    ]
    for (const [title, text] of cases) {
      test.it(`refuses ${title}`, async () => {
        const answer = await fixture.sendRaw(text)
        assert.match(answer, /^HTTP\/1\.1 400 /)
        assert.match(answer, /"code":"headers_invalid","verdict":"not_run"/)
        assert.equal(answer.split('HTTP/1.1 ').length, 2, 'exactly one answer')
        assert.deepEqual(fixture.world.listStarts(''), [])
      })
    }
  })

  test.describe('callers that do not read', () => {
    test.it('are disconnected when too many bytes are pending, and their work is cancelled', async () => {
      fixture.world.setScript('decode', (agent, { attempt }) => agent.emit(attempt, { kind: 'started', offset: 0 }))
      const socket = net.connect(fixture.port, '127.0.0.1')
      socket.pause()
      const body = '{"model":"m","prompt":"Hi","stream":true}'
      socket.write(`POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${worlds.key}\r\n`)
      socket.write(`Content-Length: ${body.length}\r\n\r\n${body}`)
      await fixture.waitUntil(() => fixture.world.listStarts('decode').length === 1)
      const [{ agent, start }] = fixture.world.listStarts('decode') as [worlds.Received]
      let offset = 1
      await fixture.waitUntil(() => {
        agent.emit(start.attempt, { kind: 'text', offset, text: 'x'.repeat(50_000), tokens: 1 })
        offset += 1
        return agent.listParams('work.cancel').length > 0
      })
      assert.equal(agent.listParams('work.cancel')[0]?.mode, 'always')
      socket.destroy()
    })

    test.it('are disconnected after the stall time-out', async () => {
      const tolerant = await fixtures.Fixture.create(fixture.world, { stalledCallerBytes: 1e9, stalledCallerMs: 7000 })
      fixture.world.setScript('decode', (agent, { attempt }) => agent.emit(attempt, { kind: 'started', offset: 0 }))
      const request = tolerant.open(completion)
      request.on('response', response => response.pause())
      request.on('error', () => {})
      request.end('{"model":"m","prompt":"Hi","stream":true}')
      await fixture.waitUntil(() => fixture.world.listStarts('decode').length === 1)
      const [{ agent, start }] = fixture.world.listStarts('decode') as [worlds.Received]
      for (let offset = 1; offset <= 400; offset += 1) {
        agent.emit(start.attempt, { kind: 'text', offset, text: 'x'.repeat(30_000), tokens: 1 })
      }
      await fixture.world.clock.advance(6999)
      assert.deepEqual(agent.listParams('work.cancel'), [])
      await fixture.world.clock.advance(1)
      assert.equal(agent.listParams('work.cancel')[0]?.mode, 'always')
      assert.equal(tolerant.allowances.settled[0], 401, 'the work of the engines is charged')
      request.destroy()
      tolerant.close()
    })
  })

  test.it('refuses requests beyond the number in flight', async () => {
    const requests = [1, 2, 3].map(() => fixture.open(completion))
    for (const request of requests) {
      request.on('error', () => {})
      request.write(' ')
    }
    await fixture.waitUntil(() => fixture.entry.getFigures()['requestsInFlight'] === 3)
    const answer = await fixture.send(completion)
    assert.deepEqual(fixtures.readFailure(answer), [503, 'entry_overloaded', 'not_run'])
    assert.equal(answer.headers['retry-after'], '1')
    for (const request of requests) {
      request.destroy()
    }
  })
})
