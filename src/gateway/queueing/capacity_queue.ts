/**
 * Queue of generations that wait for capacity at a decode server.
 *
 * Pattern: more generations arrive than fit into the memory of the decode servers. More urgent ones go first; at equal priority,
 * short ones have a head start over long ones; a generation is refused once it can no longer finish in time. Requests that were
 * refused before and are late in any case use the capacity that is left over, and are not refused again while they can still be
 * served. At contested services, workspaces share the capacity among requests of equal priority, and a request behind more than can be
 * served before its time is refused while that costs its caller little.
 */
import type * as fairShares from './fair_shares.js'

/** Head start of a generation over one that is a token longer, in milliseconds: roughly the additional time for which the longer one occupies capacity, scaled to the remaining wait. */
const headStartMsPerToken = 0.2
/** Upper bound of the head start, in milliseconds: a long generation goes before any that arrived so much later. */
const maximumHeadStartMs = 200

/** What a request of a contested service claims. */
export interface Claim {
  readonly service: string
  /** Empty for requests without a workspace. */
  readonly workspace: string
  /** Tokens that count against the workspace's limit. */
  readonly tokens: number
  /** Decode memory that the request needs, in tokens. */
  readonly memoryTokens: number
  /** When the request came to this gateway. */
  readonly arrivedMs: number
  /** Tells whether the request cannot be served in time behind requests that need `aheadTokens` of memory. */
  readonly isUnservable: (aheadTokens: number, nowMs: number) => boolean
}

/** A queued generation. */
export interface Waiter {
  readonly id: string
  /** 0 is the most urgent. */
  readonly priority: number
  readonly expectedOutputTokens: number
  readonly sinceMs: number
  /** Latest start that is of use to the caller, on the clock of `dispatch`: the answer still is in time or, if it is late in any case, still is accepted. */
  readonly latestMs: number
  /** The request was refused before and can no longer be served in time. */
  readonly isLate: boolean
  /** Absent for services that are not contested. */
  readonly claim?: Claim | undefined
  /** Tries to reserve capacity; returns false if there is not enough. */
  readonly tryReserve: () => boolean
  /** Called once: capacity was reserved, or the request is refused. */
  readonly settle: (taken: boolean) => void
}

type Claimant = Waiter & { readonly claim: Claim }

/** The requests of a workspace within a group, in order. */
interface WorkspaceLine {
  /** What the workspace was given lately, with its requests before `next`. */
  use: number
  /** Index of the next request. */
  next: number
  readonly waiters: Claimant[]
}

export class CapacityQueue {
  private readonly waiters = new Map<string, Waiter>()

  /** `begin` is called when the queue becomes non-empty. `shares` is needed for contested services only. */
  constructor (private readonly begin: () => void = () => {}, private readonly shares?: fairShares.FairShares) {}

  get length (): number {
    return this.waiters.size
  }

  add (waiter: Waiter): void {
    this.waiters.set(waiter.id, waiter)
    if (this.waiters.size === 1) {
      this.begin()
    }
  }

  /** Removes a waiter whose caller has disconnected. */
  remove (id: string): void {
    this.waiters.delete(id)
  }

  /** Tells whether requests wait for a contested service. */
  hasClaimants (service: string): boolean {
    for (const { claim } of this.waiters.values()) {
      if (claim?.service === service) {
        return true
      }
    }
    return false
  }

  /** Returns the waiters of contested services. */
  listClaimants (): readonly Claimant[] {
    return [...this.waiters.values()].filter(isClaimant)
  }

  /** Assigns capacity to the waiters in order, and refuses those whose deadline has passed. */
  dispatch (nowMs: number): void {
    if (this.waiters.size === 0) {
      return
    }
    const claimants = new Map<string, Claimant[]>()
    for (const waiter of [...this.waiters.values()].sort(compareWaiters)) {
      if (isClaimant(waiter)) {
        const { service } = waiter.claim
        const found = claimants.get(service) ?? []
        claimants.set(service, found)
        found.push(waiter)
      } else {
        this.serve(waiter, nowMs)
      }
    }
    for (const waiters of claimants.values()) {
      this.dispatchShared(waiters, nowMs)
    }
  }

