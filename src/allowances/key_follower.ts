/**
 * Follows the shards' keys in the store: reads and watches them, and reads them again whenever the watch ends.
 */
import * as host from '../host/types.js'
import * as shardKeyStores from './shard_key_store.js'
import * as records from './record.js'
import * as timings from './timing.js'

export interface KeyFollowerContext {
  readonly keys: shardKeyStores.ShardKeyStore
  readonly store: host.Store
  readonly clock: host.Clock
  readonly timing: timings.LeaseTiming
}

/** Callbacks of a follower. */
export interface KeyFollowerCallbacks {
  /** Called with the number of shards of the deployment; `wanted` is the number that this process was started with. */
  readonly onShardCount: (count: number, wanted: number) => void
  /** Called when the keys of a shard were read or have changed. */
  readonly onShardKeys: (shard: number, keys: shardKeyStores.ShardKeys) => void
}

export class KeyFollower {
  private count = 0
  private isStopped = false
  private stopWatch: host.Stop = () => {}

  constructor (private readonly context: KeyFollowerContext, private readonly callbacks: KeyFollowerCallbacks) {}

  /** `wanted` is the number of shards if this is the first start of the deployment. */
  start (wanted: number): void {
    this.follow(wanted)
  }

  stop (): void {
    this.isStopped = true
    this.stopWatch()
  }

  private async follow (wanted: number): Promise<void> {
    if (this.isStopped) {
      return
    }
    const { keys, store } = this.context
    const counted = await keys.initializeCount(wanted)
    const loaded = counted.isRight() ? await keys.load() : counted
    if (this.isStopped) {
      return
    }
    if (counted.isLeft() || loaded.isLeft()) {
      this.followLater(wanted)
      return
    }
    this.count = counted.unsafeCoerce()
    this.callbacks.onShardCount(this.count, wanted)
    this.reportAll()
    const fromRevision = loaded.unsafeCoerce() + 1
    this.stopWatch = store.watch(
      records.keyPrefix, fromRevision, events => this.applyEvents(events), () => this.followLater(wanted))
  }

  private followLater (wanted: number): void {
    this.context.clock.after(this.context.timing.renewMs, () => this.follow(wanted))
  }

  private reportAll (): void {
    for (let shard = 0; shard < this.count; shard += 1) {
      this.callbacks.onShardKeys(shard, this.context.keys.get(shard))
    }
  }

  private applyEvents (events: readonly host.StoreEvent[]): void {
    this.context.keys.apply(events)
    const touched = new Set<number>()
    for (const event of events) {
      const parsed = records.parseKey(event.kind === 'put' ? event.entry.key : event.key)
      if (parsed !== undefined) {
        touched.add(parsed.shard)
      }
    }
    for (const shard of touched) {
      this.callbacks.onShardKeys(shard, this.context.keys.get(shard))
    }
  }
}
