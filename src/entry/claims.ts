/**
 * Claims in the platform's store, taken by compare-and-swap. A write whose answer was lost is settled by making
 * the same write again: the store then shows whether the claim that it holds is this one.
 */
import * as claimRules from './claim_rules.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as types from './types.js'

/** A claim as the store holds it, with its revision. */
export interface Held {
  readonly key: string
  readonly claim: claimRules.Claim
  readonly revision: number
}

export type Taken =
  | { readonly kind: 'own', readonly held: Held }
  | { readonly kind: 'found', readonly held: Held }

/** How long a claim is kept at least, in milliseconds. */
const claimKeptMs = 24 * 3_600_000

/** How long new claims share one lease, in milliseconds. */
const leaseSharedMs = 3_600_000

/** Times that a write without an answer is made, the first one included. */
const writeLimit = 3

/** Times that the outcome of a call is written, before it is left to the agent's memory. */
const outcomeWriteLimit = 60

/** Pause between writes of an outcome, and the time to come back when the store is down, in milliseconds. */
const storePauseMs = 1000

interface SharedLease {
  readonly id: string
  readonly sharedUntilMs: number
}

export class Claims {
  private lease: SharedLease | undefined
  private readonly unsettled = new Set<Promise<void>>()

  constructor (private readonly surroundings: types.Surroundings) {}

  /** Outcomes that the store has not taken yet. */
  get size (): number {
    return this.unsettled.size
  }

  /** Takes a claim, unless the store holds one under the same name. Failures are `not_run`. */
  async take (name: string, claim: claimRules.Claim): Promise<failures.Result<Taken>> {
    const lease = await this.getLease()
    if (lease.isLeft()) {
      return failures.fail(createUnavailable())
    }
    const key = `${this.surroundings.storePrefix}claims/${name}`
    const compare: host.StoreComparison = { key, target: 'create', revision: 0 }
    const written = await this.write(key, claim, compare, lease.extract() as string, writeLimit)
    written.ifLeft(() => this.settleLater(() => this.retract(key, claim)))
    return written
  }

  /** Replaces a claim, if it is still as it was read. */
  async replace (held: Held, claim: claimRules.Claim): Promise<failures.Result<Taken>> {
    const lease = await this.getLease()
    if (lease.isLeft()) {
      return failures.fail(createUnavailable())
    }
    return await this.write(held.key, claim, compareRevision(held), lease.extract() as string, writeLimit)
  }

  /** Writes the outcome of a call in the background, until the store has taken it; `settled` is called then. */
  settle (held: Held, claim: claimRules.Claim, settled: () => void = () => {}): void {
    this.settleLater(async () => {
      const lease = this.lease?.id ?? ''
      await this.write(held.key, claim, compareRevision(held), lease, outcomeWriteLimit)
      settled()
    })
  }

  /** Frees a claim in the background: the call has not run. */
  free (held: Held): void {
    this.settleLater(() => this.repeat({
      compare: [compareRevision(held)], success: [{ kind: 'delete', key: held.key }], failure: []
    }))
  }

  /** Resolves when all outcomes have been written, or given up. */
  async waitUntilSettled (): Promise<void> {
    while (this.unsettled.size > 0) {
      await Promise.all([...this.unsettled])
    }
  }

  private settleLater (settle: () => Promise<void>): void {
    const settled = settle().finally(() => this.unsettled.delete(settled))
    this.unsettled.add(settled)
  }

  /** Deletes a claim whose write had no answer, if the store holds it after all. */
  private async retract (key: string, claim: claimRules.Claim): Promise<void> {
    for (let write = 0; write < outcomeWriteLimit; write += 1) {
      await this.surroundings.system.clock.sleep(storePauseMs)
      const read = await this.surroundings.store.read(key)
      if (read.isLeft()) {
        continue
      }
      const entry = read.extract() as host.StoreEntry | undefined
      if (entry?.value === JSON.stringify(claim)) {
        this.free({ key, claim, revision: entry.modRevision })
      }
      return
    }
  }

  private async repeat (transaction: host.StoreTransaction): Promise<void> {
    for (let write = 0; write < outcomeWriteLimit; write += 1) {
      const answer = await this.surroundings.store.commit(transaction)
      if (answer.isRight()) {
        return
      }
      await this.surroundings.system.clock.sleep(storePauseMs)
    }
  }

  private async write (
    key: string, claim: claimRules.Claim, compare: host.StoreComparison, lease: string, limit: number
  ): Promise<failures.Result<Taken>> {
    const value = JSON.stringify(claim)
    const transaction: host.StoreTransaction = {
      compare: [compare],
      success: [{ kind: 'put', key, value, lease }],
      failure: [{ kind: 'get', key }]
    }
    for (let write = 1; write <= limit; write += 1) {
      const answer = await this.surroundings.store.commit(transaction)
      if (answer.isRight()) {
        return readCommit(key, claim, answer.extract() as host.StoreCommit)
      }
      const { reconnectMs } = this.surroundings.timing
      await this.surroundings.system.clock.sleep(limit === writeLimit ? reconnectMs : storePauseMs)
    }
    return failures.fail(createUnavailable())
  }

  /** Returns a lease that outlasts every claim made under it now. */
  private async getLease (): Promise<failures.Result<string>> {
    const nowMs = this.surroundings.system.clock.monotonicMs()
    if (this.lease !== undefined && nowMs < this.lease.sharedUntilMs) {
      return failures.succeed(this.lease.id)
    }
    const granted = await this.surroundings.store.grantLease(claimKeptMs + leaseSharedMs)
    return granted.map(({ id }) => {
      this.lease = { id, sharedUntilMs: nowMs + leaseSharedMs }
      return id
    })
  }
}

function readCommit (
  key: string, claim: claimRules.Claim, commit: host.StoreCommit
): failures.Result<Taken> {
  if (commit.succeeded) {
    return failures.succeed({ kind: 'own', held: { key, claim, revision: commit.revision } })
  }
  const entry = commit.reads[0]
  if (entry === undefined) {
    return failures.fail(createUnavailable())
  }
  if (entry.value === JSON.stringify(claim)) {
    return failures.succeed({ kind: 'own', held: { key, claim, revision: entry.modRevision } })
  }
  const found = claimRules.Claim.safeParse(parseJson(entry.value))
  if (!found.success) {
    return failures.fail(failures.createFailure('not_run', 'internal', ['a claim cannot be read']))
  }
  return failures.succeed({ kind: 'found', held: { key, claim: found.data, revision: entry.modRevision } })
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function compareRevision (held: Held): host.StoreComparison {
  return { key: held.key, target: 'mod', revision: held.revision }
}

function createUnavailable (): failures.Failure {
  return failures.createFailure('not_run', 'store_unavailable', ['the claim could not be written'], storePauseMs)
}
