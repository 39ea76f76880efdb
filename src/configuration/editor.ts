/**
 * Commits changes of the configuration with optimistic concurrency control, each in one transaction.
 *
 * Every change writes the head record, so a commit that compares the head's revision succeeds only if
 * nothing has changed since the checks. Every commit of an operation also requires that the operation record
 * is absent, so at most one of them takes effect. If the answer to a commit is lost, that record shows
 * whether it took effect.
 */
import * as changeRequests from './change_request.js'
import * as checks from './checks.js'
import * as configuration from '../contracts/configuration.js'
import * as credentials from './credentials.js'
import * as currentDocuments from './current_document.js'
import * as failures from '../contracts/failure.js'
import * as histories from './history.js'
import * as host from '../host/types.js'
import * as layout from './layout.js'
import * as operationStores from './operation_store.js'
import * as timelines from '../timeline/types.js'

/** Attempts of one call to commit while others change the document concurrently. */
const maximumAttempts = 20

/** Maximum number of earlier changes listed with a stale edit. */
const staleHistoryLimit = 20

export interface EditorOptions {
  readonly store: host.Store
  readonly clock: host.Clock
  readonly current: currentDocuments.CurrentDocument
  /** SHA-256 of the administrators' credential, in hexadecimal. */
  readonly administratorHash: string
  /** Receives an event for each change that is refused or fails. */
  readonly recorder?: timelines.Recorder
}

/** A commit whose outcome is unknown. */
interface UnsettledCommit {
  readonly change: configuration.Change
  /** Revision of the head that the commit requires. */
  readonly headRevision: number
}

/** Outcome of one attempt: final, to be tried again, or a commit of unknown outcome. */
type AttemptResult =
  | { readonly kind: 'decided', readonly decision: changeRequests.Decision }
  | { readonly kind: 'again' }
  | { readonly kind: 'unsettled', readonly failure: failures.Failure }

export class Editor {
  private readonly history: histories.History

  constructor (private readonly options: EditorOptions) {
    this.history = new histories.History(options.store)
  }

  /** Returns the operator to whom a credential belongs, according to this process's replica of the document. */
  findOperator (credential: string): credentials.Operator | undefined {
    const { current, administratorHash } = this.options
    return credentials.findOperator(current.document, administratorHash, credentials.hashSecret(credential))
  }

  /**
   * Makes a change atomically. A repeated call with the same operation returns the first outcome.
   * After a failure of verdict `may_have_run`, a repeated call determines the outcome.
   */
  async change (credential: string, request: changeRequests.ChangeRequest): Promise<failures.Result<changeRequests.Decision>> {
    const call = new EditorCall(this.options, this.history, credentials.hashSecret(credential), request)
    const result = await call.run()
    this.record(request, result)
    return result
  }

  private record (request: changeRequests.ChangeRequest, result: failures.Result<changeRequests.Decision>): void {
    const failure = result.caseOf({
      Left: failed => failed,
      Right: decision => decision.kind === 'refused' ? decision.refusal.failure : undefined
    })
    if (failure !== undefined) {
      const { code, verdict } = failure
      this.options.recorder?.record({ kind: 'configuration.refused', details: { operation: request.operation, code, verdict } })
    }
  }
}

/** One call of `Editor.change`. */
class EditorCall {
  private readonly operations: operationStores.OperationStore
  /** The commit whose outcome is unknown, if there is one. */
  private unsettled: UnsettledCommit | undefined

  constructor (
    private readonly options: EditorOptions,
    private readonly history: histories.History,
    private readonly credentialHash: string,
    private readonly request: changeRequests.ChangeRequest
  ) {
    this.operations = new operationStores.OperationStore(options.store, request.operation)
  }

  async run (): Promise<failures.Result<changeRequests.Decision>> {
    let lastFailure = failures.createFailure('not_run', 'change_contended')
    for (let attempts = 0; attempts < maximumAttempts; attempts += 1) {
      const result = await this.attempt()
      if (result.isLeft()) {
        return failures.fail(this.adjustVerdict(result.swap().unsafeCoerce()))
      }
      const step = result.unsafeCoerce()
      if (step.kind === 'decided') {
        return failures.succeed(step.decision)
      }
      if (step.kind === 'unsettled') {
        lastFailure = step.failure
      }
    }
    return failures.fail(this.adjustVerdict(lastFailure))
  }

  /** Weakens the verdict of a failure to `may_have_run` while an earlier commit may still take effect. */
  private adjustVerdict (failure: failures.Failure): failures.Failure {
    return this.unsettled !== undefined ? failures.withVerdict(failure, 'may_have_run') : failure
  }

