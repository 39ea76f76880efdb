/**
 * Processor time of decisions, which are pure and so can be timed in a loop.
 */
import * as process from 'node:process'

const warmUps = 2000

/** Returns the processor time of one decision, in microseconds. */
export function measureDecision (count: number, decide: (index: number) => void): number {
  for (let index = 0; index < warmUps; index += 1) {
    decide(index)
  }
  const before = process.cpuUsage()
  for (let index = 0; index < count; index += 1) {
    decide(index)
  }
  const used = process.cpuUsage(before)
  return (used.user + used.system) / count
}
