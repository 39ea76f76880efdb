/**
 * A finished prefill, whose engine keeps the KV cache for a short time until a decode fetches it.
 */
import * as cancels from './cancels.js'
import * as links from '../links/types.js'
import * as offers from './offers.js'
import * as work from '../contracts/work.js'

/** How long an engine keeps the KV cache of a finished prefill, in milliseconds. */
const kvCacheRetentionMs = 800

export class FinishedPrefill {
  readonly name: string
  readonly region: string
  private readonly link: links.Link

  /** `finishedAtMs` is monotonic time in milliseconds. */
  constructor (
    offered: offers.ServerOffer,
    private readonly start: work.Start,
    private readonly transfer: work.TransferHandle | undefined,
    private readonly finishedAtMs: number
  ) {
    this.name = offered.name
    this.region = offered.candidate.server.region
    this.link = offered.link
  }

  isUsable (nowMs: number): boolean {
    return nowMs - this.finishedAtMs < kvCacheRetentionMs
  }

  /** Returns the time until the KV cache is evicted, in milliseconds; infinite if there is none to transfer. */
  getRemainingMs (nowMs: number): number {
    return this.transfer === undefined ? Number.POSITIVE_INFINITY : Math.max(0, this.finishedAtMs + kvCacheRetentionMs - nowMs)
  }

  /** Creates the decode task that continues from this prefill. */
  createDecode (generation: work.Generation): work.Task {
    return this.transfer === undefined
      ? { kind: 'decode', generation }
      : { kind: 'decode', generation, transfer: this.transfer }
  }

  /** Releases the KV cache by cancelling the prefill, because no decode will fetch it. */
  release (pending: cancels.Cancels): void {
    pending.add(this.link, this.start, this.start.boot)
  }
}
