/**
 * Which failures another attempt may mend, and which failure to tell in the end. Pure.
 */
import * as diagnosticTable from '../contracts/diagnostics.js'
import * as failures from '../contracts/failure.js'

/** Failures after which another server may do better. */
const retryableCodes: ReadonlySet<diagnosticTable.DiagnosticCode> = new Set([
  'link_lost', 'link_timeout', 'server_boot_changed', 'server_leaving', 'server_failed', 'transfer_failed',
  'queue_full', 'memory_exhausted', 'attempt_cancelled', 'shutting_down', 'session_unknown', 'stream_interrupted'
] as const)

/** Refusals of a further attempt before it was made; they say less than why the last attempt failed. */
const planningCodes: ReadonlySet<diagnosticTable.DiagnosticCode> = new Set([
  'no_server', 'target_unreachable', 'share_exceeded'
] as const)

/** Tells whether another server may do better; `isFromServer` tells that a server has failed, not the planning. */
export function isRetryable (failure: failures.Failure, isFromServer: boolean): boolean {
  return retryableCodes.has(failure.code) || (isFromServer && failure.code === 'target_unreachable')
}

/** Returns the failure to tell, with the time to come back of the latest. */
export function chooseCause (last: failures.Failure | undefined, failure: failures.Failure): failures.Failure {
  if (last === undefined || !planningCodes.has(failure.code)) {
    return failure
  }
  return failure.retryAfterMs === undefined ? last : { ...last, retryAfterMs: failure.retryAfterMs }
}
