/**
 * Takes requests through an engine: queue, memory, prefill or import, decode, preemption.
 */
import * as engineBatch from './engine_batch.js'
import * as engineCounts from './engine_counts.js'
import * as engineExports from './engine_exports.js'
import * as engineImports from './engine_imports.js'
import * as engineMemory from './engine_memory.js'
import * as engineOptions from './engine_options.js'
import * as enginePrefill from './engine_prefill.js'
import * as enginePrefixCache from './engine_prefix_cache.js'
import * as engineQueues from './engine_queue.js'
import * as engineRequests from './engine_request.js'
import * as host from '../src/host/types.js'

/** The parts of an engine that the scheduler works with. */
export interface Parts {
  readonly clock: host.Clock
  readonly options: engineOptions.EngineOptions
  readonly getFaults: () => engineOptions.EngineFaults
  readonly memory: engineMemory.PieceMemory
  readonly prefixCache: enginePrefixCache.PrefixCache
  readonly counts: engineCounts.EngineCounts
  readonly exports: engineExports.ExportTable
  readonly importer: engineImports.Importer
  /** Returns what a prefill's response passes on, for the blocks of its KV cache. */
  readonly describeExport: (blocks: readonly number[], computedTokens: number) => object
}

export class Scheduler {
  private readonly waiting = new engineQueues.WaitingQueue()
  private readonly imports = new Map<engineRequests.EngineRequest, host.Stop>()
  private readonly startedOnce = new WeakSet<engineRequests.EngineRequest>()
  private readonly prefill: enginePrefill.PrefillUnit
  private readonly batch: engineBatch.DecodeBatch

  constructor (private readonly parts: Parts) {
    this.prefill = new enginePrefill.PrefillUnit(parts.clock, parts.options)
    this.batch = new engineBatch.DecodeBatch(parts.clock, () => this.getStepMs(), running => this.step(running))
  }

  get waitingCount (): number {
    return this.waiting.size
  }

  /** Requests that hold memory for their own work. */
  get runningCount (): number {
    return this.batch.size + this.imports.size + (this.prefill.isBusy ? 1 : 0)
  }

  submit (request: engineRequests.EngineRequest): void {
    this.enqueue(request)
    this.schedule()
  }

  /** Ends a request early; a finished prefill loses its KV cache. Returns whether there was anything to end. */
  cancel (request: engineRequests.EngineRequest): boolean {
    if (request.isOver) {
      this.parts.exports.drop(request)
      return false
    }
    this.getCounts(request).cancelled += 1
    this.end(request, 'cancelled')
    return true
  }

  /** Starts what has room. Called whenever memory or a slot may have become free. */
  schedule (): void {
    for (const request of this.waiting.list()) {
      if (this.runningCount >= this.parts.options.slots) {
        return
      }
      if (!canImport(request) && this.prefill.isBusy) {
        continue
      }
      const holding = this.parts.memory.tryTake(`request ${request.completion.id}`, this.countPieces(request))
      if (holding === undefined) {
        return
      }
      this.waiting.remove(request)
      request.holding = holding
      this.begin(request)
    }
  }

  /** Pieces that the request needs to go on by one step. */
  countPieces (request: engineRequests.EngineRequest): number {
    const tokens = request.completion.isExport ? request.contextTokens : request.contextTokens + 1
    return Math.ceil(tokens / this.parts.options.pieceTokens)
  }

  private enqueue (request: engineRequests.EngineRequest): void {
    request.phase = 'waiting'
    this.waiting.add(request)
  }

  private begin (request: engineRequests.EngineRequest): void {
    if (!this.startedOnce.has(request)) {
      this.startedOnce.add(request)
      this.getCounts(request).started += 1
    }
    const { source } = request.completion
    if (source !== undefined && canImport(request)) {
      this.beginImport(request, source)
    } else {
      this.beginPrefill(request)
    }
    this.parts.counts.peakRunning = Math.max(this.parts.counts.peakRunning, this.runningCount)
  }

  private beginImport (request: engineRequests.EngineRequest, source: engineRequests.TransferSource): void {
    request.phase = 'transferring'
    request.isSourceSpent = true
    const { counts, getFaults, importer } = this.parts
    const stop = importer.start(request, source, getFaults().transferTimeoutMs, outcome => {
      this.imports.delete(request)
      if (outcome.kind === 'failed') {
        counts.missingKvCaches += 1
        this.fail(request, outcome.error)
        return
      }
      counts.importedTokens += source.computed_tokens
      this.join(request)
    })
    this.imports.set(request, stop)
  }

