/**
 * Low-water marks: levels below which the leaseholder of a shard does not let its buckets go, announced to the
 * standbys. A standby that takes over starts each bucket at its low-water mark instead of empty. Low-water marks are
 * `floors` on the wire.
 *
 * Announcements are numbered within a term. An announcement that was sent but not acknowledged may have
 * arrived, so the leaseholder respects the highest low-water mark that any standby may hold.
 */

/** Fraction of the burst by which a bucket may fall before a new low-water mark must be acknowledged. */
const headroomFraction = 0.25

/** A bucket at the time of an announcement. */
export interface BucketView {
  readonly workspace: string
  readonly level: number
  readonly burstTokens: number
  /** Tokens of a charge that waits for a lower low-water mark. */
  readonly wantedTokens?: number
}

export interface LowWaterMark {
  readonly workspace: string
  readonly tokens: number
}

/** The low-water marks sent to one standby: those changed since announcement `base`. */
export interface Announcement {
  readonly sequence: number
  readonly base: number
  readonly floors: readonly LowWaterMark[]
}

interface NumberedMark {
  readonly sequence: number
  readonly tokens: number
}

interface StandbyState {
  /** Latest announcement acknowledged; 0 for none. */
  acknowledged: number
  /** Earliest announcement that the standby may hold; 0 if none was sent. */
  earliest: number
  /** Latest announcement sent. */
  sent: number
}

export class LowWaterMarkLedger {
  private sequence = 0
  private readonly marks = new Map<string, NumberedMark[]>()
  private readonly standbys = new Map<string, StandbyState>()

  /** Sets the entries that may take over. An entry that is left out must no longer be able to. */
  setStandbys (nodes: readonly string[]): void {
    for (const node of [...this.standbys.keys()]) {
      if (!nodes.includes(node)) {
        this.standbys.delete(node)
      }
    }
    this.prune()
    for (const node of nodes) {
      if (!this.standbys.has(node)) {
        this.standbys.set(node, { acknowledged: 0, earliest: 0, sent: 0 })
      }
    }
  }

  /** Sets new low-water marks for the buckets that need one. Returns whether there is something new to send. */
  update (views: Iterable<BucketView>, mayRaise = true): boolean {
    const next = this.sequence + 1
    let isChanged = false
    for (const view of views) {
      const mark = this.chooseMark(view)
      const latest = this.marks.get(view.workspace)?.at(-1)?.tokens ?? Number.POSITIVE_INFINITY
      if (mark !== undefined && (mayRaise || mark < latest)) {
        this.append(view.workspace, { sequence: next, tokens: mark })
        isChanged = true
      }
    }
    if (isChanged) {
      this.sequence = next
    }
    return isChanged
  }

  /** Sets the final low-water marks of buckets that are no longer charged. */
  setFinal (marks: Iterable<LowWaterMark>): void {
    this.sequence += 1
    for (const mark of marks) {
      this.append(mark.workspace, { sequence: this.sequence, tokens: mark.tokens })
    }
  }

  /** Whether a standby has not acknowledged the latest announcement. */
  isBehind (node: string): boolean {
    const standby = this.standbys.get(node)
    return standby !== undefined && standby.acknowledged < this.sequence
  }

  /** Returns the changes that a standby has not acknowledged, and records them as sent. */
  send (node: string): Announcement {
    const standby = this.standbys.get(node)
    if (standby === undefined || this.sequence === 0) {
      return { sequence: 0, base: 0, floors: [] }
    }
    standby.sent = this.sequence
    if (standby.earliest === 0) {
      standby.earliest = this.sequence
    }
    return { sequence: this.sequence, base: standby.acknowledged, floors: this.listSince(standby.acknowledged) }
  }

  /** Records the announcement that a standby holds. */
  acknowledge (node: string, sequence: number): void {
    const standby = this.standbys.get(node)
    if (standby === undefined || sequence > standby.sent) {
      return
    }
    standby.acknowledged = sequence
    if (sequence > standby.earliest) {
      standby.earliest = sequence
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
    const marks = this.marks.get(workspace)
    if (marks === undefined || (marks[0] as NumberedMark).sequence > earliest) {
      return Number.POSITIVE_INFINITY
    }
    let reserve = 0
    for (const mark of marks) {
      reserve = Math.max(reserve, mark.tokens)
    }
    return reserve
  }

  private chooseMark (view: BucketView): number | undefined {
    const headroom = view.burstTokens * headroomFraction
    const latest = this.marks.get(view.workspace)?.at(-1)?.tokens
    const target = Math.floor(Math.max(0, view.level - headroom - (view.wantedTokens ?? 0)))
    if (latest === undefined) {
      return target
    }
    const isNear = latest > 0 && view.level - (view.wantedTokens ?? 0) < latest + headroom / 2
    const isFar = view.level > latest + headroom * 1.5
    return (isNear || isFar) && target !== latest ? target : undefined
  }

  private append (workspace: string, mark: NumberedMark): void {
    const marks = this.marks.get(workspace)
    if (marks === undefined) {
      this.marks.set(workspace, [mark])
      return
    }
    marks.push(mark)
  }

  private listSince (sequence: number): readonly LowWaterMark[] {
    const changed: LowWaterMark[] = []
    for (const [workspace, marks] of this.marks) {
      const latest = marks.at(-1) as NumberedMark
      if (latest.sequence > sequence) {
        changed.push({ workspace, tokens: latest.tokens })
      }
    }
    return changed
  }

  /** Returns the earliest announcement that any standby may hold; `undefined` if none can hold any. */
  private getEarliest (): number | undefined {
    let earliest: number | undefined
    for (const standby of this.standbys.values()) {
      if (standby.earliest > 0 && standby.earliest < (earliest ?? Number.POSITIVE_INFINITY)) {
        earliest = standby.earliest
      }
    }
    return earliest
  }

  /** Removes low-water marks that no standby can hold any more. */
  private prune (): void {
    const earliest = this.getEarliest() ?? this.sequence
    for (const marks of this.marks.values()) {
      while (marks.length > 1 && (marks[1] as NumberedMark).sequence <= earliest) {
        marks.shift()
      }
    }
  }
}
