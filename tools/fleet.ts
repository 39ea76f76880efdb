/**
 * A whole deployment as separate processes on loopback: stand-ins of the platform and the servers, entries and
 * agents. For the demonstration, fault tests and load runs.
 */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as childRegistry from './child_registry.js'
import * as fleetBuilders from './fleet_builder.js'
import * as fleetNodes from './fleet_nodes.js'
import * as fleetPlans from './fleet_plan.js'
import * as fleetProcesses from './fleet_process.js'
import * as fleetSections from './fleet_sections.js'
import * as fleetSettings from './fleet_settings.js'
import * as machines from '../src/contracts/machine.js'
import * as identities from '../src/contracts/identity.js'
import * as wait from './wait.js'

const standardStartMs = 60_000
/** Processes that start at the same time. */
const startWidth = 8
const platformHost = '127.0.0.1'

/** Writes the configuration while the daemons wait for it, for example through the administration API. */
export type Seed = (fleet: Fleet) => Promise<void>

interface Parts {
  readonly store: fleetNodes.StandinNode
  readonly machines: fleetNodes.StandinNode
  readonly entries: readonly fleetNodes.EntryNode[]
  readonly servers: readonly fleetNodes.ServerNode[]
}

export class Fleet {
  readonly store: fleetNodes.StandinNode
  readonly machines: fleetNodes.StandinNode
  readonly entries: readonly fleetNodes.EntryNode[]
  readonly servers: readonly fleetNodes.ServerNode[]
  private readonly processes = new Map<string, fleetProcesses.FleetProcess>()

  /** To be created by `startFleet`. */
  constructor (parts: Parts, private readonly builder: fleetBuilders.FleetBuilder, readonly folder: string) {
    this.store = parts.store
    this.machines = parts.machines
    this.entries = parts.entries
    this.servers = parts.servers
    for (const { process } of [this.store, this.machines, ...this.entries, ...this.servers]) {
      this.processes.set(process.id, process)
    }
    for (const { standin } of this.servers) {
      this.processes.set(standin.process.id, standin.process)
    }
  }

  get secrets (): fleetSettings.Secrets {
    return this.builder.secrets
  }

  /** Processes by their ids: `store`, `machines`, `<entry>`, `<server>.agent`, `<server>.server`. */
  listProcesses (): readonly fleetProcesses.FleetProcess[] {
    return [...this.processes.values()]
  }

  /** Returns a process to kill, freeze, resume or drain; throws if there is none. */
  getProcess (id: string): fleetProcesses.FleetProcess {
    return getOrThrow(this.processes.get(id), id)
  }

  getServer (name: string): fleetNodes.ServerNode {
    return getOrThrow(this.servers.find(server => server.vm.name === name), name)
  }

  /** Bodies of the sections for models, services and servers by their names, as they are to be seeded. */
  listSections (): ReadonlyMap<string, object> {
    return fleetSections.createSections(this.builder.plan, this.servers)
  }

  /** Kills a process and starts it again with the same settings; waits until it listens. */
  async restart (id: string): Promise<void> {
    await this.getProcess(id).kill()
    const standins = [this.store, this.machines, ...this.servers.map(server => server.standin)]
    const standin = standins.find(candidate => candidate.process.id === id)
    if (standin !== undefined) {
      await standin.start()
      return
    }
    this.getProcess(id).start()
    await this.waitForDaemon(id, 'healthz', performance.now() + standardStartMs)
  }

  /** Kills the whole VM of a server: the agent and the backend server. */
  async killServerVm (name: string): Promise<void> {
    const server = this.getServer(name)
    await Promise.all([server.process.kill(), server.standin.process.kill()])
  }

  /** Puts a VM into the list of VMs, or changes its state there. */
  async listVm (name: string, state: machines.Machine['state'] = 'live'): Promise<void> {
    const machine = this.describeMachine(name, state)
    await this.machines.send('PUT', `/vms/${name}`, machine)
  }

  /** Waits until every daemon answers on the path of its health listener. */
  async waitForDaemons (check: 'healthz' | 'readyz', deadlineMs: number): Promise<void> {
    const daemons = [...this.entries, ...this.servers].map(node => node.process.id)
    await Promise.all(daemons.map(id => this.waitForDaemon(id, check, deadlineMs)))
  }

