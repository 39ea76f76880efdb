/**
 * HTTP client of an engine: completions as server-sent events, load in the Prometheus text format, cache events, and
 * commands with fencing tokens.
 */
import * as prometheus from 'parse-prometheus-text-format'
import * as undici from 'undici'
import * as backends from './backend.js'
import * as completionRuns from './completion_run.js'
import * as errors from './http_errors.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as messages from './completion_messages.js'
import * as types from './types.js'

export interface HttpEngineOptions {
  readonly server: string
  readonly url: string
  readonly connectTimeoutMs: number
  /** Time without data after which a stream is closed and resumed. */
  readonly silenceMs: number
  /** Time-out of requests other than completions. */
  readonly answerTimeoutMs: number
}

/** Time after which an idle connection is closed. */
const keepAliveMs = 4_000
/** Limit for responses other than completions. */
const maximumResponseBytes = 8_388_608

const loadMetrics = {
  running: 'vllm:num_requests_running',
  waiting: 'vllm:num_requests_waiting',
  memoryUsage: 'vllm:kv_cache_usage_perc'
} as const

export class HttpEngine extends backends.Engine {
  private readonly runs = new Map<number, completionRuns.CompletionRun>()
  private readonly dispatcher: undici.Agent
  private readonly origin: string

  constructor (private readonly options: HttpEngineOptions, private readonly clock: host.Clock) {
    super()
    this.origin = new URL(options.url).origin
    this.dispatcher = new undici.Agent({
      connect: { timeout: options.connectTimeoutMs },
      headersTimeout: options.silenceMs,
      bodyTimeout: options.silenceMs,
      keepAliveTimeout: keepAliveMs
    })
  }

  override launch (order: types.Order, observer: backends.BackendObserver): void {
    const { task } = order
    if (task.kind === 'call') {
      const failure = failures.createFailure('not_run', 'server_failed', [this.options.server, 'an engine does not accept service calls'])
      observer.failed(order.order, failure, true)
      return
    }
    const { dispatcher, origin, clock } = this
    const context = { dispatcher, origin, clock, server: this.options.server }
    const run = new completionRuns.CompletionRun(context, order, task, observer)
    this.runs.set(order.order, run)
    run.run().finally(() => this.runs.delete(order.order))
  }

  /**
   * Requests the engine to delete the completion. A 404 confirms the abort only if no request of the run is in flight,
   * since the request may still arrive. Otherwise closes the connection and leaves confirmation to the next abort.
   */
  override async abort (abort: backends.AbortRequest): Promise<boolean> {
    const run = this.runs.get(abort.order)
    const path = `/v1/completions/${messages.createRequestId(abort.id)}`
    const result = await this.sendRequest('DELETE', path, undefined, abort.fence)
    if (result.isRight()) {
      run?.stop()
      return true
    }
    run?.stop()
    const isUnknown = result.swap().map(failure => failure.code).orDefault('server_failed') === 'route_unknown'
    return isUnknown && (run === undefined || run.hasEnded)
  }

  override async readLoad (): Promise<failures.Result<backends.EngineLoad>> {
    const text = await this.sendRequest('GET', '/metrics')
    return text.map(body => {
      const families = prometheus.default(body)
      return {
        running: sumMetric(families, loadMetrics.running),
        waiting: sumMetric(families, loadMetrics.waiting),
        memoryUsage: sumMetric(families, loadMetrics.memoryUsage)
      }
    })
  }

  override async readCacheChanges (since: number): Promise<failures.Result<backends.CacheReport>> {
    const text = await this.sendRequest('GET', `/v1/cache_events?since=${since}`)
    return text.chain(body => {
      const parsed = messages.CacheEvents.safeParse(messages.parseJson(body))
      return parsed.success
        ? failures.succeed(createCacheReport(parsed.data.events, since))
        : failures.fail(this.createFailure('the cache events do not match their schema'))
    })
  }

  override async sendCommand (command: backends.EngineCommand, fence: number): Promise<failures.Result<void>> {
    const answer = await this.sendRequest('POST', '/v1/orders', JSON.stringify({ ...command, fence }), fence)
    return answer.map(() => undefined)
  }

  override async close (): Promise<void> {
    for (const run of this.runs.values()) {
      run.stop()
    }
    await this.dispatcher.destroy()
  }

  /** Sends a request other than a completion; a 404 fails with `route_unknown`. */
  private async sendRequest (
    method: 'GET' | 'POST' | 'DELETE', path: string, body?: string, fence?: number
  ): Promise<failures.Result<string>> {
    const headers: Record<string, string> = body === undefined ? {} : { 'content-type': 'application/json' }
    if (fence !== undefined) {
      headers['x-fencing-number'] = String(fence)
    }
    const controller = new AbortController()
    const stopTimer = this.clock.after(this.options.answerTimeoutMs, () => controller.abort())
    try {
      const response = await this.dispatcher.request({ origin: this.origin, method, path, headers, body, signal: controller.signal })
      return this.readResponse(response.statusCode, await readText(response.body), `${method} ${path}`)
    } catch (error) {
      return failures.fail(this.createFailure(errors.describeError(error)))
    } finally {
      stopTimer()
    }
  }

  private readResponse (status: number, text: string, call: string): failures.Result<string> {
    if (status >= 200 && status < 300) {
      return failures.succeed(text)
    }
    if (status === 404) {
      return failures.fail(failures.createFailure('not_run', 'route_unknown', call.split(' ')))
    }
    return failures.fail(this.createFailure(`status ${status}: ${text.slice(0, 200)}`))
  }

  private createFailure (reason: string): failures.Failure {
    return failures.createFailure('may_have_run', 'server_failed', [this.options.server, reason])
  }
}

async function readText (body: AsyncIterable<Buffer>): Promise<string> {
  const parts: Buffer[] = []
  let length = 0
  for await (const part of body) {
    length += part.length
    if (length > maximumResponseBytes) {
      throw new Error(`the response exceeds ${maximumResponseBytes} bytes`)
    }
    parts.push(part)
  }
  return Buffer.concat(parts).toString('utf8')
}

function sumMetric (families: readonly prometheus.MetricFamily[], name: string): number {
  let sum = 0
  for (const family of families) {
    if (family.name !== name) {
      continue
    }
    for (const metric of family.metrics) {
      sum += Number(metric.value ?? 0)
    }
  }
  return sum
}

function createCacheReport (
  events: readonly { readonly id: number, readonly kind: 'stored' | 'removed', readonly hashes: readonly string[] }[],
  since: number
): backends.CacheReport {
  let last = since
  let hasGap = false
  const stored = new Set<string>()
  const evicted = new Set<string>()
  for (const event of events) {
    hasGap ||= event.id !== last + 1
    last = event.id
    const [to, from] = event.kind === 'stored' ? [stored, evicted] : [evicted, stored]
    for (const hash of event.hashes) {
      to.add(hash)
      from.delete(hash)
    }
  }
  return { last, hasGap, stored: [...stored], evicted: [...evicted] }
}
