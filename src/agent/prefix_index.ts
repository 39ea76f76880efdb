/**
 * The prompt prefixes that the engine's cache is believed to hold: what the engine reported, late and with
 * gaps, corrected by what it was given since.
 */
import * as types from './types.js'

/** Prefixes kept at most; the oldest are forgotten first. */
const prefixLimit = 200_000
/** Offered prompts remembered until their start, at most. */
const offerLimit = 2_000

export class PrefixIndex {
  private readonly stored = new Set<string>()
  private readonly offered = new Map<string, readonly string[]>()

  /** Applies what the engine reported. */
  apply (change: types.CacheChange): void {
    for (const prefix of change.evicted) {
      this.stored.delete(prefix)
    }
    this.store(change.stored)
  }

  /** Remembers the prefixes of a request that may be started here. */
  remember (request: string, prefixes: readonly string[]): void {
    this.offered.delete(request)
    this.offered.set(request, prefixes)
    if (this.offered.size > offerLimit) {
      this.offered.delete(this.offered.keys().next().value as string)
    }
  }

  /** Returns the prefixes of a request that was offered before. */
  recall (request: string): readonly string[] {
    return this.offered.get(request) ?? []
  }

  /** Takes note that the prompt of a request has been prefilled. */
  storeRequest (request: string): void {
    this.store(this.recall(request))
    this.offered.delete(request)
  }

  /** Returns how many of the prefixes, shortest first, are in the cache without a gap. */
  match (prefixes: readonly string[]): number {
    let count = 0
    for (const prefix of prefixes) {
      if (!this.stored.has(prefix)) {
        return count
      }
      count += 1
    }
    return count
  }

  private store (prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      this.stored.delete(prefix)
      this.stored.add(prefix)
    }
    while (this.stored.size > prefixLimit) {
      this.stored.delete(this.stored.values().next().value as string)
    }
  }
}
