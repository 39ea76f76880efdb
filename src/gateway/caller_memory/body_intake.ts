/**
 * Reads the body of a caller's request into memory that the account has granted.
 *
 * It takes the bytes from the parser as soon as they come, also while the request waits for its turn: Node.js keeps an object of some hundred
 * bytes for every chunk that nobody takes, however small the chunk is. A body that may not be read further holds its socket: what the parser
 * has read already is still taken, and nothing more is read.
 */
import * as buffer from 'node:buffer'
import * as http from 'node:http'
import * as accounts from './account.js'
import * as chunkTurns from './chunk_turns.js'
import * as byteCollectors from '../byte_collector.js'
import * as eventLoop from '../../host/event_loop.js'
import * as failures from '../../contracts/failure.js'
import * as host from '../../host/types.js'

/** Bodies up to this size count as small. */
export const smallBodyBytes = 65_536
/** What one read of a socket may add to a body that is held. */
const readBytes = 65_536
/** Time after which a caller whose body was ended for lack of memory may come back. */
const fullRetryMs = 1_000

type BodyResult = failures.Result<buffer.Buffer | undefined>

/** Settings of the reader that do not depend on a request. */
export interface IntakeOptions {
  readonly clock: host.Clock
  readonly account: accounts.CallerMemory
  /** A body of which nothing comes for so long is ended, in milliseconds. */
  readonly stallMs: number
  readonly turns: chunkTurns.ChunkTurns
  /** Called when the pieces that bodies came in are to be collected. */
  readonly collect: () => void
  /** Called when the account ends a body. */
  readonly ended: (request: http.IncomingMessage, reason: accounts.EndReason, bytes: number) => void
}

export class BodyIntake extends accounts.BodyOwner {
  private readonly lease: accounts.BodyLease
  private readonly small = new byteCollectors.ByteCollector()
  private large: buffer.Buffer | undefined
  private limitBytes = Infinity
  /** Whether it waits for memory or for its turn in the account, so that its socket is not read. */
  private needsMemory = false
  /** Set while it waits for its turn among bodies in tiny chunks. */
  private stopTurn: host.Stop | undefined
  private chunks = 0
  private chunkBytes = 0
  /** Whether the bytes that still come are dropped. */
  private isDiscarding = false
  private isWhole = false
  private isLost = false
  /** Set while the body is waited for. */
  private finish: ((result: BodyResult) => void) | undefined
  private endReason: accounts.EndReason | undefined
  private lastProgressMs: number

  constructor (private readonly request: http.IncomingMessage, private readonly options: IntakeOptions) {
    super()
    this.lease = options.account.open(this)
    this.lastProgressMs = options.clock.monotonicMs()
    const { _read: read } = request
    request._read = size => {
      if (!this.isHeld) {
        read.call(request, size)
      }
    }
    request.on('data', (chunk: buffer.Buffer) => this.take(chunk))
    request.on('end', () => {
      this.isWhole = true
      this.settle()
    })
    const lose = (): void => {
      this.isLost ||= !this.isWhole
      this.settle()
    }
    request.on('error', lose)
    request.on('close', lose)
  }

  /** Whether the body is still to come, and since when nothing of it has come, on the monotonic clock. */
  get openSinceMs (): number | undefined {
    return this.isWhole || this.isDiscarding ? undefined : this.lastProgressMs
  }

  /** Ends a body whose connection is needed for another caller. */
  endForConnection (): void {
    this.options.account.endForConnection(this.lease)
  }

  /** Length that the head announces; `undefined` for chunks. */
  get announcedBytes (): number | undefined {
    const { 'content-length': length, 'transfer-encoding': coding } = this.request.headers
    return coding !== undefined ? undefined : Number(length ?? 0)
  }

  /** Whether the body may be longer than a small one and has not come yet, so that a refusal saves reading it. */
  get isLongAndOpen (): boolean {
    return !this.isWhole && (this.announcedBytes ?? Infinity) > smallBodyBytes
  }

