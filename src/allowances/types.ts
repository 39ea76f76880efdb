/**
 * Interface of the allowances to an entry: a request is charged before it runs and settled afterwards.
 */
import * as failures from '../contracts/failure.js'
import * as identities from '../contracts/identity.js'

/** A charge of tokens to a workspace. The identifier makes it idempotent. */
export interface Charge {
  readonly id: string
  readonly workspace: string
  readonly tokens: number
}

/** A granted charge, to be settled exactly once. */
export interface Grant {
  readonly charge: Charge
  /** Returns the unused tokens to the allowance, or charges those used beyond the charge. */
  settle (usedTokens: number): void
}

/** Charges requests to the allowances of their workspaces, whichever process decides them. */
export abstract class Allowances {
  /**
   * Takes the tokens from the workspace's allowance. Fails with `allowance_exhausted` and the time to retry after if
   * the allowance does not hold them, and with `keeper_unavailable` if no process can decide.
   */
  abstract charge (charge: Charge): Promise<failures.Result<Grant>>
}

/** An entry VM as this process knows it. */
export interface EntryVm {
  readonly node: string
  readonly zone: string
  /** Address on which its process accepts connections of other processes. */
  readonly address: identities.Address
  readonly state: 'live' | 'leaving'
}

/** The entry VMs of the deployment. */
export abstract class Entries {
  /** The VM of this process. */
  abstract readonly self: EntryVm
  /** Returns all known entry VMs, including this one; the list may be stale. */
  abstract list (): readonly EntryVm[]
}
