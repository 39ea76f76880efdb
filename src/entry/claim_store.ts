/**
 * Claims in the platform's store, acquired by compare-and-swap. If the answer to a write is lost, the same write is
 * repeated: its result shows whether the claim in the store is this one.
 */
import * as claimRules from './claim_rules.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as types from './types.js'

/** A claim in the store, with its revision. */
export interface StoredClaim {
  readonly key: string
  readonly claim: claimRules.Claim
  readonly revision: number
}

export type ClaimResult =
  | { readonly kind: 'own', readonly held: StoredClaim }
  | { readonly kind: 'found', readonly held: StoredClaim }

/** Minimum retention of a claim, in milliseconds. */
const claimRetentionMs = 24 * 3_600_000

/** How long new claims are attached to the same lease, in milliseconds. */
const leaseSharingMs = 3_600_000

/** Maximum number of tries of a write that gets no answer, including the first. */
const writeLimit = 3

/** Maximum number of tries to write the outcome of a call. After that only the agent holds the outcome. */
const outcomeWriteLimit = 60

/** Pause between tries to write an outcome, and retry time for callers when the store is down, in milliseconds. */
const storeRetryPauseMs = 1000

interface SharedLease {
  readonly id: string
  readonly sharedUntilMs: number
}

export class ClaimStore {
  private lease: SharedLease | undefined
  private readonly pendingWrites = new Set<Promise<void>>()

  constructor (private readonly context: types.EntryContext) {}

  /** Number of background writes that have not ended. */
  get size (): number {
    return this.pendingWrites.size
  }

  /** Creates a claim unless the store has one of the same name. Failures have the verdict `not_run`. */
  async acquire (name: string, claim: claimRules.Claim): Promise<failures.Result<ClaimResult>> {
    const lease = await this.getLease()
    if (lease.isLeft()) {
      return failures.fail(createStoreUnavailable())
    }
    const key = `${this.context.storePrefix}claims/${name}`
    const compare: host.StoreComparison = { key, target: 'create', revision: 0 }
    const written = await this.write(key, claim, compare, lease.extract() as string, writeLimit)
    written.ifLeft(() => this.runInBackground(() => this.retract(key, claim)))
    return written
  }

  /** Replaces a claim if its revision has not changed. */
  async replace (held: StoredClaim, claim: claimRules.Claim): Promise<failures.Result<ClaimResult>> {
    const lease = await this.getLease()
    if (lease.isLeft()) {
      return failures.fail(createStoreUnavailable())
    }
    return await this.write(held.key, claim, compareRevision(held), lease.extract() as string, writeLimit)
  }

  /** Writes the outcome of a call in the background, with retries; `settled` is called afterwards. */
  settle (held: StoredClaim, claim: claimRules.Claim, settled: () => void = () => {}): void {
    this.runInBackground(async () => {
      const lease = this.lease?.id ?? ''
      await this.write(held.key, claim, compareRevision(held), lease, outcomeWriteLimit)
      settled()
    })
  }

  /** Deletes the claim of a call that has not run, in the background. */
  release (held: StoredClaim): void {
    this.runInBackground(() => this.commitWithRetries({
      compare: [compareRevision(held)], success: [{ kind: 'delete', key: held.key }], failure: []
    }))
  }

  /** Resolves when all outcomes have been written or their tries are used up. */
  async waitUntilSettled (): Promise<void> {
    while (this.pendingWrites.size > 0) {
      await Promise.all([...this.pendingWrites])
    }
  }

  private runInBackground (action: () => Promise<void>): void {
    const settled = action().finally(() => this.pendingWrites.delete(settled))
    this.pendingWrites.add(settled)
  }

  /** Deletes a claim whose write got no answer, if the store has it nevertheless. */
  private async retract (key: string, claim: claimRules.Claim): Promise<void> {
    for (let write = 0; write < outcomeWriteLimit; write += 1) {
      await this.context.system.clock.sleep(storeRetryPauseMs)
      const read = await this.context.store.read(key)
      if (read.isLeft()) {
        continue
      }
      const entry = read.extract() as host.StoreEntry | undefined
      if (entry?.value === JSON.stringify(claim)) {
        this.release({ key, claim, revision: entry.modRevision })
      }
      return
    }
  }

  private async commitWithRetries (transaction: host.StoreTransaction): Promise<void> {
    for (let write = 0; write < outcomeWriteLimit; write += 1) {
      const answer = await this.context.store.commit(transaction)
      if (answer.isRight()) {
        return
      }
      await this.context.system.clock.sleep(storeRetryPauseMs)
    }
  }

  private async write (
    key: string, claim: claimRules.Claim, compare: host.StoreComparison, lease: string, limit: number
  ): Promise<failures.Result<ClaimResult>> {
    const value = JSON.stringify(claim)
    const transaction: host.StoreTransaction = {
      compare: [compare],
      success: [{ kind: 'put', key, value, lease }],
      failure: [{ kind: 'get', key }]
    }
    for (let write = 1; write <= limit; write += 1) {
      const answer = await this.context.store.commit(transaction)
      if (answer.isRight()) {
        return readCommit(key, claim, answer.extract() as host.StoreCommit)
      }
      const { reconnectMs } = this.context.timing
      await this.context.system.clock.sleep(limit === writeLimit ? reconnectMs : storeRetryPauseMs)
    }
    return failures.fail(createStoreUnavailable())
  }

  /** Returns a lease that outlasts the retention of any claim attached to it now. */
  private async getLease (): Promise<failures.Result<string>> {
    const nowMs = this.context.system.clock.monotonicMs()
    if (this.lease !== undefined && nowMs < this.lease.sharedUntilMs) {
      return failures.succeed(this.lease.id)
    }
    const granted = await this.context.store.grantLease(claimRetentionMs + leaseSharingMs)
    return granted.map(({ id }) => {
      this.lease = { id, sharedUntilMs: nowMs + leaseSharingMs }
      return id
    })
  }
}

function readCommit (
  key: string, claim: claimRules.Claim, commit: host.StoreCommit
): failures.Result<ClaimResult> {
  if (commit.succeeded) {
    return failures.succeed({ kind: 'own', held: { key, claim, revision: commit.revision } })
  }
  const entry = commit.reads[0]
  if (entry === undefined) {
    return failures.fail(createStoreUnavailable())
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

function compareRevision (held: StoredClaim): host.StoreComparison {
  return { key: held.key, target: 'mod', revision: held.revision }
}

function createStoreUnavailable (): failures.Failure {
  return failures.createFailure('not_run', 'store_unavailable', ['the claim could not be written'], storeRetryPauseMs)
}
