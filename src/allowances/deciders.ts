/**
 * Which process a client asks to decide the charges of a shard: its keeper, and the successors in turn while the
 * keeper does not answer, since they may decide with their shares.
 */
import * as records from './record.js'

interface Place {
  readonly keeper: string
  readonly index: number
}

export class Deciders {
  private readonly places = new Map<number, Place>()

  /** Chooses among the keeper and its successors; `undefined` if none is known. */
  choose (shard: number, members: readonly records.Member[]): records.Member | undefined {
    const place = this.places.get(shard)
    const isSame = place !== undefined && place.keeper === members[0]?.node
    return isSame ? members[place.index % members.length] : members[0]
  }

  /** The chosen process has not answered. */
  skip (shard: number, members: readonly records.Member[]): void {
    const keeper = members[0]?.node
    if (keeper !== undefined) {
      const place = this.places.get(shard)
      this.places.set(shard, { keeper, index: (place?.keeper === keeper ? place.index : 0) + 1 })
    }
  }

  /** The chosen process has not decided: the keeper is asked again. */
  reset (shard: number): void {
    this.places.delete(shard)
  }
}
