/**
 * One time line out of the events of many processes.
 */
import * as events from '../contracts/events.js'

/**
 * Merges events into causal order: by Lamport time, then node, then sequence. Wall clocks play no part, so
 * skewed clocks do not matter. Repeated events are kept once.
 */
export function mergeEvents (lists: Iterable<readonly events.Event[]>): events.Event[] {
  const byIdentity = new Map<string, events.Event>()
  for (const list of lists) {
    for (const event of list) {
      byIdentity.set(`${event.node} ${event.boot} ${event.sequence}`, event)
    }
  }
  return [...byIdentity.values()].sort(compareEvents)
}

function compareEvents (first: events.Event, second: events.Event): number {
  if (first.tick !== second.tick) {
    return first.tick - second.tick
  }
  if (first.node !== second.node) {
    return first.node < second.node ? -1 : 1
  }
  return first.sequence - second.sequence
}