  /**
   * Resolves with the body. Fails with `body_too_large` as soon as it is known to exceed the limit, with `body_too_slow` after `timeoutMs` or
   * when nothing comes any more, with `caller_memory_full`, or with `caller_gone` when `gone` is aborted or the caller breaks off.
   */
  read (limitBytes: number, timeoutMs: number, gone: AbortSignal): Promise<BodyResult> {
    const { clock } = this.options
    return new Promise(resolve => {
      this.limitBytes = limitBytes
      const failGone = (): void => {
        this.isLost = true
        this.settle()
      }
      const stopTimer = eventLoop.afterTimeout(clock, timeoutMs, () => this.finish?.(createSlowFailure(timeoutMs)))
      let stopStall = (): void => {}
      this.finish = result => {
        this.finish = undefined
        stopTimer()
        stopStall()
        gone.removeEventListener('abort', failGone)
        if (result.isLeft()) {
          this.discard()
        }
        resolve(result)
      }
      gone.addEventListener('abort', failGone)
      if (gone.aborted) {
        failGone()
        return
      }
      this.settle()
      if (this.finish !== undefined) {
        stopStall = this.watchProgress()
        this.grow()
      }
    })
  }

  private get isHeld (): boolean {
    return this.needsMemory || this.stopTurn !== undefined
  }

  /** Drops what has come and what still comes. */
  discard (): void {
    const wasHeld = this.isHeld
    this.isDiscarding = true
    this.release()
    this.needsMemory = false
    this.stopTurn?.()
    this.stopTurn = undefined
    this.resume(wasHeld)
  }

  /** Gives the memory back: the request has ended. */
  release (): void {
    const { account, clock } = this.options
    this.small.clear()
    const hasBuffer = this.large !== undefined
    this.large = undefined
    account.close(this.lease, hasBuffer, clock.monotonicMs())
  }

  override granted (): void {
    this.allocate()
    this.stopNeedingMemory()
  }

  override ended (reason: accounts.EndReason): void {
    this.options.ended(this.request, reason, this.lease.bytes)
    this.endReason = reason
    this.small.clear()
    this.large = undefined
    this.isDiscarding = true
    if (this.finish === undefined) {
      // Its turn has not come yet; nothing of it is read until then.
      return
    }
    this.settle()
  }

  private take (chunk: buffer.Buffer): void {
    recordRead(this.options, chunk.length)
    if (this.isDiscarding) {
      return
    }
    this.lookAtChunks(chunk.length)
    this.lastProgressMs = this.options.clock.monotonicMs()
    const bytes = this.lease.bytes + chunk.length
    if (bytes > this.limitBytes) {
      this.fail('body_too_large', [this.limitBytes])
      return
    }
    if (this.large !== undefined) {
      chunk.copy(this.large, this.lease.bytes)
    } else {
      this.small.add(chunk)
    }
    this.options.account.add(this.lease, chunk.length)
    if (bytes > smallBodyBytes && this.large === undefined) {
      this.grow()
    }
  }

  /** Asks for the memory of a large body, and holds the socket until it is granted. */
  private grow (): void {
    if (this.large !== undefined || this.isDiscarding || this.isWhole || (this.lease.bytes <= smallBodyBytes && !(this.isAnnouncedLarge && this.finish !== undefined))) {
      return
    }
    if (this.finish === undefined) {
      this.hold()
      return
    }
    const { account, clock } = this.options
    if (account.request(this.lease, this.expectedBytes, clock.monotonicMs())) {
      this.allocate()
      this.stopNeedingMemory()
    } else {
      this.hold()
    }
  }

  private get isAnnouncedLarge (): boolean {
    return (this.announcedBytes ?? 0) > smallBodyBytes
  }

  private get expectedBytes (): number {
    const least = this.lease.bytes + readBytes
    return Math.max(least, Math.min(this.announcedBytes ?? this.limitBytes, Number.isFinite(this.limitBytes) ? this.limitBytes : least))
  }

  /** Takes the whole buffer at once: pages that are not written take no memory, and growing would copy. */
  private allocate (): void {
    const bytes = this.expectedBytes
    this.large = buffer.Buffer.allocUnsafeSlow(bytes)
    const { account, clock } = this.options
    collected.register(this.large.buffer, { account, clock, lease: this.lease })
    this.small.view().copy(this.large)
    this.small.clear()
  }

