/**
 * Makes changes of the configuration: one transaction each, against the document that was checked.
 *
 * Every change writes the head record, so a commit that compares the head's revision succeeds only if
 * nothing changed since the checks. A commit whose answer is lost is settled by the operation record, which
 * every commit of the operation requires to be absent: at most one of them takes effect.
 */
import * as changeRequests from './change_request.js'
import * as checks from './checks.js'
import * as configuration from '../contracts/configuration.js'
import * as credentials from './credentials.js'
import * as documents from './document.js'
import * as failures from '../contracts/failure.js'
import * as histories from './history.js'
import * as host from '../host/types.js'
import * as layout from './layout.js'

/** Commits that one call tries while others change the document at the same time. */
const maximumCommits = 20

/** Leases asked for while their answers are lost. */
const maximumLeaseTries = 3

/** Earlier changes listed with a stale edit. */
const staleHistoryLimit = 20

/** The document of this process, which the editor checks against. */
export abstract class CurrentDocument {
  abstract readonly document: documents.Document
  /** Brings the document to the version or a later one. */
  abstract reach (version: number): Promise<failures.Result<void>>
  /** Takes a change that was just accepted, and passes it on. */
  abstract publish (change: configuration.Change): void
}

export interface EditorOptions {
  readonly store: host.Store
  readonly clock: host.Clock
  readonly current: CurrentDocument
  /** SHA-256 of the administrators' credential, in hexadecimal. */
  readonly administratorHash: string
}

/** What the store holds of the head and of one operation. */
interface StoreState {
  readonly headRevision: number
  readonly version: number
  readonly operation: layout.OperationRecord | undefined
}

type Step =
  | { readonly kind: 'decided', readonly decision: changeRequests.Decision }
  | { readonly kind: 'again' }
  | { readonly kind: 'unsettled', readonly failure: failures.Failure }

export class Editor {
  private readonly history: histories.History

  constructor (private readonly options: EditorOptions) {
    this.history = new histories.History(options.store)
  }

  /** Returns whose credential it is, according to the document of this process. */
  findOperator (credential: string): credentials.Operator | undefined {
    const { current, administratorHash } = this.options
    return credentials.findOperator(current.document, administratorHash, credentials.hashSecret(credential))
  }

  /**
   * Makes a change, whole or not at all. Calling again with the same operation returns the first outcome.
   * A failure of verdict `may_have_run` is settled by calling again.
   */
  async change (credential: string, request: changeRequests.ChangeRequest): Promise<failures.Result<changeRequests.Decision>> {
    const call = new EditorCall(this.options, this.history, credentials.hashSecret(credential), request)
    return call.run()
  }
}

/** One call of the editor. */
class EditorCall {
  private lease: host.StoreLease | undefined
  /** Revision of the head that a commit of unknown outcome requires; `undefined` if there is none. */
  private unsettledHead: number | undefined

  constructor (
    private readonly options: EditorOptions,
    private readonly history: histories.History,
    private readonly credentialHash: string,
    private readonly request: changeRequests.ChangeRequest
  ) {}

  async run (): Promise<failures.Result<changeRequests.Decision>> {
    let last = failures.createFailure('not_run', 'change_contended')
    for (let tried = 0; tried < maximumCommits; tried += 1) {
      const result = await this.tryOnce()
      if (result.isLeft()) {
        return failures.fail(this.judge(result.swap().unsafeCoerce()))
      }
      const step = result.unsafeCoerce()
      if (step.kind === 'decided') {
        return failures.succeed(step.decision)
      }
      if (step.kind === 'unsettled') {
        last = step.failure
      }
    }
    return failures.fail(this.judge(last))
  }

  /** A commit on its way makes every later failure uncertain. */
  private judge (failure: failures.Failure): failures.Failure {
    return this.unsettledHead !== undefined ? failures.withVerdict(failure, 'may_have_run') : failure
  }

  private async tryOnce (): Promise<failures.Result<Step>> {
    const read = await this.readState()
    if (read.isLeft()) {
      return failures.fail(read.swap().unsafeCoerce())
    }
    const state = read.unsafeCoerce()
    if (state.operation !== undefined) {
      return failures.succeed(decide(this.settle(state.operation)))
    }
    if (state.headRevision !== this.unsettledHead) {
      // A commit that requires an earlier head can no longer take effect.
      this.unsettledHead = undefined
    }
    const reached = await this.options.current.reach(state.version)
    if (reached.isLeft()) {
      return failures.fail(reached.swap().unsafeCoerce())
    }
    if (this.options.current.document.version !== state.version) {
      return failures.succeed({ kind: 'again' })
    }
    return this.checkAndCommit(state)
  }

