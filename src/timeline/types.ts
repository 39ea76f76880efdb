/**
<<<<<<< HEAD
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
=======
 * Where a process reports what it does.
 */
import * as events from '../contracts/events.js'

/** Records events of the time line. */
export abstract class Recorder {
  abstract record (draft: events.EventDraft): void
}
>>>>>>> 2632ac832f9d2840d8f2a44914aeb1ce8868012e
