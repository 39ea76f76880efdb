/**
 * Where a process reports what it does.
 */
import * as events from '../contracts/events.js'

/** Records events of the time line. */
export abstract class Recorder {
  abstract record (draft: events.EventDraft): void
}
