import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as etcdStores from '../../src/host/etcd_store.js'
import * as failures from '../../src/contracts/failure.js'
import * as host from '../../src/host/types.js'
import * as machines from '../../src/contracts/machine.js'
import * as httpMachineLists from '../../src/host/http_machine_list.js'
import * as machineLists from '../../standins/machine_list.js'
import * as realClocks from '../../standins/real_clock.js'
import * as stores from '../../standins/store.js'
import * as clients from '../support/standin_client.js'

const clock = new realClocks.RealClock()
const timeoutMs = 5_000

function unwrap<Value> (result: failures.Result<Value>): Value {
  return result.mapLeft(failure => new Error(failure.message)).unsafeCoerce()
}

test.describe('The product\'s clients and the stand-ins of the platform', () => {
  let standin: stores.Store
  let url: string
  let store: etcdStores.EtcdStore

  test.beforeEach(async () => {
    standin = new stores.Store()
    url = `http://127.0.0.1:${await standin.listen('127.0.0.1', 0)}`
    store = new etcdStores.EtcdStore({ urls: [url], prefix: '/p/', timeoutMs }, clock)
  })

  test.afterEach(async () => {
    await store.close()
    await standin.close()
  })

  function put (key: string, value: string, revision: number, lease?: string): Promise<failures.Result<host.StoreCommit>> {
    const operation: host.StoreOperation = lease === undefined ? { kind: 'put', key, value } : { kind: 'put', key, value, lease }
    return store.commit({
      compare: [{ key, target: 'mod', revision }], success: [operation], failure: [{ kind: 'get', key }]
    })
  }

  test.it('agree on compare-and-swap, pages and reads', async () => {
    const first = unwrap(await put('a', '1', 0))
    const second = unwrap(await put('a', '2', 0))
    assert.deepEqual([first.succeeded, second.succeeded, second.reads[0]?.value], [true, false, '1'])
    unwrap(await put('b', '1', 0))
    const page = unwrap(await store.readRange({ prefix: '', limit: 1 }))
    assert.deepEqual([page.entries.map(entry => entry.key), page.more], [['a'], true])
    const rest = unwrap(await store.readRange({ prefix: '', after: 'a' }))
    assert.deepEqual([rest.entries.map(entry => entry.key), rest.more], [['b'], false])
    assert.equal(unwrap(await store.read('none')), undefined)
  })

  test.it('agree on leases', async () => {
    const lease = unwrap(await store.grantLease(60_000))
    unwrap(await put('held', 'x', 0, lease.id))
    assert.equal(unwrap(await store.renewLease(lease.id)).ttlMs, 60_000)
    unwrap(await store.revokeLease(lease.id))
    assert.equal(unwrap(await store.read('held')), undefined)
    assert.equal((await store.renewLease(lease.id)).isLeft(), true)
  })

  test.it('agree on watches', async () => {
    const changes: host.StoreEvent[] = []
    const heard = new Promise<void>(resolve => {
      store.watch('w', 1, events => {
        changes.push(...events)
        if (changes.length === 2) {
          resolve()
        }
      }, () => {})
    })
    unwrap(await put('w', '1', 0))
    unwrap(await store.commit({ compare: [], success: [{ kind: 'delete', key: 'w' }], failure: [] }))
    await heard
    assert.deepEqual(changes.map(change => change.kind), ['put', 'delete'])
  })

  test.it('agree that a lost answer may have run, and a refusal did not', async () => {
    await clients.post(`${url}/_faults`, { lostAnswers: 1 })
    const lost = await put('a', '1', 0)
    assert.equal(lost.swap().toMaybe().extract()?.verdict, 'may_have_run')
    assert.equal(unwrap(await store.read('a'))?.value, '1')
    await clients.post(`${url}/_faults`, { outage: 'refuse' })
    assert.equal((await store.read('a')).isLeft(), true)
  })

  test.it('agree on the list of VMs', async () => {
    const list = new machineLists.MachineList()
    const listUrl = `http://127.0.0.1:${await list.listen('127.0.0.1', 0)}`
    const machine: machines.Machine = { id: 'v', host: '127.0.0.2', zone: 'a', state: 'live', role: 'entry', controlPort: 1 }
    await clients.send('PUT', `${listUrl}/vms/v`, machine)
    const client = new httpMachineLists.HttpMachineList(listUrl, timeoutMs, clock)
    assert.deepEqual(unwrap(await client.read()), [machine])
    await list.close()
  })
})
