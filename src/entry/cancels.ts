/**
 * Cancels, repeated until each agent has confirmed. They outlive the request, its connection and the link's
 * connection; once an agent cannot be reached for twice the session lease, it has cancelled by itself.
 */
import * as judgement from './judgement.js'
import * as links from '../links/types.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

/** Stands for every frame that an attempt may have. */
const everyOffset = Number.MAX_SAFE_INTEGER

/** Session leases after which an agent that could not be reached has certainly let go. */
const leasesUntilGone = 2

interface Pending {
  readonly link: links.Link
  readonly cancel: work.Cancel
  /** Monotonic time from which the agent has not been reachable, in milliseconds. */
  unreachableSinceMs: number | undefined
}

export class Cancels {
  private readonly pending = new Set<Pending>()
  private readonly waiters: (() => void)[] = []

  constructor (private readonly surroundings: types.Surroundings) {}

  /** Cancels that no agent has confirmed yet. */
  get size (): number {
    return this.pending.size
  }

  /** Cancels an attempt, whether it has started or not. */
  add (link: links.Link, key: work.AttemptKey, boot: string): void {
    const cancel: work.Cancel = { request: key.request, attempt: key.attempt, boot, mode: 'always' }
    const item: Pending = { link, cancel, unreachableSinceMs: undefined }
    this.pending.add(item)
    this.surroundings.recorder.record({ kind: 'cancel.sent', request: key.request, attempt: key.attempt })
    this.repeat(item)
  }

  /** Resolves when every cancel has been confirmed, or left to the agent's lease. */
  async waitUntilConfirmed (): Promise<void> {
    if (this.pending.size > 0) {
      await new Promise<void>(resolve => this.waiters.push(resolve))
    }
  }

  private async repeat (item: Pending): Promise<void> {
    const release = item.link.hold()
    while (!await this.isConfirmed(item) && !this.isLeaseOver(item)) {
      await this.surroundings.system.clock.sleep(this.surroundings.timing.reconnectMs)
    }
    release()
    this.pending.delete(item)
    if (this.pending.size > 0) {
      return
    }
    for (const wake of this.waiters.splice(0)) {
      wake()
    }
  }

  private async isConfirmed (item: Pending): Promise<boolean> {
    const answer = await item.link.call('work.cancel', item.cancel, this.surroundings.timing.callTimeoutMs)
    const isConfirmed = answer.caseOf({ Left: judgement.isBootGone, Right: () => true })
    if (isConfirmed) {
      acknowledgeAll(item.link, item.cancel)
      this.surroundings.recorder.record({
        kind: 'cancel.confirmed', request: item.cancel.request, attempt: item.cancel.attempt
      })
    }
    return isConfirmed
  }

  private isLeaseOver (item: Pending): boolean {
    if (item.link.isOpen) {
      item.unreachableSinceMs = undefined
      return false
    }
    const nowMs = this.surroundings.system.clock.monotonicMs()
    item.unreachableSinceMs ??= nowMs
    return nowMs - item.unreachableSinceMs >= leasesUntilGone * this.surroundings.timing.sessionLeaseMs
  }
}

/** Lets an agent forget an attempt whose remaining frames nobody waits for. */
export function acknowledgeAll (link: links.Link, key: work.AttemptKey): void {
  link.notify('work.acknowledge', { request: key.request, attempt: key.attempt, offset: everyOffset })
}
