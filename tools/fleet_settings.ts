/**
 * Settings files of the daemons of a fleet.
 */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as yaml from 'yaml'
import * as z from 'zod'
import * as engineOptions from '../standins/engine_options.js'
import * as fleetPlans from './fleet_plan.js'
import * as identities from '../src/contracts/identity.js'
import * as settings from '../src/contracts/settings.js'

/** Secrets of one fleet. */
export interface Secrets {
  readonly credential: string
  /** Credential of the administrators, as operators present it. */
  readonly administrator: string
}

/** Where the listeners of an entry are. */
export interface EntryAddresses {
  readonly control: identities.Address
  readonly callers: identities.Address
  readonly administration: identities.Address
}

/** Where the listeners of an agent and of its server are. */
export interface AgentAddresses {
  readonly control: identities.Address
  readonly health: identities.Address
  readonly backend: identities.Address
}

export interface Platform {
  readonly storeUrl: string
  readonly machineListUrl: string
}

export function createSecrets (): Secrets {
  return { credential: crypto.randomBytes(24).toString('hex'), administrator: crypto.randomBytes(24).toString('hex') }
}

export function createEntrySettings (
  plan: fleetPlans.FleetPlan, vm: fleetPlans.Vm, addresses: EntryAddresses, platform: Platform, secrets: Secrets
): z.input<typeof settings.EntrySettings> {
  return {
    ...plan.entrySettings,
    role: 'entry',
    node: vm.name,
    zone: vm.zone,
    region: vm.region,
    ...addresses,
    credential: secrets.credential,
    store: { urls: [platform.storeUrl] },
    machines: { url: platform.machineListUrl },
    administratorHash: crypto.createHash('sha256').update(secrets.administrator).digest('hex')
  }
}

export function createAgentSettings (
  plan: fleetPlans.FleetPlan, vm: fleetPlans.ServerVm, addresses: AgentAddresses, secrets: Secrets
): z.input<typeof settings.AgentSettings> {
  return {
    ...plan.agentSettings,
    role: 'agent',
    node: vm.name,
    zone: vm.zone,
    region: vm.region,
    control: addresses.control,
    health: addresses.health,
    credential: secrets.credential,
    server: vm.name,
    backend: createBackend(plan, vm, addresses.backend)
  }
}

/** Writes a settings file and returns its path. */
export function writeSettings (folder: string, name: string, content: object): string {
  const file = path.join(folder, `${name}.yaml`)
  fs.writeFileSync(file, yaml.stringify(content))
  return file
}

function createBackend (
  plan: fleetPlans.FleetPlan, vm: fleetPlans.ServerVm, address: identities.Address
): z.input<typeof settings.AgentSettings>['backend'] {
  const url = `http://${identities.formatAddress(address)}`
  if (vm.role === 'service') {
    return { kind: 'service', url, role: vm.role, memoryPieces: 0 }
  }
  const options = engineOptions.EngineOptions.parse(fleetPlans.getEngineOptions(plan, vm))
  return {
    kind: 'engine',
    url,
    role: vm.role,
    models: options.models,
    slots: options.slots,
    memoryPieces: options.memoryPieces,
    pieceTokens: options.pieceTokens,
    prefillTokensPerSecond: options.prefillTokensPerSecond,
    stepMs: Math.ceil(options.stepMs + options.slots * options.stepMsPerRequest),
    checksFencing: options.faults.checksFencing
  }
}
