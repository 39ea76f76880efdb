/**
 * Forwards the stream of a server to a caller.
 */
import type * as buffer from 'node:buffer'
import * as byteCollectors from './byte_collector.js'
import * as connections from './connection.js'
import * as splitters from './event_splitter.js'
import type * as streamProgress from './decode_speed/stream_progress.js'
import * as replies from './caller_reply.js'
import * as types from './types.js'

/** Status with which a server other than the intended one refuses a request. */
export const misdirected = 421
/** Statuses that tell a caller that the request has not run. */
export const notRunStatuses: ReadonlySet<number> = new Set([408, 429, 503])
/** Whole events from one server with which an answer counts as begun: a server that a prompt ends may still write the first one. */
const begunEvents = 2
/** Limit on the buffered bytes of an answer that is not a stream. */
const maximumFailureBytes = 65_536

/** How one server's part of a stream ended. */
export type RelayEnd =
  | { readonly kind: 'completed' }
  /** The server answered with a failure. */
  | { readonly kind: 'answered', readonly status: number, readonly rawHeaders: readonly string[], readonly body: buffer.Buffer }
  | { readonly kind: 'not_run', readonly status: number | undefined, readonly reason: string }
  /** `isBroken`: the server or the network ended the connection; otherwise the gateway did. */
  | { readonly kind: 'lost', readonly reason: string, readonly isBroken: boolean }

export class StreamRelay extends connections.AnswerObserver {
  firstByteMs: number | undefined
  /** When the stream last made progress: an event was completed, or the buffer for the caller drained. Bytes outside events do not count. */
  lastProgressMs: number
  /** Whether the stream is paused until the caller has read the buffered bytes. */
  isPaused = false
  /** Bytes of the stream received from the server. */
  bytes = 0
  /** Whether the server has begun to answer beyond doubt. */
  hasBegun = false
  /** Whole events of the stream from earlier servers. */
  private readonly earlierEvents: number
  private status = 0
  private rawHeaders: readonly string[] = []
  private mode: 'waiting' | 'streaming' | 'collecting' | 'unusable' = 'waiting'
  private readonly collected = new byteCollectors.ByteCollector()
  private isSettled = false
  /** Whether an earlier server has started the stream. */
  private isContinuation = false
  private activeSend: connections.ActiveSend | undefined

  constructor (
    private readonly dialect: types.Dialect,
    private readonly reply: replies.CallerReply,
    private readonly splitter: splitters.EventSplitter,
    /** Whether the stream may resume at another server; the caller then gets whole events only. */
    private readonly isResumable: boolean,
    private readonly now: () => number,
    private readonly settle: (end: RelayEnd) => void,
    /** Called once the server has begun to answer beyond doubt. */
    private readonly begin: () => void,
    private readonly progress?: streamProgress.StreamProgress
  ) {
    super()
    this.lastProgressMs = now()
    this.earlierEvents = splitter.eventCount
  }

  attach (activeSend: connections.ActiveSend): void {
    this.activeSend = activeSend
    if (this.mode === 'unusable') {
      activeSend.abort()
    }
  }

  /** Aborts the server's stream. */
  stop (reason: string): void {
    if (!this.isSettled) {
      this.splitter.discardPartial()
      // Before the abort, which fails the answer.
      this.finish({ kind: 'lost', reason, isBroken: false })
    }
    this.activeSend?.abort()
  }

  override started (status: number, rawHeaders: readonly string[]): void {
    this.status = status
    this.rawHeaders = rawHeaders
    const facts = this.dialect.readAnswer(status, rawHeaders)
    if (status < 300 && !facts.isSigned) {
      this.mode = 'unusable'
      this.activeSend?.abort()
      this.finish({ kind: 'lost', reason: 'the answer is not signed', isBroken: false })
      return
    }
    if (status >= 300 || facts.isNotRun) {
      this.mode = 'collecting'
      return
    }
    this.isContinuation = this.reply.hasStarted
    if (this.isContinuation && !facts.isStream) {
      this.mode = 'unusable'
      this.activeSend?.abort()
      this.finish({ kind: 'lost', reason: 'the resumed stream is no stream of events', isBroken: false })
      return
    }
    this.mode = 'streaming'
    if (!this.isContinuation) {
      this.reply.start(status, rawHeaders, this.isResumable)
    }
  }

  override received (chunk: buffer.Buffer): void {
    if (this.mode === 'collecting') {
      if (this.collected.length <= maximumFailureBytes) {
        this.collected.add(chunk)
      }
      return
    }
    if (this.mode !== 'streaming' || this.isSettled) {
      return
    }
    this.firstByteMs ??= this.now()
    this.bytes += chunk.length
    const { eventCount: events } = this.splitter
    const whole = this.splitter.push(chunk)
    if (this.splitter.isOverflowing) {
      this.splitter.discardPartial()
      this.stop('event exceeds the size limit')
      return
    }
    if (this.splitter.eventCount > events) {
      this.lastProgressMs = this.now()
      this.progress?.advance(this.splitter.eventCount, this.lastProgressMs)
      this.recordEvents(begunEvents)
    }
    const bytes = this.isResumable ? whole : chunk
    if (bytes.length > 0 && !this.reply.write(bytes)) {
      this.isPaused = true
      this.progress?.interrupt()
      this.activeSend?.pause()
      this.reply.whenDrained(() => {
        this.isPaused = false
        this.lastProgressMs = this.now()
        this.activeSend?.resume()
      })
    }
  }

  override ended (): void {
    if (this.mode === 'streaming') {
      const isInsideEvent = this.splitter.isInsideEvent
      const rest = this.splitter.takePartial()
      if (isInsideEvent) {
        this.finish({ kind: 'lost', reason: 'the stream ends inside an event', isBroken: true })
        return
      }
      // A server that ends also ends an answer without a length, which then looks complete.
      if (!replies.isFramed(this.rawHeaders) && this.splitter.eventCount === 0 && !this.isContinuation) {
        this.finish({ kind: 'lost', reason: 'the stream ends without an event', isBroken: true })
        return
      }
      // Empty lines behind the last event belong to the server's body.
      if (this.isResumable && rest.length > 0) {
        this.reply.write(rest)
      }
      this.recordEvents(1)
      this.finish({ kind: 'completed' })
      return
    }
    const { status, rawHeaders } = this
    if (this.dialect.readAnswer(status, rawHeaders).isNotRun || status === misdirected) {
      this.finish({ kind: 'not_run', status, reason: `status ${status}` })
      return
    }
    if (notRunStatuses.has(status) || this.collected.length > maximumFailureBytes) {
      this.finish({ kind: 'lost', reason: `status ${status} without the statement that it did not run`, isBroken: false })
      return
    }
    this.finish({ kind: 'answered', status, rawHeaders, body: this.collected.view() })
  }

  override failed (failure: connections.TransportFailure): void {
    if (this.isSettled) {
      return
    }
    this.splitter.discardPartial()
    this.finish(failure.kind === 'unsent'
      ? { kind: 'not_run', status: undefined, reason: failure.reason }
      : { kind: 'lost', reason: failure.reason, isBroken: true })
  }

  private recordEvents (sufficient: number): void {
    if (!this.hasBegun && this.splitter.eventCount - this.earlierEvents >= sufficient) {
      this.hasBegun = true
      this.begin()
    }
  }

  private finish (end: RelayEnd): void {
    if (!this.isSettled) {
      this.isSettled = true
      this.settle(end)
    }
  }
}