  /** Ends everything. Calling it twice is harmless. */
  stop (): Promise<void> {
    return this.builder.stop()
  }

  private async waitForDaemon (id: string, check: 'healthz' | 'readyz', deadlineMs: number): Promise<void> {
    const process = this.getProcess(id)
    const address = this.getHealthAddress(id)
    await wait.waitForUrl(`http://${identities.formatAddress(address)}/${check}`, deadlineMs, () => {
      if (!process.isRunning) {
        throw new Error(`it ended with code ${process.exitCode}`)
      }
    }).catch((error: Error) => {
      throw process.createError(`is not ready: ${error.message}`)
    })
  }

  private getHealthAddress (id: string): identities.Address {
    const entry = this.entries.find(candidate => candidate.process.id === id)
    const server = this.servers.find(candidate => candidate.process.id === id)
    return getOrThrow(entry?.addresses.administration ?? server?.addresses.health, id)
  }

  private describeMachine (name: string, state: machines.Machine['state']): machines.Machine {
    const entry = this.entries.find(candidate => candidate.vm.name === name)
    const vm = entry?.vm ?? this.getServer(name).vm
    const control = entry?.addresses.control ?? this.getServer(name).agentAddress
    const role = entry === undefined ? 'server' : 'entry'
    return { id: name, host: vm.host, zone: vm.zone, state, role, controlPort: control.port }
  }
}

/**
 * Starts a fleet and waits until all of it is ready. On failure everything that was started is ended.
 * The folder with settings and logs is removed when this process ends, unless the start failed or the plan keeps it.
 */
export async function startFleet (plan: fleetPlans.FleetPlan, seed: Seed = async () => {}): Promise<Fleet> {
  const deadlineMs = performance.now() + (plan.startTimeoutMs ?? standardStartMs)
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'mulberryflow-'))
  if (plan.keepsFiles !== true) {
    childRegistry.addFolder(folder)
  }
  const builder = new fleetBuilders.FleetBuilder(plan, folder)
  try {
    const fleet = new Fleet(await startParts(plan, builder), builder, folder)
    await startDaemons(fleet, deadlineMs)
    await seed(fleet)
    await fleet.waitForDaemons('readyz', deadlineMs)
    return fleet
  } catch (error) {
    await builder.stop()
    childRegistry.keepFolder(folder)
    throw new Error(`${describeError(error)}\nSettings and logs of the fleet are kept in ${folder}`, { cause: error })
  }
}

async function startParts (plan: fleetPlans.FleetPlan, builder: fleetBuilders.FleetBuilder): Promise<Parts> {
  const store = await builder.startStandin('store', 'store', platformHost, plan.storeFaults ?? {})
  const machines = await builder.startStandin('machines', 'machines', platformHost, plan.machineListFaults ?? {})
  const platform = { storeUrl: store.url, machineListUrl: machines.url }
  const vms = fleetPlans.listVms(plan)
  const servers = new Map<string, fleetNodes.ServerNode>()
  await wait.runBounded(vms.servers, startWidth, async vm => {
    servers.set(vm.name, await builder.createServer(vm))
  })
  const entries: fleetNodes.EntryNode[] = []
  for (const vm of vms.entries) {
    entries.push(await builder.createEntry(vm, platform))
  }
  const inOrder = vms.servers.map(vm => servers.get(vm.name) as fleetNodes.ServerNode)
  return { store, machines, entries, servers: inOrder }
}

async function startDaemons (fleet: Fleet, deadlineMs: number): Promise<void> {
  const nodes = [...fleet.servers, ...fleet.entries]
  for (const { vm } of nodes) {
    await fleet.listVm(vm.name)
  }
  for (const { process } of nodes) {
    process.start()
  }
  await fleet.waitForDaemons('healthz', deadlineMs)
}

function describeError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

function getOrThrow<Value> (value: Value | undefined, name: string): Value {
  if (value === undefined) {
    throw new Error(`There is no "${name}" in the fleet`)
  }
  return value
}
