/**
 * Follows the store: reads the changes that a document lacks, then watches for further ones until the watch ends.
 */
import * as configuration from '../contracts/configuration.js'
import * as host from '../host/types.js'
import * as storeSources from './store_source.js'

export interface StoreObserver {
  /** The read succeeded. The watch starts after its revision. */
  read (news: storeSources.StoreNews): void
  changed (change: configuration.Change): void
  /** The read failed or the watch ended. */
  failed (): void
}

export class StoreFollower {
  private stopWatch: host.Stop | undefined
  /** Incremented with each read and on stop, so that the outcome of a replaced read or watch is ignored. */
  private reads = 0

  constructor (
    private readonly source: storeSources.StoreSource,
    private readonly observer: StoreObserver
  ) {}

  /** Reads the changes after the version, then watches the store. Replaces a running read or watch. */
  async follow (version: number): Promise<void> {
    this.stop()
    const read = this.reads
    const result = await this.source.readSince(version)
    if (read !== this.reads) {
      return
    }
    if (result.isLeft()) {
      this.observer.failed()
      return
    }
    const news = result.unsafeCoerce()
    this.observer.read(news)
    this.stopWatch = this.source.watch(
      news.revision, change => this.observer.changed(change), () => this.endWatch(read)
    )
  }

  stop (): void {
    this.reads += 1
    this.stopWatch?.()
    this.stopWatch = undefined
  }

  private endWatch (read: number): void {
    if (read === this.reads) {
      this.observer.failed()
    }
  }
}
