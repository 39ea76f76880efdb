/**
 * Claims in the platform's store, acquired by compare-and-swap. If the answer to a write is lost, the same write is
 * repeated: its result shows whether the claim in the store is this one.
 */
import * as claimRules from './claim_rules.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as types from './types.js'

/** A claim in the store, with its revision. */
export interface Held {
  readonly key: string
  readonly claim: claimRules.Claim
  readonly revision: number
}

export type Taken =
  | { readonly kind: 'own', readonly held: Held }
  | { readonly kind: 'found', readonly held: Held }

/** Minimum retention of a claim, in milliseconds. */
const claimKeptMs = 24 * 3_600_000

/** How long new claims are attached to the same lease, in milliseconds. */
const leaseSharedMs = 3_600_000

/** Maximum number of tries of a write that gets no answer, including the first. */
const writeLimit = 3

/** Maximum number of tries to write the outcome of a call. After that only the agent holds the outcome. */
const outcomeWriteLimit = 60

/** Pause between tries to write an outcome, and retry time for callers when the store is down, in milliseconds. */
const storePauseMs = 1000

interface SharedLease {
  readonly id: string
  readonly sharedUntilMs: number
}

export class Claims {
  private lease: SharedLease | undefined
  private readonly unsettled = new Set<Promise<void>>()

  constructor (private readonly surroundings: types.Surroundings) {}

  /** Number of background writes that have not ended. */
  get size (): number {
    return this.unsettled.size
  }

  /** Creates a claim unless the store has one of the same name. Failures have the verdict `not_run`. */
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

  /** Replaces a claim if its revision has not changed. */
  async replace (held: Held, claim: claimRules.Claim): Promise<failures.Result<Taken>> {
    const lease = await this.getLease()
    if (lease.isLeft()) {
      return failures.fail(createUnavailable())
    }
    return await this.write(held.key, claim, compareRevision(held), lease.extract() as string, writeLimit)
  }

  /** Writes the outcome of a call in the background, with retries; `settled` is called afterwards. */
  settle (held: Held, claim: claimRules.Claim, settled: () => void = () => {}): void {
    this.settleLater(async () => {
      const lease = this.lease?.id ?? ''
      await this.write(held.key, claim, compareRevision(held), lease, outcomeWriteLimit)
      settled()
    })
  }

  /** Deletes the claim of a call that has not run, in the background. */
  free (held: Held): void {
    this.settleLater(() => this.repeat({
      compare: [compareRevision(held)], success: [{ kind: 'delete', key: held.key }], failure: []
    }))
  }

  /** Resolves when all outcomes have been written or their tries are used up. */
  async waitUntilSettled (): Promise<void> {
    while (this.unsettled.size > 0) {
      await Promise.all([...this.unsettled])
    }
  }

  private settleLater (settle: () => Promise<void>): void {
    const settled = settle().finally(() => this.unsettled.delete(settled))
    this.unsettled.add(settled)
  }

  /** Deletes a claim whose write got no answer, if the store has it nevertheless. */
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

  /** Returns a lease that outlasts the retention of any claim attached to it now. */
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
    return failures.fail(failures.createFailure('not_run', 'internal', ['invalid claim record in the store']))
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
