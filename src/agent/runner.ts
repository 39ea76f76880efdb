/**
 * Runs attempts on the backend server: issues orders, handles events of the server, and repeats aborts until the server
 * has confirmed that it holds no resources of the attempt any more.
 */
import * as attempts from './attempt.js'
import * as failures from '../contracts/failure.js'
import * as gateContexts from './gate_context.js'
import * as types from './types.js'
import * as verdicts from '../contracts/verdict.js'

export class Runner {
  /** Attempts that hold a slot or memory at the server, by order number. */
  private readonly holders = new Map<number, attempts.Attempt>()
  private readonly holdersByKey = new Map<string, attempts.Attempt>()
  private lastOrder = 0

  constructor (private readonly context: gateContexts.GateContext) {}

  get holderCount (): number {
    return this.holders.size
  }

  /** Returns the attempt if it still holds resources at the server. */
  getHolder (key: string): attempts.Attempt | undefined {
    return this.holdersByKey.get(key)
  }

  /** Returns the attempts of a session that hold resources at the server. */
  listHolders (session: string): readonly attempts.Attempt[] {
    return [...this.holders.values()].filter(attempt => attempt.session === session)
  }

  /** Starts queued attempts while the server has capacity. */
  startNext (nowMs: number): void {
    for (;;) {
      const attempt = this.context.scheduler.takeNext(nowMs)
      if (attempt === undefined) {
        return
      }
      this.launch(attempt, nowMs)
    }
  }

  handle (event: types.BackendEvent): void {
    const attempt = this.holders.get(event.order)
    if (attempt === undefined) {
      return
    }
    switch (event.kind) {
      case 'backend.progress':
        return this.progress(attempt, event.text, event.tokens, event.nowMs)
      case 'backend.finished':
        return this.finish(attempt, event.completion, event.nowMs)
      case 'backend.failed':
        return this.fail(attempt, event.failure, event.released, event.nowMs)
      case 'backend.released':
        return this.confirmAbort(attempt, event.nowMs)
      default:
        verdicts.assertNever(event)
    }
  }

  /** Aborts an attempt at the server; repeated until the server has confirmed. */
  abort (attempt: attempts.Attempt, nowMs: number): void {
    const { options, outbox, due } = this.context
    attempt.isAborting = true
    outbox.add({ kind: 'abort', order: attempt.order, fence: options.fence, id: attempt.id })
    due.add(nowMs + options.abortRetryMs, { kind: 'abort', attempt })
  }

  /** Repeats an abort that has not been confirmed. */
  retryAbort (attempt: attempts.Attempt, nowMs: number): void {
    if (this.holders.has(attempt.order)) {
      this.abort(attempt, nowMs)
    }
  }

  /** Frees the slot and memory of an attempt that the server has released. */
  release (attempt: attempts.Attempt): void {
    if (!this.holders.delete(attempt.order)) {
      return
    }
    this.holdersByKey.delete(attempt.key)
    this.context.scheduler.release(attempt)
  }

  private launch (attempt: attempts.Attempt, nowMs: number): void {
    const { options, outbox } = this.context
    this.lastOrder += 1
    attempt.order = this.lastOrder
    attempt.state = 'running'
    attempt.verdict = 'may_have_run'
    this.holders.set(attempt.order, attempt)
    this.holdersByKey.set(attempt.key, attempt)
    const task = attempt.task as NonNullable<typeof attempt.task>
    attempt.task = undefined
    const order = { order: attempt.order, fence: options.fence, id: attempt.id, workspace: attempt.workspace, task }
    outbox.add({ kind: 'launch', order })
    outbox.send(attempt, attempt.frames.appendStarted())
    outbox.record('attempt.started', attempt, { waitedMs: nowMs - attempt.queuedAtMs })
  }

  private progress (attempt: attempts.Attempt, text: string, tokens: number, nowMs: number): void {
    this.context.scheduler.progress(attempt, tokens, nowMs)
    if (attempt.state !== 'running') {
      return
    }
    attempt.verdict = 'ran'
    this.context.outbox.send(attempt, attempt.frames.appendText(text, tokens))
  }

  private finish (attempt: attempts.Attempt, completion: types.Completion, nowMs: number): void {
    const { scheduler, options, due, outbox, table, prefixes } = this.context
    if (attempt.isServerDone) {
      return
    }
    attempt.isServerDone = true
    scheduler.releaseSlot(attempt)
    if (completion.transfer === undefined) {
      this.release(attempt)
    } else {
      due.add(nowMs + options.capacity.transferKeptMs, { kind: 'evict', attempt })
    }
    if (attempt.state !== 'running') {
      return
    }
    scheduler.observeEnd(attempt, nowMs)
    if (attempt.demand.kind === 'prefill') {
      prefixes.storeOffered(attempt.id.request)
    }
    attempt.state = 'finished'
    attempt.verdict = 'ran'
    outbox.send(attempt, attempt.frames.appendFinished(completion))
    outbox.record('attempt.finished', attempt, { reason: completion.reason, outputTokens: attempt.outputTokens })
    table.end(attempt, nowMs)
  }

  private fail (attempt: attempts.Attempt, failure: failures.Failure, released: boolean, nowMs: number): void {
    if (attempt.isServerDone) {
      return
    }
    this.endFailed(attempt, failure, nowMs)
    if (released) {
      this.release(attempt)
      return
    }
    if (!attempt.isAborting) {
      this.abort(attempt, nowMs)
    }
  }

  private endFailed (attempt: attempts.Attempt, failure: failures.Failure, nowMs: number): void {
    const { outbox, table } = this.context
    if (attempt.state !== 'running') {
      return
    }
    const verdict = attempt.verdict === 'ran' ? 'ran' : failure.verdict
    attempt.state = 'finished'
    attempt.verdict = verdict
    outbox.send(attempt, attempt.frames.appendFailed(failures.withVerdict(failure, verdict)))
    outbox.record('attempt.failed', attempt, { code: failure.code, verdict })
    table.end(attempt, nowMs)
  }

  private confirmAbort (attempt: attempts.Attempt, nowMs: number): void {
    const { server } = this.context.options
    this.endFailed(attempt, failures.createFailure('may_have_run', 'server_failed', [server, 'the server released the request']), nowMs)
    this.release(attempt)
    this.context.outbox.record('cancel.confirmed', attempt)
  }
}
