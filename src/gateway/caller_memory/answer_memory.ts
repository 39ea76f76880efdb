/**
 * The memory of servers' answers that are buffered whole, in the account of the memory that is held for callers.
 *
 * Answers up to a size count by their connections. For a longer one the memory of all that it may become is taken; while there is none, nothing
 * more of it is read from the server. It counts until its buffer has been collected, and so until its caller has taken it.
 */
import * as buffer from 'node:buffer'
import * as accounts from './account.js'
import * as byteCollectors from '../byte_collector.js'
import * as host from '../../host/types.js'

/** Answers up to this size are buffered without being counted. */
const smallAnswerBytes = 65_536
/** How often an answer that waits looks for memory, in milliseconds. */
const retryMs = 20

/** What an answer does to the connection that it comes on. */
export interface AnswerSource {
  readonly pause: () => void
  readonly resume: () => void
}

export interface AnswerMemory {
  readonly account: accounts.CallerMemory
  readonly clock: host.Clock
  /** Called when the pieces that answers came in are to be collected. */
  readonly collect: () => void
}

/** Collects one answer. */
export class AnswerBuffer {
  private readonly small = new byteCollectors.ByteCollector()
  private large: buffer.Buffer | undefined
  private size = 0
  private takenBytes = 0
  /** Bytes that have come while there was no memory: what had been read from the socket before the pause. */
  private stopRetry: host.Stop | undefined
  /** Called when an answer that has ended has its memory. */
  private whenTaken: (() => void) | undefined

  constructor (private readonly limitBytes: number, private readonly memory: AnswerMemory | undefined, private readonly source: AnswerSource) {}

  get length (): number {
    return this.size
  }

  /** Adds bytes, which must not exceed the limit. */
  add (piece: buffer.Buffer): void {
    this.size += piece.length
    if (this.memory?.account.recordRead(piece.length) === true) {
      this.memory.collect()
    }
    if (this.large !== undefined) {
      piece.copy(this.large, this.size - piece.length)
      return
    }
    this.small.add(piece)
    if (this.memory !== undefined && this.size > smallAnswerBytes && this.stopRetry === undefined) {
      this.take(this.memory)
    }
  }

  /** Calls back when all is in memory that is accounted for; the bytes that came before a pause may have to wait for it. */
  finish (action: (body: buffer.Buffer) => void): void {
    if (this.stopRetry !== undefined) {
      this.whenTaken = () => this.finish(action)
      return
    }
    if (this.large !== undefined && this.memory !== undefined) {
      const { account, clock } = this.memory
      account.giveBackAnswer(this.takenBytes - this.size, false, clock.monotonicMs())
      this.takenBytes = this.size
      this.leave()
    }
    action(this.large === undefined ? this.small.view() : this.large.subarray(0, this.size))
  }

  /** Drops what has come. */
  clear (): void {
    this.stopRetry?.()
    this.stopRetry = undefined
    this.whenTaken = undefined
    this.small.clear()
    this.leave()
    this.large = undefined
  }

  /** From now on the buffer counts until it has been collected. */
  private leave (): void {
    if (this.takenBytes > 0 && this.memory !== undefined) {
      const { account, clock } = this.memory
      account.giveBackAnswer(this.takenBytes, true, clock.monotonicMs())
      collected.register((this.large as buffer.Buffer).buffer, { account, clock, bytes: this.takenBytes })
      this.takenBytes = 0
    }
  }

  private take (memory: AnswerMemory): void {
    if (!memory.account.takeAnswer(this.limitBytes)) {
      this.source.pause()
      memory.account.recordAnswerWait(this.limitBytes, memory.clock.monotonicMs())
      this.stopRetry = memory.clock.after(retryMs, () => {
        this.take(memory)
      })
      return
    }
    const hasWaited = this.stopRetry !== undefined
    this.stopRetry = undefined
    this.takenBytes = this.limitBytes
    this.large = buffer.Buffer.allocUnsafeSlow(this.limitBytes)
    this.small.view().copy(this.large)
    this.small.clear()
    if (hasWaited) {
      this.source.resume()
      this.whenTaken?.()
    }
  }
}

interface CollectedAnswer extends Pick<AnswerMemory, 'account' | 'clock'> {
  readonly bytes: number
}

const collected = new FinalizationRegistry<CollectedAnswer>(({ account, clock, bytes }) => account.recordCollected(bytes, clock.monotonicMs()))
