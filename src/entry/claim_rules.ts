/**
 * Idempotency keys of calls that must not be repeated: the stored claim, and the response to a later call with the
 * same key. Pure functions.
 */
import * as buffer from 'node:buffer'
import * as crypto from 'node:crypto'
import * as failures from '../contracts/failure.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'
import * as z from 'zod'

/** The stored record of a call with an `Idempotency-Key`. */
export const Claim = z.object({
  fingerprint: z.string(),
  request: work.RequestId,
  attempt: work.AttemptId,
  /** Name of the server, and boot identifier of its agent. */
  server: z.string(),
  boot: z.string(),
  state: z.enum(['running', 'answered', 'unknown']),
  /** Wall time by which the entry that made the claim is expected to settle it, in milliseconds. */
  settledByMs: z.number(),
  /** Absent if the answer was too large to store. */
  answer: work.ServiceAnswer.optional()
})
export type Claim = z.infer<typeof Claim>

/** How to handle a call whose key has been claimed before. */
export type Decision =
  | { readonly kind: 'refuse', readonly failure: failures.Failure }
  | { readonly kind: 'replay', readonly answer: work.ServiceAnswer }
  /** The entry that made the claim has not settled it in time. The agent holds the outcome of the call. */
  | { readonly kind: 'ask_agent' }
  /** The call has not run and will not run. Its claim may be replaced. */
  | { readonly kind: 'take_over' }

/** Maximum size of a stored answer, in characters of its base64 body. */
const maximumAnswerCharacters = 65_536

/** Lower bound of the retry time given to callers, in milliseconds. */
const minimumRetryAfterMs = 1000

const keyPattern = /^[\u0021-\u007e]{1,255}$/

export function isValidKey (key: string): boolean {
  return keyPattern.test(key)
}

/** Returns the name under which a claim is stored: a hash, so that the key is not revealed. */
export function createClaimName (workspace: string, route: string, key: string): string {
  return hash([workspace, route, key])
}

/** Returns a hash of the fields that two calls must have in common to count as the same call. */
export function createFingerprint (method: string, target: string, type: string, body: buffer.Buffer): string {
  return hash([method, target, type, body])
}

/** Decides how to handle a call whose key is already claimed; `wallMs` is the wall time of this entry. */
export function decide (claim: Claim, fingerprint: string, wallMs: number): Decision {
  if (claim.fingerprint !== fingerprint) {
    return { kind: 'refuse', failure: failures.createFailure('not_run', 'idempotency_key_reused') }
  }
  switch (claim.state) {
    case 'answered':
      return claim.answer === undefined ? refuseUnknown('ran') : { kind: 'replay', answer: claim.answer }
    case 'unknown':
      return refuseUnknown('may_have_run')
    case 'running':
      return wallMs >= claim.settledByMs ? { kind: 'ask_agent' } : refuseRunning(claim.settledByMs - wallMs)
    default:
      return verdicts.assertNever(claim.state)
  }
}

/** Refuses a call because the first call with its key is still running. */
export function refuseRunning (remainingMs: number): Decision {
  return { kind: 'refuse', failure: createInProgressFailure(remainingMs) }
}

/** Returns the refusal of a call whose first attempt is expected to end within `remainingMs`. */
export function createInProgressFailure (remainingMs: number): failures.Failure {
  return failures.createFailure('may_have_run', 'idempotency_in_progress', [], Math.max(minimumRetryAfterMs, remainingMs))
}

/** Refuses a call because the answer of the first call is not available. */
export function refuseUnknown (verdict: verdicts.Verdict, retryAfterMs?: number): Decision {
  return { kind: 'refuse', failure: failures.createFailure(verdict, 'idempotency_unknown', [], retryAfterMs) }
}

/** Returns the claim of an answered call. The answer is left out if it is too large to store. */
export function recordAnswer (claim: Claim, answer: work.ServiceAnswer): Claim {
  return answer.body.length > maximumAnswerCharacters
    ? { ...claim, state: 'answered' }
    : { ...claim, state: 'answered', answer }
}

function hash (parts: readonly (string | buffer.Buffer)[]): string {
  const digest = crypto.createHash('sha256')
  for (const part of parts) {
    digest.update(`${part.length}:`)
    digest.update(part)
  }
  return digest.digest('hex')
}
