/**
 * Stand-in of a model engine over HTTP.
 */
import * as crypto from 'node:crypto'
import * as z from 'zod'
import * as engineAnswers from './engine_answers.js'
import * as engineCore from './engine_core.js'
import * as engineExports from './engine_exports.js'
import * as engineMessages from './engine_messages.js'
import * as engineMetrics from './engine_metrics.js'
import * as engineOptions from './engine_options.js'
import * as engineOrders from './engine_orders.js'
import * as engineRequests from './engine_request.js'
import * as headerLogs from './header_log.js'
import * as knobs from './knobs.js'
import * as outages from './outages.js'
import * as realClocks from './real_clock.js'
import * as webHosts from './web_host.js'

const TransferRequest = z.object({
  engine_id: z.string(),
  block_ids: z.array(z.number().int()).min(1),
  digest: z.number().int()
})

const transferRefusals: Readonly<Record<engineExports.Refusal, string>> = {
  missing: 'the KV cache is not here; it was evicted or never was',
  mismatch: 'the KV cache belongs to another prompt',
  busy: 'the KV cache is being transferred already'
}

const unknownRequest: engineRequests.EngineError = { status: 404, code: 'not_found', message: 'No such request.' }
const oldFence: engineRequests.EngineError = {
  status: 409, code: 'fencing_number_old', message: 'A newer holder has given orders.'
}

export class Engine {
  private readonly core: engineCore.EngineCore
  private readonly faults: knobs.Knobs<typeof engineOptions.EngineFaults>
  private readonly headers = new headerLogs.HeaderLog()
  private readonly metrics: engineMetrics.LaggingMetrics
  private readonly web = new webHosts.WebHost(exchange => this.admit(exchange))

  /** `crash` ends the process when that fault is set. */
  constructor (
    options: z.input<typeof engineOptions.EngineOptions> = {},
    private readonly crash: () => void = () => {}
  ) {
    const parsed = engineOptions.EngineOptions.parse(options)
    this.faults = new knobs.Knobs(engineOptions.EngineFaults, parsed.faults)
    this.core = new engineCore.EngineCore(new realClocks.RealClock(parsed.timeScale), parsed, () => this.faults.current)
    const model = parsed.models[0] as string
    this.metrics = new engineMetrics.LaggingMetrics(this.core.clock, model, () => this.core.takeSample())
    this.faults.addRoutes(this.web, () => this.applyFaults())
    this.addCompletionRoutes()
    this.addObservationRoutes()
    this.web.route('POST', '/kv/transfers', exchange => this.transfer(exchange))
    this.web.route('POST', '/v1/orders', exchange => this.order(exchange))
  }

  async listen (host: string, port: number): Promise<number> {
    const taken = await this.web.listen(host, port)
    this.core.setAddress(host, taken)
    return taken
  }

  async close (): Promise<void> {
    this.metrics.close()
    await this.web.close()
    await this.core.close()
  }

  private addCompletionRoutes (): void {
    this.web.route('POST', '/v1/completions', exchange => this.complete(exchange))
    this.web.route('GET', '/v1/completions/:id', exchange => this.resume(exchange))
    this.web.route('DELETE', '/v1/completions/:id', exchange => this.cancel(exchange))
  }

  private addObservationRoutes (): void {
    this.web.route('GET', '/health', exchange => exchange.sendJson(200, {}))
    this.web.route('GET', '/v1/models', exchange => {
      const data = this.core.orders.listModels().map(id => ({ id, object: 'model' }))
      exchange.sendJson(200, { object: 'list', data })
    })
    this.web.route('GET', '/metrics', async exchange => {
      const text = await this.metrics.render(this.faults.current.metricsLagMs)
      exchange.send(200, 'text/plain; version=0.0.4', text)
    })
    this.web.route('GET', '/v1/cache_events', exchange => {
      const { eventDelayMs, eventGapEvery } = this.faults.current
      const since = Number(exchange.url.searchParams.get('since') ?? 0)
      exchange.sendJson(200, { events: this.core.cacheLog.read(since, eventDelayMs, eventGapEvery) })
    })
    this.web.route('GET', '/_state', exchange => this.sendState(exchange))
  }

  private async admit (exchange: webHosts.Exchange): Promise<boolean> {
    this.headers.record(exchange)
    const isUp = outages.passOutage(exchange, this.faults.current.outage, () => {
      sendError(exchange, { status: 503, code: 'unavailable', message: 'The engine is down.' })
    })
    return isUp && this.passFence(exchange)
  }

