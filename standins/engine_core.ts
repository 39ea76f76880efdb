/**
 * A simulated engine without its HTTP interface: the parts, and what can be asked of them.
 */
import * as crypto from 'node:crypto'
import * as undici from 'undici'
import * as engineCounts from './engine_counts.js'
import * as engineExports from './engine_exports.js'
import * as engineImports from './engine_imports.js'
import * as engineLink from './engine_link.js'
import * as engineMemory from './engine_memory.js'
import * as engineMetrics from './engine_metrics.js'
import * as engineOptions from './engine_options.js'
import * as engineOrders from './engine_orders.js'
import * as enginePrefixCache from './engine_prefix_cache.js'
import * as engineRequests from './engine_request.js'
import * as engineScheduler from './engine_scheduler.js'
import * as engineTable from './engine_table.js'
import * as engineText from './engine_text.js'
import * as host from '../src/host/types.js'

export class EngineCore {
  /** Differs in each life of the engine, so that KV caches of an earlier one are not taken for its own. */
  readonly boot = crypto.randomUUID()
  readonly orders: engineOrders.Orders
  readonly cacheLog: enginePrefixCache.CacheLog
  readonly table: engineTable.RequestTable
  readonly exports: engineExports.ExportTable
  private readonly counts = new engineCounts.EngineCounts()
  private readonly memory: engineMemory.PieceMemory
  private readonly prefixCache: enginePrefixCache.PrefixCache
  private readonly outLink: engineLink.SharedLink
  private readonly inLink: engineLink.SharedLink
  private readonly scheduler: engineScheduler.Scheduler
  private readonly dispatcher = new undici.Agent({ headersTimeout: 0, bodyTimeout: 0 })
  private lastOrder = 0
  /** Where other engines reach this one. */
  private address = { host: '', port: 0 }

  constructor (
    readonly clock: host.Clock,
    readonly options: engineOptions.EngineOptions,
    private readonly getFaults: () => engineOptions.EngineFaults
  ) {
    this.orders = new engineOrders.Orders(clock, options, getFaults)
    this.memory = new engineMemory.PieceMemory(options.memoryPieces, clock)
    this.cacheLog = new enginePrefixCache.CacheLog(clock)
    this.prefixCache = new enginePrefixCache.PrefixCache(options.prefixCachePieces, this.cacheLog)
    this.outLink = new engineLink.SharedLink(clock, () => getFaults().stallTransfers ? 0 : getFaults().linkBytesPerSecond)
    this.inLink = new engineLink.SharedLink(clock, () => getFaults().linkBytesPerSecond)
    this.exports = new engineExports.ExportTable(
      clock, this.outLink, this.counts, options, getFaults, () => this.scheduler.schedule()
    )
    this.scheduler = this.createScheduler()
    this.table = new engineTable.RequestTable(clock, () => getFaults().abandonMs, request => this.abandon(request))
  }

  get engineId (): string {
    return `${this.options.id}-${this.boot}`
  }

  setAddress (host: string, port: number): void {
    this.address = { host, port }
  }

  /** Accepts a request, or returns why it can't be run. */
  submit (completion: engineRequests.Completion): engineRequests.EngineRequest | engineRequests.EngineError {
    this.counts.getRequest(completion.id).received += 1
    const error = this.findError(completion)
    if (error !== undefined) {
      return error
    }
    this.lastOrder += 1
    const request = new engineRequests.EngineRequest(completion, this.lastOrder, this.planOutput(completion))
    this.table.add(request)
    return request
  }

  /** Puts an accepted request into the queue; it may fail after `breaksAt` tokens. */
  start (request: engineRequests.EngineRequest, breaksAt: number | undefined): void {
    request.breaksAt = breaksAt
    this.scheduler.submit(request)
  }

  cancel (request: engineRequests.EngineRequest): boolean {
    return this.scheduler.cancel(request)
  }

  /** Takes note of changed knobs. */
  applyFaults (): void {
    this.outLink.update()
    this.inLink.update()
    for (const request of this.table.list()) {
      request.notify()
    }
  }

  takeSample (): engineMetrics.LoadSample {
    const { counts, memory, scheduler } = this
    return {
      running: scheduler.runningCount,
      waiting: scheduler.waitingCount,
      cacheUsage: 1 - memory.free / memory.total,
      queriedTokens: counts.cachedTokens + counts.prefilledTokens,
      hitTokens: counts.cachedTokens,
      generatedTokens: counts.generatedTokens,
      preemptions: counts.preemptions
    }
  }

  describe (): object {
    return {
      id: this.options.id,
      boot: this.boot,
      running: this.scheduler.runningCount,
      waiting: this.scheduler.waitingCount,
      transfers: { out: this.outLink.active, in: this.inLink.active },
      memory: this.memory.describe(),
      counts: this.counts.describe(),
      orders: this.orders.describe()
    }
  }

  describeRequests (): object {
    return this.counts.describeRequests()
  }

  close (): Promise<void> {
    return this.dispatcher.destroy()
  }

  private createScheduler (): engineScheduler.Scheduler {
    const { clock, options, getFaults, memory, prefixCache, counts, exports } = this
    const importer = new engineImports.Importer(clock, this.inLink, options.kvBytesPerToken, this.dispatcher)
    const describeExport = (blocks: readonly number[], computedTokens: number): object => ({
      do_remote_prefill: true,
      do_remote_decode: false,
      remote_engine_id: this.engineId,
      remote_block_ids: blocks,
      remote_host: this.address.host,
      remote_port: this.address.port,
      computed_tokens: computedTokens
    })
    return new engineScheduler.Scheduler({
      clock, options, getFaults, memory, prefixCache, counts, exports, importer, describeExport
    })
  }

  private abandon (request: engineRequests.EngineRequest): void {
    this.counts.abandoned += 1
    this.scheduler.cancel(request)
  }

  private planOutput (completion: engineRequests.Completion): engineRequests.Output {
    if (completion.isExport) {
      return { tokens: 1, textLength: undefined }
    }
    const digest = engineText.getDigest(completion.prompt, completion.seed)
    const { meanOutputTokens } = this.getFaults()
    const natural = meanOutputTokens === 0 ? completion.maximumTokens : engineText.getNaturalLength(digest, meanOutputTokens)
    const tokens = Math.min(completion.maximumTokens, natural)
    const stop = engineText.findStop(digest, tokens, completion.stops)
    return stop === undefined ? { tokens, textLength: undefined } : { tokens: stop.tokens, textLength: stop.length }
  }

  private findError (completion: engineRequests.Completion): engineRequests.EngineError | undefined {
    const { isExport, model, promptTokens } = completion
    if (!this.orders.hasModel(model)) {
      return { status: 404, code: 'model_not_found', message: `The model ${model} does not exist.` }
    }
    const role = this.orders.currentRole
    if (role !== 'both' && (role === 'prefill') !== isExport) {
      return { status: 409, code: 'wrong_role', message: `The engine's role is ${role}.` }
    }
    const tokens = promptTokens + (isExport ? 0 : completion.maximumTokens)
    if (Math.ceil(tokens / this.options.pieceTokens) > this.memory.total) {
      return { status: 400, code: 'context_length_exceeded', message: `${tokens} tokens do not fit into memory.` }
    }
    return undefined
  }
}

/** Tells whether a submission was refused. */
export function isError (
  submitted: engineRequests.EngineRequest | engineRequests.EngineError
): submitted is engineRequests.EngineError {
  return 'status' in submitted
}
