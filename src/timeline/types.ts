/**
 * The time line as the code that reports events sees it.
 */
import * as events from '../contracts/events.js'

/** Takes events of this process. */
export abstract class Recorder {
  abstract record (draft: events.EventDraft): void
}

/** A recorder that forgets everything. */
export class SilentRecorder extends Recorder {
  override record (): void {}
}
