/**
 * The process on an entry VM: callers' listener, administration, keepers of allowances and the links.
 */
import * as administrationListeners from '../administration/listener.js'
import * as allowanceClients from '../allowances/client.js'
import * as allowanceTiming from '../allowances/timing.js'
import * as applications from '../administration/application.js'
import * as daemonProcesses from './daemon_process.js'
import * as editors from '../configuration/editor.js'
import * as entries from '../entry/entry.js'
import * as etcdStores from '../host/etcd_store.js'
import * as histories from '../configuration/history.js'
import * as httpListeners from './http_listener.js'
import * as identities from '../contracts/identity.js'
import * as leaseholderHosts from '../allowances/leaseholder_host.js'
import * as linkFleets from './link_fleet.js'
import * as listeners from '../links/listener.js'
import * as machineDirectories from '../machines/directory.js'
import * as machineLists from '../host/http_machine_list.js'
import * as memoryBounds from '../host/memory_bounds.js'
import * as policies from '../entry/policy.js'
import * as peers from '../configuration/peers.js'
import * as probeApplications from '../administration/probe_application.js'
import * as processBases from './process_base.js'
import * as replicas from '../configuration/replica.js'
import * as settings from '../contracts/settings.js'

/** Name of the section whose change concerns the keepers. */
const workspaceSections = 'workspaces/'

class EntryProcess extends daemonProcesses.DaemonProcess {
  private readonly administration: administrationListeners.AdministrationListener
  private readonly control: listeners.Listener

  constructor (
    private readonly parts: EntryParts,
    private readonly entry: entries.Entry
  ) {
    super()
    const { base, replica, keepers, options } = parts
    const source = new EntryStatus(parts, entry)
    const handlers = { ...base.createHandlers(source), ...replica.handlers, ...keepers.createHandlers() }
    this.control = new listeners.Listener(base.linkContext, handlers, replica.sessionObserver, memoryBounds.createConnectionBounds(options.limits).unproven)
    this.administration = new administrationListeners.AdministrationListener(
      createApplicationOptions(parts, entry, source), options.limits)
  }

  override async start (): Promise<void> {
    const { base, directory, keepers, options, replica } = this.parts
    await this.control.listen(options.control)
    await this.administration.listen(options.administration)
    await directory.start(options.timing.machineListMs)
    base.links.observe(replica.linkObserver)
    replica.start()
    this.serve().catch((error: unknown) => base.system.log.error('serving failed', { error: String(error) }))
    replica.onChange((_, sections) => {
      if (sections.some(name => name.startsWith(workspaceSections))) {
        keepers.applyConfiguration()
      }
    })
    base.ring.record({ kind: 'process.started' })
    base.system.log.info('entry started', { callers: identities.formatAddress(options.callers) })
  }

  override async drain (): Promise<void> {
    const { base, directory, keepers } = this.parts
    base.system.log.info('draining')
    directory.leave()
    await this.entry.drain()
    await keepers.leave()
    base.ring.record({ kind: 'process.stopped' })
  }

  override async close (): Promise<void> {
    const { base, directory, keepers, replica, store } = this.parts
    keepers.stop()
    replica.stop()
    directory.stop()
    base.links.close()
    this.control.close()
    this.entry.server.closeAllConnections()
    this.entry.server.close()
    await this.administration.close()
    await store.close()
  }

  /** Takes callers and keeps allowances once the configuration is known. */
  private async serve (): Promise<void> {
    const { base, keepers, options, replica } = this.parts
    await replica.whenReady()
    keepers.start(replica.document.policy.allowanceShards)
    keepers.applyConfiguration()
    await httpListeners.listen(this.entry.server, options.callers)
    base.system.log.info('ready', { version: replica.version })
  }
}

/** What an entry process consists of. */
interface EntryParts {
  readonly base: processBases.ProcessBase
  readonly options: settings.EntrySettings
  readonly store: etcdStores.EtcdStore
  readonly directory: machineDirectories.MachineDirectory
  readonly replica: replicas.Replica
  readonly keepers: leaseholderHosts.LeaseholderHost
  readonly allowances: allowanceClients.FleetAllowances
}

