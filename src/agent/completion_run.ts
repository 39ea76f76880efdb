/**
 * Runs one completion on an engine: sends the request, reads the stream, and resumes it with exponential backoff when
 * the connection breaks.
 */
import * as stream from 'node:stream'
import * as stringDecoder from 'node:string_decoder'
import * as undici from 'undici'
import * as backends from './backend.js'
import * as errors from './http_errors.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as messages from './completion_messages.js'
import * as readers from './completion_reader.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

/** Limit of consecutive resumptions without output. */
const maximumFailedResumptions = 5
/** Doubled for each further resumption without output. */
const firstBackoffMs = 50
/** Error bodies are read up to this length, in characters. */
const maximumErrorCharacters = 65_536

export type CompletionTask = Exclude<work.Task, { readonly kind: 'call' }>

export interface CompletionContext {
  readonly dispatcher: undici.Dispatcher
  readonly origin: string
  readonly server: string
  readonly clock: host.Clock
}

type Outcome =
  | { readonly kind: 'done' }
  /** The connection broke; `mayBeSent` tells whether the request may have left this process. */
  | { readonly kind: 'broken', readonly reason: string, readonly mayBeSent: boolean }
  | { readonly kind: 'refused', readonly status: number, readonly error: readers.EngineError }

export class CompletionRun {
  private readonly reader: readers.CompletionReader
  private readonly controller = new AbortController()
  private readonly path: string
  private isFinished = false
  private isResumed = false

  constructor (
    private readonly context: CompletionContext,
    private readonly order: types.Order,
    private readonly task: CompletionTask,
    private readonly observer: backends.BackendObserver
  ) {
    this.path = `/v1/completions/${messages.createRequestId(order.id)}`
    this.reader = new readers.CompletionReader((text, tokens) => this.reportProgress(text, tokens))
  }

  /** Whether this run has no request in flight any more. */
  get hasEnded (): boolean {
    return this.isFinished
  }

  async run (): Promise<void> {
    let outcome = await this.sendRequest('POST')
    let failedResumptions = 0
    while (outcome.kind === 'broken' && outcome.mayBeSent && failedResumptions < maximumFailedResumptions && !this.controller.signal.aborted) {
      await this.context.clock.sleep(firstBackoffMs * 2 ** failedResumptions)
      const tokensBefore = this.reader.tokens
      this.isResumed = true
      outcome = await this.sendRequest('GET')
      failedResumptions = this.reader.tokens > tokensBefore ? 0 : failedResumptions + 1
    }
    this.isFinished = true
    this.reportOutcome(outcome)
  }

  /** Closes the connection. */
  stop (): void {
    this.controller.abort()
  }

  private reportProgress (text: string, tokens: number): void {
    if (this.task.kind === 'decode') {
      this.observer.progress(this.order.order, text, tokens)
    }
  }

  private async sendRequest (method: 'POST' | 'GET'): Promise<Outcome> {
    this.reader.reset()
    try {
      const response = await this.context.dispatcher.request(this.createRequest(method))
      if (response.statusCode !== 200) {
        return { kind: 'refused', status: response.statusCode, error: await readErrorBody(response.body) }
      }
      const isStream = String(response.headers['content-type']).startsWith('text/event-stream')
      return await this.read(response.body, isStream)
    } catch (error) {
      const mayBeSent = method === 'GET' || !errors.isConnectError(error)
      return { kind: 'broken', reason: errors.describeError(error), mayBeSent }
    }
  }

  private createRequest (method: 'POST' | 'GET'): undici.Dispatcher.RequestOptions {
    const { origin } = this.context
    const { signal } = this.controller
    if (method === 'GET') {
      return { origin, method, path: `${this.path}?offset=${this.reader.tokens}`, signal }
    }
    const headers = {
      'content-type': 'application/json',
      'x-request-id': messages.createRequestId(this.order.id),
      'x-fencing-number': String(this.order.fence)
    }
    return { origin, method, path: '/v1/completions', headers, body: JSON.stringify(messages.createRequestBody(this.task)), signal }
  }

  private async read (body: stream.Readable, isStream: boolean): Promise<Outcome> {
    let whole = ''
    await readText(body, part => {
      if (isStream) {
        this.reader.readPart(part)
      } else {
        whole += part
      }
    })
    if (!isStream) {
      this.reader.readBody(whole)
    }
    const { error, isDone } = this.reader
    if (error !== undefined) {
      return { kind: 'refused', status: 200, error }
    }
    return isDone ? { kind: 'done' } : { kind: 'broken', reason: 'the stream ended early', mayBeSent: true }
  }

  private reportOutcome (outcome: Outcome): void {
    const { order } = this.order
    switch (outcome.kind) {
      case 'done':
        return this.observer.finished(order, this.createCompletion())
      case 'broken':
        return this.observer.failed(order, this.createConnectionFailure(outcome.reason, outcome.mayBeSent), !outcome.mayBeSent)
      case 'refused':
        return this.observer.failed(order, this.createRefusalFailure(outcome.status, outcome.error), impliesRelease(outcome.status))
    }
  }

  private createCompletion (): types.Completion {
    const { reason, usage, transfer } = this.reader
    if (this.task.kind === 'prefill') {
      return { reason: 'prefilled', usage, transfer }
    }
    return { reason: messages.readFinishReason(reason ?? ''), usage }
  }

  private createConnectionFailure (reason: string, mayBeSent: boolean): failures.Failure {
    const verdict = this.reader.tokens > 0 ? 'ran' : mayBeSent ? 'may_have_run' : 'not_run'
    return failures.createFailure(verdict, 'server_failed', [this.context.server, reason])
  }

  /** A request refused with a client error did not run; one refused on resumption or with a server error may have run. */
  private createRefusalFailure (status: number, error: readers.EngineError): failures.Failure {
    const isImmediateRefusal = !this.isResumed && status >= 400 && status < 500
    const verdict = this.reader.tokens > 0 ? 'ran' : isImmediateRefusal ? 'not_run' : 'may_have_run'
    if (error.code === 'kv_cache_missing') {
      return failures.createFailure(verdict, 'transfer_failed', [error.message])
    }
    return failures.createFailure(verdict, 'server_failed', [this.context.server, error.message])
  }
}

/** Tells whether the engine holds no resources of a refused request; after a server error it may still hold some. */
function impliesRelease (status: number): boolean {
  return status < 500
}

async function readErrorBody (body: AsyncIterable<Buffer>): Promise<readers.EngineError> {
  const decoder = new stringDecoder.StringDecoder('utf8')
  let text = ''
  for await (const part of body) {
    text += decoder.write(part)
    if (text.length > maximumErrorCharacters) {
      break
    }
  }
  const reader = new readers.CompletionReader(() => {})
  reader.readBody(text)
  return reader.error ?? { code: '', message: 'the engine gave no reason' }
}

/**
 * Passes text on in the turn of the event loop in which it arrives. Decodes UTF-8 characters that are split between
 * two parts. Rejects when the body is closed before its end.
 */
function readText (body: stream.Readable, onText: (part: string) => void): Promise<void> {
  const decoder = new stringDecoder.StringDecoder('utf8')
  return new Promise((resolve, reject) => {
    body.on('data', (part: Buffer) => {
      try {
        onText(decoder.write(part))
      } catch (error) {
        body.destroy(error as Error)
      }
    })
    body.once('end', () => resolve())
    body.once('error', reject)
    body.once('close', () => reject(new Error('the body was closed before its end')))
  })
}
