/**
 * The running parts of a fleet: stand-ins, entries, and servers with their agents.
 */
import * as undici from 'undici'
import * as configuration from '../src/contracts/configuration.js'
import * as cuts from './cut.js'
import * as fleetPlans from './fleet_plan.js'
import * as fleetProcesses from './fleet_process.js'
import * as fleetSettings from './fleet_settings.js'
import * as identities from '../src/contracts/identity.js'

/** A stand-in as a process. It keeps its port over restarts. */
export class StandinNode {
  private port = 0

  constructor (readonly process: fleetProcesses.FleetProcess, readonly host: string) {}

  get url (): string {
    return `http://${this.host}:${this.port}`
  }

  get address (): identities.Address {
    return { host: this.host, port: this.port }
  }

  async start (): Promise<void> {
    this.process.start(['--host', this.host, '--port', String(this.port)])
    const ready = JSON.parse(await this.process.readLine()) as { readonly port: number }
    this.port = ready.port
  }

  /** Reads what the stand-in has seen; `brief` leaves out what grows with the number of requests. */
  async readState (isBrief = false): Promise<any> {
    const response = await undici.request(`${this.url}/_state${isBrief ? '?brief=1' : ''}`)
    return response.body.json()
  }

  /** Sets fault knobs; throws if one is unknown. */
  async setFaults (faults: object): Promise<void> {
    await this.send('POST', '/_faults', faults)
  }

  async send (method: undici.Dispatcher.HttpMethod, path: string, body: object): Promise<void> {
    const response = await undici.request(`${this.url}${path}`, { method, body: JSON.stringify(body) })
    const text = await response.body.text()
    if (response.statusCode !== 200) {
      throw new Error(`${method} ${this.url}${path}: ${response.statusCode} ${text}`)
    }
  }
}

export interface EntryNode {
  readonly vm: fleetPlans.Vm
  readonly addresses: fleetSettings.EntryAddresses
  readonly process: fleetProcesses.FleetProcess
  /** Addresses as URLs. */
  readonly callersUrl: string
  readonly administrationUrl: string
}

export interface ServerNode {
  readonly vm: fleetPlans.ServerVm
  readonly standin: StandinNode
  readonly addresses: fleetSettings.AgentAddresses
  /** The agent. */
  readonly process: fleetProcesses.FleetProcess
  /** Forwarder before the agent's control listener, if the plan wants one. */
  readonly cut: cuts.Cut | undefined
  /** Where entries reach the agent: the forwarder if there is one. */
  readonly agentAddress: identities.Address
  /** Body of the section `servers/<name>` of the configuration. */
  readonly section: configuration.Server
}
