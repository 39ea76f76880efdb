/**
 * What an entry needs of the allowances: to charge before a request runs, and to settle after it.
 */
import * as failures from '../contracts/failure.js'
import * as identities from '../contracts/identity.js'

/** A charge of tokens to a workspace. The identifier makes repeated sends harmless. */
export interface Charge {
  readonly id: string
  readonly workspace: string
  readonly tokens: number
}

/** A granted charge, to be settled exactly once. */
export interface Grant {
  readonly charge: Charge
  /** Gives back what was not used; charges what was used above the bound. */
  settle (usedTokens: number): void
}

/** Charges requests to the allowances of their workspaces, wherever those are kept. */
export abstract class Allowances {
  /**
   * Takes the tokens from the workspace's allowance. Fails with `allowance_exhausted` and the time to come
   * back when the allowance does not hold them, and with `keeper_unavailable` when nobody can decide.
   */
  abstract charge (charge: Charge): Promise<failures.Result<Grant>>
}

/** An entry VM as this process knows it. */
export interface EntryVm {
  readonly node: string
  readonly zone: string
  /** Where its process listens for other processes. */
  readonly address: identities.Address
  readonly state: 'live' | 'leaving'
}

/** The entry VMs of the deployment. */
export abstract class Entries {
  /** The VM of this process. */
  abstract readonly self: EntryVm
  /** All entry VMs known, this one included; the list may lag. */
  abstract list (): readonly EntryVm[]
}
