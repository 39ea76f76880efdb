/**
 * The platform's balancer before the entries: calls go to the ready ones in turn.
 */
import * as undici from 'undici'
import * as fleets from '../fleet.js'
import * as fleetNodes from '../fleet_nodes.js'

/** Period and limit of the check of readiness, in milliseconds. */
const checkMs = 200
const answerTimeoutMs = 500

export class Balancer {
  private ready: fleetNodes.EntryNode[]
  private next = 0
  private readonly timer: NodeJS.Timeout

  constructor (private readonly fleet: fleets.Fleet) {
    this.ready = [...fleet.entries]
    this.timer = setInterval(() => this.check(), checkMs)
  }

  /** Returns the address of the callers' listener of the next ready entry. */
  pick (): string {
    this.next += 1
    const entries = this.ready.length > 0 ? this.ready : this.fleet.entries
    return (entries[this.next % entries.length] as fleetNodes.EntryNode).callersUrl
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private async check (): Promise<void> {
    const found = await Promise.all(this.fleet.entries.map(async entry => await isReady(entry) ? [entry] : []))
    this.ready = found.flat()
  }
}

async function isReady (entry: fleetNodes.EntryNode): Promise<boolean> {
  try {
    const signal = AbortSignal.timeout(answerTimeoutMs)
    const response = await undici.request(`${entry.administrationUrl}/readyz`, { signal })
    await response.body.dump()
    return response.statusCode === 200
  } catch {
    return false
  }
}
