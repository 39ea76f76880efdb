/**
 * Follows the store: reads what a document lacks, then watches for more until that breaks.
 */
import * as configuration from '../contracts/configuration.js'
import * as host from '../host/types.js'
import * as storeSources from './store_source.js'

export interface StoreObserver {
  /** What the read found; the watch goes on from there. */
  read (news: storeSources.StoreNews): void
  changed (change: configuration.Change): void
  /** The read failed or the watch ended. */
  failed (): void
}

export class StoreFollower {
  private stopWatch: host.Stop | undefined
  /** Counts the reads, so that the outcome of a replaced one is ignored. */
  private reads = 0

  constructor (
    private readonly source: storeSources.StoreSource,
    private readonly observer: StoreObserver
  ) {}

  /** Reads what a document at the version lacks; replaces a read or watch under way. */
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
