/**
 * What a fleet consists of: VMs with their names, zones, loopback addresses and options.
 */
import * as z from 'zod'
import * as configuration from '../src/contracts/configuration.js'
import * as engineOptions from '../standins/engine_options.js'
import * as machineList from '../standins/machine_list.js'
import * as service from '../standins/service.js'
import * as settings from '../src/contracts/settings.js'
import * as storeFaults from '../standins/store_faults.js'

export type ServerRole = configuration.Server['role']
export type EngineInput = z.input<typeof engineOptions.EngineOptions>
type EntryInput = z.input<typeof settings.EntrySettings>
type AgentInput = z.input<typeof settings.AgentSettings>

/** Numbers of VMs in one availability zone. */
export interface ZonePlan {
  readonly zone: string
  readonly region?: string
  readonly entries?: number
  readonly prefill?: number
  readonly decode?: number
  readonly service?: number
}

/** Description of a fleet; everything but the zones may be left out. */
export interface FleetPlan {
  readonly zones: readonly ZonePlan[]
  readonly models?: readonly string[]
  /** Names of the plain services that every service server offers. */
  readonly services?: readonly string[]
  /** Options of all engines, and those of one role over them. */
  readonly engine?: EngineInput
  readonly prefillEngine?: EngineInput
  readonly decodeEngine?: EngineInput
  readonly serviceFaults?: z.input<typeof service.ServiceFaults>
  readonly storeFaults?: z.input<typeof storeFaults.StoreFaults>
  readonly machineListFaults?: z.input<typeof machineList.MachineListFaults>
  /** Further settings of daemons. */
  readonly entrySettings?: Partial<EntryInput>
  readonly agentSettings?: Partial<AgentInput>
  /** Puts a forwarder before the control listener of every agent, for broken and silent connections. */
  readonly cutsAgents?: boolean
  /** Program of the daemon, if not the built one. */
  readonly daemon?: string
  /** Longest start of the whole fleet, in milliseconds. */
  readonly startTimeoutMs?: number
  /** Keeps the folder with settings and logs after the end. */
  readonly keepsFiles?: boolean
}

/** One VM of the fleet. */
export interface Vm {
  readonly name: string
  readonly zone: string
  readonly region: string
  /** Loopback address of its own. */
  readonly host: string
}

export interface ServerVm extends Vm {
  readonly role: ServerRole
}

export interface VmList {
  readonly entries: readonly Vm[]
  readonly servers: readonly ServerVm[]
}

const firstHost = 2
const hostsPerNetwork = 250

/**
 * Names the VMs of a plan and gives each a loopback address of its own, in a network that fleets of other
 * processes do not use: a port that is free now must still be free when its daemon listens.
 */
export function listVms (plan: FleetPlan): VmList {
  const entries: Vm[] = []
  const servers: ServerVm[] = []
  let hosts = 0
  const createVm = (zonePlan: ZonePlan, kind: string, number: number): Vm => {
    hosts += 1
    const { zone, region = 'local' } = zonePlan
    return { name: `${kind}-${zone}-${number}`, zone, region, host: formatHost(hosts - 1) }
  }
  for (const zonePlan of plan.zones) {
    for (let number = 1; number <= (zonePlan.entries ?? 0); number += 1) {
      entries.push(createVm(zonePlan, 'entry', number))
    }
    for (const role of ['prefill', 'decode', 'service'] as const) {
      for (let number = 1; number <= (zonePlan[role] ?? 0); number += 1) {
        servers.push({ ...createVm(zonePlan, role, number), role })
      }
    }
  }
  return { entries, servers }
}

/** Returns the options of an engine by its role. */
export function getEngineOptions (plan: FleetPlan, vm: ServerVm): EngineInput {
  const byRole = vm.role === 'prefill' ? plan.prefillEngine : plan.decodeEngine
  return {
    ...plan.engine,
    ...byRole,
    faults: { ...plan.engine?.faults, ...byRole?.faults },
    id: vm.name,
    models: [...getModels(plan)]
  }
}

export function getModels (plan: FleetPlan): readonly string[] {
  return plan.models ?? ['model']
}

export function getServices (plan: FleetPlan): readonly string[] {
  return plan.services ?? ['bookings']
}

/** Returns a loopback address of this process's own; the index tells its hosts apart. */
export function formatHost (index: number): string {
  const network = Math.floor(process.pid / hostsPerNetwork) + Math.floor(index / hostsPerNetwork)
  return `127.${1 + process.pid % hostsPerNetwork}.${network % hostsPerNetwork}.${firstHost + index % hostsPerNetwork}`
}
