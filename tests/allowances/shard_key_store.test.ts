import * as assert from 'node:assert/strict'
import * as directStore from '../support/direct_store.js'
import * as failures from '../../src/contracts/failure.js'
import * as host from '../../src/host/types.js'
import * as shardKeyStores from '../../src/allowances/shard_key_store.js'
import * as manualClocks from '../support/manual_clock.js'
import * as records from '../../src/allowances/record.js'
import * as storeCore from '../../standins/store_core.js'
import * as test from 'node:test'

/** Reads ranges in pages of one entry, and changes the first entry after the first page was read. */
class PagedStore extends directStore.DirectStore {
  constructor (core: storeCore.StoreCore, private readonly changeFirst: () => Promise<unknown>) {
    super(core)
  }

  override async readRange (range: host.StoreRange): Promise<failures.Result<host.StorePage>> {
    const page = await super.readRange({ ...range, limit: 1 })
    if (range.after === undefined) {
      await this.changeFirst()
    }
    return page
  }
}

test.describe('ShardKeyStore', () => {
  test.it('returns a revision from which a watch reports changes made between two pages', async () => {
    const core = new storeCore.StoreCore(new manualClocks.ManualClock())
    const keys = [records.getTermKey(0), records.getTermKey(1)]
    const put = (key: string, value: string): Promise<unknown> =>
      new directStore.DirectStore(core).commit({ compare: [], success: [{ kind: 'put', key, value }], failure: [] })
    for (const key of keys) {
      await put(key, 'old')
    }
    const store = new PagedStore(core, () => put(keys[0] as string, 'new'))
    const revision = (await new shardKeyStores.ShardKeyStore(store, 'boot').load()).unsafeCoerce()
    const seen: string[] = []
    const stop = store.watch(records.keyPrefix, revision + 1, events => {
      for (const event of events) {
        seen.push(event.kind === 'put' ? event.entry.value : '')
      }
    }, () => {})
    await manualClocks.settlePromises()
    stop()
    assert.deepEqual(seen, ['new'])
  })
})
