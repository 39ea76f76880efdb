/**
 * Messages of the published etcd v3 JSON gateway, as far as the store stand-in speaks them: keys and values
 * in base64, 64-bit integers as strings, fields at their default left out.
 */
import * as z from 'zod'
import * as storeCore from './store_core.js'

const Int64 = z.union([z.string().regex(/^-?\d+$/), z.number().int()]).transform(Number)
const Bytes = z.base64().transform(text => Buffer.from(text, 'base64').toString('utf8'))

export const RangeRequest = z.object({
  key: Bytes.default(''),
  range_end: Bytes.default(''),
  limit: Int64.default(0),
  serializable: z.boolean().default(false),
  keys_only: z.boolean().default(false),
  count_only: z.boolean().default(false)
})
export type RangeRequest = z.infer<typeof RangeRequest>

export const PutRequest = z.object({
  key: Bytes,
  value: Bytes.default(''),
  lease: Int64.default(0)
})

export const DeleteRequest = z.object({
  key: Bytes,
  range_end: Bytes.default('')
})

export const Compare = z.object({
  key: Bytes,
  target: z.enum(['VERSION', 'CREATE', 'MOD']).default('VERSION'),
  result: z.enum(['EQUAL', 'GREATER', 'LESS', 'NOT_EQUAL']).default('EQUAL'),
  version: Int64.default(0),
  create_revision: Int64.default(0),
  mod_revision: Int64.default(0)
})
export type Compare = z.infer<typeof Compare>

/** Each operation under the name of the protocol buffer's field or its JSON name. */
export const Operation = z.union([
  z.strictObject({ request_range: RangeRequest }),
  z.strictObject({ request_put: PutRequest }),
  z.strictObject({ request_delete_range: DeleteRequest }),
  z.strictObject({ requestRange: RangeRequest }).transform(body => ({ request_range: body.requestRange })),
  z.strictObject({ requestPut: PutRequest }).transform(body => ({ request_put: body.requestPut })),
  z.strictObject({ requestDeleteRange: DeleteRequest }).transform(body => ({ request_delete_range: body.requestDeleteRange }))
])
export type Operation = z.infer<typeof Operation>

export const TxnRequest = z.object({
  compare: z.array(Compare).default([]),
  success: z.array(Operation).default([]),
  failure: z.array(Operation).default([])
})
export type TxnRequest = z.infer<typeof TxnRequest>

export const LeaseGrantRequest = z.object({
  /** Time to live in seconds. */
  TTL: Int64,
  ID: Int64.default(0)
})

export const LeaseRequest = z.object({ ID: Int64 })

export const WatchRequest = z.object({
  create_request: z.object({
    key: Bytes,
    range_end: Bytes.default(''),
    start_revision: Int64.default(0)
  })
})
export type WatchRequest = z.infer<typeof WatchRequest>

/** Status codes of gRPC that the stand-in uses, with the HTTP status of the gateway. */
export const statusCodes = {
  invalidArgument: { code: 3, status: 400 },
  notFound: { code: 5, status: 404 },
  resourceExhausted: { code: 8, status: 429 },
  unavailable: { code: 14, status: 503 }
} as const
export type StatusCode = keyof typeof statusCodes

/** An error as the gateway answers it. */
export interface Refusal {
  readonly refused: StatusCode
  readonly message: string
}

export function createErrorBody (refusal: Refusal): object {
  return { error: refusal.message, code: statusCodes[refusal.refused].code, message: refusal.message }
}

export function createHeader (revision: number): object {
  return { cluster_id: '1', member_id: '1', revision: String(revision), raft_term: '1' }
}

export function encodeText (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

export function createKeyValue (row: storeCore.Row, isKeyOnly = false): object {
  return {
    key: encodeText(row.key),
    create_revision: String(row.createRevision),
    mod_revision: String(row.modRevision),
    version: String(row.version),
    ...(isKeyOnly || row.value === '' ? {} : { value: encodeText(row.value) }),
    ...(row.lease === undefined ? {} : { lease: row.lease })
  }
}
