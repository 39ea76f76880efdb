/**
 * The frames of one attempt, kept for resumption until the entry has acknowledged the last one.
 */
import * as failures from '../contracts/failure.js'
import * as work from '../contracts/work.js'
import * as types from './types.js'

export class FrameLog {
  private frames: work.Frame[] = []
  private ended = false

  appendStarted (): work.Frame {
    return this.append({ kind: 'started', offset: this.frames.length })
  }

  appendText (text: string, tokens: number): work.Frame {
    return this.append({ kind: 'text', offset: this.frames.length, text, tokens })
  }

  appendFinished (completion: types.Completion): work.Frame {
    this.ended = true
    return this.append({ kind: 'finished', offset: this.frames.length, ...completion })
  }

  appendFailed (failure: failures.Failure): work.Frame {
    this.ended = true
    return this.append({ kind: 'failed', offset: this.frames.length, failure })
  }

  /** Returns the frames from the offset to the end. */
  readFrom (offset: number): readonly work.Frame[] {
    return this.frames.slice(offset)
  }

  /** Tells whether the frame at the offset is the last one. */
  isLast (offset: number): boolean {
    return this.ended && offset >= this.frames.length - 1
  }

  /** Drops the frames. */
  clear (): void {
    this.frames = []
  }

  private append (frame: work.Frame): work.Frame {
    this.frames.push(frame)
    return frame
  }
}
