/**
 * A caller of an entry: completions, streamed or not, and calls of plain services.
 */
import * as undici from 'undici'

/** Longest wait of a caller for its whole answer, in milliseconds. */
const answerLimitMs = 60_000

/**
 * What a caller got: all of its answer, a refusal, an error within a stream, a connection that broke, or none at
 * all; or that it left.
 */
export type Outcome = 'whole' | 'refused' | 'failed' | 'broken' | 'unreached' | 'left'

export interface Answer {
  readonly outcome: Outcome
  readonly status: number
  /** Text of a completion, or the body of a call. */
  readonly text: string
  /** Ends of the stream that were seen. */
  readonly ends: number
  readonly requestId: string
  readonly code: string | undefined
  readonly verdict: string | undefined
  readonly retryAfter: string | undefined
}

export interface Question {
  readonly url: string
  readonly key?: string
  readonly body: object
  readonly headers?: Readonly<Record<string, string>>
}

interface ErrorBody {
  readonly error?: { readonly code?: string, readonly verdict?: string }
}

const nothing: Answer = {
  outcome: 'broken', status: 0, text: '', ends: 0, requestId: '', code: undefined, verdict: undefined, retryAfter: undefined
}

/** One request under way. */
export class Exchange {
  /** Resolves once the first text has come, or with the end if none comes. */
  readonly firstText: Promise<void>
  readonly answer: Promise<Answer>
  private readonly abort = new AbortController()
  private noteText: () => void = () => {}
  private hasLeft = false
  private text = ''

  constructor (readonly question: Question, private readonly dispatcher: undici.Dispatcher) {
    const first = new Promise<void>(resolve => {
      this.noteText = resolve
    })
    this.answer = this.run()
    this.firstText = Promise.race([first, this.answer.then(() => {})])
  }

  /** Closes the caller's connection. */
  leave (): void {
    this.hasLeft = true
    this.abort.abort()
  }

  private async run (): Promise<Answer> {
    const timeout = AbortSignal.timeout(answerLimitMs)
    try {
      return await this.ask(AbortSignal.any([this.abort.signal, timeout]))
    } catch (error) {
      return { ...nothing, outcome: this.hasLeft ? 'left' : findOutcome(error), text: this.text }
    }
  }

  private async ask (signal: AbortSignal): Promise<Answer> {
    const { url, key, body, headers } = this.question
    const authorization = key === undefined ? {} : { authorization: `Bearer ${key}` }
    const response = await undici.request(url, {
      method: 'POST',
      headers: { 'content-type': 'application/json', ...authorization, ...headers },
      body: JSON.stringify(body),
      signal,
      dispatcher: this.dispatcher
    })
    const base = {
      ...nothing,
      status: response.statusCode,
      requestId: String(response.headers['x-request-id'] ?? ''),
      retryAfter: response.headers['retry-after'] as string | undefined
    }
    if (String(response.headers['content-type']).startsWith('text/event-stream')) {
      return { ...base, ...await this.readStream(response) }
    }
    return { ...base, ...readWhole(response.statusCode, await response.body.text()) }
  }

  private async readStream (response: undici.Dispatcher.ResponseData): Promise<Partial<Answer>> {
    let ends = 0
    let error: ErrorBody['error']
    for await (const data of readEvents(response)) {
      if (data === '[DONE]') {
        ends += 1
        continue
      }
      const event = JSON.parse(data) as ErrorBody & { readonly choices?: ReadonlyArray<Record<string, any>> }
      error ??= event.error
      const choice = event.choices?.[0]
      this.text += choice?.['text'] ?? choice?.['delta']?.content ?? ''
      this.noteText()
    }
    const outcome = error !== undefined ? 'failed' : ends > 0 ? 'whole' : 'broken'
    return { outcome, text: this.text, ends, code: error?.code, verdict: error?.verdict }
  }
}

async function * readEvents (response: undici.Dispatcher.ResponseData): AsyncGenerator<string> {
  let rest = ''
  for await (const chunk of response.body) {
    const events = (rest + String(chunk)).split('\n\n')
    rest = events.pop() ?? ''
    for (const event of events) {
      const line = event.split('\n').find(candidate => candidate.startsWith('data: '))
      if (line !== undefined) {
        yield line.slice('data: '.length)
      }
    }
  }
}

function readWhole (status: number, text: string): Partial<Answer> {
  if (status < 300) {
    const choice = (JSON.parse(text) as { choices?: ReadonlyArray<Record<string, any>> }).choices?.[0]
    return { outcome: 'whole', text: choice?.['text'] ?? choice?.['message']?.content ?? text, ends: 1 }
  }
  const error = text.startsWith('{') ? (JSON.parse(text) as ErrorBody).error : undefined
  return { outcome: 'refused', text, code: error?.code, verdict: error?.verdict }
}

function findOutcome (error: unknown): Outcome {
  return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'unreached' : 'broken'
}
