/**
 * Records the events of the gate in the time line and in metrics.
 */
import * as events from '../contracts/events.js'
import * as meters from '../metrics/types.js'
import * as timelines from '../timeline/types.js'

export class EventReporter {
  constructor (
    private readonly meter: meters.Meter,
    private readonly recorder: timelines.Recorder
  ) {}

  /** Records an event and counts it; also observes the queueing time of a started attempt. */
  record (draft: events.EventDraft): void {
    this.recorder.record(draft)
    const workspace = draft.workspace ?? ''
    this.meter.count('agent_events_total', { kind: draft.kind, workspace })
    const waitedMs = draft.details?.['waitedMs']
    if (typeof waitedMs === 'number') {
      this.meter.observe('agent_queue_ms', { workspace }, waitedMs)
    }
  }
}
