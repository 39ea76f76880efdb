/**
 * The process beside a backend server.
 */
import * as h3 from 'h3/node'
import * as http from 'node:http'
import * as agents from '../agent/agent.js'
import * as daemonProcesses from './daemon_process.js'
import * as httpListeners from './http_listener.js'
import * as identities from '../contracts/identity.js'
import * as memoryBounds from '../host/memory_bounds.js'
import * as listeners from '../links/listener.js'
import * as peers from '../configuration/peers.js'
import * as probeApplications from '../administration/probe_application.js'
import * as processBases from './process_base.js'
import * as replicas from '../configuration/replica.js'
import * as sessionObservers from '../links/session_observers.js'
import * as settings from '../contracts/settings.js'

class AgentProcess extends daemonProcesses.DaemonProcess {
  private readonly control: listeners.Listener
  private readonly health: http.Server
  private isDraining = false

  constructor (
    private readonly base: processBases.ProcessBase,
    private readonly options: settings.AgentSettings,
    private readonly agent: agents.Agent,
    private readonly replica: replicas.Replica
  ) {
    super()
    const source = new AgentStatus(agent, replica, () => this.isDraining)
    const handlers = { ...base.createHandlers(source), ...replica.handlers, ...agent.handlers }
    const observer = new sessionObservers.SessionObservers([agent, replica.sessionObserver])
    this.control = new listeners.Listener(base.linkContext, handlers, observer, memoryBounds.createConnectionBounds(options.limits).unproven)
    const probes = new AgentProbes(base, source)
    this.health = http.createServer(httpListeners.closingBehindBodies(h3.toNodeHandler(probeApplications.createProbeApplication(probes)) as http.RequestListener))
  }

  override async start (): Promise<void> {
    const { base, options, replica } = this
    base.links.observe(replica.linkObserver)
    replica.onChange(() => this.agent.configure(replica.document))
    replica.start()
    await this.agent.start()
    await this.control.listen(options.control)
    await httpListeners.listen(this.health, options.health, memoryBounds.createConnectionBounds(options.limits).operators)
    base.ring.record({ kind: 'process.started' })
    base.system.log.info('agent started', { control: identities.formatAddress(options.control) })
  }

  override async drain (): Promise<void> {
    this.isDraining = true
    this.base.system.log.info('draining')
    this.base.ring.record({ kind: 'process.draining' })
    await Promise.race([this.agent.drain(), this.base.system.clock.sleep(this.options.timing.drainTimeoutMs)])
    this.base.ring.record({ kind: 'process.stopped' })
  }

  override async close (): Promise<void> {
    this.replica.stop()
    this.base.links.close()
    this.control.close()
    this.health.closeAllConnections()
    this.health.close()
    await this.agent.close()
  }
}

class AgentStatus extends processBases.StatusSource {
  constructor (
    private readonly agent: agents.Agent,
    private readonly replica: replicas.Replica,
    private readonly isDraining: () => boolean
  ) {
    super()
  }

  override get state (): processBases.ProcessState {
    return this.isDraining() || this.agent.load.draining ? 'draining' : 'ready'
  }

  override get configurationVersion (): number {
    return this.replica.version
  }

  override getFigures (): Readonly<Record<string, number>> {
    const { draining, ...load } = this.agent.load
    return { ...load, ...this.agent.figures }
  }
}

class AgentProbes extends probeApplications.Probes {
  constructor (
    private readonly base: processBases.ProcessBase,
    private readonly source: processBases.StatusSource
  ) {
    super()
  }

  override isHealthy (): boolean {
    return true
  }

  /** An agent serves without a configuration: entries tell it all it needs with each attempt. */
  override isReady (): boolean {
    return this.source.state === 'ready'
  }

  override renderMetrics (): Promise<string> {
    return this.base.renderMetrics(this.source)
  }
}

/** Creates the process beside a backend server; nothing is opened before `start`. */
export function createAgentProcess (
  base: processBases.ProcessBase, options: settings.AgentSettings
): daemonProcesses.DaemonProcess {
  const { clock, log, random } = base.system
  const agent = agents.createAgent({
    system: base.system,
    settings: options,
    boot: base.identity.boot,
    meter: base.meter,
    recorder: base.ring
  })
  const replica = new replicas.Replica({
    identity: base.identity,
    address: options.control,
    peers: new peers.DirectoryPeers(base.links, undefined),
    clock,
    log,
    random,
    meter: base.meter,
    recorder: base.ring
  })
  base.piggyback.watch = replica
  return new AgentProcess(base, options, agent, replica)
}
