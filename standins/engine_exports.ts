/**
 * KV caches that a prefill engine keeps for decode engines to take, until taken or evicted.
 */
import * as engineCounts from './engine_counts.js'
import * as engineLink from './engine_link.js'
import * as engineMemory from './engine_memory.js'
import * as engineOptions from './engine_options.js'
import * as engineRequests from './engine_request.js'
import * as host from '../src/host/types.js'

interface Export {
  readonly request: engineRequests.EngineRequest
  readonly holding: engineMemory.Holding
  readonly blocks: readonly number[]
  readonly computedTokens: number
  readonly evictAtMs: number
  stopEviction: host.Stop
  isMoving: boolean
}

/** Outcome of a transfer that was asked for. */
export type Refusal = 'missing' | 'mismatch' | 'busy'

export class ExportTable {
  private readonly exports = new Map<number, Export>()
  private nextBlock = 1

  constructor (
    private readonly clock: host.Clock,
    private readonly link: engineLink.SharedLink,
    private readonly counts: engineCounts.EngineCounts,
    private readonly options: engineOptions.EngineOptions,
    private readonly getFaults: () => engineOptions.EngineFaults,
    private readonly released: () => void
  ) {}

  /** Keeps the KV cache of a finished prefill and returns the numbers of its blocks. */
  keep (
    request: engineRequests.EngineRequest, holding: engineMemory.Holding, computedTokens: number
  ): readonly number[] {
    const blocks: number[] = []
    for (let count = 0; count < holding.pieces; count += 1) {
      blocks.push(this.nextBlock)
      this.nextBlock += 1
    }
    holding.label = `export ${request.completion.id}`
    const evictAtMs = this.clock.monotonicMs() + this.getFaults().exportTtlMs
    const kept = { request, holding, blocks, computedTokens, evictAtMs, stopEviction: () => {}, isMoving: false }
    this.exports.set(blocks[0] as number, kept)
    this.planEviction(kept)
    return blocks
  }

  /**
   * Starts the transfer of a KV cache; `done` is called when the last byte has gone. The returned function breaks
   * it off, after which the cache waits for its eviction again.
   */
  take (block: number, digest: number, done: () => void): host.Stop | Refusal {
    const kept = this.exports.get(block)
    if (kept === undefined) {
      return 'missing'
    }
    if (kept.request.digest !== digest) {
      return 'mismatch'
    }
    if (kept.isMoving) {
      return 'busy'
    }
    return this.move(kept, done)
  }

  /** Drops the KV cache of a request that is not wanted any more. */
  drop (request: engineRequests.EngineRequest): void {
    for (const kept of this.exports.values()) {
      if (kept.request === request && !kept.isMoving) {
        this.evict(kept)
      }
    }
  }

  private move (kept: Export, done: () => void): host.Stop {
    kept.stopEviction()
    kept.isMoving = true
    const bytes = kept.request.completion.promptTokens * this.options.kvBytesPerToken
    const stopTransfer = this.link.start(bytes, () => {
      this.counts.takenTokens += kept.computedTokens
      this.release(kept)
      done()
    })
    return () => {
      if (!kept.isMoving || !this.exports.has(kept.blocks[0] as number)) {
        return
      }
      stopTransfer()
      kept.isMoving = false
      this.planEviction(kept)
    }
  }

  private planEviction (kept: Export): void {
    const delayMs = Math.max(0, kept.evictAtMs - this.clock.monotonicMs())
    kept.stopEviction = this.clock.after(delayMs, () => this.evict(kept))
  }

  private evict (kept: Export): void {
    this.counts.evictedTokens += kept.computedTokens
    this.release(kept)
  }

  private release (kept: Export): void {
    kept.stopEviction()
    this.exports.delete(kept.blocks[0] as number)
    kept.holding.release()
    this.released()
  }
}
