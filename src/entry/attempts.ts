/**
 * Registry of running attempts by identifier. Dispatches frames and link events to them.
 */
import * as links from '../links/types.js'
import * as protocol from '../contracts/protocol.js'
import * as work from '../contracts/work.js'

/** Receives the frames and link events of one attempt. */
export abstract class AttemptListener {
  abstract readonly key: work.AttemptKey
  abstract readonly link: links.Link
  abstract handleFrames (frames: readonly work.Frame[]): void
  abstract handleLinkLost (): void
  abstract handleLinkOpened (): void
}

export class Attempts extends links.LinkObserver {
  private readonly listeners = new Map<string, AttemptListener>()

  get size (): number {
    return this.listeners.size
  }

  add (listener: AttemptListener): void {
    this.listeners.set(listener.key.attempt, listener)
  }

  remove (listener: AttemptListener): void {
    this.listeners.delete(listener.key.attempt)
  }

  override lost (link: links.Link): void {
    for (const listener of this.listByLink(link)) {
      listener.handleLinkLost()
    }
  }

  override opened (link: links.Link): void {
    for (const listener of this.listByLink(link)) {
      listener.handleLinkOpened()
    }
  }

  override notified<Name extends protocol.NotificationName> (
    link: links.Link, name: Name, notice: protocol.Notice<Name>
  ): void {
    if (name !== 'work.frames') {
      return
    }
    for (const batch of (notice as work.FrameBatch).attempts) {
      this.dispatch(link, batch)
    }
  }

  /** Drops frames of finished attempts, of other requests, and from other agents. */
  private dispatch (link: links.Link, batch: work.Frames): void {
    const listener = this.listeners.get(batch.attempt)
    if (listener === undefined || listener.key.request !== batch.request || listener.link !== link) {
      return
    }
    listener.handleFrames(batch.frames)
  }

  private listByLink (link: links.Link): AttemptListener[] {
    return [...this.listeners.values()].filter(listener => listener.link === link)
  }
}
