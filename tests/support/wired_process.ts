/**
 * A process's configuration over real links and the store stand-in over HTTP, within one program.
 */
import * as credentials from '../../src/configuration/credentials.js'
import * as currentDocuments from '../../src/configuration/current_document.js'
import * as editors from '../../src/configuration/editor.js'
import * as etcdStores from '../../src/host/etcd_store.js'
import * as failures from '../../src/contracts/failure.js'
import * as host from '../../src/host/types.js'
import * as identities from '../../src/contracts/identity.js'
import * as linkPools from '../../src/links/link_pool.js'
import * as links from '../../src/links/types.js'
import * as listeners from '../../src/links/listener.js'
import * as metrics from '../../src/metrics/types.js'
import * as nodeSystems from '../../src/host/node_system.js'
import * as peersModule from '../../src/configuration/peers.js'
import * as piggybacks from '../../src/daemon/process_piggyback.js'
import * as replicas from '../../src/configuration/replica.js'
import * as rings from '../../src/timeline/ring.js'
import * as timelines from '../../src/timeline/types.js'
import * as traffics from '../../src/links/traffic.js'

export const administratorCredential = 'administrator-credential'

const timing: links.LinkTiming = {
  connectTimeoutMs: 1_000, heartbeatMs: 250, silenceMs: 600, sessionLeaseMs: 1_500, idleMs: 60_000, reconnectMs: 50, loadReportsPerSecond: 20
}

export interface WiredOptions {
  readonly node: string
  /** Address of the store; agents have none. */
  readonly storeUrl?: string
  readonly storeTimeoutMs?: number
  readonly watchRenewMs?: number
  /** Control listeners of the entries, this one's included. */
  readonly entries: readonly identities.Address[]
}

class ListedPeers extends peersModule.DirectoryPeers {
  constructor (pool: links.LinkPool, private readonly own: identities.Address, private readonly entries: readonly identities.Address[]) {
    super(pool, undefined)
  }

  override listEntries (): readonly identities.Address[] {
    return this.entries.filter(entry => entry.port !== this.own.port)
  }
}

export class WiredProcess {
  private constructor (
    readonly address: identities.Address,
    readonly replica: replicas.Replica,
    readonly store: etcdStores.EtcdStore | undefined,
    readonly editor: editors.Editor | undefined,
    private readonly pool: links.LinkPool,
    private readonly listener: listeners.Listener,
    readonly traffic: traffics.Traffic
  ) {}

  static async start (options: WiredOptions): Promise<WiredProcess> {
    const system = nodeSystems.createSilentSystem()
    const role = options.storeUrl === undefined ? 'agent' : 'entry'
    const place: identities.Identity = { node: options.node, boot: 'b', role, zone: 'z', region: 'r' }
    const piggyback = new piggybacks.ProcessPiggyback(new rings.LamportClock())
    const traffic = new traffics.Traffic()
    const observer = new LateObserver()
    const context: Parameters<typeof linkPools.createLinkPool>[0] = {
      system,
      identity: place,
      credential: 'credential of the deployment',
      timing,
      piggyback,
      traffic,
      security: undefined
    }
    const handlers: links.Handlers = {
      'configuration.read': async (params, session) => await observer.replica?.handlers['configuration.read']?.(params, session) ?? failNotReady(),
      'status.read': async () => failures.succeed({
        identity: place, configurationVersion: observer.replica?.version ?? 0, state: 'ready', uptimeMs: 0, figures: {}
      })
    }
    const listener = new listeners.Listener(context, handlers, observer)
    const address = await listener.listen({ host: '127.0.0.1', port: 0 })
    place.control = address
    const pool = linkPools.createLinkPool(context)
    const store = createStore(options, system.clock)
    const replica = new replicas.Replica({
      identity: place,
      address,
      ...(store === undefined ? {} : { store }),
      peers: new ListedPeers(pool, address, options.entries),
      clock: system.clock,
      random: system.random,
      log: system.log,
      meter: new metrics.SilentMeter(),
      recorder: new timelines.SilentRecorder()
    })
    observer.replica = replica
    piggyback.watch = replica
    pool.observe(replica.linkObserver)
    replica.start()
    const editor = store === undefined ? undefined : createEditor(store, system.clock, replica)
    return new WiredProcess(address, replica, store, editor, pool, listener, traffic)
  }

  /** Resolves once the replica has the version. */
  async reach (version: number): Promise<void> {
    while (this.replica.version < version) {
      await new Promise<void>(resolve => {
        const stop = this.replica.onChange(() => {
          stop()
          resolve()
        })
      })
    }
  }

  async stop (): Promise<void> {
    this.replica.stop()
    this.pool.close()
    this.listener.close()
    await this.store?.close()
  }
}

class LateObserver extends links.SessionObserver {
  replica: replicas.Replica | undefined
  override opened (session: links.Session): void { this.replica?.sessionObserver.opened(session) }
  override expired (session: links.Session): void { this.replica?.sessionObserver.expired(session) }
  override notified: links.SessionObserver['notified'] = (session, name, notice) => this.replica?.sessionObserver.notified(session, name, notice)
}

function createStore (options: WiredOptions, clock: host.Clock): etcdStores.EtcdStore | undefined {
  if (options.storeUrl === undefined) {
    return undefined
  }
  return new etcdStores.EtcdStore({
    urls: [options.storeUrl],
    prefix: '/mulberryflow/',
    timeoutMs: options.storeTimeoutMs ?? 1_500,
    ...(options.watchRenewMs === undefined ? {} : { watchRenewMs: options.watchRenewMs })
  }, clock)
}

function createEditor (store: host.Store, clock: host.Clock, current: currentDocuments.CurrentDocument): editors.Editor {
  return new editors.Editor({ store, clock, current, administratorHash: credentials.hashSecret(administratorCredential) })
}

function failNotReady<Value> (): failures.Result<Value> {
  return failures.fail(failures.createFailure('not_run', 'not_ready'))
}
