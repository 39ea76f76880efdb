/**
 * Rules for which failures are retried, and which failure is reported to the caller. Pure functions.
 */
import * as diagnosticTable from '../contracts/diagnostics.js'
import * as failures from '../contracts/failure.js'

/** Failures after which an attempt at another server may succeed. */
const retryableCodes: ReadonlySet<diagnosticTable.DiagnosticCode> = new Set([
  'link_lost', 'link_timeout', 'server_boot_changed', 'server_leaving', 'server_failed', 'transfer_failed',
  'queue_full', 'memory_exhausted', 'attempt_cancelled', 'shutting_down', 'session_unknown', 'stream_interrupted'
] as const)

/** Refusals of a further attempt before it is made. They are less informative than the failure of the last attempt. */
const planningCodes: ReadonlySet<diagnosticTable.DiagnosticCode> = new Set([
  'no_server', 'target_unreachable', 'share_exceeded'
] as const)

/** Returns whether another server may succeed; `isFromServer` means that a server has failed, not the planning. */
export function isRetryable (failure: failures.Failure, isFromServer: boolean): boolean {
  return retryableCodes.has(failure.code) || (isFromServer && failure.code === 'target_unreachable')
}

/** Returns the failure to report, with the retry time of the latest failure if it has one. */
export function chooseReportedFailure (last: failures.Failure | undefined, failure: failures.Failure): failures.Failure {
  if (last === undefined || !planningCodes.has(failure.code)) {
    return failure
  }
  return failure.retryAfterMs === undefined ? last : { ...last, retryAfterMs: failure.retryAfterMs }
}
