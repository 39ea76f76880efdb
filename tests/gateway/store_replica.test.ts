import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as directories from '../../src/gateway/directory.js'
import * as directStores from '../support/direct_store.js'
import * as failures from '../../src/contracts/failure.js'
import * as gateway from '../../src/gateway/types.js'
import * as host from '../../src/host/types.js'
import * as leases from '../../src/gateway/store_lease.js'
import * as manualClocks from '../support/manual_clock.js'
import * as replicas from '../../src/gateway/store_replica.js'
import * as nodeSystems from '../../src/host/node_system.js'
import * as routing from '../../src/contracts/routing.js'
import * as seededRandom from '../../src/host/seeded_random.js'
import * as storeCore from '../../standins/store_core.js'

class TestSystem extends host.System {
  override readonly clock = new manualClocks.ManualClock()
  override readonly random = new seededRandom.SeededRandom(1)
  override readonly log = new nodeSystems.SilentLog()
}

/** Stored entries are the JSON of the servers. */
class PlainDocuments extends gateway.StoredDocuments {
  override readonly routingKey = 'routing'
  override readonly serverPrefix = 'servers/'

  override readRouting (): failures.Result<routing.RoutingDocument> {
    return failures.fail(failures.createFailure('not_run', 'internal', []))
  }

  override readServer (id: string, value: string): failures.Result<routing.RoutedServer> {
    const parsed = routing.RoutedServer.safeParse({ id, ...JSON.parse(value) as object })
    return parsed.success ? failures.succeed(parsed.data) : failures.fail(failures.createFailure('not_run', 'body_invalid', ['']))
  }
}

/** A store, a replica of its servers, and the server directory fed by the replica. */
class Bench {
  readonly system = new TestSystem()
  readonly core = new storeCore.StoreCore(this.system.clock)
  readonly store = new directStores.DirectStore(this.core)
  readonly departed: string[] = []
  readonly directory = new directories.Directory(new PlainDocuments(), this.system, server => this.departed.push(server.id))
  readonly replica = new replicas.StoreReplica(this.store, 'servers/', this.system, this.directory, 900)

  put (id: string, more: object = {}): void {
    const value = JSON.stringify({ service: 's', address: '1.1.1.1:1', zone: 'a', slots: 1, state: 'ready', ...more })
    this.core.commit({ compare: [], success: [{ kind: 'put', key: `servers/${id}`, value }], failure: [] })
  }

  remove (id: string): void {
    this.core.commit({ compare: [], success: [{ kind: 'delete', key: `servers/${id}` }], failure: [] })
  }

  list (): string[] {
    return this.directory.listReady('s').map(server => server.id).sort()
  }
}

/** Starts a bench whose replica contains the server `a`. */
async function startBench (): Promise<Bench> {
  const bench = new Bench()
  bench.put('a')
  bench.replica.start()
  await bench.system.clock.advance(10)
  return bench
}

