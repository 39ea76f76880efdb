/**
 * How fast decode servers generate, relative to each other, from the times between the events of streams at all gateways.
 *
 * Pattern: the engines of a service differ in speed by more than a factor of two, and demand leaves memory free. A choice by free memory
 * alone fills slow engines as much as fast ones. Streams take several times as long there, hold memory for as long, and more of them
 * are cut when a gateway or an engine ends. Each gateway gets too few streams from one engine to tell its speed, so that measurements are
 * summed over the gateways. Performs no input or output.
 */

/** Time constant with which measurements lose their weight, in milliseconds: a slow engine that gets no streams is tried again after it. */
const averagingMs = 20_000
/** Events that each server is assumed to have sent at the usual interval: a few events say little. */
const assumedEvents = 16
/** Events below which a server is not reported to other gateways. */
const leastReportedEvents = 1
/** Limit on the servers in one message, which has some 25 bytes for each. */
const maximumReported = 128
/** Range of the slowness: beyond it the measurement cannot be meant. */
const leastSlowness = 0.25
const greatestSlowness = 4

/** Decaying sums over the times between events: their number, and the time they took in milliseconds. */
export type IntervalSum = [events: number, elapsedMs: number]

interface Measurement {
  readonly sum: IntervalSum
  readonly atMs: number
}

export class EventIntervals {
  private readonly servers = new Map<string, Measurement>()

  /** Records that a stream of a server took a time for a number of events. */
  record (server: string, events: number, elapsedMs: number, nowMs: number): void {
    if (!(events > 0) || !(elapsedMs > 0)) {
      return
    }
    const [before, beforeMs] = this.read(server, nowMs)
    this.servers.set(server, { sum: [before + events, beforeMs + elapsedMs], atMs: nowMs })
  }

  /** Returns what this gateway has measured, the most measured servers first; undefined if there is nothing. */
  list (nowMs: number): Record<string, IntervalSum> | undefined {
    const found: [string, IntervalSum][] = []
    for (const server of this.servers.keys()) {
      const [events, elapsedMs] = this.read(server, nowMs)
      if (events >= leastReportedEvents) {
        found.push([server, [Number(events.toFixed(1)), Math.round(elapsedMs)]])
      }
    }
    return limitReported(found)
  }

  forget (server: string): void {
    this.servers.delete(server)
  }

  private read (server: string, nowMs: number): IntervalSum {
    const measurement = this.servers.get(server)
    if (measurement === undefined) {
      return [0, 0]
    }
    const factor = Math.exp(-Math.max(0, nowMs - measurement.atMs) / averagingMs)
    return [measurement.sum[0] * factor, measurement.sum[1] * factor]
  }
}

export function addIntervals (a: Readonly<Record<string, IntervalSum>>, b: Readonly<Record<string, IntervalSum>>): Record<string, IntervalSum> | undefined {
  const sums = new Map(Object.entries(a))
  for (const [server, [events, elapsedMs]] of Object.entries(b)) {
    const [moreEvents, moreMs] = sums.get(server) ?? [0, 0]
    sums.set(server, [events + moreEvents, elapsedMs + moreMs])
  }
  return limitReported([...sums])
}

/** Returns the time between events at each measured server relative to the median of the measured servers. */
export function estimateSlowness (sums: ReadonlyMap<string, IntervalSum>): ReadonlyMap<string, number> {
  const intervals: number[] = []
  for (const [events, elapsedMs] of sums.values()) {
    if (events >= assumedEvents) {
      intervals.push(elapsedMs / events)
    }
  }
  const usualMs = intervals.sort((a, b) => a - b)[Math.floor((intervals.length - 1) / 2)]
  const slowness = new Map<string, number>()
  if (usualMs === undefined || usualMs <= 0) {
    return slowness
  }
  for (const [server, [events, elapsedMs]] of sums) {
    const measured = (elapsedMs + assumedEvents * usualMs) / (events + assumedEvents) / usualMs
    slowness.set(server, Math.min(greatestSlowness, Math.max(leastSlowness, measured)))
  }
  return slowness
}

function limitReported (found: [string, IntervalSum][]): Record<string, IntervalSum> | undefined {
  if (found.length > maximumReported) {
    found.sort(([, [a]], [, [b]]) => b - a)
  }
  return found.length === 0 ? undefined : Object.fromEntries(found.slice(0, maximumReported))
}
