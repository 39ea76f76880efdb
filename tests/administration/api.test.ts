import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as stream from 'node:stream'
import * as test from 'node:test'
import * as undici from 'undici'
import * as apiFixture from './fixture.js'
import * as credentials from '../../src/configuration/credentials.js'
import * as fixture from '../configuration/fixture.js'
import * as openapi from '../../src/administration/openapi.js'
import * as tables from '../../src/administration/table.js'

const workspace = { allowance: fixture.allowance }

test.describe('Administration API', () => {
  let api: apiFixture.Api
  test.beforeEach(async () => {
    api = await apiFixture.startApi(new fixture.Network().addEntry())
  })
  test.afterEach(() => api.close())

  test.describe('sections', () => {
    test.it('are created, read, replaced and deleted by version', async () => {
      const path = '/admin/v1/sections/workspaces/a'
      assert.equal((await api.call('PUT', path, workspace, { 'if-match': '0' })).status, 200)
      const read = await api.call('GET', path)
      assert.deepEqual([read.json.owner, read.json.version, read.headers.etag], ['root', 1, '"1"'])
      assert.equal((await api.call('PUT', path, { ...workspace, title: 'A' }, { 'if-match': '"1"' })).json.version, 2)
      assert.equal((await api.call('DELETE', path, undefined, { 'if-match': '2' })).status, 200)
      assert.equal((await api.call('GET', path)).json.error.code, 'section_unknown')
    })

    test.it('need the version that is replaced', async () => {
      const reply = await api.call('PUT', '/admin/v1/sections/workspaces/a', workspace)
      assert.deepEqual([reply.status, reply.json.error.code, reply.json.error.verdict], [428, 'version_missing', 'not_run'])
    })

    test.it('tell what has changed since a stale version', async () => {
      const path = '/admin/v1/sections/workspaces/a'
      await api.call('PUT', path, workspace, { 'if-match': '0' })
      await api.call('PUT', path, { ...workspace, title: 'A' }, { 'if-match': '1' })
      const reply = await api.call('PUT', path, workspace, { 'if-match': '1' })
      assert.equal(reply.status, 409)
      assert.deepEqual(reply.json.error.stale[0].since[0].differences, [{ path: 'title', before: '', after: 'A' }])
    })

    test.it('have a history and differences', async () => {
      const path = '/admin/v1/sections/policy'
      await api.call('PUT', path, {}, { 'if-match': '0' })
      await api.call('PUT', path, { queueLimit: 9 }, { 'if-match': '1' })
      const history = await api.call('GET', `${path}/history?limit=1`)
      assert.deepEqual(history.json.changes.map((change: { sectionVersion: number }) => change.sectionVersion), [2])
      assert.deepEqual(history.json.changes[0].differences, [{ path: 'queueLimit', before: 256, after: 9 }])
      const difference = await api.call('GET', `${path}/diff?from=1`)
      assert.deepEqual(difference.json, { from: 1, to: 2, differences: [{ path: 'queueLimit', before: 256, after: 9 }] })
      assert.equal((await api.call('GET', `${path}/diff?from=7`)).json.error.code, 'section_unknown')
    })

    test.it('change together, and once for each operation', async () => {
      const body = {
        operation: 'op-1',
        edits: [fixture.createWorkspace('a'), { name: 'models/m', expectedVersion: 0, body: {} }]
      }
      const first = await api.call('POST', '/admin/v1/changes', body)
      const second = await api.call('POST', '/admin/v1/changes', body)
      assert.deepEqual([first.json.version, first.json.repeated], [1, false])
      assert.deepEqual([second.json.version, second.json.repeated], [1, true])
      const list = await api.call('GET', '/admin/v1/sections')
      assert.deepEqual(list.json.sections.map((section: { name: string }) => section.name), ['models/m', 'workspaces/a'])
    })
  })

  test.describe('operations', () => {
    test.it('are made once under one Idempotency-Key', async () => {
      const headers = { 'idempotency-key': 'op-1' }
      await api.call('PUT', '/admin/v1/workspaces/a', workspace, headers)
      assert.equal((await api.call('PUT', '/admin/v1/workspaces/a', workspace, headers)).json.repeated, true)
      const reused = await api.call('PUT', '/admin/v1/workspaces/b', workspace, headers)
      assert.equal(reused.json.error.code, 'operation_reused')
      assert.equal(api.entry.replica.version, 1)
    })
  })

  test.describe('keys', () => {
    test.it('are shown once, kept as hashes, and withdrawn for good', async () => {
      await api.call('PUT', '/admin/v1/workspaces/a', workspace)
      const created = await api.call('POST', '/admin/v1/workspaces/a/keys', { id: 'k1' })
      assert.equal(created.status, 201)
      const hash = credentials.hashSecret(created.json.key)
      assert.equal(api.entry.replica.document.findKey(hash)?.workspace, 'a')
      assert.equal(JSON.stringify(api.entry.replica.document.listSections()).includes(created.json.key), false)
      assert.equal((await api.call('GET', '/admin/v1/workspaces/a/keys')).text.includes(hash), false)
      assert.equal((await api.call('DELETE', '/admin/v1/workspaces/a/keys/k1')).status, 200)
      assert.notEqual(api.entry.replica.document.findKey(hash)?.key.withdrawnAtMs, undefined)
    })

    test.it('may be made by the operator, who sends the hash', async () => {
      await api.call('PUT', '/admin/v1/workspaces/a', workspace)
      const created = await api.call('POST', '/admin/v1/workspaces/a/keys', { hash: 'd'.repeat(64) })
      assert.deepEqual([created.json.id, created.json.key], [`k-${'d'.repeat(12)}`, undefined])
    })

    test.it('do not come back in the answer to a repeated call', async () => {
      await api.call('PUT', '/admin/v1/workspaces/a', workspace)
      const headers = { 'idempotency-key': 'op' }
      await api.call('POST', '/admin/v1/workspaces/a/keys', { id: 'k1' }, headers)
      const repeated = await api.call('POST', '/admin/v1/workspaces/a/keys', { id: 'k1' }, headers)
      assert.deepEqual([repeated.json.repeated, repeated.json.key], [true, undefined])
      assert.equal(api.entry.replica.document.listKeyRings().get('a')?.keys.length, 1)
    })

    test.it('go with their workspace', async () => {
      await api.call('PUT', '/admin/v1/workspaces/a', workspace)
      await api.call('POST', '/admin/v1/workspaces/a/keys', {})
      const reply = await api.call('DELETE', '/admin/v1/workspaces/a')
      assert.deepEqual(reply.json.sections.map((section: { name: string }) => section.name), ['workspaces/a', 'keys/a'])
    })
  })

  test.describe('members', () => {
    test.it('of workspaces and servers change by themselves', async () => {
      await api.call('PUT', '/admin/v1/workspaces/a', { ...workspace, title: 'A' })
      await api.call('PUT', '/admin/v1/workspaces/a/allowance', { tokensPerSecond: 1, burstTokens: 2 })
      assert.deepEqual(api.entry.replica.document.getWorkspace('a'), { title: 'A', allowance: { tokensPerSecond: 1, burstTokens: 2 } })
      await api.call('PUT', '/admin/v1/models/m', {})
      const server = { role: 'prefill', zone: 'z', agent: { host: '127.0.0.1', port: 5 }, models: ['m'], memoryPieces: 3 }
      assert.equal((await api.call('PUT', '/admin/v1/servers/s', server)).status, 200)
      assert.equal((await api.call('POST', '/admin/v1/servers/s/leave')).status, 200)
      assert.equal(api.entry.replica.document.getServer('s')?.state, 'leaving')
      assert.equal((await api.call('POST', '/admin/v1/servers/t/leave')).json.error.code, 'section_unknown')
    })
  })

  test.describe('credentials', () => {
    const team = { credentialHash: credentials.hashSecret('team-credential'), sections: ['workspaces/*'] }
    const headers = { authorization: 'Bearer team-credential' }

    for (const authorization of ['', 'Bearer wrong', 'Basic YTpi', 'Bearer ']) {
      test.it(`refuses "${authorization}"`, async () => {
        const reply = await api.call('GET', '/admin/v1/sections', undefined, { authorization })
        assert.deepEqual([reply.status, reply.json.error.code], [401, 'operator_unknown'])
      })
    }

    test.it('let a team read all but the secrets of others, and change its own sections', async () => {
      await api.call('PUT', '/admin/v1/teams/t', team)
      await api.call('PUT', '/admin/v1/workspaces/a', workspace, headers)
      await api.call('POST', '/admin/v1/workspaces/a/keys', {})
      assert.equal((await api.call('GET', '/admin/v1/workspaces/a', undefined, headers)).json.owner, 't')
      assert.equal((await api.call('GET', '/admin/v1/sections/keys/a', undefined, headers)).json.error.code, 'section_forbidden')
      assert.equal((await api.call('GET', '/admin/v1/sections/keys/a/history', undefined, headers)).json.error.code, 'section_forbidden')
      assert.deepEqual((await api.call('GET', '/admin/v1/teams', undefined, headers)).json.sections, [])
      assert.equal((await api.call('POST', '/admin/v1/workspaces/a/keys', {}, headers)).json.error.code, 'section_forbidden')
      assert.equal((await api.call('PUT', '/admin/v1/policy', {}, headers)).status, 403)
    })
  })

  test.describe('bad input', () => {
    test.it('lists every mistake', async () => {
      const reply = await api.call('POST', '/admin/v1/changes', { edits: [{ name: '', expectedVersion: -1 }], extra: 1 })
      const paths = reply.json.error.mistakes.map((mistake: { path: string }) => mistake.path)
      assert.deepEqual([reply.status, paths], [400, ['operation', 'edits.0.name', 'edits.0.expectedVersion', '']])
    })

    const path = '/admin/v1/workspaces/a'
    const cases = [
      { title: 'malformed JSON', body: '{"a":', headers: {}, code: 'body_malformed' },
      { title: 'a body over the limit', body: JSON.stringify('x'.repeat(apiFixture.bodyBytes)), headers: {}, code: 'body_too_large' },
      { title: 'a version that is no number', body: '{}', headers: { 'if-match': 'abc' }, code: 'headers_invalid' },
      { title: 'an operation that is too long', body: '{}', headers: { 'idempotency-key': 'x'.repeat(129) }, code: 'idempotency_key_invalid' },
      { title: 'a body of the wrong type', body: '[]', headers: {}, code: 'change_invalid' }
    ]
    for (const { title, body, headers, code } of cases) {
      test.it(`refuses ${title}`, async () => {
        const reply = await undici.request(api.url + path, {
          method: 'PUT', body, headers: { authorization: `Bearer ${fixture.administratorCredential}`, ...headers }
        })
        const { error } = await reply.body.json() as { error: { code: string, verdict: string } }
        assert.deepEqual([error.code, error.verdict], [code, 'not_run'])
      })
    }

    test.it('stops reading a body of unknown length at the limit', async () => {
      const chunk = Buffer.alloc(4_000, 0x20)
      const reply = await undici.request(api.url + path, {
        method: 'PUT',
        headers: { authorization: `Bearer ${fixture.administratorCredential}` },
        body: stream.Readable.from(Array.from({ length: 5 }, () => chunk))
      })
      assert.equal(reply.statusCode, 413)
      await reply.body.dump()
    })

    test.it('gives up a body that does not arrive in time', async () => {
      const slow = await apiFixture.startApi(new fixture.Network().addEntry(), 200)
      const socket = net.connect(Number(new URL(slow.url).port), '127.0.0.1')
      socket.write(`PUT ${path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${fixture.administratorCredential}\r\ncontent-length: 100\r\n\r\n{`)
      const answer = Buffer.concat(await socket.toArray()).toString()
      assert.match(answer, /^HTTP\/1.1 4/)
      assert.equal(slow.entry.replica.version, 0)
      await slow.close()
    })

    test.it('refuses unknown routes and methods', async () => {
      assert.equal((await api.call('GET', '/admin/v1/gardens')).json.error.code, 'route_unknown')
      assert.equal((await api.call('DELETE', '/admin/v1/sections')).json.error.code, 'method_not_allowed')
    })
  })

  test.describe('observation', () => {
    test.it('needs no credential for probes and metrics', async () => {
      assert.equal((await undici.request(`${api.url}/healthz`)).statusCode, 200)
      api.probes.isReadyNow = false
      assert.equal((await undici.request(`${api.url}/readyz`)).statusCode, 503)
      assert.match(await (await undici.request(`${api.url}/metrics`)).body.text(), /mulberryflow_up/)
    })

    test.it('returns status and time line', async () => {
      assert.equal((await api.call('GET', '/admin/v1/status')).json.processes[0].identity.node, 'entry-1')
      assert.deepEqual((await api.call('GET', '/admin/v1/timeline?request=r1&limit=5')).json.events, [apiFixture.event])
      assert.deepEqual((await api.call('GET', '/admin/v1/timeline?request=r2')).json.events, [])
    })
  })

  test.describe('description', () => {
    test.it('has every route of the table', async () => {
      const { paths } = JSON.parse(await (await undici.request(`${api.url}/admin/v1/openapi.json`)).body.text())
      for (const { path, method } of tables.table) {
        assert.notEqual(paths[path]?.[method.toLowerCase()], undefined, `${method} ${path}`)
      }
      assert.deepEqual(paths, JSON.parse(JSON.stringify(openapi.createDescription())).paths)
    })
  })

  test.it('answers 503 until the configuration is ready', async () => {
    const network = new fixture.Network()
    const entry = network.addEntry()
    ;(entry.store as unknown as { setDown (isDown: boolean): void }).setDown(true)
    const late = await apiFixture.startApi(entry)
    try {
      assert.equal((await late.call('GET', '/admin/v1/sections')).json.error.code, 'not_ready')
    } finally {
      await late.close()
    }
  })
})
