import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as directStores from '../support/direct_store.js'
import * as failures from '../../src/contracts/failure.js'
import * as host from '../../src/host/types.js'
import * as leases from '../../src/gateway/store_lease.js'
import * as nodeSystems from '../../src/host/node_system.js'
import * as storeCore from '../../standins/store_core.js'

const key = 'entry'
/** Upper bound of the time until a lost key is acquired again. */
const longestReacquireMs = 400

/** A store that grants no lease until its gate opens. */
class SlowStore extends directStores.DirectStore {
  open: () => void = () => {}
  private readonly gate = new Promise<void>(resolve => { this.open = resolve })

  override async grantLease (ttlMs: number): Promise<failures.Result<host.StoreLease>> {
    await this.gate
    return await super.grantLease(ttlMs)
  }
}

class Observer extends leases.LeaseObserver {
  isHeld = false

  override held (): void {
    this.isHeld = true
  }

  override lost (): void {
    this.isHeld = false
  }
}

/** Waits until the calls that are due have been made. */
async function settle (): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, 20))
}

test.describe('A key under a lease', () => {
  const system = nodeSystems.createSilentSystem()
  const created: leases.StoreLease[] = []

  test.afterEach(async () => {
    for (const lease of created.splice(0)) {
      await lease.stop()
    }
  })

  function create (): { readonly store: SlowStore, readonly lease: leases.StoreLease, readonly observer: Observer } {
    const store = new SlowStore(new storeCore.StoreCore(system.clock))
    const observer = new Observer()
    const lease = new leases.StoreLease(store, system, { key, value: 'value', ttlMs: 5_000, isExclusive: true, mayTry: () => true }, observer)
    created.push(lease)
    return { store, lease, observer }
  }

  test.it('is held until it is released', async () => {
    const { store, lease, observer } = create()
    store.open()
    lease.start()
    await settle()
    assert.ok(observer.isHeld)
    assert.equal(store.core.read(key)?.value, 'value')
    await lease.stop()
    assert.equal(store.core.read(key), undefined)
  })

  // Guards against the entry of a process that is stopped while it starts, which outlives the process.
  test.it('is not acquired after it was released', async () => {
    const { store, lease } = create()
    store.open()
    await lease.stop()
    lease.start()
    await settle()
    assert.equal(store.core.read(key), undefined)
  })

  // Guards against the same where the store grants the lease late.
  test.it('is not acquired where it is released before the lease is granted', async () => {
    const { store, lease } = create()
    lease.start()
    await lease.stop()
    store.open()
    await settle()
    assert.equal(store.core.read(key), undefined)
  })

  // Guards against the entry of a process that started again, which an earlier one overwrites with a delayed write and takes along when its lease ends.
  test.it('is acquired again where it was overwritten and deleted while its lease is valid', async () => {
    const { store, lease, observer } = create()
    store.open()
    lease.start()
    await settle()
    const earlier = store.core.grantLease(5_000)
    store.core.commit({ compare: [], success: [{ kind: 'put', key, value: 'earlier', lease: earlier.id }], failure: [] })
    store.core.revokeLease(earlier.id)
    assert.equal(store.core.read(key), undefined)
    lease.recheck()
    await system.clock.sleep(longestReacquireMs)
    assert.equal(store.core.read(key)?.value, 'value')
    assert.ok(observer.isHeld)
  })

  test.it('stays as it is where the deletion of an earlier one is seen', async () => {
    const { store, lease } = create()
    store.open()
    lease.start()
    await settle()
    const before = store.core.read(key)?.modRevision
    lease.recheck()
    await system.clock.sleep(longestReacquireMs)
    assert.equal(store.core.read(key)?.modRevision, before)
  })
})
