/**
 * Rules for the verdict on an attempt, from the agent's answers and frames.
 */
import * as failures from '../contracts/failure.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'

/** Progress of an attempt that has not ended, as far as known. */
export interface AttemptProgress {
  /** Whether the agent has queued the attempt. */
  readonly isAccepted: boolean
  /** Whether a frame has been received, which shows that the attempt has started. */
  readonly hasStarted: boolean
}

/** Returns the verdict on an attempt whose agent cannot be reached any more. */
export function getUnreachableVerdict (progress: AttemptProgress): verdicts.Verdict {
  return progress.hasStarted ? 'ran' : 'may_have_run'
}

/** How to proceed after the agent's answer to a cancellation with `unless_started`. */
export type Decision =
  | { readonly kind: 'end', readonly verdict: verdicts.Verdict }
  | { readonly kind: 'resume' }

/** Decides how to proceed from the agent's answer. The verdict `not_run` requires a statement of the agent. */
export function decideAfterCancel (answer: work.CancelAnswer, progress: AttemptProgress): Decision {
  if (answer.state === 'running' || answer.state === 'finished') {
    return { kind: 'resume' }
  }
  if (progress.hasStarted) {
    return { kind: 'end', verdict: 'ran' }
  }
  return { kind: 'end', verdict: answer.verdict }
}

/** Returns whether the failure of a call says that the agent has restarted under a new boot identifier. */
export function isBootChanged (failure: failures.Failure): boolean {
  return failure.code === 'server_boot_changed'
}
