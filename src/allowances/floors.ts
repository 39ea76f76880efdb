/**
 * Floors: levels below which the keeper of a shard does not let its buckets go, announced to the successors. A
 * successor that takes over starts each bucket at its floor instead of empty.
 *
 * Announcements are numbered within a term. An announcement that was sent but not acknowledged may have
 * arrived, so the keeper respects the highest floor that any successor may hold.
 */

/** Share of the burst that a bucket may fall before a new floor must be acknowledged. */
const headroomShare = 0.25

/** A bucket at the time of an announcement. */
export interface BucketView {
  readonly workspace: string
  readonly level: number
  readonly burstTokens: number
  /** Tokens of a charge that waits for a lower floor. */
  readonly wantedTokens?: number
}

export interface Floor {
  readonly workspace: string
  readonly tokens: number
}

/** What is sent to one successor. */
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
  /** Earliest announcement that the successor may hold; 0 while nothing was sent. */
  earliest: number
  /** Latest announcement sent. */
  sent: number
}

export class FloorLedger {
  private sequence = 0
  private readonly floors = new Map<string, NumberedFloor[]>()
  private readonly successors = new Map<string, SuccessorState>()

  /** Names the entries that may take over. One that is left out must no longer be able to. */
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

  /** Chooses new floors for the buckets that need one. Returns whether there is something new to send. */
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

  /** Sets floors as they are, for buckets that are charged no more. */
  fix (floors: Iterable<Floor>): void {
    this.sequence += 1
    for (const floor of floors) {
      this.append(floor.workspace, { sequence: this.sequence, tokens: floor.tokens })
    }
  }

  /** Whether a successor lacks an announcement. */
  isBehind (node: string): boolean {
    const successor = this.successors.get(node)
    return successor !== undefined && successor.acknowledged < this.sequence
  }

  /** Returns what a successor lacks, and counts it as sent. */
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

  /** Takes note of the announcement that a successor holds. */
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

  /** Returns the level below which a bucket must not go now. */
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

  /** Earliest announcement that any successor may hold; `undefined` while none can hold any. */
  private getEarliest (): number | undefined {
    let earliest: number | undefined
    for (const successor of this.successors.values()) {
      if (successor.earliest > 0 && successor.earliest < (earliest ?? Number.POSITIVE_INFINITY)) {
        earliest = successor.earliest
      }
    }
    return earliest
  }

  /** Forgets floors that no successor can hold any more. */
  private prune (): void {
    const earliest = this.getEarliest() ?? this.sequence
    for (const floors of this.floors.values()) {
      while (floors.length > 1 && (floors[1] as NumberedFloor).sequence <= earliest) {
        floors.shift()
      }
    }
  }
}
