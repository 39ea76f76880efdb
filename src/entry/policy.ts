/**
 * How an entry chooses servers and when it has a decode slot kept. All policies but the standard one exist to be
 * measured against it.
 */
import * as pictures from './picture.js'
import * as planner from './planner.js'
import * as settings from '../contracts/settings.js'

/**
 * When the decode slot is kept: from the instant when prefill and transfer are expected to end, once the prefill
 * has ended, or from the start through the whole prefill.
 */
export type SlotTime = 'promised' | 'after_prefill' | 'through_prefill'

export type Standings = ReadonlyMap<string, pictures.Standing>
type NextUnit = () => number

export abstract class Policy {
  abstract readonly slotTime: SlotTime
  /** Whether a request whose first token is predicted to be late is refused before any work. */
  abstract readonly refusesLate: boolean

  /** Returns the candidates to ask, the preferred one first; `ranked` is in order of cost. */
  abstract pick (ranked: readonly planner.Candidate[], standings: Standings, nextUnit: NextUnit): planner.Candidate[]
}

/** Two of the cheapest are asked; the slot is promised for the expected instant. */
class Standard extends Policy {
  override readonly slotTime: SlotTime = 'promised'
  override readonly refusesLate: boolean = true

  override pick (ranked: readonly planner.Candidate[], _: Standings, nextUnit: NextUnit): planner.Candidate[] {
    return planner.pickTwo(ranked, nextUnit)
  }
}

class PrefillThenSlot extends Standard {
  override readonly slotTime = 'after_prefill'
}

class ReserveThrough extends Standard {
  override readonly slotTime = 'through_prefill'
}

class RoundRobin extends Policy {
  override readonly slotTime = 'after_prefill'
  override readonly refusesLate = false
  /** Turns taken in each pool, by the pool's role. */
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

/** The server whose last report showed the fewest requests, whatever was sent to it since. */
class LeastRequests extends Policy {
  override readonly slotTime = 'after_prefill'
  override readonly refusesLate = false

  override pick (ranked: readonly planner.Candidate[], standings: Standings): planner.Candidate[] {
    let least: planner.Candidate | undefined
    for (const candidate of ranked) {
      if (least === undefined || getReported(candidate, standings) < getReported(least, standings)) {
        least = candidate
      }
    }
    return least === undefined ? [] : [least]
  }
}

export function createPolicy (name: settings.PolicyName): Policy {
  switch (name) {
    case 'mulberryflow':
      return new Standard()
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

function getReported (candidate: planner.Candidate, standings: Standings): number {
  return standings.get(candidate.name)?.reported ?? 0
}
