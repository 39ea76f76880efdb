/**
 * Operations of the etcd v3 JSON gateway over the store's core.
 */
import * as storeCore from './store_core.js'
import * as storeMessages from './store_messages.js'
import * as host from '../src/host/types.js'

const secondMs = 1000
/** End of a range that stands for all keys from its start on. */
const openEnd = '\0'

export type Answer = object | storeMessages.Refusal

export function isRefusal (answer: Answer): answer is storeMessages.Refusal {
  return 'refused' in answer
}

export class StoreGateway {
  private stale: storeCore.Copy | undefined

  constructor (readonly core: storeCore.StoreCore) {}

  /** Keeps the present state for `readStale`, or drops what was kept. */
  setStale (isStale: boolean): void {
    this.stale = isStale ? this.stale ?? this.core.copy() : undefined
  }

  readRange (request: storeMessages.RangeRequest): object {
    return this.createRangeAnswer(request, this.getRows(request), this.core.revision)
  }

  /** Reads from the state kept by `setStale`, or from the true state if there is none. */
  readStale (request: storeMessages.RangeRequest): object {
    if (this.stale === undefined) {
      return this.readRange(request)
    }
    const span = toSpan(request)
    const rows = this.stale.rows.filter(row => storeCore.isWithin(span, row.key))
    return this.createRangeAnswer(request, rows, this.stale.revision)
  }

  put (body: storeMessages.Operation): Answer {
    const answer = this.commit({ compare: [], success: [body], failure: [] })
    return isRefusal(answer) ? answer : { header: storeMessages.createHeader(this.core.revision) }
  }

  commit (request: storeMessages.TxnRequest): Answer {
    const succeeded = request.compare.every(comparison => this.holds(comparison))
    const operations = succeeded ? request.success : request.failure
    const refusal = this.findRefusal(operations)
    if (refusal !== undefined) {
      return refusal
    }
    const deleted = operations.map(operation => this.getDeletedKeys(operation))
    this.core.commit({ compare: [], success: toCoreOperations(operations, deleted), failure: [] })
    const responses = operations.map((operation, index) => this.createResponse(operation, deleted[index]?.length ?? 0))
    return {
      header: storeMessages.createHeader(this.core.revision),
      ...(succeeded ? { succeeded } : {}),
      ...(responses.length > 0 ? { responses } : {})
    }
  }

  grantLease (ttlSeconds: number): Answer {
    if (ttlSeconds <= 0) {
      return { refused: 'invalidArgument', message: 'etcdserver: lease TTL must be positive' }
    }
    const lease = this.core.grantLease(ttlSeconds * secondMs)
    return { header: storeMessages.createHeader(this.core.revision), ID: lease.id, TTL: String(ttlSeconds) }
  }

  /** A lease that has expired is answered without a time to live. */
  renewLease (id: string): object {
    const lease = this.core.renewLease(id)
    const ttl = lease === undefined ? {} : { TTL: String(lease.ttlMs / secondMs) }
    return { result: { header: storeMessages.createHeader(this.core.revision), ID: id, ...ttl } }
  }

  revokeLease (id: string): Answer {
    if (!this.core.hasLease(id)) {
      return createLeaseRefusal()
    }
    this.core.revokeLease(id)
    return { header: storeMessages.createHeader(this.core.revision) }
  }

  private holds (comparison: storeMessages.Compare): boolean {
    const row = this.core.readRow(comparison.key)
    const [actual, expected] = getCompared(comparison, row)
    switch (comparison.result) {
      case 'EQUAL': return actual === expected
      case 'NOT_EQUAL': return actual !== expected
      case 'GREATER': return actual > expected
      case 'LESS': return actual < expected
    }
  }

  private findRefusal (operations: readonly storeMessages.Operation[]): storeMessages.Refusal | undefined {
    const written = new Set<string>()
    for (const operation of operations) {
      if (!('request_put' in operation)) {
        continue
      }
      const { key, lease } = operation.request_put
      if (written.has(key)) {
        return { refused: 'invalidArgument', message: 'etcdserver: duplicate key given in txn request' }
      }
      written.add(key)
      if (lease !== 0 && !this.core.hasLease(String(lease))) {
        return createLeaseRefusal()
      }
    }
    return undefined
  }

  private getDeletedKeys (operation: storeMessages.Operation): readonly string[] {
    if (!('request_delete_range' in operation)) {
      return []
    }
    return this.getRows(operation.request_delete_range).map(row => row.key)
  }

  private createResponse (operation: storeMessages.Operation, deleted: number): object {
    const header = storeMessages.createHeader(this.core.revision)
    if ('request_put' in operation) {
      return { response_put: { header } }
    }
    if ('request_delete_range' in operation) {
      return { response_delete_range: { header, ...(deleted > 0 ? { deleted: String(deleted) } : {}) } }
    }
    const request = operation.request_range
    return { response_range: this.createRangeAnswer(request, this.getRows(request), this.core.revision) }
  }

  private getRows (request: SpanRequest): readonly storeCore.Row[] {
    if (request.range_end !== '') {
      return this.core.readSpan(toSpan(request))
    }
    const row = this.core.readRow(request.key)
    return row === undefined ? [] : [row]
  }

  private createRangeAnswer (
    request: storeMessages.RangeRequest, rows: readonly storeCore.Row[], revision: number
  ): object {
    const shown = request.limit > 0 ? rows.slice(0, request.limit) : rows
    const kvs = request.count_only ? [] : shown.map(row => storeMessages.createKeyValue(row, request.keys_only))
    return {
      header: storeMessages.createHeader(revision),
      ...(kvs.length > 0 ? { kvs } : {}),
      ...(shown.length < rows.length ? { more: true } : {}),
      ...(rows.length > 0 ? { count: String(rows.length) } : {})
    }
  }
}

type SpanRequest = Pick<storeMessages.RangeRequest, 'key' | 'range_end'>

/** Returns the span of a request; a single key is the span up to its successor. */
export function toSpan (request: SpanRequest): storeCore.Span {
  if (request.range_end === '') {
    return { from: request.key, to: `${request.key}\0` }
  }
  return { from: request.key, to: request.range_end === openEnd ? undefined : request.range_end }
}

function createLeaseRefusal (): storeMessages.Refusal {
  return { refused: 'notFound', message: 'etcdserver: requested lease not found' }
}

function getCompared (comparison: storeMessages.Compare, row: storeCore.Row | undefined): readonly [number, number] {
  switch (comparison.target) {
    case 'MOD': return [row?.modRevision ?? 0, comparison.mod_revision]
    case 'CREATE': return [row?.createRevision ?? 0, comparison.create_revision]
    case 'VERSION': return [row?.version ?? 0, comparison.version]
  }
}

function toCoreOperations (
  operations: readonly storeMessages.Operation[], deleted: readonly (readonly string[])[]
): host.StoreOperation[] {
  const core: host.StoreOperation[] = []
  for (const [index, operation] of operations.entries()) {
    if ('request_put' in operation) {
      const { key, value, lease } = operation.request_put
      core.push(lease === 0 ? { kind: 'put', key, value } : { kind: 'put', key, value, lease: String(lease) })
    }
    for (const key of deleted[index] ?? []) {
      core.push({ kind: 'delete', key })
    }
  }
  return core
}
