import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as test from 'node:test'
import * as fixtures from './fixture.js'
import * as worlds from './world.js'

test.describe('withdrawn keys', { timeout: 60_000 }, () => {
  let fixture: fixtures.Fixture
  let world: worlds.World
  test.beforeEach(async () => {
    fixture = await fixtures.Fixture.create()
    world = fixture.world
  })
  test.afterEach(() => fixture.close())

  function withdraw (): void {
    const { keys } = worlds.createKeys(worlds.key) as { keys: object[] }
    world.change('keys/a', { keys: keys.map(key => ({ ...key, withdrawnAtMs: 1 })) })
  }

  test.it('are refused at once on an open connection', async () => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    const list = async (): Promise<number> => {
      const headers = { authorization: `Bearer ${worlds.key}` }
      const request = http.get({ host: '127.0.0.1', port: fixture.port, path: '/v1/models', headers, agent })
      return (await fixtures.readAnswer(request)).status
    }
    assert.equal(await list(), 200)
    withdraw()
    assert.equal(await list(), 401)
    agent.destroy()
  })

  test.it('end streams under way with an error event within 2 s, and cancel their work', async () => {
    world.setScript('decode', (agent, { attempt }) => {
      agent.emit(attempt, { kind: 'started', offset: 0 })
      agent.emit(attempt, { kind: 'text', offset: 1, text: 'a', tokens: 1 })
    })
    const answered = fixture.complete({ stream: true })
    await fixture.waitUntil(() => world.listStarts('decode')[0]?.agent.busy === 1)
    withdraw()
    await world.clock.advance(2000)
    const { body } = await answered
    assert.equal(fixtures.readStream(body), 'a')
    assert.match(body, /event: error\ndata: .*"code":"key_withdrawn"/)
    await fixture.waitUntilIdle()
  })

  test.it('end requests that have not begun to stream with a status, and the verdict of what was tried', async () => {
    world.setScript('prefill', (agent, { attempt }) => agent.emit(attempt, { kind: 'started', offset: 0 }))
    const answered = fixture.complete({})
    await fixture.waitUntil(() => world.listStarts('prefill')[0]?.agent.busy === 1)
    world.change('keys/a', worlds.createKeys())
    await world.clock.advance(2000)
    assert.deepEqual(fixtures.readFailure(await answered), [401, 'key_unknown', 'may_have_run'])
    await fixture.waitUntilIdle()
  })
})
