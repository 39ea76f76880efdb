/**
 * The processes that are named no more and may still use a share: they are asked to give it up, and count until
 * they have, or until the share has ended by itself.
 */
import * as records from './record.js'
import * as timings from './timing.js'

interface Entry {
  readonly member: records.Member
  /** Its share ends so long after this time at the latest. */
  readonly sinceMs: number
  isFree: boolean
}

export class FormerMembers {
  private readonly entries = new Map<string, Entry>()

  constructor (private readonly timing: timings.KeeperTiming) {}

  /** Takes on the list of the record; those that it leaves out have no share. */
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

  /** Takes note that a process has given up what it had when it was asked at `sentMs`. */
  free (node: string, sentMs: number): boolean {
    const entry = this.entries.get(node)
    if (entry === undefined || sentMs < entry.sinceMs) {
      return false
    }
    entry.isFree = true
    return true
  }

  /** Takes note of the shares that have ended by themselves. Returns their processes. */
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

  /** Returns those that may still use a share. */
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
