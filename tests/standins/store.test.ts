import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as undici from 'undici'
import * as storeFaults from '../../standins/store_faults.js'
import * as stores from '../../standins/store.js'
import * as manualClocks from '../support/manual_clock.js'
import * as clients from '../support/standin_client.js'

function encode (text: string): string {
  return Buffer.from(text).toString('base64')
}

function put (key: string, value: string, lease?: string): object {
  return { request_put: { key: encode(key), value: encode(value), lease } }
}

/** Commits whose events the stand-in keeps. */
const historyLength = 3

test.describe('Store stand-in', () => {
  let store: stores.Store
  let url: string

  test.beforeEach(async () => {
    store = new stores.Store({}, historyLength)
    url = `http://127.0.0.1:${await store.listen('127.0.0.1', 0)}`
  })

  test.afterEach(() => store.close())

  const call = (path: string, body: object): Promise<clients.Reply> => clients.post(`${url}/v3/${path}`, body)
  const setFaults = (faults: object): Promise<clients.Reply> => clients.post(`${url}/_faults`, faults)
  const getCounts = async (): Promise<Record<string, number>> => (await clients.get(`${url}/_state`)).json.calls
  const read = async (key: string, extra: object = {}): Promise<string | undefined> => {
    const { json } = await call('kv/range', { key: encode(key), ...extra })
    return json.kvs === undefined ? undefined : Buffer.from(json.kvs[0].value, 'base64').toString()
  }

  test.describe('keys', () => {
    test.it('commits a transaction only when its comparison holds', async () => {
      const compare = [{ key: encode('a'), target: 'MOD', result: 'EQUAL', mod_revision: '0' }]
      const first = await call('kv/txn', { compare, success: [put('a', '1')] })
      assert.equal(first.json.succeeded, true)
      const failure = [{ request_range: { key: encode('a') } }]
      const second = await call('kv/txn', { compare, success: [put('a', '2')], failure })
      assert.equal(second.json.succeeded, undefined)
      assert.equal(second.json.responses[0].response_range.kvs[0].mod_revision, first.json.header.revision)
      assert.equal(await read('a'), '1')
    })

    test.it('reads a span in pages', async () => {
      for (const key of ['p/1', 'p/2', 'p/3', 'q']) {
        await call('kv/put', { key: encode(key), value: encode(key) })
      }
      const page = (await call('kv/range', { key: encode('p/'), range_end: encode('p0'), limit: '2' })).json
      assert.deepEqual([page.kvs.length, page.more, page.count], [2, true, '3'])
      const rest = (await call('kv/range', { key: encode('p/2\0'), range_end: encode('p0') })).json
      assert.deepEqual([rest.kvs.length, rest.more], [1, undefined])
      await call('kv/put', { key: encode('p/0'), value: encode('late') })
      await call('kv/deleterange', { key: encode('p/3') })
      const changed = (await call('kv/range', { key: encode('p/'), range_end: encode('p0'), keys_only: true })).json
      assert.deepEqual(changed.kvs.map((kv: { key: string }) => kv.key), ['p/0', 'p/1', 'p/2'].map(encode))
    })
  })

  test.describe('leases', () => {
    test.it('deletes the keys of a revoked lease and refuses writes under it', async () => {
      const lease = (await call('lease/grant', { TTL: '60' })).json.ID
      await call('kv/txn', { success: [put('held', 'x', lease)] })
      assert.equal((await call('lease/keepalive', { ID: lease })).json.result.TTL, '60')
      await call('lease/revoke', { ID: lease })
      assert.equal(await read('held'), undefined)
      assert.equal((await call('lease/keepalive', { ID: lease })).json.result.TTL, undefined)
      const late = await call('kv/txn', { success: [put('held', 'x', lease)] })
      assert.deepEqual([late.status, late.json.code], [404, 5])
    })
  })

  test.describe('watches', () => {
    async function * openWatch (body: object): AsyncGenerator<any> {
      const response = await undici.request(`${url}/v3/watch`, { method: 'POST', body: JSON.stringify({ create_request: body }) })
      let rest = ''
      for await (const chunk of response.body) {
        const lines = `${rest}${chunk}`.split('\n')
        rest = lines.pop() ?? ''
        yield * lines.map(line => JSON.parse(line).result)
      }
    }

    test.it('reports past and new events of its span as lines', async () => {
      await call('kv/put', { key: encode('w/1'), value: encode('old') })
      const results = openWatch({ key: encode('w/'), range_end: encode('w0'), start_revision: '2' })
      const next = async (): Promise<any> => (await results.next()).value
      assert.equal((await next()).created, true)
      assert.equal((await next()).events[0].kv.value, encode('old'))
      await call('kv/put', { key: encode('other'), value: encode('x') })
      await call('kv/deleterange', { key: encode('w/1') })
      assert.deepEqual((await next()).events[0], { type: 'DELETE', kv: { key: encode('w/1'), mod_revision: '4' } })
    })

    test.it('are cancelled when the events they ask for are no longer kept', async () => {
      for (let count = 0; count <= historyLength; count += 1) {
        await call('kv/put', { key: encode('w'), value: encode(String(count)) })
      }
      const results = openWatch({ key: encode('w'), start_revision: '2' })
      await results.next()
      const { canceled, compact_revision: compactRevision } = (await results.next()).value
      assert.deepEqual([canceled, compactRevision], [true, '3'])
    })

    test.it('never skip events: one that was silent in an outage stays so', async () => {
      const results = openWatch({ key: encode('w') })
      await results.next()
      await setFaults({ outage: 'hang' })
      await setFaults({ outage: 'none' })
      await call('kv/put', { key: encode('w'), value: encode('after') })
      assert.equal((await clients.get(`${url}/_state`)).json.openWatches, 1)
      await setFaults({ outage: 'close' })
      await assert.rejects(results.next())
    })

    test.it('close with an outage that closes connections', async () => {
      const results = openWatch({ key: encode('w') })
      await results.next()
      await setFaults({ outage: 'close' })
      await assert.rejects(results.next())
      await assert.rejects(read('w'))
      assert.equal((await clients.get(`${url}/_state`)).json.openWatches, 0)
    })
  })

  test.describe('faults', () => {
    test.it('refuses in the published error shape during an outage', async () => {
      await setFaults({ outage: 'refuse' })
      const reply = await call('kv/range', { key: encode('a') })
      assert.deepEqual([reply.status, reply.json.code], [503, 14])
    })

    test.it('loses the answer of a write that took effect, and only as often as told', async () => {
      await setFaults({ lostAnswers: 1 })
      await assert.rejects(call('kv/put', { key: encode('a'), value: encode('1') }))
      assert.equal(await read('a'), '1')
      assert.equal((await call('kv/put', { key: encode('a'), value: encode('2') })).status, 200)
    })

    test.it('answers reads from an earlier state while stale', async () => {
      await call('kv/put', { key: encode('a'), value: encode('1') })
      await setFaults({ staleReads: 'serializable' })
      await call('kv/put', { key: encode('a'), value: encode('2') })
      assert.equal(await read('a', { serializable: true }), '1')
      assert.equal(await read('a'), '2')
      await setFaults({ staleReads: 'all' })
      assert.equal(await read('a'), '1')
      await setFaults({ staleReads: 'none' })
      assert.equal(await read('a'), '2')
    })

    test.it('counts calls by kind and refuses those over the budget', async () => {
      await setFaults({ writesPerSecond: 1e-9 })
      const reply = await call('kv/put', { key: encode('a'), value: encode('1') })
      assert.deepEqual([reply.status, reply.json.code], [429, 8])
      await read('a')
      const counts = await getCounts()
      assert.deepEqual([counts['write'], counts['read'], counts['refused']], [1, 1, 1])
    })

    test.it('rejects an unknown knob and keeps the others', async () => {
      assert.equal((await setFaults({ outages: 'refuse' })).status, 400)
      assert.equal((await call('kv/range', { key: encode('a') })).status, 200)
    })
  })
  test.describe('CallBudget', () => {
    test.it('refuses above the rate and earns calls back with time', async () => {
      const clock = new manualClocks.ManualClock()
      const budget = new storeFaults.CallBudget(clock)
      assert.deepEqual([budget.tryTake(2), budget.tryTake(2), budget.tryTake(2)], [true, true, false])
      await clock.advance(500)
      assert.deepEqual([budget.tryTake(2), budget.tryTake(2)], [true, false])
    })
  })

  test.describe('CallCounts', () => {
    test.it('remembers the busiest second', async () => {
      const clock = new manualClocks.ManualClock()
      const counts = new storeFaults.CallCounts(clock)
      counts.addCall('read', '/a')
      counts.addCall('write', '/b')
      await clock.advance(1000)
      counts.addCall('read', '/a')
      assert.deepEqual(counts.describe(), { read: 2, write: 1, '/a': 2, '/b': 1, peakPerSecond: 2 })
    })
  })
})
