/**
 * Members that the term record no longer names as standbys but that may still use a local quota. They are requested to
 * give it up, and count until they have done so or the quota has expired. Removed members are `former` in the record.
 */
import * as records from './record.js'
import * as timings from './timing.js'

interface Entry {
  readonly member: records.Member
  /** When the removal was seen; the local quota expires at most `localQuotaMs` later. */
  readonly sinceMs: number
  isFree: boolean
}

export class FormerMembers {
  private readonly entries = new Map<string, Entry>()

  constructor (private readonly timing: timings.KeeperTiming) {}

  /** Sets the list of the record. A process that it leaves out has no local quota. */
  adopt (members: readonly records.Member[], nowMs: number): void {
    const nodes = new Set(members.map(member => member.node))
    for (const node of [...this.entries.keys()]) {
      if (!nodes.has(node)) {
        this.entries.delete(node)
      }
    }
    for (const member of members) {
      if (!this.entries.has(member.node)) {
        this.entries.set(member.node, { member, sinceMs: nowMs, isFree: false })
      }
    }
  }

  has (node: string): boolean {
    return this.entries.has(node)
  }

  /** Records that a process gave up its quota on a request sent at `sentMs`. Returns false for an outdated answer. */
  free (node: string, sentMs: number): boolean {
    const entry = this.entries.get(node)
    if (entry === undefined || sentMs < entry.sinceMs) {
      return false
    }
    entry.isFree = true
    return true
  }

  /** Records the local quotas that have expired. Returns their processes. */
  expire (nowMs: number): readonly string[] {
    const ended: string[] = []
    const outwaitMs = timings.getOutwaitMs(this.timing.shareMs, this.timing)
    for (const [node, entry] of this.entries) {
      if (!entry.isFree && nowMs - entry.sinceMs >= outwaitMs) {
        entry.isFree = true
        ended.push(node)
      }
    }
    return ended
  }

  /** Returns the members that may still use a local quota. */
  list (): readonly records.Member[] {
    const using: records.Member[] = []
    for (const entry of this.entries.values()) {
      if (!entry.isFree) {
        using.push(entry.member)
      }
    }
    return using
  }
}
