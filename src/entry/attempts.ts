/**
 * Registry of running attempts by identifier. Dispatches frames and link events to them.
 */
import * as links from '../links/types.js'
import * as protocol from '../contracts/protocol.js'
import * as work from '../contracts/work.js'

/** Receives the frames and link events of one attempt. */
export abstract class Listener {
  abstract readonly key: work.AttemptKey
  abstract readonly link: links.Link
  abstract take (frames: readonly work.Frame[]): void
  abstract lost (): void
  abstract opened (): void
}

export class Attempts extends links.LinkObserver {
  private readonly listeners = new Map<string, Listener>()

  get size (): number {
    return this.listeners.size
  }

  add (listener: Listener): void {
    this.listeners.set(listener.key.attempt, listener)
  }

  remove (listener: Listener): void {
    this.listeners.delete(listener.key.attempt)
  }

  override lost (link: links.Link): void {
    for (const listener of this.listOn(link)) {
      listener.lost()
    }
  }

  override opened (link: links.Link): void {
    for (const listener of this.listOn(link)) {
      listener.opened()
    }
  }

  override noticed<Name extends protocol.NotificationName> (
    link: links.Link, name: Name, notice: protocol.Notice<Name>
  ): void {
    if (name !== 'work.frames') {
      return
    }
    for (const batch of (notice as work.FrameBatch).attempts) {
      this.pass(link, batch)
    }
  }

  /** Drops frames of finished attempts, of other requests, and from other agents. */
  private pass (link: links.Link, batch: work.Frames): void {
    const listener = this.listeners.get(batch.attempt)
    if (listener === undefined || listener.key.request !== batch.request || listener.link !== link) {
      return
    }
    listener.take(batch.frames)
  }

  private listOn (link: links.Link): Listener[] {
    return [...this.listeners.values()].filter(listener => listener.link === link)
  }
}
