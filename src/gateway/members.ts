/**
 * The gateways of the deployment: each keeps a key in the store under a lease, with the address for the others.
 */
import * as z from 'zod'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as leases from './store_lease.js'
import * as mirrors from './mirror.js'
import * as settings from './settings.js'

const prefix = 'mulberryflow/gateways/'
/** Life of a gateway's entry without renewal, in milliseconds: outlives short outages of the store. */
const entryTtlMs = 6_000
/** How long a gateway is kept whose entry is missing, in milliseconds; and again for as long as it is still heard. */
const returnMs = 3_000

const Entry = z.object({ address: z.string(), boot: z.string(), zone: z.string() })

/** Another gateway: its address for exchanges, and its availability zone. */
export interface Member {
  readonly address: string
  readonly zone: string
}

export class Members extends mirrors.MirrorObserver {
  private readonly lease: leases.StoreLease
  private readonly members = new Map<string, Member>()
  private readonly lapsed = new Map<string, host.Stop>()

  constructor (
    store: host.Store,
    private readonly system: host.System,
    private readonly options: settings.GatewaySettings,
    boot: string,
    /** Whether a gateway was heard within the time in milliseconds. */
    private readonly isHeard: (node: string, withinMs: number) => boolean,
    private readonly changed: (members: ReadonlyMap<string, Member>) => void
  ) {
    super()
    const address = identities.formatAddress(options.peers)
    this.lease = new leases.StoreLease(store, system, {
      key: prefix + options.node,
      value: JSON.stringify({ address, boot, zone: options.zone }),
      ttlMs: Math.max(entryTtlMs, options.timing.minimumLeaseMs),
      isExclusive: false,
      mayTry: () => true
    }, new class extends leases.LeaseObserver {
      override held (revision: number): void {
        system.log.info('entered among the gateways', { revision })
      }

      override lost (reason: string): void {
        system.log.warn('entry among the gateways lapsed', { reason })
      }
    }())
  }

  start (): void {
    this.lease.start()
  }

  async leave (): Promise<void> {
    await this.lease.stop()
  }

  override put (item: mirrors.MirrorItem): void {
    const node = item.key.slice(prefix.length)
    if (!item.key.startsWith(prefix) || node === this.options.node) {
      return
    }
    this.lapsed.get(node)?.()
    this.lapsed.delete(node)
    const parsed = Entry.safeParse(parseJson(item.value))
    if (!parsed.success) {
      this.system.log.warn('entry of a gateway cannot be read', { gateway: node, revision: item.revision })
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
    if (key.startsWith(prefix) && this.members.has(node) && !this.lapsed.has(node)) {
      this.awaitSilence(node)
    }
  }

  override updated (): void {
    this.changed(this.members)
  }

  private awaitSilence (node: string): void {
    this.lapsed.set(node, this.system.clock.after(returnMs, () => {
      if (this.isHeard(node, returnMs)) {
        this.awaitSilence(node)
        return
      }
      this.lapsed.delete(node)
      this.members.delete(node)
      this.system.log.info('gateway gone', { gateway: node })
      this.updated()
    }))
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // Reported by the caller, which finds the value not to match the schema.
    return undefined
  }
}
