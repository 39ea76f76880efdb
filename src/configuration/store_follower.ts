/**
 * Follows the store: reads the changes that a document lacks, then watches for further ones until the watch ends.
 */
import * as configuration from '../contracts/configuration.js'
import * as host from '../host/types.js'
import * as storeSources from './store_source.js'

export interface StoreObserver {
  /** The read succeeded. The watch starts after its revision. */
  read (update: storeSources.StoreUpdate): void
  changed (change: configuration.Change): void
  /** The read failed or the watch ended. */
  failed (): void
}

export class StoreFollower {
  private stopWatch: host.Stop | undefined
  /** Incremented with each read and on stop, so that the outcome of a replaced read or watch is ignored. */
  private generation = 0

  constructor (
    private readonly source: storeSources.StoreSource,
    private readonly observer: StoreObserver
  ) {}

  /** Reads the changes after the version, then watches the store. Replaces a running read or watch. */
  async follow (version: number): Promise<void> {
    this.stop()
    const generation = this.generation
    const result = await this.source.readSince(version)
    if (generation !== this.generation) {
      return
    }
    if (result.isLeft()) {
      this.observer.failed()
      return
    }
    const update = result.unsafeCoerce()
    this.observer.read(update)
    this.stopWatch = this.source.watch(
      update.revision, change => this.observer.changed(change), () => this.handleWatchEnd(generation)
    )
  }

  stop (): void {
    this.generation += 1
    this.stopWatch?.()
    this.stopWatch = undefined
  }

  private handleWatchEnd (generation: number): void {
    if (generation === this.generation) {
      this.observer.failed()
    }
  }
}
