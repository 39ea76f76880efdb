/**
 * Membership of gateways: each gateway keeps a key with its gossip address in the store, under a lease.
 */
import * as z from 'zod'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as leases from './store_lease.js'
import * as replicas from './store_replica.js'
import * as settings from './settings.js'

const prefix = 'mulberryflow/gateways/'
/** Time to live of a gateway's entry without renewal, in milliseconds: outlasts short outages of the store. */
const entryTtlMs = 6_000
/** Time for which a gateway whose entry is missing stays a member, in milliseconds; extended by the same time while it is responsive. */
const removalDelayMs = 3_000

const Entry = z.object({ address: identities.AddressText, boot: z.string(), zone: z.string() })

/** Another gateway: its gossip address and its availability zone. */
export interface Member {
  readonly address: string
  readonly zone: string
}

export class Members extends replicas.ReplicaObserver {
  private readonly lease: leases.StoreLease
  private readonly members = new Map<string, Member>()
  /** Revision at which the own entry was written; undefined while it may be missing. */
  private heldRevision: number | undefined
  private readonly pendingRemovals = new Map<string, host.Stop>()

  constructor (
    store: host.Store,
    private readonly system: host.System,
    private readonly options: settings.GatewaySettings,
    boot: string,
    /** Tells whether a gateway has been seen within the time in milliseconds. */
    private readonly wasSeen: (node: string, withinMs: number) => boolean,
    private readonly onChanged: (members: ReadonlyMap<string, Member>) => void
  ) {
    super()
    const address = identities.formatAddress(options.peers)
    const members = this
    this.lease = new leases.StoreLease(store, system, {
      key: prefix + options.node,
      value: JSON.stringify({ address, boot, zone: options.zone }),
      ttlMs: Math.max(entryTtlMs, options.timing.minimumLeaseMs),
      isExclusive: false,
      mayTry: () => true
    }, new class extends leases.LeaseObserver {
      override held (revision: number): void {
        members.heldRevision = revision
        system.log.info('registered as a member gateway', { revision })
      }

      override lost (reason: string): void {
        members.heldRevision = undefined
        system.log.warn('lost the lease on the member entry', { reason })
      }
    }())
  }

  /**
   * Returns this gateway's even share of what all gateways divide. 0 while it is not certain: others may not count a gateway without an
   * entry, and a replica older than the own entry may miss some of them.
   */
  getShare (replicaRevision: number): number {
    const isCertain = this.lease.isHeld && this.heldRevision !== undefined && replicaRevision >= this.heldRevision
    return isCertain ? 1 / (this.members.size + 1) : 0
  }

  start (): void {
    this.lease.start()
  }

  async leave (): Promise<void> {
    await this.lease.stop()
  }

  override put (item: replicas.ReplicaItem): void {
    const node = item.key.slice(prefix.length)
    if (!item.key.startsWith(prefix) || node === this.options.node) {
      return
    }
    this.pendingRemovals.get(node)?.()
    this.pendingRemovals.delete(node)
    const parsed = Entry.safeParse(parseJson(item.value))
    if (!parsed.success) {
      this.system.log.warn('cannot parse the member entry of a gateway', { gateway: node, revision: item.revision })
      return
    }
    this.members.set(node, parsed.data)
  }

  override removed (key: string): void {
    const node = key.slice(prefix.length)
    if (key === prefix + this.options.node) {
      this.lease.recheck()
      return
    }
    if (key.startsWith(prefix) && this.members.has(node) && !this.pendingRemovals.has(node)) {
      this.scheduleRemoval(node)
    }
  }

  override updated (): void {
    this.onChanged(this.members)
  }

  private scheduleRemoval (node: string): void {
    this.pendingRemovals.set(node, this.system.clock.after(removalDelayMs, () => {
      if (this.wasSeen(node, removalDelayMs)) {
        this.scheduleRemoval(node)
        return
      }
      this.pendingRemovals.delete(node)
      this.members.delete(node)
      this.system.log.info('gateway removed from the members', { gateway: node })
      this.updated()
    }))
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // The caller reports a value that does not match the schema.
    return undefined
  }
}