test.describe('The store replica', () => {
  test.it('follows changes, and reads the store again after its watch has ended', async () => {
    const bench = await startBench()
    assert.deepEqual(bench.list(), ['a'])
    bench.store.setDown(true)
    bench.put('b')
    bench.put('a', { state: 'draining' })
    await bench.system.clock.advance(300)
    assert.deepEqual(bench.list(), ['a'])
    bench.store.setDown(false)
    await bench.system.clock.advance(600)
    assert.deepEqual(bench.list(), ['b'])
    bench.replica.stop()
  })

  test.it('rejects an older replica of another gateway', async () => {
    const bench = new Bench()
    bench.put('a')
    const old = { revision: bench.core.revision, items: [{ key: 'servers/a', value: bench.core.read('servers/a')?.value ?? '', revision: bench.core.revision }] }
    bench.put('a', { state: 'draining' })
    bench.replica.start()
    await bench.system.clock.advance(10)
    assert.equal(bench.replica.accept(old), false)
    assert.deepEqual(bench.list(), [])
    bench.replica.stop()
  })

  test.it('accepts a newer replica of another gateway while the store does not answer', async () => {
    const bench = await startBench()
    bench.store.setDown(true)
    bench.remove('a')
    bench.put('b')
    const { entries, revision } = bench.core.readRange({ prefix: 'servers/' })
    const items = entries.map(entry => ({ key: entry.key, value: entry.value, revision: entry.modRevision }))
    assert.equal(bench.replica.accept({ revision, items }), true)
    assert.deepEqual(bench.list(), ['b'])
    bench.replica.stop()
  })

  test.it('counts as lagging once another gateway has been ahead for longer than a watch needs', async () => {
    const bench = await startBench()
    bench.store.setDown(true)
    const ahead = bench.replica.revision + 1
    assert.equal(bench.replica.isLagging(ahead - 1), false)
    assert.equal(bench.replica.isLagging(ahead), false)
    await bench.system.clock.advance(300)
    assert.equal(bench.replica.isLagging(ahead), true)
    assert.equal(bench.replica.accept({ revision: ahead, items: [] }), true)
    assert.equal(bench.replica.isLagging(ahead + 1), false)
    bench.replica.stop()
  })

  test.it('ignores keys of other kinds', async () => {
    const bench = new Bench()
    bench.put('a')
    bench.core.commit({ compare: [], success: [{ kind: 'put', key: 'notices/a', value: 'not a server' }], failure: [] })
    const replica = new replicas.StoreReplica(bench.store, '', bench.system, bench.directory, 900)
    replica.start()
    await bench.system.clock.advance(10)
    bench.core.commit({ compare: [], success: [{ kind: 'delete', key: 'notices/a' }], failure: [] })
    await bench.system.clock.advance(10)
    assert.deepEqual([bench.list(), bench.departed], [['a'], []])
    replica.stop()
  })
})

test.describe('The server directory', () => {
  test.it('removes a server whose entry is deleted while the store answers', async () => {
    const bench = await startBench()
    bench.remove('a')
    await bench.system.clock.advance(1)
    assert.deepEqual(bench.list(), [])
    assert.deepEqual(bench.departed, ['a'])
    bench.replica.stop()
  })

  test.it('keeps a server whose entry expired in an outage until it has had time to return', async () => {
    const bench = await startBench()
    bench.store.setDown(true)
    await bench.system.clock.advance(4_000)
    bench.remove('a')
    bench.store.setDown(false)
    await bench.system.clock.advance(600)
    assert.deepEqual(bench.list(), ['a'])
    await bench.system.clock.advance(2_000)
    assert.deepEqual(bench.list(), [])
    bench.replica.stop()
  })

  test.it('removes a server that leaves just after an outage before it must stop getting work', async () => {
    const bench = await startBench()
    bench.store.setDown(true)
    await bench.system.clock.advance(4_000)
    bench.store.setDown(false)
    await bench.system.clock.advance(1_000)
    bench.remove('a')
    await bench.system.clock.advance(1_900)
    assert.deepEqual(bench.list(), [])
    bench.replica.stop()
  })

  test.it('removes a server that leaves as the store recovers before it must stop getting work', async () => {
    const bench = await startBench()
    bench.store.setDown(true)
    await bench.system.clock.advance(4_000)
    bench.store.setDown(false)
    await bench.system.clock.advance(510)
    bench.remove('a')
    await bench.system.clock.advance(1_500)
    assert.deepEqual(bench.list(), [])
    bench.replica.stop()
  })

  test.it('ignores an entry that cannot be parsed, and removes the server listed under its key', async () => {
    const bench = new Bench()
    bench.put('a')
    bench.put('b')
    bench.replica.start()
    await bench.system.clock.advance(10)
    bench.put('a', { slots: 'many' })
    await bench.system.clock.advance(1)
    assert.deepEqual(bench.list(), ['b'])
    bench.replica.stop()
  })
})

