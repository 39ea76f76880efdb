/**
 * The order of one attempt's frames: what was seen before is dropped, what is missing shows as a gap.
 */
import * as work from '../contracts/work.js'

/** What to do with frames that arrived. */
export interface Intake {
  /** Frames to take, in order and without gaps. */
  readonly frames: readonly work.Frame[]
  /** Whether frames are missing from `next` on. */
  readonly hasGap: boolean
}

export class FrameWindow {
  private nextOffset = 0

  /** Offset of the next frame to take. */
  get next (): number {
    return this.nextOffset
  }

  accept (frames: readonly work.Frame[]): Intake {
    const taken: work.Frame[] = []
    for (const frame of frames) {
      if (frame.offset < this.nextOffset) {
        continue
      }
      if (frame.offset > this.nextOffset) {
        return { frames: taken, hasGap: true }
      }
      taken.push(frame)
      this.nextOffset += 1
    }
    return { frames: taken, hasGap: false }
  }
}