  private async checkAndCommit (state: StoreState): Promise<failures.Result<Step>> {
    const { current, administratorHash } = this.options
    const operator = credentials.findOperator(current.document, administratorHash, this.credentialHash)
    if (operator === undefined) {
      return failures.succeed(refuse(failures.createFailure('not_run', 'operator_unknown')))
    }
    const made = this.request.makeEdits(current.document)
    if (made.isLeft()) {
      return failures.succeed(refuse(made.swap().unsafeCoerce()))
    }
    const checked = checks.checkEdits(made.unsafeCoerce(), { operator, administratorHash, document: current.document })
    if (checked.kind === 'refused') {
      const stale = await this.explainStaleness(checked.stale, state.version)
      return failures.succeed(decide({ kind: 'refused', refusal: { ...checked, stale } }))
    }
    const change: configuration.Change = {
      version: state.version + 1,
      operation: this.request.operation,
      team: operator.team,
      atMs: this.options.clock.wallMs(),
      sections: [...checked.sections]
    }
    return this.commit(change, state)
  }

  private async commit (change: configuration.Change, state: StoreState): Promise<failures.Result<Step>> {
    const text = JSON.stringify(change)
    if (Buffer.byteLength(text) > changeRequests.maximumChangeBytes) {
      const details = [changeRequests.maximumChangeBytes, 'bytes']
      return failures.succeed(refuse(failures.createFailure('not_run', 'change_too_large', details)))
    }
    const lease = await this.getLease()
    if (lease.isLeft()) {
      return failures.fail(failures.withVerdict(lease.swap().unsafeCoerce(), 'not_run'))
    }
    const record = { version: change.version, digest: this.request.digest, sections: change.sections.map(getVersion) }
    const transaction = createTransaction(change, text, record, state.headRevision, lease.unsafeCoerce())
    const committed = await this.options.store.commit(transaction)
    return committed.caseOf<failures.Result<Step>>({
      Left: failure => this.takeCommitFailure(failure, state),
      Right: ({ succeeded }) => failures.succeed(succeeded ? this.accept(change, record) : { kind: 'again' })
    })
  }

  private takeCommitFailure (failure: failures.Failure, state: StoreState): failures.Result<Step> {
    if (failure.verdict === 'not_run') {
      return failures.fail(failure)
    }
    this.unsettledHead = state.headRevision
    return failures.succeed({ kind: 'unsettled', failure })
  }

  private accept (change: configuration.Change, record: layout.OperationRecord): Step {
    this.options.current.publish(change)
    return decide({ kind: 'accepted', acceptance: { version: record.version, sections: record.sections, repeated: false } })
  }

  /** Returns the outcome of an operation that took effect, in this call or an earlier one. */
  private settle (record: layout.OperationRecord): changeRequests.Decision {
    if (record.digest !== this.request.digest) {
      return changeRequests.createRefusal(failures.createFailure('not_run', 'operation_reused', [this.request.operation]))
    }
    const { version, sections } = record
    return { kind: 'accepted', acceptance: { version, sections, repeated: this.unsettledHead === undefined } }
  }

  /** Reads by a transaction, which no stale replica of the store answers. */
  private async readState (): Promise<failures.Result<StoreState>> {
    const commit = await this.options.store.commit({
      compare: [],
      success: [{ kind: 'get', key: layout.headKey }, { kind: 'get', key: layout.getOperationKey(this.request.operation) }],
      failure: []
    })
    return commit.mapLeft(failure => failures.withVerdict(failure, 'not_run')).chain(({ reads: [head, operation] }) => {
      const version = layout.parseHead(head?.value)
      const record = operation === undefined ? undefined : layout.parseRecord(layout.OperationRecord, operation.value)
      if (version === undefined || (operation !== undefined && record === undefined)) {
        return failures.fail(failures.createFailure('not_run', 'internal', ['a record in the store cannot be read']))
      }
      return failures.succeed({ headRevision: head?.modRevision ?? 0, version, operation: record })
    })
  }

  private async getLease (): Promise<failures.Result<host.StoreLease>> {
    if (this.lease !== undefined) {
      return failures.succeed(this.lease)
    }
    let lease = await this.options.store.grantLease(layout.operationTtlMs)
    for (let tried = 1; isAnswerLost(lease) && tried < maximumLeaseTries; tried += 1) {
      // A lease whose answer was lost holds nothing, and expires.
      lease = await this.options.store.grantLease(layout.operationTtlMs)
    }
    this.lease = lease.isRight() ? lease.unsafeCoerce() : undefined
    return lease
  }

  private async explainStaleness (
    edits: readonly checks.StaleEdit[], documentVersion: number
  ): Promise<readonly changeRequests.Staleness[]> {
    const stale: changeRequests.Staleness[] = []
    for (const edit of edits) {
      const since = await this.history.read(edit.section, documentVersion, staleHistoryLimit, edit.expectedVersion)
      stale.push({ ...edit, since: [...since.orDefault([])] })
    }
    return stale
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

function getVersion ({ name, version }: configuration.Section): { name: string, version: number } {
  return { name, version }
}

function decide (decision: changeRequests.Decision): Step {
  return { kind: 'decided', decision }
}

function refuse (failure: failures.Failure): Step {
  return decide(changeRequests.createRefusal(failure))
}
