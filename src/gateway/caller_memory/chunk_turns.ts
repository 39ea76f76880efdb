/**
 * Lets bodies that come in tiny chunks be read one after the other.
 *
 * The load that it answers: many callers send bodies in chunks of one byte. The parser calls back for every chunk, so that one read of a socket
 * takes the thread for some ten milliseconds, and a hundred such sockets keep all other callers waiting for seconds. Such a body has to wait
 * for its turn after every read. It is served in the end, and alone it hardly waits.
 */
import * as host from '../../host/types.js'

/** Chunks after which the average is looked at. */
export const lookedAtChunks = 1_024
/** Average below which chunks are tiny: callers that write lines or events are above it. */
const tinyChunkBytes = 32
/** Pause between two turns, about as long as a turn takes, so that half of the thread is left to others. */
const turnMs = 10

export function areTiny (chunks: number, bytes: number): boolean {
  return chunks >= lookedAtChunks && bytes < chunks * tinyChunkBytes
}

export class ChunkTurns {
  private readonly waiting = new Set<() => void>()
  private isScheduled = false

  constructor (private readonly clock: host.Clock) {}

  get length (): number {
    return this.waiting.size
  }

  /** Calls back when it is the body's turn. */
  wait (action: () => void): host.Stop {
    this.waiting.add(action)
    this.schedule()
    return () => {
      this.waiting.delete(action)
    }
  }

  private schedule (): void {
    if (this.isScheduled || this.waiting.size === 0) {
      return
    }
    this.isScheduled = true
    this.clock.after(turnMs, () => {
      this.isScheduled = false
      const [next] = this.waiting
      if (next !== undefined) {
        this.waiting.delete(next)
        next()
      }
      this.schedule()
    })
  }
}
