/**
 * Answers as responses: JSON, and refusals with their status and headers.
 */
import * as diagnosticTable from '../contracts/diagnostics.js'
import * as failures from '../contracts/failure.js'

/** A refusal as it is sent; further fields say what was wrong. */
interface RefusalBody {
  readonly error: failures.Failure
}

/** Returns the response that refuses a call for a failure. */
export function refuse (failure: failures.Failure): Response {
  return respondRefusal({ error: failure }, failure)
}

/** Returns a refusal with the status of the failure's code. */
export function respondRefusal (refusal: RefusalBody, failure: failures.Failure): Response {
  const headers: Record<string, string> = {}
  if (failure.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(failure.retryAfterMs / 1000))
  }
  const { status } = diagnosticTable.diagnostics[failure.code]
  return respondJson(refusal, status, status === 401 ? { ...headers, 'www-authenticate': 'Bearer' } : headers)
}

/** Returns a value as JSON that no cache keeps. */
export function respondJson (value: unknown, status: number, headers: Readonly<Record<string, string>>): Response {
  const standard = { 'content-type': 'application/json', 'cache-control': 'no-store' }
  return new Response(JSON.stringify(value), { status, headers: { ...standard, ...headers } })
}
