/**
 * Verdicts on attempts, from what the agent has said and shown.
 */
import * as failures from '../contracts/failure.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'

/** What is known of an attempt that has not ended. */
export interface Knowledge {
  /** Whether the agent took the attempt into its queue. */
  readonly isAccepted: boolean
  /** Whether a frame has shown that it started. */
  readonly hasStarted: boolean
}

/** Returns the verdict on an attempt whose agent can no longer be asked. */
export function judgeLost (knowledge: Knowledge): verdicts.Verdict {
  return knowledge.hasStarted ? 'ran' : 'may_have_run'
}

/** What to do after the agent answered a cancel with `unless_started`. */
export type Decision =
  | { readonly kind: 'end', readonly verdict: verdicts.Verdict }
  | { readonly kind: 'resume' }

/** Decides on an attempt by the agent's answer. Only the agent's word makes it `not_run`. */
export function judgeCancel (answer: work.CancelAnswer, knowledge: Knowledge): Decision {
  if (answer.state === 'running' || answer.state === 'finished') {
    return { kind: 'resume' }
  }
  if (knowledge.hasStarted) {
    return { kind: 'end', verdict: 'ran' }
  }
  return { kind: 'end', verdict: answer.verdict }
}

/** Tells whether an answer to a start or a resume says that the agent is in another boot. */
export function isBootGone (failure: failures.Failure): boolean {
  return failure.code === 'server_boot_changed'
}
