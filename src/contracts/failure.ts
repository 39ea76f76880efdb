/**
 * Typed errors: every operation that can fail returns an `Either` with a `Failure` on its left.
 */
import * as z from 'zod'
import * as purify from 'purify-ts'
import * as diagnosticTable from './diagnostics.js'
import * as verdicts from './verdict.js'

/** Why something did not succeed, and whether it may have run all the same. */
export const Failure = z.object({
  verdict: verdicts.Verdict,
  code: z.enum(diagnosticTable.diagnosticCodes),
  message: z.string(),
  /** When to come back, in milliseconds from the receipt of the failure. */
  retryAfterMs: z.number().int().nonnegative().optional()
})
export type Failure = z.infer<typeof Failure>

export type Result<Value> = purify.Either<Failure, Value>

/** Creates a failure with the text of its diagnostic; `retryAfterMs` in milliseconds. */
export function createFailure (
  verdict: verdicts.Verdict,
  code: diagnosticTable.DiagnosticCode,
  details: readonly (string | number)[] = [],
  retryAfterMs?: number
): Failure {
  const message = diagnosticTable.formatDiagnostic(code, details)
  if (retryAfterMs === undefined) {
    return { verdict, code, message }
  }
  return { verdict, code, message, retryAfterMs: Math.ceil(retryAfterMs) }
}

/** Returns the same failure with another verdict. */
export function withVerdict (failure: Failure, verdict: verdicts.Verdict): Failure {
  return { ...failure, verdict }
}

export function succeed<Value> (value: Value): Result<Value> {
  return purify.Right(value)
}

export function fail<Value> (failure: Failure): Result<Value> {
  return purify.Left(failure)
}
