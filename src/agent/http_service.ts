/**
 * HTTP client of a plain service. Sends every call once, without retries.
 */
import * as undici from 'undici'
import * as backends from './backend.js'
import * as callHeaders from './call_headers.js'
import * as errors from './http_errors.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

export interface HttpServiceOptions {
  readonly server: string
  readonly url: string
  readonly connectTimeoutMs: number
  /** Limit for the body of a response. */
  readonly maximumResponseBytes: number
}

/** Time after which an idle connection is closed. */
const keepAliveMs = 2_000

class ResponseTooLarge extends Error {}

export class HttpService extends backends.Service {
  private readonly calls = new Map<number, AbortController>()
  private readonly dispatcher: undici.Agent
  private readonly origin: string

  constructor (private readonly options: HttpServiceOptions, private readonly clock: host.Clock) {
    super()
    this.origin = new URL(options.url).origin
    this.dispatcher = new undici.Agent({
      connect: { timeout: options.connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: keepAliveMs
    })
  }

  override launch (order: types.Order, observer: backends.BackendObserver): void {
    const { task } = order
    if (task.kind !== 'call') {
      observer.failed(order.order, this.createFailure('not_run', 'a plain service accepts service calls only'), true)
      return
    }
    this.run(order, task.call).then(
      result => result.caseOf({
        Right: answer => observer.finished(order.order, { reason: 'answered', answer }),
        Left: failure => observer.failed(order.order, failure, true)
      })
    )
  }

  /** Closes the connection of a call. Resolves to true at once; the agent does not track what the service still does. */
  override async abort (abort: backends.AbortRequest): Promise<boolean> {
    this.calls.get(abort.order)?.abort()
    return true
  }

  override async close (): Promise<void> {
    await this.dispatcher.destroy()
  }

  private async run (order: types.Order, call: work.ServiceCall): Promise<failures.Result<work.ServiceAnswer>> {
    const controller = new AbortController()
    this.calls.set(order.order, controller)
    let isTimedOut = false
    const stopTimer = this.clock.after(call.timeoutMs, () => {
      isTimedOut = true
      controller.abort()
    })
    try {
      return failures.succeed(await this.send(order, call, controller.signal))
    } catch (error) {
      return failures.fail(isTimedOut ? this.createTimeoutFailure(call.timeoutMs) : this.createCallFailure(error))
    } finally {
      stopTimer()
      this.calls.delete(order.order)
    }
  }

  private async send (order: types.Order, call: work.ServiceCall, signal: AbortSignal): Promise<work.ServiceAnswer> {
    const headers = callHeaders.selectRequestHeaders(call.headers)
    headers['x-request-id'] = encodeURIComponent(order.id.request)
    const response = await this.dispatcher.request({
      origin: this.origin,
      method: call.method as undici.Dispatcher.HttpMethod,
      path: call.target,
      headers,
      body: call.body === '' ? undefined : Buffer.from(call.body, 'base64'),
      signal
    })
    const body = await this.readBody(response.body)
    return {
      status: response.statusCode,
      headers: callHeaders.selectResponseHeaders(response.headers),
      body: body.toString('base64')
    }
  }

  private async readBody (body: AsyncIterable<Buffer>): Promise<Buffer> {
    const parts: Buffer[] = []
    let length = 0
    for await (const part of body) {
      length += part.length
      if (length > this.options.maximumResponseBytes) {
        throw new ResponseTooLarge(`the response exceeds ${this.options.maximumResponseBytes} bytes`)
      }
      parts.push(part)
    }
    return Buffer.concat(parts)
  }

  private createCallFailure (error: unknown): failures.Failure {
    if (error instanceof ResponseTooLarge) {
      return this.createFailure('ran', error.message)
    }
    return this.createFailure(errors.isConnectError(error) ? 'not_run' : 'may_have_run', errors.describeError(error))
  }

  private createTimeoutFailure (timeoutMs: number): failures.Failure {
    return failures.createFailure('may_have_run', 'link_timeout', [this.options.server, timeoutMs])
  }

  private createFailure (verdict: 'not_run' | 'may_have_run' | 'ran', reason: string): failures.Failure {
    return failures.createFailure(verdict, 'server_failed', [this.options.server, reason])
  }
}
