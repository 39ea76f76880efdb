/**
 * Compares the slots that each workspace holds on a server with its fair share by weight.
 */

interface Holder {
  readonly weight: number
  count: number
}

/** Slots above the fair share that are tolerated, because a share of few slots can be less than one request. */
const slotTolerance = 1
/** Fraction of the longest wait that workspaces above their fair share may use. */
const aboveShareFraction = 0.75
/** Multiple of the fair share up to which that fraction is undiminished, because one server sees only a part of all load. */
const fairShareTolerance = 1.5
/** Exponent with which the fraction shrinks as the excess grows. */
const decayExponent = 6

export class FairShares {
  private readonly holders = new Map<string, Holder>()
  private total = 0

  /** Counts a slot that a workspace holds or has reserved. */
  add (workspace: string, weight: number): void {
    const holder = this.holders.get(workspace) ?? { weight, count: 0 }
    holder.count += 1
    this.total += 1
    this.holders.set(workspace, holder)
  }

  /**
   * Returns the fraction of the longest wait that one more request of a workspace may use: 1 within the fair share of the
   * held slots, and less the further the workspace is above it. As waits grow, the requests of workspaces above
   * their share are therefore refused first.
   */
  getWaitFraction (workspace: string, weight: number): number {
    const wanted = (this.holders.get(workspace)?.count ?? 0) + 1
    let weights = this.holders.has(workspace) ? 0 : weight
    for (const holder of this.holders.values()) {
      weights += holder.weight
    }
    const fair = (this.total + 1) * weight / weights
    if (wanted <= fair + slotTolerance) {
      return 1
    }
    return aboveShareFraction * Math.min(1, ((fair * fairShareTolerance + slotTolerance) / wanted) ** decayExponent)
  }
}
