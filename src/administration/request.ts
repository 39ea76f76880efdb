/**
 * Reads what a call carries: credential, headers, query and body, each within its limits.
 */
import * as z from 'zod'
import * as changeRequests from '../configuration/change_request.js'
import * as checks from '../configuration/checks.js'
import * as failures from '../contracts/failure.js'
import * as routes from './route.js'

/** A call that was refused before its handler ran, with every mistake in it. */
export type Checked<Value> =
  | { readonly kind: 'passed', readonly value: Value }
  | { readonly kind: 'refused', readonly refusal: changeRequests.Refusal }

/** Returns the credential of an `Authorization: Bearer` header. */
export function readCredential (headers: Headers): string | undefined {
  const match = /^Bearer +([\x21-\x7e]{1,512})$/i.exec(headers.get('authorization') ?? '')
  return match?.[1]
}

/** Returns the version of `If-Match`, or of `If-None-Match: *`, which is 0. */
export function readVersion (headers: Headers): failures.Result<number | undefined> {
  if (headers.get('if-none-match') === '*') {
    return failures.succeed(0)
  }
  const text = headers.get('if-match')
  if (text === null) {
    return failures.succeed(undefined)
  }
  const match = /^"?(\d{1,12})"?$/.exec(text.trim())
  return match === null
    ? failures.fail(failures.createFailure('not_run', 'headers_invalid', ['If-Match is not a version']))
    : failures.succeed(Number(match[1]))
}

/** Returns the operation of `Idempotency-Key`, or a new one. */
export function readOperation (headers: Headers, createId: () => string): failures.Result<string> {
  const text = headers.get('idempotency-key')
  if (text === null) {
    return failures.succeed(createId())
  }
  return changeRequests.OperationId.safeParse(text).success
    ? failures.succeed(text)
    : failures.fail(failures.createFailure('not_run', 'idempotency_key_invalid', ['1 to 128 of A-Z, a-z, 0-9, ".", "_", ":" and "-" are expected']))
}

/** Reads the body as text, at most `limitBytes` bytes. */
export async function readText (request: Request, limitBytes: number): Promise<failures.Result<string>> {
  const tooLarge = failures.createFailure('not_run', 'body_too_large', [limitBytes])
  if (Number(request.headers.get('content-length') ?? 0) > limitBytes) {
    return failures.fail(tooLarge)
  }
  const chunks: Uint8Array[] = []
  let bytes = 0
  try {
    for await (const chunk of request.body ?? []) {
      bytes += chunk.byteLength
      if (bytes > limitBytes) {
        return failures.fail(tooLarge)
      }
      chunks.push(chunk)
    }
  } catch {
    return failures.fail(failures.createFailure('not_run', 'body_malformed', ['it did not arrive whole']))
  }
  return failures.succeed(Buffer.concat(chunks).toString('utf8'))
}

/** Reads the JSON of a body; a route without body takes none. */
export function parseBody (route: routes.Route, text: string): failures.Result<unknown> {
  if (route.body === undefined) {
    return failures.succeed(undefined)
  }
  try {
    return failures.succeed(JSON.parse(text))
  } catch (error) {
    return failures.fail(failures.createFailure('not_run', 'body_malformed', [error instanceof Error ? error.message : '']))
  }
}

/** Checks a value by its schema; every mistake is listed. */
export function check (place: string, schema: z.ZodType | undefined, value: unknown): Checked<unknown> {
  if (schema === undefined) {
    return { kind: 'passed', value }
  }
  const parsed = schema.safeParse(value)
  if (parsed.success) {
    return { kind: 'passed', value: parsed.data }
  }
  const mistakes = checks.describeIssues(place, parsed.error)
  const failure = failures.createFailure('not_run', 'body_invalid', [checks.formatMistakes(mistakes)])
  return { kind: 'refused', refusal: { failure, mistakes, stale: [] } }
}
