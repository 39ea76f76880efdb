/**
 * Messages of the etcd v3 JSON gateway: keys and values in base64, 64-bit numbers as decimal strings.
 */
import * as z from 'zod'
import * as host from './types.js'

/** A 64-bit number; the gateway omits zeros. */
const Long = z.union([z.string(), z.number()]).default(0).transform(Number)

const Header = z.object({ revision: Long })

const KeyValue = z.object({
  key: z.string(),
  value: z.string().default(''),
  create_revision: Long,
  mod_revision: Long
})
type KeyValue = z.infer<typeof KeyValue>

export const RangeAnswer = z.object({
  header: Header,
  kvs: z.array(KeyValue).default([]),
  more: z.boolean().default(false)
})

export const TransactionAnswer = z.object({
  header: Header,
  succeeded: z.boolean().default(false),
  responses: z.array(z.object({
    response_range: z.object({ kvs: z.array(KeyValue).default([]) }).optional()
  })).default([])
})

export const LeaseAnswer = z.object({ ID: z.union([z.string(), z.number()]).transform(String), TTL: Long })

/** The keepalive route answers with a stream of one message. */
export const KeepAliveAnswer = z.object({ result: z.object({ TTL: Long }) })

export const WatchAnswer = z.object({
  error: z.unknown().optional(),
  result: z.object({
    header: Header.optional(),
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    compact_revision: Long,
    cancel_reason: z.string().default(''),
    events: z.array(z.object({ type: z.string().default('PUT'), kv: KeyValue })).default([])
  }).optional()
})
export type WatchAnswer = z.infer<typeof WatchAnswer>

/** Encodes text as base64. */
export function encodeText (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

function decodeText (text: string): string {
  return Buffer.from(text, 'base64').toString('utf8')
}

/** Adds and removes the key prefix that separates deployments within one store. */
export class KeySpace {
  constructor (private readonly prefix: string) {}

  encodeKey (key: string): string {
    return encodeText(this.prefix + key)
  }

  /** Returns `key` and `range_end` of all keys with the prefix, or of those that sort after `after`. */
  encodeRange (prefix: string, after: string | undefined): { readonly key: string, readonly range_end: string } {
    const first = after === undefined ? this.encodeKey(prefix) : this.encodeKey(`${after}\0`)
    return { key: first, range_end: encodeRangeEnd(this.prefix + prefix) }
  }

  decodeEntry (keyValue: KeyValue): host.StoreEntry {
    return {
      key: decodeText(keyValue.key).slice(this.prefix.length),
      value: decodeText(keyValue.value),
      createRevision: keyValue.create_revision,
      modRevision: keyValue.mod_revision
    }
  }

  decodeEvents (answer: WatchAnswer): readonly host.StoreEvent[] {
    const events: host.StoreEvent[] = []
    for (const { type, kv } of answer.result?.events ?? []) {
      const entry = this.decodeEntry(kv)
      events.push(type === 'DELETE'
        ? { kind: 'delete', key: entry.key, modRevision: entry.modRevision }
        : { kind: 'put', entry })
    }
    return events
  }

  encodeTransaction (transaction: host.StoreTransaction): unknown {
    return {
      compare: transaction.compare.map(comparison => this.encodeComparison(comparison)),
      success: transaction.success.map(operation => this.encodeOperation(operation)),
      failure: transaction.failure.map(operation => this.encodeOperation(operation))
    }
  }

  private encodeComparison (comparison: host.StoreComparison): unknown {
    const key = this.encodeKey(comparison.key)
    const revision = String(comparison.revision)
    return comparison.target === 'mod'
      ? { key, result: 'EQUAL', target: 'MOD', mod_revision: revision }
      : { key, result: 'EQUAL', target: 'CREATE', create_revision: revision }
  }

  private encodeOperation (operation: host.StoreOperation): unknown {
    const key = this.encodeKey(operation.key)
    if (operation.kind === 'get') {
      return { request_range: { key } }
    }
    if (operation.kind === 'delete') {
      return { request_delete_range: { key } }
    }
    const value = encodeText(operation.value)
    return { request_put: operation.lease === undefined ? { key, value } : { key, value, lease: operation.lease } }
  }
}

/** Returns the first key that sorts after all keys with the prefix. */
function encodeRangeEnd (prefix: string): string {
  const end = Buffer.from(prefix, 'utf8')
  const last = end.length - 1
  end[last] = (end[last] ?? 0) + 1
  return end.toString('base64')
}
