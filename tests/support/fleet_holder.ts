/**
 * Starts a small fleet, prints the process ids and waits, so that a test can interrupt it.
 */
import * as fleets from '../../tools/fleet.js'

const fleet = await fleets.startFleet({
  zones: [{ zone: 'a', entries: 1, service: 1 }],
  daemon: process.argv[2] as string
})
process.stdout.write(`${JSON.stringify(fleet.listProcesses().map(process => process.pid))}\n`)
