/**
 * Low-water marks: levels below which the leaseholder of a shard does not let its buckets go, announced to the
 * standbys. A standby that takes over starts each bucket at its low-water mark instead of empty. Low-water marks are
 * `floors` on the wire.
 *
 * Announcements are numbered within a term. An announcement that was sent but not acknowledged may have
 * arrived, so the leaseholder respects the highest low-water mark that any standby may hold.
 */

/** Fraction of the burst by which a bucket may fall before a new low-water mark must be acknowledged. */
const headroomShare = 0.25

/** A bucket at the time of an announcement. */
export interface BucketView {
  readonly workspace: string
  readonly level: number
  readonly burstTokens: number
  /** Tokens of a charge that waits for a lower low-water mark. */
  readonly wantedTokens?: number
}

export interface Floor {
  readonly workspace: string
  readonly tokens: number
}

/** The low-water marks sent to one standby: those changed since announcement `base`. */
export interface Announcement {
  readonly sequence: number
  readonly base: number
  readonly floors: readonly Floor[]
}

interface NumberedFloor {
  readonly sequence: number
  readonly tokens: number
}

interface SuccessorState {
  /** Latest announcement acknowledged; 0 for none. */
  acknowledged: number
  /** Earliest announcement that the standby may hold; 0 if none was sent. */
  earliest: number
  /** Latest announcement sent. */
  sent: number
}

export class FloorLedger {
  private sequence = 0
  private readonly floors = new Map<string, NumberedFloor[]>()
  private readonly successors = new Map<string, SuccessorState>()

  /** Sets the entries that may take over. An entry that is left out must no longer be able to. */
  setSuccessors (nodes: readonly string[]): void {
    for (const node of [...this.successors.keys()]) {
      if (!nodes.includes(node)) {
        this.successors.delete(node)
      }
    }
    this.prune()
    for (const node of nodes) {
      if (!this.successors.has(node)) {
        this.successors.set(node, { acknowledged: 0, earliest: 0, sent: 0 })
      }
    }
  }

  /** Sets new low-water marks for the buckets that need one. Returns whether there is something new to send. */
  update (views: Iterable<BucketView>, mayRaise = true): boolean {
    const next = this.sequence + 1
    let isChanged = false
    for (const view of views) {
      const floor = this.chooseFloor(view)
      const latest = this.floors.get(view.workspace)?.at(-1)?.tokens ?? Number.POSITIVE_INFINITY
      if (floor !== undefined && (mayRaise || floor < latest)) {
        this.append(view.workspace, { sequence: next, tokens: floor })
        isChanged = true
      }
    }
    if (isChanged) {
      this.sequence = next
    }
    return isChanged
  }

  /** Sets the final low-water marks of buckets that are no longer charged. */
  fix (floors: Iterable<Floor>): void {
    this.sequence += 1
    for (const floor of floors) {
      this.append(floor.workspace, { sequence: this.sequence, tokens: floor.tokens })
    }
  }

  /** Whether a standby has not acknowledged the latest announcement. */
  isBehind (node: string): boolean {
    const successor = this.successors.get(node)
    return successor !== undefined && successor.acknowledged < this.sequence
  }

  /** Returns the changes that a standby has not acknowledged, and records them as sent. */
  send (node: string): Announcement {
    const successor = this.successors.get(node)
    if (successor === undefined || this.sequence === 0) {
      return { sequence: 0, base: 0, floors: [] }
    }
    successor.sent = this.sequence
    if (successor.earliest === 0) {
      successor.earliest = this.sequence
    }
    return { sequence: this.sequence, base: successor.acknowledged, floors: this.listSince(successor.acknowledged) }
  }

  /** Records the announcement that a standby holds. */
  acknowledge (node: string, sequence: number): void {
    const successor = this.successors.get(node)
    if (successor === undefined || sequence > successor.sent) {
      return
    }
    successor.acknowledged = sequence
    if (sequence > successor.earliest) {
      successor.earliest = sequence
      this.prune()
    }
  }

  /**
   * Returns the level below which a bucket must not go now: infinity if a standby may take the bucket for untouched.
   */
  getReserve (workspace: string): number {
    const earliest = this.getEarliest()
    if (earliest === undefined) {
      return 0
    }
    const floors = this.floors.get(workspace)
    if (floors === undefined || (floors[0] as NumberedFloor).sequence > earliest) {
      return Number.POSITIVE_INFINITY
    }
    let reserve = 0
    for (const floor of floors) {
      reserve = Math.max(reserve, floor.tokens)
    }
    return reserve
  }

  private chooseFloor (view: BucketView): number | undefined {
    const headroom = view.burstTokens * headroomShare
    const latest = this.floors.get(view.workspace)?.at(-1)?.tokens
    const target = Math.floor(Math.max(0, view.level - headroom - (view.wantedTokens ?? 0)))
    if (latest === undefined) {
      return target
    }
    const isNear = latest > 0 && view.level - (view.wantedTokens ?? 0) < latest + headroom / 2
    const isFar = view.level > latest + headroom * 1.5
    return (isNear || isFar) && target !== latest ? target : undefined
  }

  private append (workspace: string, floor: NumberedFloor): void {
    const floors = this.floors.get(workspace)
    if (floors === undefined) {
      this.floors.set(workspace, [floor])
      return
    }
    floors.push(floor)
  }

  private listSince (sequence: number): readonly Floor[] {
    const changed: Floor[] = []
    for (const [workspace, floors] of this.floors) {
      const latest = floors.at(-1) as NumberedFloor
      if (latest.sequence > sequence) {
        changed.push({ workspace, tokens: latest.tokens })
      }
    }
    return changed
  }

  /** Returns the earliest announcement that any standby may hold; `undefined` if none can hold any. */
  private getEarliest (): number | undefined {
    let earliest: number | undefined
    for (const successor of this.successors.values()) {
      if (successor.earliest > 0 && successor.earliest < (earliest ?? Number.POSITIVE_INFINITY)) {
        earliest = successor.earliest
      }
    }
    return earliest
  }

  /** Removes low-water marks that no standby can hold any more. */
  private prune (): void {
    const earliest = this.getEarliest() ?? this.sequence
    for (const floors of this.floors.values()) {
      while (floors.length > 1 && (floors[1] as NumberedFloor).sequence <= earliest) {
        floors.shift()
      }
    }
  }
}
