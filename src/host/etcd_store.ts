/**
 * Client of the platform's key-value store over the etcd v3 JSON gateway.
 */
import * as codecs from './etcd_codec.js'
import * as failures from '../contracts/failure.js'
import * as host from './types.js'
import * as transports from './etcd_transport.js'
import * as watches from './etcd_watch.js'
import * as z from 'zod'

/** Interval at which a watch stream is reopened. */
const defaultWatchRenewMs = 5_000

export interface EtcdStoreOptions {
  readonly urls: readonly string[]
  /** Prepended to every key; callers of the store do not see it. */
  readonly prefix: string
  /** Time-out of a call. */
  readonly timeoutMs: number
  readonly watchRenewMs?: number
}

export class EtcdStore extends host.Store {
  private readonly transport: transports.EtcdTransport
  private readonly keys: codecs.KeySpace
  private readonly watches = new Set<watches.EtcdWatch>()

  constructor (private readonly options: EtcdStoreOptions, private readonly clock: host.Clock) {
    super()
    this.transport = new transports.EtcdTransport(options.urls, options.timeoutMs, clock)
    this.keys = new codecs.KeySpace(options.prefix)
  }

  override async read (key: string): Promise<failures.Result<host.StoreEntry | undefined>> {
    const answer = await this.transport.call('/v3/kv/range', { key: this.keys.encodeKey(key) }, codecs.RangeAnswer, 'read')
    return answer.map(({ kvs: [first] }) => first === undefined ? undefined : this.keys.decodeEntry(first))
  }

  override async readRange (range: host.StoreRange): Promise<failures.Result<host.StorePage>> {
    const message = { ...this.keys.encodeRange(range.prefix, range.after), limit: String(range.limit ?? 0) }
    const answer = await this.transport.call('/v3/kv/range', message, codecs.RangeAnswer, 'read')
    return answer.map(({ header, kvs, more }) => ({
      entries: kvs.map(keyValue => this.keys.decodeEntry(keyValue)),
      revision: header.revision,
      more
    }))
  }

  override async commit (transaction: host.StoreTransaction): Promise<failures.Result<host.StoreCommit>> {
    const message = this.keys.encodeTransaction(transaction)
    const answer = await this.transport.call('/v3/kv/txn', message, codecs.TransactionAnswer, getEffect(transaction))
    return answer.map(({ header, succeeded, responses }) => {
      const reads: (host.StoreEntry | undefined)[] = []
      for (const { response_range: range } of responses) {
        if (range !== undefined) {
          const first = range.kvs[0]
          reads.push(first === undefined ? undefined : this.keys.decodeEntry(first))
        }
      }
      return { succeeded, revision: header.revision, reads }
    })
  }

  override async grantLease (ttlMs: number): Promise<failures.Result<host.StoreLease>> {
    const message = { TTL: String(Math.ceil(ttlMs / 1000)) }
    const answer = await this.transport.call('/v3/lease/grant', message, codecs.LeaseAnswer, 'write')
    return answer.map(({ ID, TTL }) => ({ id: ID, ttlMs: TTL * 1000 }))
  }

  override async renewLease (id: string): Promise<failures.Result<host.StoreLease>> {
    const answer = await this.transport.call('/v3/lease/keepalive', { ID: id }, codecs.KeepAliveAnswer, 'write')
    return answer.chain(({ result }) => result.TTL > 0
      ? failures.succeed({ id, ttlMs: result.TTL * 1000 })
      : failures.fail(failures.createFailure('not_run', 'store_conflict', ['the lease has expired'])))
  }

  override async revokeLease (id: string): Promise<failures.Result<void>> {
    const answer = await this.transport.call('/v3/lease/revoke', { ID: id }, z.object({}), 'write')
    return answer.map(() => undefined)
  }

  override watch (
    prefix: string,
    fromRevision: number,
    changed: (events: readonly host.StoreEvent[]) => void,
    ended: (failure: failures.Failure) => void
  ): host.Stop {
    const renewMs = this.options.watchRenewMs ?? defaultWatchRenewMs
    const watch = new watches.EtcdWatch(
      this.transport, this.keys, prefix, fromRevision, renewMs, this.clock, { changed, ended }
    )
    this.watches.add(watch)
    watch.run().finally(() => this.watches.delete(watch))
    return () => watch.stop()
  }

  /** Stops all watches and closes all connections. */
  async close (): Promise<void> {
    for (const watch of this.watches) {
      watch.stop()
    }
    await this.transport.close()
  }
}

/** Only a transaction that writes can have an unknown outcome. */
function getEffect (transaction: host.StoreTransaction): transports.CallEffect {
  for (const operation of [...transaction.success, ...transaction.failure]) {
    if (operation.kind !== 'get') {
      return 'write'
    }
  }
  return 'read'
}
