/**
 * Processor time and memory of other processes, from the proc file system.
 */
import * as fs from 'node:fs'

/** Clock ticks a second in /proc; the same on all Linux systems that Node supports. */
const ticksPerSecond = 100

export interface ProcessUsage {
  readonly cpuMs: number
  readonly residentMb: number
}

/** Reads what a process has used so far. */
export function readProcessUsage (pid: number): ProcessUsage {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[11]) + Number(fields[12])
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8')
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0)
  return { cpuMs: ticks * 1000 / ticksPerSecond, residentMb: residentKb / 1024 }
}
