/**
 * Members that the term record no longer names as standbys but that may still use a local quota. They are requested to
 * give it up, and count until they have done so or the quota has expired. Removed members are `former` in the record.
 */
import * as records from './record.js'
import * as timings from './timing.js'

interface Removal {
  readonly member: records.Member
  /** When the removal was seen; the local quota expires at most `localQuotaMs` later. */
  readonly removedMs: number
  hasNoQuota: boolean
}

export class RemovedMembers {
  private readonly removals = new Map<string, Removal>()

  constructor (private readonly timing: timings.LeaseTiming) {}

  /** Sets the list of the record. A process that it leaves out has no local quota. */
  update (members: readonly records.Member[], nowMs: number): void {
    const nodes = new Set(members.map(member => member.node))
    for (const node of [...this.removals.keys()]) {
      if (!nodes.has(node)) {
        this.removals.delete(node)
      }
    }
    for (const member of members) {
      if (!this.removals.has(member.node)) {
        this.removals.set(member.node, { member, removedMs: nowMs, hasNoQuota: false })
      }
    }
  }

  has (node: string): boolean {
    return this.removals.has(node)
  }

  /** Records that a process gave up its quota on a request sent at `sentMs`. Returns false for an outdated answer. */
  recordForgone (node: string, sentMs: number): boolean {
    const removal = this.removals.get(node)
    if (removal === undefined || sentMs < removal.removedMs) {
      return false
    }
    removal.hasNoQuota = true
    return true
  }

  /** Records the local quotas that have expired. Returns their processes. */
  expire (nowMs: number): readonly string[] {
    const ended: string[] = []
    const expiryWaitMs = timings.getExpiryWaitMs(this.timing.localQuotaMs, this.timing)
    for (const [node, removal] of this.removals) {
      if (!removal.hasNoQuota && nowMs - removal.removedMs >= expiryWaitMs) {
        removal.hasNoQuota = true
        ended.push(node)
      }
    }
    return ended
  }

  /** Returns the members that may still use a local quota. */
  list (): readonly records.Member[] {
    const members: records.Member[] = []
    for (const removal of this.removals.values()) {
      if (!removal.hasNoQuota) {
        members.push(removal.member)
      }
    }
    return members
  }
}