class EntryStatus extends processBases.StatusSource {
  constructor (private readonly parts: EntryParts, private readonly entry: entries.Entry) {
    super()
  }

  override get state (): processBases.ProcessState {
    if (this.entry.isClosing) {
      return 'draining'
    }
    return this.parts.replica.isReady ? 'ready' : 'starting'
  }

  override get configurationVersion (): number {
    return this.parts.replica.version
  }

  override getFigures (): Readonly<Record<string, number>> {
    return this.entry.getFigures()
  }
}

class EntryProbes extends probeApplications.Probes {
  constructor (
    private readonly parts: EntryParts,
    private readonly entry: entries.Entry,
    private readonly source: processBases.StatusSource
  ) {
    super()
  }

  override isHealthy (): boolean {
    return true
  }

  override isReady (): boolean {
    return this.parts.replica.isReady && this.entry.isReady() && this.entry.server.listening
  }

  override renderMetrics (): Promise<string> {
    return this.parts.base.renderMetrics(this.source)
  }
}

function createApplicationOptions (
  parts: EntryParts, entry: entries.Entry, source: processBases.StatusSource
): applications.ApplicationOptions {
  const { base, directory, options, replica, store } = parts
  const editor = new editors.Editor({
    store,
    clock: base.system.clock,
    current: replica,
    administratorHash: options.administratorHash,
    recorder: base.ring
  })
  return {
    document: replica.document,
    editor,
    history: new histories.History(store),
    fleet: new linkFleets.LinkFleet(base, source, directory, replica.document),
    clock: base.system.clock,
    random: base.system.random,
    probes: new EntryProbes(parts, entry, source),
    isReady: () => replica.isReady,
    bodyBytes: options.limits.bodyBytes
  }
}

function createParts (base: processBases.ProcessBase, options: settings.EntrySettings): EntryParts {
  const { clock, log, random } = base.system
  const { storeTimeoutMs } = options.timing
  const store = new etcdStores.EtcdStore(
    { urls: options.store.urls, prefix: options.store.prefix, timeoutMs: storeTimeoutMs }, clock)
  const machineList = new machineLists.HttpMachineList(options.machines.url, storeTimeoutMs, clock)
  const place = { node: options.node, zone: options.zone, control: options.control }
  const directory = new machineDirectories.MachineDirectory(place, machineList, base.system)
  const common = { clock, log, recorder: base.ring, meter: base.meter }
  const replica = new replicas.Replica({
    ...common,
    identity: base.identity,
    address: options.control,
    store,
    peers: new peers.DirectoryPeers(base.links, directory),
    random
  })
  base.piggyback.watch = replica
  const keepers = new leaseholderHosts.LeaseholderHost({
    ...common,
    boot: base.identity.boot,
    entries: directory,
    store,
    links: base.links,
    workspaces: () => replica.document.listWorkspaces(),
    timing: allowanceTiming.defaultTiming
  })
  const allowances = new allowanceClients.FleetAllowances({
    ...common, leaseholderHost: keepers, links: base.links, timing: allowanceTiming.defaultTiming
  })
  return { base, options, store, directory, replica, keepers, allowances }
}

/** Creates the process of an entry VM; nothing is opened before `start`. */
export async function createEntryProcess (
  base: processBases.ProcessBase, options: settings.EntrySettings
): Promise<daemonProcesses.DaemonProcess> {
  const parts = createParts(base, options)
  const entry = await entries.createEntry({
    identity: base.identity,
    system: base.system,
    configuration: parts.replica.document,
    links: base.links,
    allowances: parts.allowances,
    store: parts.store,
    storePrefix: '',
    limits: options.limits,
    timing: options.timing,
    meter: base.meter,
    recorder: base.ring,
    policy: policies.createPolicy(options.policy)
  })
  return new EntryProcess(parts, entry)
}
