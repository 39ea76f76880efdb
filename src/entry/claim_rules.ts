/**
 * Claims on calls that may not be repeated: their record, and what a later call with the same key is told. Pure.
 */
import * as buffer from 'node:buffer'
import * as crypto from 'node:crypto'
import * as failures from '../contracts/failure.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'
import * as z from 'zod'

/** The record of a call with an `Idempotency-Key`. */
export const Claim = z.object({
  fingerprint: z.string(),
  request: work.RequestId,
  attempt: work.AttemptId,
  /** Name of the server, and boot of its agent. */
  server: z.string(),
  boot: z.string(),
  state: z.enum(['running', 'answered', 'unknown']),
  /** Wall time until which the entry that made the claim settles it, in milliseconds. */
  settledByMs: z.number(),
  /** Absent when the answer was too large to keep. */
  answer: work.ServiceAnswer.optional()
})
export type Claim = z.infer<typeof Claim>

/** What to do with a call whose key has been claimed before. */
export type Decision =
  | { readonly kind: 'refuse', readonly failure: failures.Failure }
  | { readonly kind: 'replay', readonly answer: work.ServiceAnswer }
  /** The entry that made the claim is late: the agent knows what became of the call. */
  | { readonly kind: 'ask_agent' }
  /** The call has not run and never will: its claim may be replaced. */
  | { readonly kind: 'take_over' }

/** Largest answer that is kept, in characters of its base64 body. */
const keptAnswerLength = 65_536

/** Shortest time to come back, in milliseconds. */
const minimumRetryMs = 1000

const acceptableKey = /^[\u0021-\u007e]{1,255}$/

export function isAcceptableKey (key: string): boolean {
  return acceptableKey.test(key)
}

/** Returns the name under which a claim is kept; it does not reveal the key. */
export function createClaimName (workspace: string, route: string, key: string): string {
  return hash([workspace, route, key])
}

/** Returns what two calls must have in common to count as the same. */
export function createFingerprint (method: string, target: string, type: string, body: buffer.Buffer): string {
  return hash([method, target, type, body])
}

/** Decides on a call that finds a claim; `wallMs` is the wall time of this entry. */
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

/** The first call is still under way. */
export function refuseRunning (leftMs: number): Decision {
  return { kind: 'refuse', failure: createInProgress(leftMs) }
}

/** Returns the refusal of a call whose first attempt is expected to end within `leftMs`. */
export function createInProgress (leftMs: number): failures.Failure {
  return failures.createFailure('may_have_run', 'idempotency_in_progress', [], Math.max(minimumRetryMs, leftMs))
}

/** The first call's answer cannot be had. */
export function refuseUnknown (verdict: verdicts.Verdict, retryAfterMs?: number): Decision {
  return { kind: 'refuse', failure: failures.createFailure(verdict, 'idempotency_unknown', [], retryAfterMs) }
}

/** Returns the record of a call that was answered. */
export function recordAnswer (claim: Claim, answer: work.ServiceAnswer): Claim {
  return answer.body.length > keptAnswerLength
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
