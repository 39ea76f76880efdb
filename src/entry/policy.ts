/**
 * Policies for server selection and for the time at which a decode slot is reserved. All policies except the standard
 * one are baselines for comparison.
 */
import * as clusterViews from './cluster_view.js'
import * as planner from './planner.js'
import * as settings from '../contracts/settings.js'

/**
 * When the decode slot is reserved: from the time at which prefill and transfer are expected to end, after the prefill
 * has ended, or from the start through the whole prefill.
 */
export type SlotTime = 'promised' | 'after_prefill' | 'through_prefill'

export type ServerSnapshots = ReadonlyMap<string, clusterViews.ServerSnapshot>
type NextUnit = () => number

export abstract class Policy {
  abstract readonly slotTime: SlotTime
  /** Whether a request whose first token is predicted to be late is refused before any work. */
  abstract readonly refusesLate: boolean

  /** Returns the candidates to request offers from, the preferred one first; `ranked` is in order of cost. */
  abstract pick (ranked: readonly planner.Candidate[], snapshots: ServerSnapshots, nextUnit: NextUnit): planner.Candidate[]
}

/** Power of two choices among the cheapest servers; the slot is reserved for the expected end of the transfer. */
class StandardPolicy extends Policy {
  override readonly slotTime: SlotTime = 'promised'
  override readonly refusesLate: boolean = true

  override pick (ranked: readonly planner.Candidate[], _: ServerSnapshots, nextUnit: NextUnit): planner.Candidate[] {
    return planner.pickTwo(ranked, nextUnit)
  }
}

class PrefillThenSlot extends StandardPolicy {
  override readonly slotTime = 'after_prefill'
}

class ReserveThrough extends StandardPolicy {
  override readonly slotTime = 'through_prefill'
}

class RoundRobin extends Policy {
  override readonly slotTime = 'after_prefill'
  override readonly refusesLate = false
  /** Number of picks in each pool, by the pool's role. */
  private readonly turns = new Map<string, number>()

  override pick (ranked: readonly planner.Candidate[]): planner.Candidate[] {
    const inOrder = [...ranked].sort((first, second) => first.name < second.name ? -1 : 1)
    const role = inOrder[0]?.server.role ?? ''
    const turn = this.turns.get(role) ?? 0
    this.turns.set(role, turn + 1)
    const picked = inOrder[turn % inOrder.length]
    return picked === undefined ? [] : [picked]
  }
}

/** Picks the server with the fewest requests in its last report; tasks sent since then do not count. */
class LeastRequests extends Policy {
  override readonly slotTime = 'after_prefill'
  override readonly refusesLate = false

  override pick (ranked: readonly planner.Candidate[], snapshots: ServerSnapshots): planner.Candidate[] {
    let least: planner.Candidate | undefined
    for (const candidate of ranked) {
      if (least === undefined || getReportedRequests(candidate, snapshots) < getReportedRequests(least, snapshots)) {
        least = candidate
      }
    }
    return least === undefined ? [] : [least]
  }
}

export function createPolicy (name: settings.PolicyName): Policy {
  switch (name) {
    case 'mulberryflow':
      return new StandardPolicy()
    case 'round_robin':
      return new RoundRobin()
    case 'least_requests':
      return new LeastRequests()
    case 'prefill_then_slot':
      return new PrefillThenSlot()
    case 'reserve_through':
      return new ReserveThrough()
  }
}

function getReportedRequests (candidate: planner.Candidate, snapshots: ServerSnapshots): number {
  return snapshots.get(candidate.name)?.reportedRequests ?? 0
}
