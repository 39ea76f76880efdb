/**
 * A store whose watches also report, like those of the platform, that nothing has changed; their events may come late.
 */
import * as directStores from './direct_store.js'
import * as failures from '../../src/contracts/failure.js'
import * as host from '../../src/host/types.js'
import * as storeCore from '../../standins/store_core.js'

export class ConfirmingStore extends directStores.DirectStore {
  /** Time after which a watch reports an event, in milliseconds. */
  lagMs = 0

  constructor (core: storeCore.StoreCore, private readonly clock: host.Clock, private readonly confirmPeriodMs: number) {
    super(core)
  }

  override watch (
    prefix: string,
    fromRevision: number,
    changed: (events: readonly host.StoreEvent[]) => void,
    ended: (failure: failures.Failure) => void
  ): host.Stop {
    let isStopped = false
    const report = (events: readonly host.StoreEvent[]): void => {
      if (!isStopped && !this.isDown) {
        changed(events)
      }
    }
    let pending: host.StoreEvent[] = []
    const flush = (): void => {
      const events = pending
      pending = []
      report(events)
    }
    const stopConfirming = this.clock.every(this.confirmPeriodMs, () => report([]))
    const stop = (): void => {
      isStopped = true
      stopConfirming()
      stopWatch()
    }
    const stopWatch = super.watch(prefix, fromRevision, events => {
      if (this.lagMs === 0) {
        report(events)
        return
      }
      if (pending.length === 0) {
        this.clock.after(this.lagMs, flush)
      }
      pending.push(...events)
    }, failure => {
      stop()
      ended(failure)
    })
    return stop
  }
}