test.describe('A leased key', () => {
  class Log extends leases.LeaseObserver {
    readonly lines: string[] = []

    override held (revision: number): void {
      this.lines.push(`held ${revision > 0}`)
    }

    override lost (): void {
      this.lines.push('lost')
    }
  }

  function createLease (bench: Bench, log: Log): leases.StoreLease {
    return new leases.StoreLease(bench.store, bench.system, {
      key: 'duty', value: 'x', ttlMs: 3_000, isExclusive: true, mayTry: () => bench.core.read('duty') === undefined
    }, log)
  }

  test.it('has one holder at a time, and a higher revision for the next holder', async () => {
    const bench = new Bench()
    const [one, two] = [new Log(), new Log()]
    const first = createLease(bench, one)
    const second = createLease(bench, two)
    first.start()
    await bench.system.clock.advance(10)
    const revision = bench.core.read('duty')?.modRevision ?? 0
    second.start()
    await bench.system.clock.advance(10_000)
    assert.deepEqual([one.lines, two.lines], [['held true'], []])
    await first.stop()
    await bench.system.clock.advance(2_000)
    assert.deepEqual(two.lines, ['held true'])
    assert.ok((bench.core.read('duty')?.modRevision ?? 0) > revision)
    await second.stop()
  })

  test.it('counts as lost before the lease expires in the store', async () => {
    const bench = new Bench()
    const log = new Log()
    const lease = createLease(bench, log)
    lease.start()
    await bench.system.clock.advance(10)
    bench.store.setDown(true)
    await bench.system.clock.advance(2_800)
    assert.equal(lease.isHeld, false)
    await bench.system.clock.advance(2_000)
    assert.deepEqual(log.lines, ['held true', 'lost'])
    await lease.stop()
  })

  test.it('counts as lost after a suspension that the monotonic clock does not include', async () => {
    const bench = new Bench()
    const lease = createLease(bench, new Log())
    lease.start()
    await bench.system.clock.advance(10)
    assert.equal(lease.isHeld, true)
    bench.system.clock.stepWall(5_000)
    assert.equal(lease.isHeld, false)
    await lease.stop()
  })

  test.it('is announced after a renewal if the answer to the first write came too late to be certain', async () => {
    const bench = new Bench()
    const log = new Log()
    const lease = createLease(bench, log)
    const commit = bench.store.commit.bind(bench.store)
    bench.store.commit = async transaction => {
      const committed = await commit(transaction)
      bench.system.clock.stepWall(4_000)
      return committed
    }
    lease.start()
    await bench.system.clock.advance(10)
    assert.deepEqual([lease.isHeld, log.lines], [false, []])
    await bench.system.clock.advance(2_000)
    assert.deepEqual([lease.isHeld, log.lines], [true, ['held true']])
    await lease.stop()
  })

  test.it('fails verification once the lease has ended, whatever the local clocks say', async () => {
    const bench = new Bench()
    const lease = createLease(bench, new Log())
    lease.start()
    await bench.system.clock.advance(10)
    assert.equal(await lease.verify(), true)
    bench.store.renewLease = async () => failures.fail(failures.createFailure('not_run', 'store_conflict', ['the lease has ended']))
    assert.equal(lease.isHeld, true)
    assert.equal(await lease.verify(), false)
    assert.equal(lease.isHeld, false)
    await lease.stop()
  })

  // Guards against the key of a gateway that has left: others count it, and ask it, until its lease expires.
  test.it('is not acquired by a process that stops meanwhile', async () => {
    const bench = new Bench()
    const log = new Log()
    const lease = createLease(bench, log)
    const grant = bench.store.grantLease.bind(bench.store)
    bench.store.grantLease = async ttlMs => {
      const granted = await grant(ttlMs)
      await bench.system.clock.sleep(100)
      return granted
    }
    lease.start()
    await bench.system.clock.advance(10)
    await lease.stop()
    await bench.system.clock.advance(1_000)
    assert.equal(bench.core.read('duty'), undefined)
    assert.deepEqual(log.lines, [])
  })

  test.it('is acquired after the answer to its write was lost', async () => {
    const bench = new Bench()
    const log = new Log()
    const lease = createLease(bench, log)
    bench.store.lostAnswers = 1
    lease.start()
    await bench.system.clock.advance(5_000)
    assert.equal(lease.isHeld, true)
    assert.equal(log.lines.at(-1), 'held true')
    await lease.stop()
  })
})
