/**
 * The shards' keys in the store: caches their state and performs the writes of the shards.
 */
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as records from './record.js'
import * as shardTypes from './shard_types.js'
import * as z from 'zod'

/** Value of `keepers/<shard>/holder`. */
const Holder = z.object({ boot: z.string(), lease: z.string() })

/** Key that fixes the number of shards at the first start of the deployment. */
const shardCountKey = `${records.keyPrefix}count`

/** Known state of one shard's keys. */
export interface ShardKeys {
  stored: records.StoredRecord | undefined
  isHeld: boolean
  /** Revision of the store up to which the keys are known. */
  storeRevision: number
}

export class ShardKeyStore {
  private readonly shards = new Map<number, ShardKeys>()
  private loadedRevision = 0

  constructor (private readonly store: host.Store, private readonly boot: string) {}

  get (shard: number): ShardKeys {
    const known = this.shards.get(shard)
    if (known !== undefined) {
      return known
    }
    const fresh = { stored: undefined, isHeld: false, storeRevision: this.loadedRevision }
    this.shards.set(shard, fresh)
    return fresh
  }

  /** Returns the number of shards fixed at the first start of the deployment; `wanted` if this is the first start. */
  async initializeCount (wanted: number): Promise<failures.Result<number>> {
    const result = await this.store.commit({
      compare: [{ key: shardCountKey, target: 'create', revision: 0 }],
      success: [{ kind: 'put', key: shardCountKey, value: String(wanted) }],
      failure: [{ kind: 'get', key: shardCountKey }]
    })
    return result.map(commit => commit.succeeded ? wanted : Number(commit.reads[0]?.value ?? wanted))
  }

  /** Reads all keys. Returns the revision of the first page; a watch must report the changes after it. */
  async load (): Promise<failures.Result<number>> {
    const entries: host.StoreEntry[] = []
    let revision: number | undefined
    let after: string | undefined
    for (;;) {
      const result = await this.store.readRange({ prefix: records.keyPrefix, after })
      if (result.isLeft()) {
        return failures.fail(result.extract() as failures.Failure)
      }
      const page = result.unsafeCoerce()
      revision ??= page.revision
      entries.push(...page.entries)
      after = page.entries.at(-1)?.key
      if (!page.more || after === undefined) {
        this.replace(entries, revision)
        return failures.succeed(revision)
      }
    }
  }

  /** Applies changes reported by a watch. */
  apply (events: readonly host.StoreEvent[]): void {
    for (const event of events) {
      if (event.kind === 'put') {
        this.put(event.entry)
      } else {
        this.remove(event.key, event.modRevision)
      }
    }
  }

  /** Performs a write and returns what is known of its effect. */
  async write (shard: number, write: shardTypes.Write, leaseId: string | undefined): Promise<shardTypes.Outcome> {
    const result = await this.store.commit(this.createTransaction(shard, write, leaseId))
    return result.caseOf<shardTypes.Outcome>({
      Left: failure => ({ kind: failure.verdict === 'not_run' ? 'not_run' : 'unknown' }),
      Right: commit => createOutcome(write, commit)
    })
  }

  private createTransaction (shard: number, write: shardTypes.Write, leaseId: string | undefined): host.StoreTransaction {
    const termKey = records.getTermKey(shard)
    const holderKey = records.getHolderKey(shard)
    const isRecord: host.StoreComparison = { key: termKey, target: 'mod', revision: write.expectedRevision }
    const isVacant: host.StoreComparison = { key: holderKey, target: 'create', revision: 0 }
    const putRecord: host.StoreOperation = { kind: 'put', key: termKey, value: JSON.stringify(write.record) }
    const failure: host.StoreOperation[] = [{ kind: 'get', key: termKey }, { kind: 'get', key: holderKey }]
    switch (write.holder) {
      case 'put': {
        const value = JSON.stringify({ boot: this.boot, lease: leaseId ?? '' })
        const putHolder: host.StoreOperation = { kind: 'put', key: holderKey, value, lease: leaseId }
        return { compare: [isRecord, isVacant], success: [putRecord, putHolder], failure }
      }
      case 'keep':
        return { compare: [isRecord], success: [putRecord], failure }
      case 'delete':
        return { compare: [isRecord], success: [{ kind: 'delete', key: holderKey }], failure }
    }
  }

  private replace (entries: readonly host.StoreEntry[], revision: number): void {
    this.loadedRevision = revision
    this.shards.clear()
    for (const entry of entries) {
      this.put(entry)
    }
  }

  private put (entry: host.StoreEntry): void {
    const parsed = records.parseKey(entry.key)
    if (parsed === undefined) {
      return
    }
    const keys = this.get(parsed.shard)
    keys.storeRevision = Math.max(keys.storeRevision, entry.modRevision)
    if (parsed.kind === 'holder') {
      keys.isHeld = true
      return
    }
    keys.stored = parseStored(entry)
  }

  private remove (key: string, revision: number): void {
    const parsed = records.parseKey(key)
    if (parsed === undefined) {
      return
    }
    const keys = this.get(parsed.shard)
    keys.storeRevision = Math.max(keys.storeRevision, revision)
    if (parsed.kind === 'holder') {
      keys.isHeld = false
      return
    }
    keys.stored = undefined
  }
}

function createOutcome (write: shardTypes.Write, commit: host.StoreCommit): shardTypes.Outcome {
  if (commit.succeeded) {
    const revision = write.holder === 'delete' ? write.expectedRevision : commit.revision
    return { kind: 'written', revision, storeRevision: commit.revision }
  }
  const [term, holder] = commit.reads
  const stored = term === undefined ? undefined : parseStored(term)
  const holderLease = holder === undefined ? undefined : parseLease(holder.value)
  return { kind: 'refused', stored, holderLease, storeRevision: commit.revision }
}

function parseStored (entry: host.StoreEntry): records.StoredRecord | undefined {
  const record = records.parseRecord(entry.value)
  return record === undefined ? undefined : { record, revision: entry.modRevision }
}

function parseLease (text: string): string {
  try {
    return Holder.safeParse(JSON.parse(text)).data?.lease ?? ''
  } catch {
    return ''
  }
}
