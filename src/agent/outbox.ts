/**
 * Collects the actions of one decision. Answers precede other actions, so that no frame is sent before the answer to
 * its start.
 */
import * as attempts from './attempt.js'
import * as events from '../contracts/events.js'
import * as failures from '../contracts/failure.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

export class Outbox {
  private answers: types.GateAction[] = []
  private otherActions: types.GateAction[] = []

  succeed (call: number, answer: types.CallAnswer): void {
    this.answers.push({ kind: 'answer', call, result: failures.succeed(answer) })
  }

  fail (call: number, failure: failures.Failure): void {
    this.answers.push({ kind: 'answer', call, result: failures.fail(failure) })
  }

  send (attempt: attempts.Attempt, frame: work.Frame): void {
    this.otherActions.push({ kind: 'send', session: attempt.session, id: attempt.id, frame })
  }

  add (action: types.GateAction): void {
    this.otherActions.push(action)
  }

  /** Records an event of an attempt for the time line. */
  record (kind: events.EventKind, attempt: attempts.Attempt, details?: events.EventDraft['details']): void {
    const { request, attempt: name } = attempt.id
    this.otherActions.push({ kind: 'record', draft: { kind, request, attempt: name, workspace: attempt.workspace, details } })
  }

  /** Returns the collected actions and clears them. */
  take (): readonly types.GateAction[] {
    const actions = this.answers.length === 0 ? this.otherActions : this.answers.concat(this.otherActions)
    this.answers = []
    this.otherActions = []
    return actions
  }
}
