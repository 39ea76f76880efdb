/**
 * The VMs of the deployment: the platform's list, read now and then, and kept while the list does not answer.
 */
import * as allowances from '../allowances/types.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as machines from '../contracts/machine.js'

/** Where this process stands in the list. */
export interface Place {
  readonly node: string
  readonly zone: string
  readonly control: identities.Address
}

export class MachineDirectory extends allowances.Entries {
  private machines: readonly machines.Machine[] = []
  private isLeaving = false
  private stopReading: host.Stop = () => {}

  constructor (
    private readonly place: Place,
    private readonly machineList: host.MachineList,
    private readonly system: host.System
  ) {
    super()
  }

  override get self (): allowances.EntryVm {
    return {
      node: this.place.node,
      zone: this.place.zone,
      address: this.place.control,
      state: this.isLeaving ? 'leaving' : 'live'
    }
  }

  override list (): readonly allowances.EntryVm[] {
    const entries: allowances.EntryVm[] = [this.self]
    for (const machine of this.machines) {
      if (machine.role === 'entry' && machine.id !== this.place.node) {
        entries.push(createEntryVm(machine))
      }
    }
    return entries
  }

  /** Reads the list once and then every `periodMs` milliseconds. */
  async start (periodMs: number): Promise<void> {
    this.stopReading = this.system.clock.every(periodMs, () => this.refresh())
    await this.refresh()
  }

  /** Marks this VM as leaving before the platform's list does. */
  leave (): void {
    this.isLeaving = true
  }

  stop (): void {
    this.stopReading()
  }

  private async refresh (): Promise<void> {
    const result = await this.machineList.read()
    result.ifRight(machines => {
      this.machines = machines
    })
  }
}

function createEntryVm (machine: machines.Machine): allowances.EntryVm {
  return {
    node: machine.id,
    zone: machine.zone,
    address: { host: machine.host, port: machine.controlPort },
    state: machine.state
  }
}
