/**
 * Control traffic, processor time and store calls of the keepers, against the number of entries and shards, with
 * the real objects on a manual clock in one process. `--json` prints the figures as JSON.
 */
import * as process from 'node:process'
import * as fleets from '../tests/allowances/fleet.js'
import * as seededRandoms from '../src/host/seeded_random.js'
import * as textTables from '../src/cli/text_table.js'

const measuredMs = 5000
const settledMs = 6000
const requestsPerSecondPerEntry = 17
const zones = 5
/** Bytes of a message besides its parameters or result: the JSON-RPC fields, stamps and the frame. */
const envelopeBytes = 70

interface Size {
  readonly entries: number
  readonly shards: number
  readonly workspaces: number
}

const sizes: readonly Size[] = [
  { entries: 6, shards: 1, workspaces: 8 },
  { entries: 13, shards: 2, workspaces: 16 },
  { entries: 26, shards: 4, workspaces: 32 },
  { entries: 26, shards: 26, workspaces: 32 }
]

interface Row {
  readonly entries: number
  readonly shards: number
  readonly load: string
  readonly meanBytesPerSecond: number
  readonly worstBytesPerSecond: number
  readonly storeCallsPerSecond: number
  readonly cpuPercentPerEntry: number
  readonly refused: number
}

async function createFleet (size: Size): Promise<fleets.Fleet> {
  const fleet = new fleets.Fleet(size.shards)
  for (let index = 0; index < size.workspaces; index += 1) {
    fleet.addWorkspace(`workspace-${index}`, 100_000, 400_000)
  }
  for (let index = 0; index < size.entries; index += 1) {
    const node = `entry-${index}`
    fleet.listed.set(node, { node, zone: `zone-${index % zones}`, address: { host: node, port: 1 }, state: 'live' })
  }
  for (const vm of [...fleet.listed.values()]) {
    fleet.start(vm.node, vm.zone)
  }
  await fleet.clock.advance(settledMs)
  return fleet
}

function countCalls (fleet: fleets.Fleet): number {
  let calls = 0
  for (const entry of fleet.entries.values()) {
    calls += entry.store.calls
  }
  return calls
}

function load (fleet: fleets.Fleet, size: Size, random: seededRandoms.SeededRandom): void {
  const periodMs = 1000 / (requestsPerSecondPerEntry * size.entries)
  fleet.clock.every(periodMs, () => {
    const node = `entry-${random.nextInteger(size.entries)}`
    fleet.request(node, `workspace-${random.nextInteger(size.workspaces)}`, 100 + random.nextInteger(1000), 0.6, 2000)
  })
}

async function measure (size: Size, isLoaded: boolean): Promise<Row> {
  const fleet = await createFleet(size)
  if (isLoaded) {
    load(fleet, size, new seededRandoms.SeededRandom(1))
    await fleet.clock.advance(settledMs)
  }
  fleet.bytesOfNode.clear()
  fleet.messagesOfNode.clear()
  const callsBefore = countCalls(fleet)
  const cpuBefore = process.cpuUsage()
  await fleet.clock.advance(measuredMs)
  const cpu = process.cpuUsage(cpuBefore)
  const seconds = measuredMs / 1000
  const perNode = [...fleet.entries.keys()].map(node => {
    const bytes = (fleet.bytesOfNode.get(node) ?? 0) + (fleet.messagesOfNode.get(node) ?? 0) * envelopeBytes
    return bytes / seconds
  })
  const total = perNode.reduce((sum, bytes) => sum + bytes, 0)
  return {
    entries: size.entries,
    shards: size.shards,
    load: isLoaded ? '17 requests/s per entry' : 'idle',
    meanBytesPerSecond: Math.round(total / size.entries),
    worstBytesPerSecond: Math.round(Math.max(...perNode)),
    storeCallsPerSecond: Math.round((countCalls(fleet) - callsBefore) / seconds),
    cpuPercentPerEntry: Number(((cpu.user + cpu.system) / 10 / measuredMs / size.entries).toFixed(3)),
    refused: fleet.refused.length
  }
}

async function main (): Promise<void> {
  const rows: Row[] = []
  for (const size of sizes) {
    rows.push(await measure(size, false), await measure(size, true))
  }
  if (process.argv.includes('--json')) {
    console.log(JSON.stringify(rows, undefined, 2))
    return
  }
  const titles = ['entries', 'shards', 'load', 'mean bytes/s', 'worst bytes/s', 'store calls/s', 'CPU % per entry', 'refused']
  console.log(textTables.formatTable(titles, rows.map(row => Object.values(row))))
}

await main()
