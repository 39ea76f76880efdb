/**
 * Reads the response to a completion request, a single body or server-sent events. Merges the output of events that
 * arrive together.
 */
import * as sse from 'eventsource-parser'
import * as messages from './completion_messages.js'
import * as work from '../contracts/work.js'

/** An error that the engine returned instead of a completion. */
export interface EngineError {
  readonly code: string
  readonly message: string
}

export class CompletionReader {
  /** Tokens read so far, over all connections of the stream. */
  tokens = 0
  reason: string | undefined
  usage: work.Usage | undefined
  transfer: work.TransferHandle | undefined
  error: EngineError | undefined
  /** Whether the response is complete. */
  isDone = false
  private text = ''
  private newTokens = 0
  private parser = this.createParser()

  /** `onOutput` receives the text and the number of tokens of each part of the stream. */
  constructor (private readonly onOutput: (text: string, tokens: number) => void) {}

  /** Prepares for a new connection that resumes the stream. */
  reset (): void {
    this.parser = this.createParser()
  }

  /** Reads a part of the event stream and passes its output on in one call. */
  readPart (part: string): void {
    this.parser.feed(part)
    if (this.newTokens === 0 && this.text === '') {
      return
    }
    const { text, newTokens } = this
    this.text = ''
    this.newTokens = 0
    this.onOutput(text, newTokens)
  }

  /** Reads a response that is not a stream. */
  readBody (body: string): void {
    this.readMessage(body)
    this.isDone = this.error === undefined
  }

  private createParser (): sse.EventSourceParser {
    return sse.createParser({ onEvent: event => this.readMessage(event.data) })
  }

  private readMessage (data: string): void {
    if (data === '[DONE]') {
      this.isDone = true
      return
    }
    const parsed = messages.Chunk.safeParse(messages.parseJson(data))
    if (!parsed.success) {
      this.error = { code: 'message_invalid', message: 'the response does not match its schema' }
      return
    }
    this.applyChunk(parsed.data)
  }

  private applyChunk (chunk: messages.Chunk): void {
    if (chunk.error !== undefined) {
      this.error = { code: String(chunk.error.code ?? ''), message: chunk.error.message }
      return
    }
    const choice = chunk.choices[0]
    if (choice !== undefined && choice.text !== '') {
      this.text += choice.text
      this.newTokens += 1
      this.tokens += 1
    }
    this.reason = choice?.finish_reason ?? this.reason
    this.usage = messages.readUsage(chunk) ?? this.usage
    this.transfer = chunk.kv_transfer_params ?? this.transfer
  }
}
