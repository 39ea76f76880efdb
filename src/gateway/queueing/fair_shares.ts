/**
 * What workspaces were given lately, in parts of their limits.
 *
 * Pattern: one workspace asks for several times its usual rate and would take all memory, because each of its requests has waited as long
 * as those of others. The workspace that was given the smallest part of its limit lately goes first. What a gateway gave counts at once;
 * what the others gave is the growth of the totals of admitted units that they gossip for the limits. Use decays, so a workspace
 * saves up no claim while it is idle, and one that is alone is never held back.
 */
import * as routing from '../../contracts/routing.js'

/** Time constant of the decay of use, in milliseconds: about as long as a generation holds memory, so that shares of the memory even out. */
export const useTimeConstantMs = 10_000
/** Upper bound of the use, in multiples of what the limit allows within the time constant: a workspace with a wrong total is back within a minute. */
const maximumUse = 10
/** Limit of a workspace without one if no other has one either, in units a second. */
const assumedRate = 1

interface Account {
  readonly workspace: routing.RoutedWorkspace
  /** Decaying sum of units. */
  units: number
  updatedMs: number
}

export class FairShares {
  private readonly accounts = new Map<string, Account>()
  /** Mean limit by unit, which stands for the limit of workspaces without one. */
  private readonly meanRates = new Map<routing.RoutedWorkspace['unit'], number>()

  setWorkspaces (workspaces: readonly routing.RoutedWorkspace[], nowMs: number): void {
    const names = new Set(workspaces.map(({ name }) => name))
    for (const name of this.accounts.keys()) {
      if (!names.has(name)) {
        this.accounts.delete(name)
      }
    }
    for (const unit of ['requests', 'tokens'] as const) {
      const rates = workspaces.filter(workspace => workspace.unit === unit && workspace.rate > 0).map(({ rate }) => rate)
      this.meanRates.set(unit, rates.length === 0 ? assumedRate : rates.reduce((sum, rate) => sum + rate, 0) / rates.length)
    }
    for (const workspace of workspaces) {
      const known = this.accounts.get(workspace.name)
      const isComparable = known?.workspace.unit === workspace.unit
      this.accounts.set(workspace.name, { workspace, units: isComparable ? known.units : 0, updatedMs: isComparable ? known.updatedMs : nowMs })
    }
  }

  /** Returns what a request of a workspace uses, in the measure of `getUse`. */
  measure (name: string, tokens: number): number {
    const account = this.accounts.get(name)
    return account === undefined ? 0 : measureUnits(account.workspace, tokens) / this.getScale(account.workspace)
  }

  /** Records capacity that this gateway gave to a request. */
  recordGiven (name: string, tokens: number, nowMs: number): void {
    const account = this.accounts.get(name)
    if (account !== undefined) {
      this.add(account, measureUnits(account.workspace, tokens), nowMs)
    }
  }

  /** Records units that other gateways admitted; they are negative where refunds of refused requests prevail. */
  recordTold (name: string, units: number, nowMs: number): void {
    const account = this.accounts.get(name)
    if (account !== undefined && Number.isFinite(units)) {
      this.add(account, units, nowMs)
    }
  }

  /** Returns what a workspace was given lately, 1 if this was its limit all the time; 0 for an unknown workspace. */
  getUse (name: string, nowMs: number): number {
    const account = this.accounts.get(name)
    return account === undefined ? 0 : decay(account, nowMs) / this.getScale(account.workspace)
  }

  /** Returns the use of each workspace. */
  list (nowMs: number): ReadonlyMap<string, number> {
    return new Map([...this.accounts.keys()].map(name => [name, this.getUse(name, nowMs)]))
  }

  private add (account: Account, units: number, nowMs: number): void {
    account.units = Math.min(maximumUse * this.getScale(account.workspace), Math.max(0, decay(account, nowMs) + units))
    account.updatedMs = Math.max(account.updatedMs, nowMs)
  }

  /** Units that the limit allows within the time constant. */
  private getScale ({ rate, unit }: routing.RoutedWorkspace): number {
    return (rate > 0 ? rate : this.meanRates.get(unit) ?? assumedRate) * useTimeConstantMs / 1000
  }
}

function decay ({ units, updatedMs }: Account, nowMs: number): number {
  return units * Math.exp(-Math.max(0, nowMs - updatedMs) / useTimeConstantMs)
}

function measureUnits ({ unit }: routing.RoutedWorkspace, tokens: number): number {
  return unit === 'requests' ? 1 : tokens
}
