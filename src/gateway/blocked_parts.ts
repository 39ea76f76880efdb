/**
 * Blocked parts of prompts in the store, so that gateways that start, or hear no other gateway, know them. Each has a key under a lease
 * that ends with the block.
 */
import * as z from 'zod'
import * as evidences from './crash_evidence.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as messages from './peer_messages.js'
import * as replicas from './store_replica.js'

const prefix = 'mulberryflow/blocked-parts/'
/** Time between two attempts to write a part, in milliseconds, and their number: outlasts an outage of the store. */
const retryMs = 2_000
const maximumAttempts = 30
/** Limit on the parts that are being written. */
const maximumPending = 64

const Entry = z.object({
  evidence: messages.PartStatement,
  /** Time of writing in milliseconds since the Unix epoch. */
  writtenMs: z.number()
})

export class BlockedParts extends replicas.ReplicaObserver {
  private readonly known = new Set<string>()
  private readonly pending = new Set<string>()

  constructor (private readonly store: host.Store, private readonly system: host.System, private readonly evidence: evidences.CrashEvidence) {
    super()
  }

  /** Writes a part that this gateway has found out to end servers. */
  save (part: string): void {
    if (this.known.has(part) || this.pending.has(part) || this.pending.size >= maximumPending) {
      return
    }
    this.pending.add(part)
    this.write(part).catch((error: unknown) => {
      this.system.log.error('blocked part not written', { part, error: String(error) })
    }).finally(() => this.pending.delete(part))
  }

  override put (item: replicas.ReplicaItem): void {
    if (!item.key.startsWith(prefix)) {
      return
    }
    const part = item.key.slice(prefix.length)
    const entry = parseEntry(item.value)
    if (entry === undefined) {
      this.system.log.warn('cannot parse the entry of a blocked part', { part, revision: item.revision })
      return
    }
    this.known.add(part)
    const { clock } = this.system
    const ageMs = Math.min(Math.max(0, clock.wallMs() - entry.writtenMs), evidences.blockMs)
    this.evidence.merge({ [part]: entry.evidence }, 'store', clock.monotonicMs() - ageMs, clock.monotonicMs())
  }

  override removed (key: string): void {
    if (key.startsWith(prefix)) {
      this.known.delete(key.slice(prefix.length))
    }
  }

  override updated (): void {}

  private async write (part: string): Promise<void> {
    for (let attempt = 0; attempt < maximumAttempts && !this.known.has(part); attempt += 1) {
      const evidence = this.evidence.describe([part], this.system.clock.monotonicMs())[part]
      if (evidence === undefined) {
        return
      }
      const failure = await this.tryWrite(part, evidence)
      if (failure === undefined) {
        this.system.log.info('blocked part written to the store', { part, attempts: attempt + 1 })
        return
      }
      this.system.log.info('blocked part not written to the store', { part, reason: failure.message })
      await this.system.clock.sleep(retryMs)
    }
  }

  private async tryWrite (part: string, evidence: messages.PartStatement): Promise<failures.Failure | undefined> {
    const lease = await this.store.grantLease(evidences.blockMs)
    if (lease.isLeft()) {
      return lease.extract() as failures.Failure
    }
    const key = prefix + part
    const value = JSON.stringify({ evidence, writtenMs: this.system.clock.wallMs() })
    const written = await this.store.commit({
      compare: [{ key, target: 'create', revision: 0 }], success: [{ kind: 'put', key, value, lease: lease.unsafeCoerce().id }], failure: []
    })
    return written.isLeft() ? written.extract() as failures.Failure : undefined
  }
}

function parseEntry (value: string): z.infer<typeof Entry> | undefined {
  try {
    return Entry.parse(JSON.parse(value))
  } catch {
    // The caller logs an entry that cannot be read.
    return undefined
  }
}
