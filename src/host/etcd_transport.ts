/**
 * HTTP calls to the store: failover between addresses within one time-out, and the verdict of a failure.
 */
import * as undici from 'undici'
import * as z from 'zod'
import * as failures from '../contracts/failure.js'
import * as host from './types.js'
import * as verdicts from '../contracts/verdict.js'

/** Size limit of an answer of the store. */
const maximumAnswerBytes = 16_777_216

/** Error codes of connections that were not established, so that the request has not left this process. */
const connectErrorCodes = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'
])

const tooManyRequestsStatus = 429

/** 4xx statuses after which the outcome is unknown: request time-out, cancelled. */
const unknownOutcomeStatuses = new Set([408, 499])

/** Whether a call changes the store. A failed read has the verdict `not_run` whatever its cause. */
export type CallEffect = 'read' | 'write'

interface Attempt {
  readonly url: string
  readonly path: string
  readonly body: string
  readonly timeoutMs: number
}

export class EtcdTransport {
  private agent: undici.Agent
  private preferredIndex = 0

  /** `timeoutMs` is the time-out of one call, over all addresses. */
  constructor (
    private readonly urls: readonly string[],
    private readonly timeoutMs: number,
    private readonly clock: host.Clock
  ) {
    this.agent = this.createAgent()
  }

  /** Posts a message and parses the answer with the schema. */
  async call<Schema extends z.ZodType> (
    path: string, message: unknown, schema: Schema, effect: CallEffect
  ): Promise<failures.Result<z.output<Schema>>> {
    const body = JSON.stringify(message)
    const endMs = this.clock.monotonicMs() + this.timeoutMs
    let failure = failures.createFailure('not_run', 'store_unavailable', ['no address is configured'])
    for (let tried = 0; tried < this.urls.length; tried += 1) {
      const remainingMs = endMs - this.clock.monotonicMs()
      if (remainingMs <= 0) {
        break
      }
      const attemptTimeoutMs = effect === 'read' ? Math.min(remainingMs, this.timeoutMs / this.urls.length) : remainingMs
      const result = await this.callOnce({ url: this.getPreferredUrl(), path, body, timeoutMs: attemptTimeoutMs }, schema, effect)
      if (result.isRight()) {
        return result
      }
      failure = result.swap().orDefault(failure)
      if (failure.code === 'store_conflict') {
        break
      }
      this.preferredIndex += 1
      if (!verdicts.isSafeToRepeat(failure.verdict)) {
        break
      }
    }
    return failures.fail(failure)
  }

  /**
   * Opens a stream of answers; the signal ends it. Fails with `store_unavailable` if it can't be opened within the
   * time-out.
   */
  async open (path: string, message: unknown, signal: AbortSignal): Promise<failures.Result<AsyncIterable<Buffer>>> {
    const opening = new AbortController()
    const stopTimer = this.clock.after(this.timeoutMs, () => opening.abort())
    try {
      const answer = await undici.request(this.getPreferredUrl() + path, {
        ...this.getRequestOptions(JSON.stringify(message)),
        bodyTimeout: 0,
        signal: AbortSignal.any([signal, opening.signal])
      })
      stopTimer()
      if (answer.statusCode === 200) {
        return failures.succeed(answer.body)
      }
      answer.body.on('error', () => {}).destroy()
      this.preferredIndex += 1
      return failures.fail(failures.createFailure('not_run', 'store_unavailable', [`status ${answer.statusCode}`]))
    } catch (error) {
      stopTimer()
      this.preferredIndex += 1
      return failures.fail(failures.createFailure('not_run', 'store_unavailable', [describeError(error)]))
    }
  }

  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async callOnce<Schema extends z.ZodType> (
    attempt: Attempt, schema: Schema, effect: CallEffect
  ): Promise<failures.Result<z.output<Schema>>> {
    const controller = new AbortController()
    const stopTimer = this.clock.after(attempt.timeoutMs, () => controller.abort())
    try {
      const answer = await undici.request(attempt.url + attempt.path, {
        ...this.getRequestOptions(attempt.body),
        signal: controller.signal
      })
      const text = await answer.body.text()
      return readAnswer(answer.statusCode, text, schema, effect)
    } catch (error) {
      if (controller.signal.aborted) {
        this.replaceConnections()
      }
      return failures.fail(createFailure(error, effect))
    } finally {
      stopTimer()
    }
  }

  private getPreferredUrl (): string {
    return (this.urls[this.preferredIndex % this.urls.length] ?? '').replace(/\/$/, '')
  }

  private getRequestOptions (body: string): { method: 'POST', headers: Record<string, string>, body: string, dispatcher: undici.Agent } {
    return { method: 'POST', headers: { 'content-type': 'application/json' }, body, dispatcher: this.agent }
  }

  /** After a time-out every pooled connection may be unresponsive, so that new calls use new ones. */
  private replaceConnections (): void {
    const old = this.agent
    this.agent = this.createAgent()
    old.close().catch(() => {})
  }

  private createAgent (): undici.Agent {
    return new undici.Agent({
      connect: { timeout: this.timeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: maximumAnswerBytes
    })
  }
}

function readAnswer<Schema extends z.ZodType> (
  status: number, text: string, schema: Schema, effect: CallEffect
): failures.Result<z.output<Schema>> {
  if (status === tooManyRequestsStatus) {
    return failures.fail(failures.createFailure('not_run', 'store_unavailable', [`status ${status}`]))
  }
  if (status >= 400 && status < 500 && !unknownOutcomeStatuses.has(status)) {
    return failures.fail(failures.createFailure('not_run', 'store_conflict', [`status ${status}: ${text.slice(0, 200)}`]))
  }
  if (status !== 200) {
    return failures.fail(createAmbiguousFailure(`status ${status}`, effect))
  }
  const parsed = schema.safeParse(parseJson(text))
  return parsed.success
    ? failures.succeed(parsed.data)
    : failures.fail(createAmbiguousFailure('the answer does not match its schema', effect))
}

function createFailure (error: unknown, effect: CallEffect): failures.Failure {
  const text = describeError(error)
  if (connectErrorCodes.has(getErrorCode(error))) {
    return failures.createFailure('not_run', 'store_unavailable', [text])
  }
  return createAmbiguousFailure(text, effect)
}

/** Creates the failure of a request that may have reached the store. */
function createAmbiguousFailure (reason: string, effect: CallEffect): failures.Failure {
  return effect === 'read'
    ? failures.createFailure('not_run', 'store_unavailable', [reason])
    : failures.createFailure('may_have_run', 'store_answer_lost', [reason])
}

/** Returns `undefined` for text that is not JSON. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function getErrorCode (error: unknown): string {
  if (typeof error !== 'object' || error === null || !('code' in error)) {
    return ''
  }
  return String(error.code)
}

function describeError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
