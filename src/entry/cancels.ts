/**
 * Cancellations, repeated until the agent confirms them. They outlive the request, the caller's connection and the
 * connection of the link. An agent that is unreachable for twice the session lease has cancelled the work itself,
 * because the lease of the entry's session has expired there.
 */
import * as verdictRules from './verdict_rules.js'
import * as links from '../links/types.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

/** Offset that acknowledges all frames an attempt can have. */
const allFramesOffset = Number.MAX_SAFE_INTEGER

/** Number of session leases after which an unreachable agent has certainly cancelled the work. */
const leasesUntilCancelled = 2

interface PendingCancel {
  readonly link: links.Link
  readonly cancel: work.Cancel
  /** Monotonic time since which the agent has been unreachable, in milliseconds. */
  unreachableSinceMs: number | undefined
}

export class Cancels {
  private readonly pending = new Set<PendingCancel>()
  private readonly waiters: (() => void)[] = []

  constructor (private readonly context: types.EntryContext) {}

  /** Number of cancellations that are not confirmed yet. */
  get size (): number {
    return this.pending.size
  }

  /** Cancels an attempt, whether it has started or not. */
  add (link: links.Link, key: work.AttemptKey, boot: string): void {
    const cancel: work.Cancel = { request: key.request, attempt: key.attempt, boot, mode: 'always' }
    const item: PendingCancel = { link, cancel, unreachableSinceMs: undefined }
    this.pending.add(item)
    this.context.recorder.record({ kind: 'cancel.sent', request: key.request, attempt: key.attempt })
    this.repeatUntilConfirmed(item)
  }

  /** Resolves when every cancellation is confirmed, or its agent was unreachable until the lease expired. */
  async waitUntilConfirmed (): Promise<void> {
    if (this.pending.size > 0) {
      await new Promise<void>(resolve => this.waiters.push(resolve))
    }
  }

  private async repeatUntilConfirmed (item: PendingCancel): Promise<void> {
    const release = item.link.retain()
    while (!await this.isConfirmed(item) && !this.isLeaseExpired(item)) {
      await this.context.system.clock.sleep(this.context.timing.reconnectMs)
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

  private async isConfirmed (item: PendingCancel): Promise<boolean> {
    const answer = await item.link.call('work.cancel', item.cancel, this.context.timing.callTimeoutMs)
    const isConfirmed = answer.caseOf({ Left: verdictRules.isBootChanged, Right: () => true })
    if (isConfirmed) {
      acknowledgeAll(item.link, item.cancel)
      this.context.recorder.record({
        kind: 'cancel.confirmed', request: item.cancel.request, attempt: item.cancel.attempt
      })
    }
    return isConfirmed
  }

  private isLeaseExpired (item: PendingCancel): boolean {
    if (item.link.isOpen) {
      item.unreachableSinceMs = undefined
      return false
    }
    const nowMs = this.context.system.clock.monotonicMs()
    item.unreachableSinceMs ??= nowMs
    return nowMs - item.unreachableSinceMs >= leasesUntilCancelled * this.context.timing.sessionLeaseMs
  }
}

/** Lets an agent discard an attempt whose remaining frames are no longer needed. */
export function acknowledgeAll (link: links.Link, key: work.AttemptKey): void {
  link.notify('work.acknowledge', { request: key.request, attempt: key.attempt, offset: allFramesOffset })
}
