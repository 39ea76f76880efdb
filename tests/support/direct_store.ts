/**
 * The store's abstract class over the in-memory core, in the same process, with fault knobs.
 */
import * as failures from '../../src/contracts/failure.js'
import * as host from '../../src/host/types.js'
import * as storeCore from '../../standins/store_core.js'

export class DirectStore extends host.Store {
  /** While true, every operation fails without effect. */
  isDown = false
  /** Number of following commits that take effect and whose answers are lost. */
  lostAnswers = 0
  /** Operations since the start; an open watch counts as one. */
  calls = 0
  private readonly ends = new Set<(failure: failures.Failure) => void>()

  constructor (readonly core: storeCore.StoreCore) {
    super()
  }

  /** Takes the store down or up again; open watches end. */
  setDown (isDown: boolean): void {
    this.isDown = isDown
    if (!isDown) {
      return
    }
    for (const ended of [...this.ends]) {
      this.ends.delete(ended)
      ended(createOutage())
    }
  }

  override async read (key: string): Promise<failures.Result<host.StoreEntry | undefined>> {
    return this.answer(() => this.core.read(key))
  }

  override async readRange (range: host.StoreRange): Promise<failures.Result<host.StorePage>> {
    return this.answer(() => this.core.readRange(range))
  }

  override async commit (transaction: host.StoreTransaction): Promise<failures.Result<host.StoreCommit>> {
    if (!this.isDown && this.hasDeadLease(transaction)) {
      return failures.fail(failures.createFailure('not_run', 'store_conflict', ['the lease has expired']))
    }
    const result = this.answer(() => this.core.commit(transaction))
    if (this.lostAnswers > 0 && result.isRight()) {
      this.lostAnswers -= 1
      return failures.fail(failures.createFailure('may_have_run', 'store_answer_lost', ['stand-in']))
    }
    return result
  }

  override async grantLease (ttlMs: number): Promise<failures.Result<host.StoreLease>> {
    return this.answer(() => this.core.grantLease(ttlMs))
  }

  override async renewLease (id: string): Promise<failures.Result<host.StoreLease>> {
    const result = this.answer(() => this.core.renewLease(id))
    return result.chain(lease => lease === undefined
      ? failures.fail(failures.createFailure('not_run', 'store_conflict', ['the lease has expired']))
      : failures.succeed(lease))
  }

  override async revokeLease (id: string): Promise<failures.Result<void>> {
    return this.answer(() => this.core.revokeLease(id))
  }

  override watch (
    prefix: string,
    fromRevision: number,
    changed: (events: readonly host.StoreEvent[]) => void,
    ended: (failure: failures.Failure) => void
  ): host.Stop {
    this.calls += 1
    if (this.isDown) {
      queueMicrotask(() => ended(createOutage()))
      return () => {}
    }
    const stop = this.core.watch(prefix, fromRevision, changed)
    const end = (failure: failures.Failure): void => {
      stop()
      ended(failure)
    }
    this.ends.add(end)
    return () => {
      this.ends.delete(end)
      stop()
    }
  }

  private hasDeadLease (transaction: host.StoreTransaction): boolean {
    this.core.expireLeases()
    return transaction.success.some(operation => {
      return operation.kind === 'put' && operation.lease !== undefined && !this.core.hasLease(operation.lease)
    })
  }

  private answer<Value> (operate: () => Value): failures.Result<Value> {
    this.calls += 1
    if (this.isDown) {
      return failures.fail(createOutage())
    }
    return failures.succeed(operate())
  }
}

function createOutage (): failures.Failure {
  return failures.createFailure('not_run', 'store_unavailable', ['the stand-in is down'])
}