  /** A request may carry a fencing number as an order does. */
  private passFence (exchange: webHosts.Exchange): boolean {
    const fence = Number(exchange.getHeader('x-fencing-number') ?? Number.POSITIVE_INFINITY)
    if (!Number.isSafeInteger(fence) || this.core.orders.tryPass(fence)) {
      return true
    }
    sendError(exchange, oldFence)
    return false
  }

  private applyFaults (): void {
    if (this.faults.current.crash) {
      this.crash()
    }
    this.core.applyFaults()
  }

  /** With `?brief=1`, the state leaves out what grows with the number of requests. */
  private sendState (exchange: webHosts.Exchange): void {
    const state = this.core.describe()
    if (exchange.url.searchParams.has('brief')) {
      exchange.sendJson(200, state)
      return
    }
    exchange.sendJson(200, { ...state, requests: this.core.describeRequests(), ...this.headers.describe() })
  }

  private complete (exchange: webHosts.Exchange): void {
    const parsed = engineMessages.CompletionBody.safeParse(exchange.parseBody())
    if (!parsed.success) {
      sendError(exchange, { status: 400, code: 'invalid_request', message: z.prettifyError(parsed.error) })
      return
    }
    if (this.faults.tryTake('failNext')) {
      sendError(exchange, { status: 500, code: 'engine_failure', message: 'The engine failed.' })
      return
    }
    const id = exchange.getHeader('x-request-id') ?? `cmpl-${crypto.randomUUID()}`
    const submitted = this.core.submit(engineMessages.createCompletion(id, parsed.data, this.core.options))
    if (engineCore.isError(submitted)) {
      sendError(exchange, submitted)
      return
    }
    this.attach(exchange, submitted, parsed.data.stream ? 0 : undefined)
    const breaks = !submitted.completion.isExport && this.faults.tryTake('breakNext')
    this.core.start(submitted, breaks ? this.faults.current.breakAfterTokens : undefined)
  }

  private resume (exchange: webHosts.Exchange): void {
    const request = this.core.table.get(exchange.params['id'] ?? '')
    if (request === undefined) {
      sendError(exchange, unknownRequest)
      return
    }
    this.attach(exchange, request, Number(exchange.url.searchParams.get('offset') ?? 0))
  }

  private cancel (exchange: webHosts.Exchange): void {
    const request = this.core.table.get(exchange.params['id'] ?? '')
    if (request === undefined) {
      sendError(exchange, unknownRequest)
      return
    }
    const cancelled = this.core.cancel(request)
    exchange.sendJson(200, { id: request.completion.id, cancelled, phase: request.phase })
  }

  /** Answers a request to a caller: as a stream from `offset` on, or as a whole if there is none. */
  private attach (exchange: webHosts.Exchange, request: engineRequests.EngineRequest, offset: number | undefined): void {
    const isFrozen = (): boolean => this.faults.current.freezeAnswers
    const detached = (): void => this.core.table.noteDetached(request)
    const answer = offset === undefined
      ? new engineAnswers.WholeAnswer(exchange, request, isFrozen, detached)
      : new engineAnswers.StreamAnswer(exchange, request, isFrozen, detached, offset)
    answer.update()
  }

  private transfer (exchange: webHosts.Exchange): void {
    const parsed = TransferRequest.safeParse(exchange.parseBody())
    if (!parsed.success) {
      sendError(exchange, { status: 400, code: 'invalid_request', message: z.prettifyError(parsed.error) })
      return
    }
    const { engine_id: engineId, block_ids: blocks, digest } = parsed.data
    const taken = engineId === this.core.engineId
      ? this.core.exports.take(blocks[0] as number, digest, () => exchange.sendJson(200, {}))
      : 'missing'
    if (typeof taken === 'string') {
      sendError(exchange, { status: 404, code: 'kv_cache_missing', message: transferRefusals[taken] })
      return
    }
    exchange.response.once('close', taken)
  }

  private order (exchange: webHosts.Exchange): void {
    const parsed = engineOrders.Order.safeParse(exchange.parseBody())
    if (!parsed.success) {
      sendError(exchange, { status: 400, code: 'invalid_request', message: z.prettifyError(parsed.error) })
      return
    }
    if (!this.core.orders.tryApply(parsed.data)) {
      sendError(exchange, oldFence)
      return
    }
    exchange.sendJson(200, this.core.orders.describe())
  }
}

function sendError (exchange: webHosts.Exchange, error: engineRequests.EngineError): void {
  exchange.sendJson(error.status, engineMessages.createErrorBody(error))
}