  /** Assigns capacity of a contested service; `waiters` are in the order of their priority. */
  private dispatchShared (waiters: readonly Claimant[], nowMs: number): void {
    let aheadTokens = 0
    for (const group of splitGroups(waiters)) {
      for (const waiter of this.interleave(group, nowMs)) {
        const { claim } = waiter
        const end = this.serve(waiter, nowMs)
        if (end === 'taken') {
          this.shares?.recordGiven(claim.workspace, claim.tokens, nowMs)
        } else if (end === 'waiting' && claim.isUnservable(aheadTokens, nowMs)) {
          this.waiters.delete(waiter.id)
          waiter.settle(false)
        } else if (end === 'waiting') {
          aheadTokens += claim.memoryTokens
        }
      }
    }
  }

  /** Orders requests of one priority: next comes the workspace that was given the smallest part of its limit, with what precedes in this order. */
  private interleave (group: readonly Claimant[], nowMs: number): readonly Claimant[] {
    const lines = new Map<string, WorkspaceLine>()
    for (const waiter of group) {
      const { workspace } = waiter.claim
      const line = lines.get(workspace) ?? { use: this.shares?.getUse(workspace, nowMs) ?? 0, next: 0, waiters: [] }
      lines.set(workspace, line)
      line.waiters.push(waiter)
    }
    if (lines.size <= 1) {
      return group
    }
    const ordered: Claimant[] = []
    while (ordered.length < group.length) {
      let best: WorkspaceLine | undefined
      let bestWaiter: Claimant | undefined
      for (const line of lines.values()) {
        const waiter = line.waiters[line.next]
        if (waiter === undefined) {
          continue
        }
        if (best === undefined || bestWaiter === undefined || line.use < best.use || (line.use === best.use && rank(waiter) < rank(bestWaiter))) {
          best = line
          bestWaiter = waiter
        }
      }
      if (best === undefined || bestWaiter === undefined) {
        break
      }
      ordered.push(bestWaiter)
      best.next += 1
      best.use += this.shares?.measure(bestWaiter.claim.workspace, bestWaiter.claim.tokens) ?? 0
    }
    return ordered
  }

  private serve (waiter: Waiter, nowMs: number): 'taken' | 'refused' | 'waiting' {
    if (nowMs >= waiter.latestMs) {
      this.waiters.delete(waiter.id)
      waiter.settle(false)
      return 'refused'
    }
    if (waiter.tryReserve()) {
      this.waiters.delete(waiter.id)
      waiter.settle(true)
      return 'taken'
    }
    return 'waiting'
  }
}

function isClaimant (waiter: Waiter): waiter is Claimant {
  return waiter.claim !== undefined
}

/** Splits ordered waiters into groups that do not go before each other by priority. */
function splitGroups (waiters: readonly Claimant[]): readonly Claimant[][] {
  const groups: Claimant[][] = []
  let last: Claimant | undefined
  for (const waiter of waiters) {
    if (last?.priority === waiter.priority && last.isLate === waiter.isLate) {
      groups.at(-1)?.push(waiter)
    } else {
      groups.push([waiter])
    }
    last = waiter
  }
  return groups
}

function compareWaiters (a: Waiter, b: Waiter): number {
  if (a.priority !== b.priority) {
    return a.priority - b.priority
  }
  if (a.isLate !== b.isLate) {
    return a.isLate ? 1 : -1
  }
  return rank(a) - rank(b)
}

/** Lower goes first: by arrival time, with a head start for generations that occupy capacity for a short time. */
function rank (waiter: Waiter): number {
  return waiter.sinceMs + Math.min(maximumHeadStartMs, waiter.expectedOutputTokens * headStartMsPerToken)
}
