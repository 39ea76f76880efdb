/**
 * Creates the parts of a fleet: stand-ins first, then the settings and processes of the daemons.
 */
import * as path from 'node:path'
import * as url from 'node:url'
import * as configuration from '../src/contracts/configuration.js'
import * as cuts from './cut.js'
import * as engineOptions from '../standins/engine_options.js'
import * as fleetNodes from './fleet_nodes.js'
import * as fleetPlans from './fleet_plan.js'
import * as fleetProcesses from './fleet_process.js'
import * as fleetSettings from './fleet_settings.js'
import * as identities from '../src/contracts/identity.js'
import * as wait from './wait.js'

const built = url.fileURLToPath(new URL('..', import.meta.url))
const standinProgram = path.join(built, 'standins', 'main.js')
const daemonProgram = path.join(built, 'src', 'daemon', 'main.js')

export type StandinKind = 'engine' | 'service' | 'store' | 'machines'

export class FleetBuilder {
  readonly secrets = fleetSettings.createSecrets()
  private readonly processes: fleetProcesses.FleetProcess[] = []
  private readonly cuts: cuts.Cut[] = []

  /** Settings and logs go to the folder. */
  constructor (readonly plan: fleetPlans.FleetPlan, private readonly folder: string) {}

  /** Starts a stand-in and waits until it listens. */
  async startStandin (id: string, kind: StandinKind, host: string, options: object): Promise<fleetNodes.StandinNode> {
    const args = [standinProgram, kind, '--options', JSON.stringify(options)]
    const node = new fleetNodes.StandinNode(this.createProcess(id, args, true), host)
    await node.start()
    return node
  }

  async createEntry (vm: fleetPlans.Vm, platform: fleetSettings.Platform): Promise<fleetNodes.EntryNode> {
    const addresses = {
      control: await this.findAddress(vm),
      callers: await this.findAddress(vm),
      administration: await this.findAddress(vm)
    }
    const content = fleetSettings.createEntrySettings(this.plan, vm, addresses, platform, this.secrets)
    return {
      vm,
      addresses,
      process: this.createDaemon(vm.name, content),
      callersUrl: formatUrl(addresses.callers),
      administrationUrl: formatUrl(addresses.administration)
    }
  }

  async createServer (vm: fleetPlans.ServerVm): Promise<fleetNodes.ServerNode> {
    const standin = await this.startBackend(vm)
    const addresses = {
      control: await this.findAddress(vm),
      health: await this.findAddress(vm),
      backend: standin.address
    }
    const content = fleetSettings.createAgentSettings(this.plan, vm, addresses, this.secrets)
    const cut = this.plan.cutsAgents === true ? this.createCut(addresses.control) : undefined
    const agentAddress = cut === undefined
      ? addresses.control
      : { host: vm.host, port: await cut.listen(vm.host, 0) }
    const process = this.createDaemon(`${vm.name}.agent`, content)
    const section = this.createSection(vm, agentAddress)
    return { vm, standin, addresses, process, cut, agentAddress, section }
  }

  /** Ends everything that was created. Calling it twice is harmless. */
  async stop (): Promise<void> {
    await Promise.all(this.processes.map(process => process.kill()))
    for (const cut of this.cuts.splice(0)) {
      await cut.close()
    }
  }

  private startBackend (vm: fleetPlans.ServerVm): Promise<fleetNodes.StandinNode> {
    const id = `${vm.name}.server`
    if (vm.role === 'service') {
      return this.startStandin(id, 'service', vm.host, this.plan.serviceFaults ?? {})
    }
    return this.startStandin(id, 'engine', vm.host, fleetPlans.getEngineOptions(this.plan, vm))
  }

  private createSection (vm: fleetPlans.ServerVm, agent: identities.Address): configuration.Server {
    const common = { role: vm.role, zone: vm.zone, region: vm.region, agent }
    if (vm.role === 'service') {
      return configuration.Server.parse({ ...common, services: fleetPlans.getServices(this.plan) })
    }
    const options = engineOptions.EngineOptions.parse(fleetPlans.getEngineOptions(this.plan, vm))
    return configuration.Server.parse({
      ...common,
      models: options.models,
      checksFencing: options.faults.checksFencing,
      slots: options.slots,
      memoryPieces: options.memoryPieces,
      prefillTokensPerSecond: options.prefillTokensPerSecond,
      linkBytesPerSecond: options.faults.linkBytesPerSecond
    })
  }

  private createDaemon (id: string, content: object): fleetProcesses.FleetProcess {
    const file = fleetSettings.writeSettings(this.folder, id, content)
    return this.createProcess(id, [this.plan.daemon ?? daemonProgram, '--settings', file], false)
  }

  private createProcess (id: string, args: readonly string[], isOutputRead: boolean): fleetProcesses.FleetProcess {
    const process = new fleetProcesses.FleetProcess(id, args, path.join(this.folder, `${id}.log`), isOutputRead)
    this.processes.push(process)
    return process
  }

  private createCut (target: identities.Address): cuts.Cut {
    const cut = new cuts.Cut(target)
    this.cuts.push(cut)
    return cut
  }

  private async findAddress (vm: fleetPlans.Vm): Promise<identities.Address> {
    return { host: vm.host, port: await wait.findFreePort(vm.host) }
  }
}

function formatUrl (address: identities.Address): string {
  return `http://${identities.formatAddress(address)}`
}
