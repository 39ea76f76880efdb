/**
 * Settings of V8 for a process with little memory. The daemon imports this module before all others, so that the
 * settings are in force when those are compiled.
 */
import * as v8 from 'node:v8'
import * as vm from 'node:vm'

/** Growth of the old generation between two full collections, in percent of what survived the first. */
const heapGrowingPercent = 50

const flags = [
  // Keeps the young generation at its first size, 1 MiB for each half, instead of doubling it up to 16 MiB.
  '--semi-space-growth-factor=1',
  `--heap-growing-percent=${heapGrowingPercent}`,
  '--expose-gc'
]

for (const flag of flags) {
  v8.setFlagsFromString(flag)
}

/** Runs a full collection. V8 limits the growth of the heap from the first one on only. */
export function collectGarbage (): void {
  const collect = vm.runInNewContext('gc') as () => void
  collect()
}
