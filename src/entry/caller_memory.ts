/**
 * The memory that an entry holds for callers: the account of their bodies, and the answers that they have not read yet.
 */
import * as http from 'node:http'
import * as accountChecks from '../gateway/caller_memory/account_check.js'
import * as accounts from '../gateway/caller_memory/account.js'
import * as bodyIntakes from '../gateway/caller_memory/body_intake.js'
import * as chunkTurns from '../gateway/caller_memory/chunk_turns.js'
import * as garbage from '../host/garbage_collector.js'
import * as host from '../host/types.js'
import * as memoryBounds from '../host/memory_bounds.js'
import * as metrics from '../metrics/types.js'
import * as settings from '../contracts/settings.js'

/** Part of the memory beyond the process itself for bodies and small bodies, and for answers. */
const largePart = 0.3
const smallPart = 0.1
const answersPart = 0.1
/** A body is held as its bytes, as base64 for the agent, and in the message that carries it, which is framed once more. */
const copies = 4
/** A body of the default limit with the 64 KiB that one read may add. */
const leastLargeBytes = 4_259_840
const leastBytes = 1_048_576
/** Time without progress after which an answer may be cut for others, in milliseconds: several lost packets in a row. */
const leastUnreadMs = 1_000
/** Bytes read between two minor collections, which free the pieces that bodies came in. */
const leastTransientBytes = 2_097_152
const mostTransientBytes = 67_108_864
/** A caller that is refused for lack of memory learns it after a second at most. */
const longestWaitMs = 1_000
const graceMs = 1_000
/** At this rate a body of 4 MB takes a minute, six times the default time for a body to arrive. */
const leastBytesPerSecond = 65_536
/** Answers up to this size are bounded by the number of connections. */
const smallAnswerBytes = 65_536
const checkPeriodMs = 100

interface Context {
  readonly system: host.System
  readonly limits: settings.Limits
  readonly meter: metrics.Meter
}

interface UnreadAnswer {
  /** Bytes that the operating system had not taken when the caller last took some. */
  readonly unread: number
  readonly progressMs: number
}

export class CallerMemory {
  private readonly account: accounts.CallerMemory
  private readonly options: bodyIntakes.IntakeOptions
  private readonly intakes = new WeakMap<http.IncomingMessage, bodyIntakes.BodyIntake>()
  private readonly maximumAnswerBytes: number
  /** Long answers that are still to be written, oldest first. */
  private readonly answers = new Map<http.ServerResponse, UnreadAnswer>()
  private readonly stopCheck: host.Stop

  constructor (private readonly context: Context) {
    const { limits, meter, system } = context
    const bytes = memoryBounds.getSpareBytes(limits)
    this.maximumAnswerBytes = Math.max(leastLargeBytes, bytes * answersPart)
    this.account = new accounts.CallerMemory({
      largeBytes: Math.max(leastLargeBytes, bytes * largePart / copies),
      smallBytes: Math.max(leastBytes, bytes * smallPart / copies),
      transientBytes: Math.min(mostTransientBytes, Math.max(leastTransientBytes, bytes * smallPart)),
      longestWaitMs,
      graceMs,
      leastBytesPerSecond
    })
    this.options = {
      clock: system.clock,
      account: this.account,
      // The time-out of the whole body ends one of which nothing comes.
      stallMs: Infinity,
      turns: new chunkTurns.ChunkTurns(system.clock),
      // At once: one turn of the event loop may read many bodies, and nothing of them would be collected before its end.
      collect: () => garbage.collectGarbage('minor'),
      ended: (_, reason, size) => {
        meter.count('caller_bodies_ended_total', { reason })
        system.log.info('body ended for lack of memory', { reason, bytes: size, ...this.account.describe() })
      }
    }
    this.stopCheck = system.clock.every(checkPeriodMs, () => this.check())
  }

  /** Begins to take the body of a request; its memory is given back when the answer has ended. */
  open (request: http.IncomingMessage, response: http.ServerResponse): bodyIntakes.BodyIntake {
    const known = this.intakes.get(request)
    if (known !== undefined) {
      return known
    }
    const intake = new bodyIntakes.BodyIntake(request, this.options)
    this.intakes.set(request, intake)
    response.once('close', () => intake.discard())
    return intake
  }

  /** Records bytes that were read and dropped. */
  recordDropped (bytes: number): void {
    bodyIntakes.recordRead(this.options, bytes)
  }

  /** Watches an answer until it has been written. */
  addAnswer (response: http.ServerResponse, bytes: number): void {
    if (bytes <= smallAnswerBytes || response.closed) {
      return
    }
    this.answers.set(response, { unread: response.writableLength, progressMs: this.context.system.clock.monotonicMs() })
    response.once('close', () => this.answers.delete(response))
    this.checkAnswers()
  }

  stop (): void {
    this.stopCheck()
  }

  /** Cuts the oldest answers of which callers take nothing, if callers leave too much unread. */
  private checkAnswers (): void {
    const nowMs = this.context.system.clock.monotonicMs()
    let bytes = 0
    for (const [response, answer] of this.answers) {
      const { writableLength: unread } = response
      if (unread < answer.unread) {
        this.answers.set(response, { unread, progressMs: nowMs })
      }
      bytes += unread
    }
    for (const [response, { unread, progressMs }] of this.answers) {
      if (bytes <= this.maximumAnswerBytes) {
        return
      }
      if (nowMs - progressMs >= leastUnreadMs) {
        bytes -= unread
        this.answers.delete(response)
        this.context.meter.count('caller_answers_cut_total', {}, 1)
        this.context.system.log.info('unread answer cut for lack of memory', { unread, sinceMs: Math.round(nowMs - progressMs) })
        response.socket?.destroy()
      }
    }
  }

  private check (): void {
    this.checkAnswers()
    accountChecks.checkAccount(this.account, this.context.system.clock.monotonicMs())
  }
}
