/**
 * Answer times of servers outside a recovery, against which those of a recovering server are judged.
 *
 * Pattern: each of many gateways gets few answers from each server of a service. The median over the servers is known after some
 * answers in all, and a single server with odd times does not move it.
 */
import type * as routing from '../../contracts/routing.js'

/**
 * What is timed: the answer of a plain server, a prefill for each of its tokens, the first event of a decode server after the
 * prefill, and the mean time between two events.
 */
export const timeKinds = ['answer', 'prefill_token', 'first_event', 'event_gap'] as const
export type TimeKind = (typeof timeKinds)[number]
export type AnswerTimes = Readonly<Partial<Record<TimeKind, number>>>

/** Weight of the newest time in the moving average of a server: some ten answers have influence. */
const newestTimeWeight = 0.1
/** Answers of all peers together below which their median is not used. */
const minimumPeerAnswers = 5

interface Average {
  readonly valueMs: number
  readonly answers: number
}

type Averages = Partial<Record<TimeKind, Average>>

/** Returns the times that can be used: an answer that took no measurable time, or a time that is no number, says nothing. */
export function listUsable (times: AnswerTimes): [TimeKind, number][] {
  const usable: [TimeKind, number][] = []
  for (const kind of timeKinds) {
    const value = times[kind]
    if (value !== undefined && Number.isFinite(value) && value > 0) {
      usable.push([kind, value])
    }
  }
  return usable
}

export class UsualTimes {
  private readonly servers = new Map<string, Averages>()

  record (server: string, times: AnswerTimes): void {
    const averages = this.servers.get(server) ?? {}
    this.servers.set(server, averages)
    for (const [kind, value] of listUsable(times)) {
      const { valueMs, answers } = averages[kind] ?? { valueMs: value, answers: 0 }
      averages[kind] = { valueMs: valueMs + (value - valueMs) * newestTimeWeight, answers: answers + 1 }
    }
  }

  /** Replaces the usual times of a server by those found at the end of a recovery. */
  replace (server: string, times: AnswerTimes): void {
    const averages: Averages = { ...this.servers.get(server) }
    for (const [kind, valueMs] of listUsable(times)) {
      averages[kind] = { valueMs, answers: 1 }
    }
    this.servers.set(server, averages)
  }

  get (server: string, kind: TimeKind): number | undefined {
    return this.servers.get(server)?.[kind]?.valueMs
  }

  /** Median of the peers' times; undefined before some answers have been timed. */
  getPeerMedian (peers: readonly routing.RoutedServer[], kind: TimeKind): number | undefined {
    const values: number[] = []
    let answers = 0
    for (const { id } of peers) {
      const average = this.servers.get(id)?.[kind]
      if (average !== undefined) {
        values.push(average.valueMs)
        answers += average.answers
      }
    }
    if (answers < minimumPeerAnswers) {
      return undefined
    }
    values.sort((a, b) => a - b)
    const middle = values.length >> 1
    const upper = values[middle] as number
    return values.length % 2 === 1 ? upper : ((values[middle - 1] as number) + upper) / 2
  }

  forget (server: string): void {
    this.servers.delete(server)
  }
}
