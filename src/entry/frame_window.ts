/**
 * Restores the order of one attempt's frames: drops duplicates and detects gaps.
 */
import * as work from '../contracts/work.js'

/** Result of checking received frames. */
export interface AcceptedFrames {
  /** New frames, in order and without gaps. */
  readonly frames: readonly work.Frame[]
  /** Whether frames are missing from `next` on. */
  readonly hasGap: boolean
}

export class FrameWindow {
  private nextOffset = 0

  /** Offset of the next frame to accept. */
  get next (): number {
    return this.nextOffset
  }

  accept (frames: readonly work.Frame[]): AcceptedFrames {
    const accepted: work.Frame[] = []
    for (const frame of frames) {
      if (frame.offset < this.nextOffset) {
        continue
      }
      if (frame.offset > this.nextOffset) {
        return { frames: accepted, hasGap: true }
      }
      accepted.push(frame)
      this.nextOffset += 1
    }
    return { frames: accepted, hasGap: false }
  }
}