  private hold (): void {
    this.needsMemory = true
    this.request.socket.pause()
  }

  private stopNeedingMemory (): void {
    const wasHeld = this.isHeld
    this.needsMemory = false
    this.resume(wasHeld)
  }

  /** Lets a body that comes in tiny chunks wait for its turn; what has been read from the socket still comes. */
  private lookAtChunks (bytes: number): void {
    this.chunks += 1
    this.chunkBytes += bytes
    if (this.chunks < chunkTurns.lookedAtChunks) {
      return
    }
    if (this.stopTurn === undefined && chunkTurns.areTiny(this.chunks, this.chunkBytes)) {
      this.request.socket.pause()
      this.stopTurn = this.options.turns.wait(() => {
        this.stopTurn = undefined
        this.resume(true)
      })
    }
    this.chunks = 0
    this.chunkBytes = 0
  }

  /** Reads on after a hold, if nothing holds the body any more. */
  private resume (wasHeld: boolean): void {
    if (wasHeld && !this.isHeld) {
      this.lastProgressMs = this.options.clock.monotonicMs()
      if (!this.request.socket.destroyed) {
        this.request.socket.resume()
      }
    }
  }

  private fail (code: 'body_too_large' | 'caller_memory_full', details: readonly number[] = []): void {
    this.isDiscarding = true
    this.finish?.(failures.fail(failures.createFailure('not_run', code, details, code === 'caller_memory_full' ? fullRetryMs : undefined)))
  }

  /** Ends the wait for the body if its outcome is known. */
  private settle (): void {
    if (this.finish === undefined) {
      return
    }
    const { account, clock } = this.options
    const { headers } = this.request
    if (this.isLost) {
      this.finish(failures.fail(failures.createFailure('not_run', 'caller_gone')))
    } else if (this.endReason === 'slow_body') {
      this.finish(createSlowFailure(clock.monotonicMs() - (this.lease.grant?.sinceMs ?? 0)))
    } else if (this.endReason !== undefined) {
      this.fail('caller_memory_full')
    } else if (this.lease.bytes > this.limitBytes || (this.announcedBytes ?? 0) > this.limitBytes) {
      this.fail('body_too_large', [this.limitBytes])
    } else if (this.isWhole) {
      account.complete(this.lease, clock.monotonicMs())
      const isEmpty = this.lease.bytes === 0 && headers['content-length'] === undefined && headers['transfer-encoding'] === undefined
      const body = this.large === undefined ? this.small.view() : this.large.subarray(0, this.lease.bytes)
      this.finish(failures.succeed(isEmpty ? undefined : body))
    }
  }

  /** Ends a body of which nothing comes, after a second look at the socket. A body that is held is not expected to come. */
  private watchProgress (): host.Stop {
    const { clock, stallMs } = this.options
    if (!Number.isFinite(stallMs)) {
      return () => {}
    }
    let stop = (): void => {}
    const look = (): void => {
      const quietMs = clock.monotonicMs() - this.lastProgressMs
      if (!this.isHeld && quietMs >= stallMs) {
        this.finish?.(createSlowFailure(quietMs))
        return
      }
      stop = eventLoop.afterTimeout(clock, this.isHeld ? stallMs : Math.max(1, stallMs - quietMs), look)
    }
    stop = eventLoop.afterTimeout(clock, stallMs, look)
    return () => stop()
  }
}

/** Counts bytes of callers that have been read, also those that are dropped. */
export function recordRead ({ account, collect }: IntakeOptions, bytes: number): void {
  if (account.recordRead(bytes)) {
    collect()
  }
}

interface CollectedBuffer {
  readonly account: accounts.CallerMemory
  readonly clock: host.Clock
  readonly lease: accounts.BodyLease
}

/** Tells the account when the buffer of a large body has been collected. */
const collected = new FinalizationRegistry<CollectedBuffer>(({ account, clock, lease }) => {
  account.recordCollected(Math.min(lease.grant?.bytes ?? 0, lease.bytes), clock.monotonicMs())
})

function createSlowFailure (timeoutMs: number): BodyResult {
  return failures.fail(failures.createFailure('not_run', 'body_too_slow', [Math.round(timeoutMs)]))
}
