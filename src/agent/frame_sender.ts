/**
 * Sends frames to sessions. Frames for a session that are added in the same turn of the event loop are sent as a batch.
 */
import * as host from '../host/types.js'
import * as links from '../links/types.js'
import * as work from '../contracts/work.js'

/** Delay before a retry for sessions whose connection has too many bytes buffered. */
const retryDelayMs = 20

/** Frames by attempt. Keys are compared by identity: each attempt uses one key object for its lifetime. */
type FrameBatches = Map<work.AttemptKey, work.Frames>

export class FrameSender {
  private readonly pending = new Map<string, FrameBatches>()
  private isFlushScheduled = false
  private isRetryScheduled = false

  /** `bufferLimitBytes` is the number of bytes buffered on a connection above which frames are held back. */
  constructor (
    private readonly clock: host.Clock,
    private readonly findSession: (id: string) => links.Session | undefined,
    private readonly bufferLimitBytes: number
  ) {}

  add (session: string, id: work.AttemptKey, frame: work.Frame): void {
    const batches = this.getOrCreateBatches(session)
    const batch = batches.get(id)
    if (batch === undefined) {
      batches.set(id, { ...id, frames: [frame] })
    } else {
      batch.frames.push(frame)
    }
    this.scheduleFlush()
  }

  private getOrCreateBatches (session: string): FrameBatches {
    let batches = this.pending.get(session)
    if (batches === undefined) {
      batches = new Map()
      this.pending.set(session, batches)
    }
    return batches
  }

  private scheduleFlush (): void {
    if (this.isFlushScheduled) {
      return
    }
    this.isFlushScheduled = true
    setImmediate(() => this.flush())
  }

  /** Sends all pending frames except those to sessions over the buffer limit. */
  flush (): void {
    this.isFlushScheduled = false
    let isHeldBack = false
    for (const [id, batches] of this.pending) {
      const session = this.findSession(id)
      if (session !== undefined && session.bufferedBytes > this.bufferLimitBytes) {
        isHeldBack = true
        continue
      }
      this.pending.delete(id)
      this.send(session, batches)
    }
    if (isHeldBack) {
      this.scheduleRetry()
    }
  }

  private scheduleRetry (): void {
    if (this.isRetryScheduled) {
      return
    }
    this.isRetryScheduled = true
    this.clock.after(retryDelayMs, () => {
      this.isRetryScheduled = false
      this.flush()
    })
  }

  /** Drops frames to a session that no longer exists; the gate keeps them for a resumption. */
  private send (session: links.Session | undefined, batches: FrameBatches): void {
    if (session === undefined) {
      return
    }
    for (const joined of groupBatches(batches.values())) {
      session.notify('work.frames', { attempts: joined })
    }
  }
}

/** Groups batches into messages. A response of a plain service may be large and gets a message of its own. */
function groupBatches (batches: Iterable<work.Frames>): work.Frames[][] {
  const small: work.Frames[] = []
  const groups: work.Frames[][] = []
  for (const batch of batches) {
    if (batch.frames.some(hasAnswer)) {
      groups.push([batch])
    } else {
      small.push(batch)
    }
  }
  return small.length === 0 ? groups : [small, ...groups]
}

function hasAnswer (frame: work.Frame): boolean {
  return frame.kind === 'finished' && frame.answer !== undefined
}
