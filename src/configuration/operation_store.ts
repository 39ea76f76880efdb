/**
 * Reads the record of one operation from the store, and commits its change in one transaction.
 */
import * as configuration from '../contracts/configuration.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as layout from './layout.js'

/** Maximum number of requests for a lease if their answers are lost. */
const maximumLeaseAttempts = 3

/** The head, and the record of the operation if it has taken effect. */
export interface OperationState {
  /** Revision of the head record; 0 if there is none. */
  readonly headRevision: number
  readonly version: number
  readonly operation: layout.OperationRecord | undefined
}

export class OperationStore {
  private lease: host.StoreLease | undefined

  constructor (private readonly store: host.Store, private readonly operation: string) {}

  /** Reads in a transaction, because a stale replica of the store may answer a plain read but not a transaction. */
  async read (): Promise<failures.Result<OperationState>> {
    const commit = await this.store.commit({
      compare: [],
      success: [{ kind: 'get', key: layout.headKey }, { kind: 'get', key: layout.getOperationKey(this.operation) }],
      failure: []
    })
    return commit.mapLeft(failure => failures.withVerdict(failure, 'not_run')).chain(({ reads: [head, operation] }) => {
      const version = layout.parseHead(head?.value)
      const record = operation === undefined ? undefined : layout.parseRecord(layout.OperationRecord, operation.value)
      if (version === undefined || (operation !== undefined && record === undefined)) {
        return failures.fail(failures.createFailure('not_run', 'internal', ['a configuration record in the store cannot be parsed']))
      }
      return failures.succeed({ headRevision: head?.modRevision ?? 0, version, operation: record })
    })
  }

  /** Commits the change, serialized as `text`, if the head is still at the revision and the operation has not taken effect. */
  async commit (
    change: configuration.Change, text: string, record: layout.OperationRecord, headRevision: number
  ): Promise<failures.Result<host.StoreCommit>> {
    const lease = await this.getLease()
    if (lease.isLeft()) {
      return failures.fail(failures.withVerdict(lease.swap().unsafeCoerce(), 'not_run'))
    }
    return this.store.commit(createTransaction(change, text, record, headRevision, lease.unsafeCoerce()))
  }

  private async getLease (): Promise<failures.Result<host.StoreLease>> {
    if (this.lease !== undefined) {
      return failures.succeed(this.lease)
    }
    let lease = await this.store.grantLease(layout.operationTtlMs)
    for (let attempts = 1; isAnswerLost(lease) && attempts < maximumLeaseAttempts; attempts += 1) {
      // A lease whose answer was lost has no keys attached, and expires.
      lease = await this.store.grantLease(layout.operationTtlMs)
    }
    this.lease = lease.isRight() ? lease.unsafeCoerce() : undefined
    return lease
  }
}

function isAnswerLost (lease: failures.Result<host.StoreLease>): boolean {
  return lease.swap().map(({ verdict }) => verdict === 'may_have_run').orDefault(false)
}

function createTransaction (
  change: configuration.Change, text: string, record: layout.OperationRecord, headRevision: number, lease: host.StoreLease
): host.StoreTransaction {
  const operationKey = layout.getOperationKey(change.operation)
  const success: host.StoreOperation[] = [
    { kind: 'put', key: layout.headKey, value: JSON.stringify({ version: change.version }) },
    { kind: 'put', key: layout.getChangeKey(change.version), value: text },
    { kind: 'put', key: operationKey, value: JSON.stringify(record), lease: lease.id }
  ]
  for (const section of change.sections) {
    success.push({ kind: 'put', key: layout.getSectionKey(section.name), value: JSON.stringify(section) })
  }
  if (change.version > layout.keptChanges) {
    success.push({ kind: 'delete', key: layout.getChangeKey(change.version - layout.keptChanges) })
  }
  return {
    compare: [
      { key: layout.headKey, target: 'mod', revision: headRevision },
      { key: operationKey, target: 'create', revision: 0 }
    ],
    success,
    failure: []
  }
}
