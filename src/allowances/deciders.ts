/**
 * Selects the process to which a client sends the charges of a shard: the leaseholder, or the standbys in turn while
 * the leaseholder does not answer, since they may grant charges from their local quotas.
 */
import * as records from './record.js'

interface Place {
  readonly keeper: string
  readonly index: number
}

export class Deciders {
  private readonly places = new Map<number, Place>()

  /** Chooses among `members`, the leaseholder first and then its standbys; `undefined` if there are none. */
  choose (shard: number, members: readonly records.Member[]): records.Member | undefined {
    const place = this.places.get(shard)
    const isSame = place !== undefined && place.keeper === members[0]?.node
    return isSame ? members[place.index % members.length] : members[0]
  }

  /** Moves on to the next member after the chosen one has not answered. */
  skip (shard: number, members: readonly records.Member[]): void {
    const keeper = members[0]?.node
    if (keeper !== undefined) {
      const place = this.places.get(shard)
      this.places.set(shard, { keeper, index: (place?.keeper === keeper ? place.index : 0) + 1 })
    }
  }

  /** Returns to the leaseholder after the chosen process could not decide. */
  reset (shard: number): void {
    this.places.delete(shard)
  }
}
