/**
 * Estimates which prompt prefixes the engine's cache holds. The engine's reports arrive late and with gaps, so prompts that
 * it has prefilled since are added.
 */
import * as types from './types.js'

/** Maximum number of prefixes; the oldest are evicted first. */
const prefixLimit = 200_000
/** Maximum number of offered prompts kept until their start. */
const offerLimit = 2_000

export class PrefixIndex {
  private readonly stored = new Set<string>()
  private readonly offered = new Map<string, readonly string[]>()

  /** Applies a report of the engine. */
  apply (change: types.CacheChange): void {
    for (const prefix of change.evicted) {
      this.stored.delete(prefix)
    }
    this.store(change.stored)
  }

  /** Stores the prefixes of an offered request. */
  addOffer (request: string, prefixes: readonly string[]): void {
    this.offered.delete(request)
    this.offered.set(request, prefixes)
    if (this.offered.size > offerLimit) {
      this.offered.delete(this.offered.keys().next().value as string)
    }
  }

  /** Returns the prefixes of an offered request; empty if unknown. */
  getOffered (request: string): readonly string[] {
    return this.offered.get(request) ?? []
  }

  /** Records that the prompt of a request has been prefilled. */
  storeOffered (request: string): void {
    this.store(this.getOffered(request))
    this.offered.delete(request)
  }

  /** Returns the number of leading prefixes, shortest first, that are in the cache. */
  countCached (prefixes: readonly string[]): number {
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
