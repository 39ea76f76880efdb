/**
 * Replicas and editors in one process, over in-memory links and a shared store.
 */
import * as changeRequests from '../../src/configuration/change_request.js'
import * as configuration from '../../src/contracts/configuration.js'
import * as credentials from '../../src/configuration/credentials.js'
import * as directStores from '../support/direct_store.js'
import * as editors from '../../src/configuration/editor.js'
import * as failures from '../../src/contracts/failure.js'
import * as host from '../../src/host/types.js'
import * as identities from '../../src/contracts/identity.js'
import * as links from '../../src/links/types.js'
import * as manualClocks from '../support/manual_clock.js'
import * as metrics from '../../src/metrics/types.js'
import * as nodeSystems from '../../src/host/node_system.js'
import * as peersModule from '../../src/configuration/peers.js'
import * as protocol from '../../src/contracts/protocol.js'
import * as replicas from '../../src/configuration/replica.js'
import * as seededRandoms from '../../src/host/seeded_random.js'
import * as storeCore from '../../standins/store_core.js'
import * as timelines from '../../src/timeline/types.js'

export const administratorCredential = 'administrator-credential'
export const administratorHash = credentials.hashSecret(administratorCredential)
export const allowance = { tokensPerSecond: 100, burstTokens: 1000 }

export class Network {
  readonly clock = new manualClocks.ManualClock()
  readonly core = new storeCore.StoreCore(this.clock)
  readonly processes = new Map<number, Process>()
  /** Ports of unreachable processes. */
  readonly unreachablePorts = new Set<number>()

  addEntry (store: host.Store = new directStores.DirectStore(this.core)): Process {
    return this.add('entry', store)
  }

  addAgent (): Process {
    return this.add('agent', undefined)
  }

  private add (role: identities.Role, store: host.Store | undefined): Process {
    const process = new Process(this, role, 1 + this.processes.size, store)
    this.processes.set(process.address.port, process)
    return process
  }
}

export class Process {
  readonly address: identities.Address
  readonly identity: identities.Identity
  readonly replica: replicas.Replica
  readonly editor: editors.Editor | undefined
  /** Calls of `configuration.read` that this process answered, and the bytes of the answers. */
  reads = 0
  readBytes = 0

  constructor (readonly network: Network, role: identities.Role, port: number, readonly store: host.Store | undefined) {
    this.address = { host: '127.0.0.1', port }
    this.identity = { node: `${role}-${port}`, boot: 'b', role, zone: 'a', region: 'r', control: this.address }
    this.replica = new replicas.Replica({
      identity: this.identity,
      address: this.address,
      ...(store === undefined ? {} : { store }),
      peers: new DirectPeers(this),
      clock: network.clock,
      random: new seededRandoms.SeededRandom(port),
      log: new nodeSystems.SilentLog(),
      meter: new metrics.SilentMeter(),
      recorder: new timelines.SilentRecorder()
    })
    if (store !== undefined) {
      this.editor = new editors.Editor({ store, clock: network.clock, current: this.replica, administratorHash })
    }
  }

  async start (): Promise<void> {
    this.replica.start()
    await this.network.clock.advance(0)
  }
}

class DirectPeers extends peersModule.Peers {
  constructor (private readonly own: Process) {
    super()
  }

  override getLink (peer: identities.Identity): links.Link | undefined {
    return peer.control === undefined ? undefined : this.getLinkTo(peer.control)
  }

  override getLinkTo (address: identities.Address): links.Link {
    return new DirectLink(this.own, address)
  }

  override listEntries (): readonly identities.Address[] {
    const others = [...this.own.network.processes.values()]
    return others.filter(other => other !== this.own && other.identity.role === 'entry').map(other => other.address)
  }

  override listOpenLinks (): readonly links.Link[] {
    return []
  }
}

export class DirectLink extends links.Link {
  constructor (private readonly own: Process, override readonly address: identities.Address) {
    super()
  }

  private get target (): Process | undefined {
    const { network } = this.own
    return network.unreachablePorts.has(this.address.port) ? undefined : network.processes.get(this.address.port)
  }

  override get remote (): identities.Identity | undefined {
    return this.target?.identity
  }

  override get isOpen (): boolean {
    return this.target !== undefined
  }

  override async call<Method extends protocol.MethodName> (
    method: Method, params: protocol.Params<Method>
  ): Promise<failures.Result<protocol.Answer<Method>>> {
    const { target, own } = this
    if (target === undefined) {
      return failures.fail(failures.createFailure('not_run', 'link_lost', [identities.formatAddress(this.address)]))
    }
    target.replica.hear(own.replica.version, own.identity)
    const result = method === 'status.read'
      ? failures.succeed({ configurationVersion: target.replica.version })
      : await this.read(target, params as protocol.Params<'configuration.read'>)
    own.replica.hear(target.replica.version, target.identity)
    return result as failures.Result<protocol.Answer<Method>>
  }

  override notify (): void {}
  override retain (): host.Stop { return () => {} }
  override close (): void {}

  private async read (
    target: Process, params: protocol.Params<'configuration.read'>
  ): Promise<failures.Result<protocol.Answer<'configuration.read'>>> {
    const session = { remote: this.own.identity } as links.Session
    const answer = await target.replica.handlers['configuration.read']?.(params, session)
    target.reads += 1
    target.readBytes += JSON.stringify(answer?.extract()).length
    return answer ?? failures.fail(failures.createFailure('not_run', 'internal', ['no handler']))
  }
}

/** Makes a change with the administrators' credential, and returns the version of the document. */
export async function change (
  process: Process, operation: string, edits: readonly { name: string, expectedVersion: number, body?: unknown }[]
): Promise<number> {
  const result = await tryChange(process, operation, edits)
  const decision = result.unsafeCoerce()
  if (decision.kind === 'refused') {
    throw new Error(decision.refusal.failure.message)
  }
  return decision.acceptance.version
}

export async function tryChange (
  process: Process, operation: string, edits: readonly { name: string, expectedVersion: number, body?: unknown }[],
  credential = administratorCredential
): ReturnType<editors.Editor['change']> {
  const request = changeRequests.createChangeRequest({ operation, edits: [...edits] })
  if (process.editor === undefined) {
    throw new Error('an agent has no editor')
  }
  return process.editor.change(credential, request)
}

/** Returns the edit that creates a workspace. */
export function createWorkspace (name: string, body: Partial<configuration.Workspace> = {}): changeRequests.Edit {
  return { name: `workspaces/${name}`, expectedVersion: 0, body: { allowance, ...body } }
}
