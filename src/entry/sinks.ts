/**
 * Sinks for the text of a generation: a stream of events, or a single answer.
 */
import * as completionsApi from './completions_api.js'
import * as replies from './reply.js'
import * as types from './types.js'

/** Buffers the text of an answer that is not streamed. */
export class BufferedSink extends types.Sink {
  private parts: string[] = []

  override get isCommitted (): boolean {
    return false
  }

  get text (): string {
    return this.parts.join('')
  }

  override write (text: string): void {
    this.parts.push(text)
  }

  override reset (): void {
    this.parts = []
  }
}

/** Sends text to the caller as it arrives. The response head is sent with the first text. */
export class StreamSink extends types.Sink {
  constructor (
    private readonly reply: replies.Reply,
    private readonly formatter: completionsApi.ResponseFormatter,
    private readonly request: completionsApi.CompletionRequest
  ) {
    super()
  }

  override get isCommitted (): boolean {
    return this.reply.isSent
  }

  override write (text: string): void {
    this.open()
    this.reply.writeEvent(this.formatter.formatText(text))
  }

  override reset (): void {}

  /** Ends the stream after a complete answer. */
  finish (completion: types.Completion): void {
    this.open()
    this.reply.writeEvent(this.formatter.formatEnd(completion.reason))
    if (this.request.includesUsage) {
      this.reply.writeEvent(this.formatter.formatUsage(completion.usage))
    }
    this.reply.writeEvent('[DONE]')
    this.reply.endStream()
  }

  private open (): void {
    if (this.reply.isSent) {
      return
    }
    this.reply.openStream()
    if (this.request.kind === 'chat') {
      this.reply.writeEvent(this.formatter.formatRole())
    }
  }
}

/** Forwards text to another sink and measures the time between texts. */
export class TimedSink extends types.Sink {
  private lastAtMs: number | undefined

  /** `onText` receives the time since the request's arrival for the first text, since the previous text for others. */
  constructor (
    private readonly inner: types.Sink,
    private readonly receivedAtMs: number,
    private readonly getNowMs: () => number,
    private readonly onText: (isFirst: boolean, elapsedMs: number) => void
  ) {
    super()
  }

  override get isCommitted (): boolean {
    return this.inner.isCommitted
  }

  override write (text: string): void {
    const nowMs = this.getNowMs()
    this.onText(this.lastAtMs === undefined, nowMs - (this.lastAtMs ?? this.receivedAtMs))
    this.lastAtMs = nowMs
    this.inner.write(text)
  }

  override reset (): void {
    this.inner.reset()
  }
}
