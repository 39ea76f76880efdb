/**
 * Sends frames to sessions. Frames for a session that are added in the same turn of the event loop are sent as a batch.
 */
import * as host from '../host/types.js'
import * as links from '../links/types.js'
import * as work from '../contracts/work.js'

/** Delay before a retry for sessions whose connection has too many bytes buffered. */
const retryMs = 20

/** Frames by attempt. Keys are compared by identity: each attempt uses one key object for its lifetime. */
type Batches = Map<work.AttemptKey, work.Frames>

export class FrameSender {
  private readonly pending = new Map<string, Batches>()
  private isPlanned = false
  private isRetryPlanned = false

  /** `bufferLimitBytes` is the number of bytes buffered on a connection above which frames are held back. */
  constructor (
    private readonly clock: host.Clock,
    private readonly findSession: (id: string) => links.Session | undefined,
    private readonly bufferLimit: number
  ) {}

  add (session: string, id: work.AttemptKey, frame: work.Frame): void {
    const batches = this.getBatches(session)
    const batch = batches.get(id)
    if (batch === undefined) {
      batches.set(id, { ...id, frames: [frame] })
    } else {
      batch.frames.push(frame)
    }
    this.plan()
  }

  private getBatches (session: string): Batches {
    let batches = this.pending.get(session)
    if (batches === undefined) {
      batches = new Map()
      this.pending.set(session, batches)
    }
    return batches
  }

  private plan (): void {
    if (this.isPlanned) {
      return
    }
    this.isPlanned = true
    setImmediate(() => this.flush())
  }

  /** Sends all pending frames except those to sessions over the buffer limit. */
  flush (): void {
    this.isPlanned = false
    let isHeldBack = false
    for (const [id, batches] of this.pending) {
      const session = this.findSession(id)
      if (session !== undefined && session.bufferedBytes > this.bufferLimit) {
        isHeldBack = true
        continue
      }
      this.pending.delete(id)
      this.send(session, batches)
    }
    if (isHeldBack) {
      this.planRetry()
    }
  }

  private planRetry (): void {
    if (this.isRetryPlanned) {
      return
    }
    this.isRetryPlanned = true
    this.clock.after(retryMs, () => {
      this.isRetryPlanned = false
      this.flush()
    })
  }

  /** Drops frames to a session that no longer exists; the gate keeps them for a resumption. */
  private send (session: links.Session | undefined, batches: Batches): void {
    if (session === undefined) {
      return
    }
    for (const joined of joinBatches(batches.values())) {
      session.notify('work.frames', { attempts: joined })
    }
  }
}

/** Groups batches into messages. A response of a plain service may be large and gets a message of its own. */
function joinBatches (batches: Iterable<work.Frames>): work.Frames[][] {
  const small: work.Frames[] = []
  const joined: work.Frames[][] = []
  for (const batch of batches) {
    if (batch.frames.some(holdsAnswer)) {
      joined.push([batch])
    } else {
      small.push(batch)
    }
  }
  return small.length === 0 ? joined : [small, ...joined]
}

function holdsAnswer (frame: work.Frame): boolean {
  return frame.kind === 'finished' && frame.answer !== undefined
}
