import * as assert from 'node:assert/strict'
import * as events from 'node:events'
import * as http from 'node:http'
import * as net from 'node:net'
import * as test from 'node:test'
import * as etcdStore from '../../src/host/etcd_store.js'
import * as host from '../../src/host/types.js'
import * as machineLists from '../../src/host/http_machine_list.js'

/** A clock whose timers run only when the test fires them. */
class TestClock extends host.Clock {
  private readonly actions = new Set<() => void>()
  override monotonicMs (): number { return 0 }
  override wallMs (): number { return 0 }
  override after (_delayMs: number, action: () => void): host.Stop {
    this.actions.add(action)
    return () => this.actions.delete(action)
  }

  fireAll (): void {
    for (const action of [...this.actions]) {
      this.actions.delete(action)
      action()
    }
  }
}

type Answer = (path: string, message: Record<string, never>, response: http.ServerResponse) => void

const put: host.StoreTransaction = {
  compare: [{ key: 'a', target: 'mod', revision: 3 }],
  success: [{ kind: 'put', key: 'a', value: 'x', lease: '7' }],
  failure: [{ kind: 'get', key: 'a' }]
}

function encode (text: string): string {
  return Buffer.from(text).toString('base64')
}

async function listen (server: net.Server): Promise<string> {
  server.listen(0, '127.0.0.1')
  await events.EventEmitter.once(server, 'listening')
  return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`
}

test.describe('EtcdStore', () => {
  const cleanups: (() => unknown)[] = []
  test.afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
      await cleanup()
    }
  })

  async function serve (answer: Answer): Promise<string> {
    const server = http.createServer(async (request, response) => {
      const chunks = await request.toArray()
      answer(request.url ?? '', JSON.parse(Buffer.concat(chunks).toString() || '{}'), response)
    })
    cleanups.push(() => { server.closeAllConnections(); server.close() })
    return listen(server)
  }

  function createStore (urls: readonly string[], clock: host.Clock = new TestClock()): etcdStore.EtcdStore {
    const store = new etcdStore.EtcdStore({ urls, prefix: '/p/', timeoutMs: 1000 }, clock)
    cleanups.push(() => store.close())
    return store
  }

  async function getRefusedUrl (): Promise<string> {
    const server = net.createServer()
    const url = await listen(server)
    server.close()
    await events.EventEmitter.once(server, 'close')
    return url
  }

  test.it('adds the prefix to keys and removes it from results', async () => {
    const url = await serve((_path, message, response) => {
      const { key, range_end: end } = message as unknown as Record<string, string>
      assert.deepEqual([key, end], [encode('/p/a/1\0'), encode('/p/a0')])
      response.end(JSON.stringify({ header: { revision: '9' }, kvs: [{ key: encode('/p/a/2'), value: encode('v'), mod_revision: '5' }] }))
    })
    const page = (await createStore([url]).readRange({ prefix: 'a/', after: 'a/1' })).unsafeCoerce()
    assert.deepEqual(page, { entries: [{ key: 'a/2', value: 'v', createRevision: 0, modRevision: 5 }], revision: 9, more: false })
  })

  test.it('commits a transaction and returns its reads', async () => {
    const url = await serve((path, message, response) => {
      assert.equal(path, '/v3/kv/txn')
      assert.deepEqual(message, {
        compare: [{ key: encode('/p/a'), result: 'EQUAL', target: 'MOD', mod_revision: '3' }],
        success: [{ request_put: { key: encode('/p/a'), value: encode('x'), lease: '7' } }],
        failure: [{ request_range: { key: encode('/p/a') } }]
      })
      response.end(JSON.stringify({ header: { revision: '4' }, responses: [{ response_range: {} }] }))
    })
    const commit = (await createStore([url]).commit(put)).unsafeCoerce()
    assert.deepEqual(commit, { succeeded: false, revision: 4, reads: [undefined] })
  })

  test.describe('verdicts', () => {
    test.it('is not_run when every connection is refused', async () => {
      const result = await createStore([await getRefusedUrl()]).commit(put)
      assert.equal(result.swap().unsafeCoerce().verdict, 'not_run')
    })

    test.it('tries the next address after a refused connection', async () => {
      const url = await serve((_path, _message, response) => response.end('{"header":{"revision":"4"},"succeeded":true}'))
      const result = await createStore([await getRefusedUrl(), url]).commit(put)
      assert.equal(result.unsafeCoerce().succeeded, true)
    })

    test.it('is may_have_run when the answer to a write is lost, and the write is not sent again', async () => {
      let writes = 0
      const url = await serve((_path, _message, response) => {
        writes += 1
        response.destroy()
      })
      const result = await createStore([url, url]).commit(put)
      assert.equal(result.swap().unsafeCoerce().verdict, 'may_have_run')
      assert.equal(writes, 1)
    })

    test.it('is may_have_run when a write times out', async () => {
      const clock = new TestClock()
      const url = await serve(() => clock.fireAll())
      const result = await createStore([url], clock).commit(put)
      assert.equal(result.swap().unsafeCoerce().code, 'store_answer_lost')
    })

    test.it('is not_run when the store refuses a write', async () => {
      const url = await serve((_path, _message, response) => response.writeHead(400).end('{}'))
      const result = await createStore([url]).commit(put)
      assert.equal(result.swap().unsafeCoerce().verdict, 'not_run')
    })

    test.it('retries a read at the next address', async () => {
      const broken = await serve((_path, _message, response) => response.destroy())
      const url = await serve((_path, _message, response) => response.end('{"header":{"revision":"4"}}'))
      assert.equal((await createStore([broken, url]).read('a')).unsafeCoerce(), undefined)
    })
  })

  test.describe('leases', () => {
    test.it('reports a lease that has expired', async () => {
      const url = await serve((path, _message, response) => {
        response.end(path === '/v3/lease/grant' ? '{"ID":"7","TTL":"3"}' : '{"result":{"ID":"7"}}')
      })
      const store = createStore([url])
      assert.deepEqual((await store.grantLease(2500)).unsafeCoerce(), { id: '7', ttlMs: 3000 })
      assert.equal((await store.renewLease('7')).swap().unsafeCoerce().code, 'store_conflict')
    })
  })

  test.describe('watch', () => {
    test.it('continues after the last revision seen when an idle stream is reopened', async () => {
      const clock = new TestClock()
      const starts: number[] = []
      const line = (revision: number): string => JSON.stringify({
        result: { events: [{ kv: { key: encode('/p/c/1'), value: encode(`v${revision}`), mod_revision: String(revision) } }] }
      }) + '\n'
      const url = await serve((_path, message, response) => {
        const revision = Number((message as Record<string, Record<string, string>>).create_request?.start_revision)
        starts.push(revision)
        response.write('{"result":{"created":true}}\n' + line(revision + 4))
      })
      const seen: number[] = []
      const done = new Promise<void>(resolve => {
        const stop = createStore([url], clock).watch('c/', 1, changes => {
          for (const change of changes) {
            seen.push(change.kind === 'put' ? change.entry.modRevision : 0)
          }
          if (seen.length === 2) {
            stop()
            resolve()
            return
          }
          setImmediate(() => clock.fireAll())
        }, failure => assert.fail(failure.message))
      })
      await done
      assert.deepEqual([starts, seen], [[1, 6], [5, 10]])
    })

    test.it('reports a stream cancelled by the store', async () => {
      const url = await serve((_path, _message, response) => response.end('{"result":{"canceled":true,"compact_revision":"9"}}\n'))
      const failure = await new Promise(resolve => createStore([url]).watch('c/', 1, () => {}, resolve))
      assert.match(JSON.stringify(failure), /store_unavailable/)
    })
  })

  test.describe('HttpMachineList', () => {
    test.it('refuses a list that does not match the schema', async () => {
      const machine = { id: 'e1', host: '127.0.0.1', zone: 'a', state: 'live', role: 'entry', controlPort: 1 }
      let answer: unknown = [machine]
      const url = await serve((_path, _message, response) => response.end(JSON.stringify(answer)))
      const list = new machineLists.HttpMachineList(url, 1000, new TestClock())
      cleanups.push(() => list.close())
      assert.deepEqual((await list.read()).unsafeCoerce(), [machine])
      answer = [{ ...machine, state: 'gone' }]
      assert.equal((await list.read()).swap().unsafeCoerce().code, 'machine_list_unavailable')
    })
  })
})