  private beginPrefill (request: engineRequests.EngineRequest): void {
    request.phase = 'prefilling'
    const { counts, options, prefixCache } = this.parts
    const { prefixes } = request.completion
    const matchedTokens = prefixCache.match(prefixes) * options.pieceTokens
    request.cachedTokens = Math.min(matchedTokens, request.contextTokens - 1)
    const tokens = request.contextTokens - request.cachedTokens
    this.prefill.start(request, tokens, () => {
      counts.cachedTokens += request.cachedTokens
      prefixCache.store(prefixes)
      this.finishPrefill(request, tokens)
      this.schedule()
    })
  }

  private finishPrefill (request: engineRequests.EngineRequest, tokens: number): void {
    const { counts } = this.parts
    if (request.completion.isExport) {
      counts.prefilledTokens += tokens
      this.export(request, tokens)
      return
    }
    if (request.generated === 0) {
      counts.prefilledTokens += tokens
      counts.localDecodedTokens += tokens
    } else {
      counts.recomputedTokens += tokens
    }
    this.join(request)
    this.yieldToken(request)
  }

  private export (request: engineRequests.EngineRequest, computedTokens: number): void {
    const holding = request.holding as engineMemory.Holding
    request.holding = undefined
    request.generated = 1
    const blocks = this.parts.exports.keep(request, holding, computedTokens)
    request.transferParams = this.parts.describeExport(blocks, computedTokens)
    this.finish(request)
  }

  private join (request: engineRequests.EngineRequest): void {
    request.phase = 'running'
    this.batch.add(request)
  }

  private step (running: readonly engineRequests.EngineRequest[]): void {
    for (const request of running) {
      if (this.batch.has(request) && this.tryGrow(request)) {
        this.yieldToken(request)
      }
    }
    this.schedule()
  }

  /** Makes room for one more token, preempting the youngest requests. False if that was this request itself. */
  private tryGrow (request: engineRequests.EngineRequest): boolean {
    const holding = request.holding as engineMemory.Holding
    while (holding.pieces < this.countPieces(request)) {
      if (holding.tryGrow()) {
        continue
      }
      const youngest = this.batch.getYoungest() as engineRequests.EngineRequest
      this.preempt(youngest)
      if (youngest === request) {
        return false
      }
    }
    return true
  }

  private preempt (request: engineRequests.EngineRequest): void {
    this.parts.counts.preemptions += 1
    this.batch.remove(request)
    this.releaseMemory(request)
    this.enqueue(request)
  }

  private yieldToken (request: engineRequests.EngineRequest): void {
    const { counts } = this.parts
    request.generated += 1
    counts.generatedTokens += 1
    if (request.generated === 1) {
      counts.importedDecodedTokens += request.completion.source?.computed_tokens ?? 0
    }
    if (request.breaksAt !== undefined && request.generated >= request.breaksAt) {
      this.fail(request, { status: 500, code: 'engine_failure', message: 'The generation failed.' })
      return
    }
    if (request.generated >= request.output.tokens) {
      this.finish(request)
      return
    }
    request.notify()
  }

  private finish (request: engineRequests.EngineRequest): void {
    this.getCounts(request).finished += 1
    this.end(request, 'finished')
  }

  private fail (request: engineRequests.EngineRequest, error: engineRequests.EngineError): void {
    request.error = error
    this.getCounts(request).failed += 1
    this.end(request, 'failed')
  }

  private end (request: engineRequests.EngineRequest, phase: 'finished' | 'failed' | 'cancelled'): void {
    this.waiting.remove(request)
    this.imports.get(request)?.()
    this.imports.delete(request)
    this.parts.counts.prefilledTokens += this.prefill.stop(request)
    this.batch.remove(request)
    this.releaseMemory(request)
    request.phase = phase
    request.notify()
    this.schedule()
  }

  private releaseMemory (request: engineRequests.EngineRequest): void {
    request.holding?.release()
    request.holding = undefined
  }

  private getStepMs (): number {
    const { stepMs, stepMsPerRequest, prefillSlowdown } = this.parts.options
    const slowdown = this.prefill.isBusy ? prefillSlowdown : 1
    return (stepMs + this.batch.size * stepMsPerRequest) * slowdown * this.parts.getFaults().stepFactor
  }

  private getCounts (request: engineRequests.EngineRequest): engineCounts.RequestCounts {
    return this.parts.counts.getRequest(request.completion.id)
  }
}

function canImport (request: engineRequests.EngineRequest): boolean {
  return request.completion.source !== undefined && !request.isSourceSpent
}
