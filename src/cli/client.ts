/**
 * Calls of the administration API.
 */
import * as undici from 'undici'
import * as z from 'zod'
import * as answers from '../administration/answers.js'
import * as changeRequests from '../configuration/change_request.js'
import * as failures from '../contracts/failure.js'
import * as terminals from './terminal.js'

/** Calls of one operation, the first one included, while its outcome is unknown. */
const maximumTries = 4

/** Pause between two tries, in milliseconds. */
const pauseMs = 500

/** Longest wait for an answer, in milliseconds. */
const answerTimeoutMs = 30_000

export type Method = 'GET' | 'PUT' | 'POST' | 'DELETE'

/** A refusal together with the mistakes that the API listed. */
export type Refused = answers.Refusal['error']

export interface CallOptions {
  readonly body?: unknown
  /** Version of the section that is replaced. */
  readonly version?: number | undefined
}

export interface ClientOptions {
  readonly url: string
  readonly credential: string
  /** Identifies the operation, so that it may be repeated. */
  readonly operation: string
}

export class Client {
  constructor (private readonly options: ClientOptions, private readonly terminal: terminals.Terminal) {}

  get operation (): string {
    return this.options.operation
  }

  /** Calls until the outcome is known; the operation makes repeating harmless. */
  async call<Schema extends z.ZodType> (
    method: Method, path: string, schema: Schema, options: CallOptions = {}
  ): Promise<failures.Result<z.output<Schema>>> {
    let isUncertain = false
    for (let tried = 1; ; tried += 1) {
      const result = await this.callOnce(method, path, schema, options)
      if (result.isRight()) {
        return result
      }
      const failure = result.swap().unsafeCoerce()
      isUncertain ||= failure.verdict === 'may_have_run'
      const mayHelp = failure.verdict === 'may_have_run' || failure.code === 'link_lost' || failure.code === 'store_unavailable'
      if (!mayHelp || tried === maximumTries) {
        return failures.fail(isUncertain && mayHelp ? failures.withVerdict(failure, 'may_have_run') : failure)
      }
      await this.terminal.sleep(pauseMs)
    }
  }

  private async callOnce<Schema extends z.ZodType> (
    method: Method, path: string, schema: Schema, { body, version }: CallOptions
  ): Promise<failures.Result<z.output<Schema>>> {
    try {
      const answer = await undici.request(this.options.url.replace(/\/$/, '') + path, {
        method,
        headers: this.createHeaders(method, version),
        headersTimeout: answerTimeoutMs,
        bodyTimeout: answerTimeoutMs,
        ...(body === undefined ? {} : { body: JSON.stringify(body) })
      })
      return readAnswer(answer.statusCode, await answer.body.text(), schema, method)
    } catch (error) {
      return failures.fail(createLinkFailure(error, this.options.url, method))
    }
  }

  private createHeaders (method: Method, version: number | undefined): Record<string, string> {
    const headers: Record<string, string> = { authorization: `Bearer ${this.options.credential}` }
    if (method !== 'GET') {
      headers['content-type'] = 'application/json'
      headers['idempotency-key'] = this.options.operation
    }
    if (version !== undefined) {
      headers['if-match'] = `"${version}"`
    }
    return headers
  }
}

function readAnswer<Schema extends z.ZodType> (
  status: number, text: string, schema: Schema, method: Method
): failures.Result<z.output<Schema>> {
  const json = tryParse(text)
  if (status >= 200 && status < 300) {
    const parsed = schema.safeParse(json)
    return parsed.success ? failures.succeed(parsed.data) : failures.fail(createDefect(method, 'the answer does not match its schema'))
  }
  const refusal = answers.Refusal.safeParse(json)
  return failures.fail(refusal.success ? refusal.data.error : createDefect(method, `status ${status}`))
}

function createDefect (method: Method, reason: string): failures.Failure {
  return failures.createFailure(method === 'GET' ? 'not_run' : 'may_have_run', 'internal', [reason])
}

function createLinkFailure (error: unknown, url: string, method: Method): failures.Failure {
  const code = typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : ''
  const wasNotSent = method === 'GET' || code === 'ECONNREFUSED' || code === 'ENOTFOUND' || code === 'UND_ERR_CONNECT_TIMEOUT'
  return failures.createFailure(wasNotSent ? 'not_run' : 'may_have_run', 'link_lost', [url])
}

function tryParse (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Returns what a refusal says besides its message, one line each. */
export function describeRefusal (failure: Refused): readonly string[] {
  const lines: string[] = []
  for (const { section, path, message } of failure.mistakes ?? []) {
    lines.push(`  ${section}${path === '' ? '' : ` at ${path}`}: ${message}`)
  }
  for (const { section, since } of failure.stale ?? []) {
    lines.push(...since.map(entry => `  ${section}@${entry.sectionVersion} by ${entry.team}: ${describeDifferences(entry)}`))
  }
  return lines
}

function describeDifferences ({ differences, deleted }: changeRequests.HistoryEntry): string {
  if (deleted) {
    return 'deleted'
  }
  return differences.map(({ path, before, after }) => `${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`).join(', ')
}
