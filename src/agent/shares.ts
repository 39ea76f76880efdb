/**
 * What each workspace holds of a server, against its fair share by weight.
 */

interface Holder {
  readonly weight: number
  count: number
}

/** Slots above the fair share that count as within it, since a share of few slots is less than one request. */
const toleratedSlots = 1
/** Part of the longest wait that is left to workspaces above their share. */
const sharedPart = 0.75
/** Factor on the fair share up to which they may use that part: one server sees only part of the fleet. */
const toleratedFactor = 1.5
/** Power of the excess by which the part of the wait shrinks. */
const steepness = 6

export class Shares {
  private readonly holders = new Map<string, Holder>()
  private total = 0

  /** Counts a slot that a workspace holds or is promised. */
  add (workspace: string, weight: number): void {
    const holder = this.holders.get(workspace) ?? { weight, count: 0 }
    holder.count += 1
    this.total += 1
    this.holders.set(workspace, holder)
  }

  /**
   * Returns the part of the longest wait that one more request of a workspace may use: 1 within the share of the slots
   * held by all, a part of it above, and the less the further it is above. As waits grow, its requests are refused
   * before those of others.
   */
  getWaitShare (workspace: string, weight: number): number {
    const wanted = (this.holders.get(workspace)?.count ?? 0) + 1
    let weights = this.holders.has(workspace) ? 0 : weight
    for (const holder of this.holders.values()) {
      weights += holder.weight
    }
    const fair = (this.total + 1) * weight / weights
    if (wanted <= fair + toleratedSlots) {
      return 1
    }
    return sharedPart * Math.min(1, ((fair * toleratedFactor + toleratedSlots) / wanted) ** steepness)
  }
}
