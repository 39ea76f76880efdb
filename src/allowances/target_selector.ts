/**
 * Selects the process to which a client sends the charges of a shard: the leaseholder, or the standbys in turn while
 * the leaseholder does not answer, since they may grant charges from their local quotas.
 */
import * as records from './record.js'

interface Position {
  readonly leaseholder: string
  readonly index: number
}

export class TargetSelector {
  private readonly positions = new Map<number, Position>()

  /** Chooses among `members`, the leaseholder first and then its standbys; `undefined` if there are none. */
  choose (shard: number, members: readonly records.Member[]): records.Member | undefined {
    const position = this.positions.get(shard)
    const isSameLeaseholder = position !== undefined && position.leaseholder === members[0]?.node
    return isSameLeaseholder ? members[position.index % members.length] : members[0]
  }

  /** Moves on to the next member after the chosen one has not answered. */
  skip (shard: number, members: readonly records.Member[]): void {
    const leaseholder = members[0]?.node
    if (leaseholder !== undefined) {
      const position = this.positions.get(shard)
      this.positions.set(shard, { leaseholder, index: (position?.leaseholder === leaseholder ? position.index : 0) + 1 })
    }
  }

  /** Returns to the leaseholder after the chosen process could not decide. */
  reset (shard: number): void {
    this.positions.delete(shard)
  }
}