  private async attempt (): Promise<failures.Result<AttemptResult>> {
    const read = await this.operations.read()
    if (read.isLeft()) {
      return failures.fail(read.swap().unsafeCoerce())
    }
    const state = read.unsafeCoerce()
    if (state.operation !== undefined) {
      return failures.succeed(decide(this.resolveOutcome(state.operation)))
    }
    if (state.headRevision !== this.unsettled?.headRevision) {
      // The head has changed, so a commit that requires an earlier revision can no longer take effect.
      this.unsettled = undefined
    }
    const synchronized = await this.options.current.catchUp(state.version)
    if (synchronized.isLeft()) {
      return failures.fail(synchronized.swap().unsafeCoerce())
    }
    if (this.options.current.document.version !== state.version) {
      return failures.succeed({ kind: 'again' })
    }
    return this.checkAndCommit(state)
  }

  private async checkAndCommit (state: operationStores.OperationState): Promise<failures.Result<AttemptResult>> {
    const { current, administratorHash } = this.options
    const operator = credentials.findOperator(current.document, administratorHash, this.credentialHash)
    if (operator === undefined) {
      return failures.succeed(refuse(failures.createFailure('not_run', 'operator_unknown')))
    }
    const edits = this.request.makeEdits(current.document)
    if (edits.isLeft()) {
      return failures.succeed(refuse(edits.swap().unsafeCoerce()))
    }
    const checked = checks.checkEdits(edits.unsafeCoerce(), { operator, administratorHash, document: current.document })
    if (checked.kind === 'refused') {
      const stale = await this.addHistory(checked.stale, state.version)
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

  private async commit (change: configuration.Change, state: operationStores.OperationState): Promise<failures.Result<AttemptResult>> {
    const text = JSON.stringify(change)
    if (Buffer.byteLength(text) > changeRequests.maximumChangeBytes) {
      const details = [changeRequests.maximumChangeBytes, 'bytes']
      return failures.succeed(refuse(failures.createFailure('not_run', 'change_too_large', details)))
    }
    const record = { version: change.version, digest: this.request.digest, sections: change.sections.map(getVersion) }
    const committed = await this.operations.commit(change, text, record, state.headRevision)
    return committed.caseOf<failures.Result<AttemptResult>>({
      Left: failure => this.handleCommitFailure(failure, { change, headRevision: state.headRevision }),
      Right: ({ succeeded }) => failures.succeed(succeeded ? this.accept(change, record) : { kind: 'again' })
    })
  }

  private handleCommitFailure (failure: failures.Failure, commit: UnsettledCommit): failures.Result<AttemptResult> {
    if (failure.verdict === 'not_run') {
      return failures.fail(failure)
    }
    this.unsettled = commit
    return failures.succeed({ kind: 'unsettled', failure })
  }

  private accept (change: configuration.Change, record: layout.OperationRecord): AttemptResult {
    this.options.current.publish(change)
    return decide({ kind: 'accepted', acceptance: { version: record.version, sections: record.sections, repeated: false } })
  }

  /** Returns the outcome of an operation that has taken effect, by this call or an earlier one. */
  private resolveOutcome (record: layout.OperationRecord): changeRequests.Decision {
    if (record.digest !== this.request.digest) {
      return changeRequests.createRefusal(failures.createFailure('not_run', 'operation_reused', [this.request.operation]))
    }
    const { version, sections } = record
    if (this.unsettled?.change.version === version) {
      this.options.current.publish(this.unsettled.change)
    }
    return { kind: 'accepted', acceptance: { version, sections, repeated: this.unsettled === undefined } }
  }

  private async addHistory (
    edits: readonly checks.StaleEdit[], documentVersion: number
  ): Promise<readonly changeRequests.StaleSection[]> {
    const stale: changeRequests.StaleSection[] = []
    for (const edit of edits) {
      const since = await this.history.read(edit.section, documentVersion, staleHistoryLimit, edit.expectedVersion)
      stale.push({ ...edit, since: [...since.orDefault([])] })
    }
    return stale
  }
}

function getVersion ({ name, version }: configuration.Section): { name: string, version: number } {
  return { name, version }
}

function decide (decision: changeRequests.Decision): AttemptResult {
  return { kind: 'decided', decision }
}

function refuse (failure: failures.Failure): AttemptResult {
  return decide(changeRequests.createRefusal(failure))
}
