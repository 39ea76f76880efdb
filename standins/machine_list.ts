/**
 * Stand-in of the platform's list of live and leaving VMs. What is read lags behind what was put.
 */
import * as z from 'zod'
import * as knobs from './knobs.js'
import * as outages from './outages.js'
import * as realClocks from './real_clock.js'
import * as webHosts from './web_host.js'
import * as machines from '../src/contracts/machine.js'

export const MachineListFaults = z.strictObject({
  outage: outages.Outage.default('none'),
  /** How long a change takes to be seen, in milliseconds. */
  lagMs: z.number().nonnegative().default(0)
})

interface Change {
  readonly atMs: number
  readonly id: string
  /** Absent when the VM was removed. */
  readonly machine: machines.Machine | undefined
}

export class MachineList {
  private readonly clock = new realClocks.RealClock()
  private readonly machines = new Map<string, machines.Machine>()
  private readonly pending: Change[] = []
  private readonly faults: knobs.Knobs<typeof MachineListFaults>
  private readonly web = new webHosts.WebHost(async exchange => {
    return outages.passOutage(exchange, this.faults.current.outage, () => exchange.sendJson(503, { error: 'outage' }))
  })

  private reads = 0

  constructor (faults: z.input<typeof MachineListFaults> = {}) {
    this.faults = new knobs.Knobs(MachineListFaults, faults)
    this.faults.addRoutes(this.web)
    this.web.route('GET', '/_state', exchange => exchange.sendJson(200, { reads: this.reads }))
    this.web.route('GET', '/vms', exchange => this.list(exchange))
    this.web.route('PUT', '/vms/:id', exchange => this.put(exchange))
    this.web.route('DELETE', '/vms/:id', exchange => this.change(exchange, exchange.params['id'] ?? '', undefined))
  }

  listen (host: string, port: number): Promise<number> {
    return this.web.listen(host, port)
  }

  close (): Promise<void> {
    return this.web.close()
  }

  private list (exchange: webHosts.Exchange): void {
    this.reads += 1
    this.applyPending()
    exchange.sendJson(200, [...this.machines.values()])
  }

  private put (exchange: webHosts.Exchange): void {
    const id = exchange.params['id'] ?? ''
    const parsed = machines.Machine.safeParse({ ...exchange.parseBody() as object, id })
    if (!parsed.success) {
      exchange.sendJson(400, { error: z.prettifyError(parsed.error) })
      return
    }
    this.change(exchange, id, parsed.data)
  }

  private change (exchange: webHosts.Exchange, id: string, machine: machines.Machine | undefined): void {
    this.pending.push({ atMs: this.clock.monotonicMs(), id, machine })
    exchange.sendJson(200, {})
  }

  private applyPending (): void {
    const untilMs = this.clock.monotonicMs() - this.faults.current.lagMs
    for (let next = this.pending[0]; next !== undefined && next.atMs <= untilMs; next = this.pending[0]) {
      this.pending.shift()
      if (next.machine === undefined) {
        this.machines.delete(next.id)
      } else {
        this.machines.set(next.id, next.machine)
      }
    }
  }
}
