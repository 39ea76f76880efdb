/**
 * Prefix cache of an engine: hashes of whole pieces, least recently used first, and the log of its changes.
 */
import * as host from '../src/host/types.js'

/** One published change. `id` counts the changes, so that a reader sees what is missing. */
export interface CacheEvent {
  readonly id: number
  readonly kind: 'stored' | 'removed'
  readonly hashes: readonly string[]
}

interface LoggedEvent {
  readonly atMs: number
  readonly event: CacheEvent
}

const maximumEvents = 10_000

export class CacheLog {
  private readonly logged: LoggedEvent[] = []
  private lastId = 0

  constructor (private readonly clock: host.Clock) {}

  add (kind: CacheEvent['kind'], hashes: readonly string[]): void {
    if (hashes.length === 0) {
      return
    }
    this.lastId += 1
    this.logged.push({ atMs: this.clock.monotonicMs(), event: { id: this.lastId, kind, hashes } })
    if (this.logged.length > maximumEvents) {
      this.logged.shift()
    }
  }

  /** Returns events after `since` that are old enough, in milliseconds, without every `gapEvery`-th. */
  read (since: number, delayMs: number, gapEvery: number): readonly CacheEvent[] {
    const untilMs = this.clock.monotonicMs() - delayMs
    const events: CacheEvent[] = []
    for (const { atMs, event } of this.logged) {
      const isLost = gapEvery > 0 && event.id % gapEvery === 0
      if (event.id > since && atMs <= untilMs && !isLost) {
        events.push(event)
      }
    }
    return events
  }
}

export class PrefixCache {
  /** In the order of their last use. */
  private readonly hashes = new Set<string>()

  constructor (private readonly capacity: number, readonly log: CacheLog) {}

  /** Returns how many leading pieces are held, and counts them as used. */
  match (prefixes: readonly string[]): number {
    let matched = 0
    for (const hash of prefixes) {
      if (!this.hashes.delete(hash)) {
        break
      }
      this.hashes.add(hash)
      matched += 1
    }
    return matched
  }

  store (prefixes: readonly string[]): void {
    const added = prefixes.filter(hash => !this.hashes.has(hash))
    for (const hash of prefixes) {
      this.hashes.delete(hash)
      this.hashes.add(hash)
    }
    this.log.add('stored', added)
    this.log.add('removed', this.evict())
  }

  private evict (): string[] {
    const removed: string[] = []
    for (const hash of this.hashes) {
      if (this.hashes.size <= this.capacity) {
        break
      }
      this.hashes.delete(hash)
      removed.push(hash)
    }
    return removed
  }
}
