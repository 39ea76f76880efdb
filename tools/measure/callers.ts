/**
 * The callers: send each request at its time, whatever became of those before, and note what came back.
 */
import * as timers from 'node:timers/promises'
import * as eventsource from 'eventsource-parser'
import * as undici from 'undici'
import * as balancers from './balancer.js'
import * as deployments from './deployment.js'
import * as engineText from '../../standins/engine_text.js'
import * as workloads from './workload.js'

/** What became of a generation. */
export interface Outcome {
  readonly arrival: workloads.Arrival
  /** Identifier that the entry gave it; empty if there was no answer. */
  readonly request: string
  /** `broken` ended after its first text, or without any answer; `wrong` gave other text than its prompt's. */
  readonly end: 'whole' | 'refused' | 'broken' | 'wrong'
  /** Code of the refusal or failure. */
  readonly code: string
  /** From the arrival to the first text, in milliseconds. */
  readonly firstTokenMs: number
  /** Mean time between the tokens after the first, in milliseconds. */
  readonly betweenTokensMs: number
  readonly sentAtMs: number
  /** From the arrival to the end, in milliseconds. */
  readonly endMs: number
  readonly outputTokens: number
}

/** What became of a call of the plain service. */
export interface CallOutcome {
  readonly call: workloads.Call
  readonly status: number
}

/** Longest wait for one answer, in milliseconds. */
const answerTimeoutMs = 60_000

interface Stream {
  request: string
  text: string
  firstAtMs: number
  lastAtMs: number
  outputTokens: number
  code: string
  isDone: boolean
}

export class Callers {
  private readonly dispatcher = new undici.Agent({ connections: 512, pipelining: 1 })
  private startMs = 0

  constructor (
    private readonly balancer: balancers.Balancer,
    private readonly mix: deployments.Mix,
    private readonly keys: ReadonlyMap<string, string>,
    private readonly service: string
  ) {}

  /** Runs the workload from now on and resolves when everything is answered. */
  async run (workload: workloads.Workload): Promise<{ outcomes: Outcome[], calls: CallOutcome[] }> {
    this.startMs = performance.now()
    const [outcomes, calls] = await Promise.all([
      this.sendAll(workload.arrivals, arrival => this.generate(arrival)),
      this.sendAll(workload.calls, call => this.call(call))
    ])
    await this.dispatcher.destroy()
    return { outcomes, calls }
  }

  private async sendAll<Item extends { readonly atMs: number }, Result> (
    items: readonly Item[], send: (item: Item) => Promise<Result>
  ): Promise<Result[]> {
    const results: Promise<Result>[] = []
    for (const item of items) {
      const waitMs = item.atMs - this.elapsedMs
      if (waitMs > 0) {
        await timers.setTimeout(waitMs)
      }
      results.push(send(item))
    }
    return await Promise.all(results)
  }

  private async generate (arrival: workloads.Arrival): Promise<Outcome> {
    const sentAtMs = this.elapsedMs
    const prompt = workloads.createPrompt(arrival, this.mix)
    const stream: Stream = { request: '', text: '', firstAtMs: 0, lastAtMs: 0, outputTokens: 0, code: '', isDone: false }
    try {
      await this.stream(arrival, prompt, stream)
    } catch (error) {
      stream.code ||= (error as { code?: string }).code ?? (error as Error).name
    }
    return this.createOutcome(arrival, prompt, stream, sentAtMs)
  }

  private async stream (arrival: workloads.Arrival, prompt: string, stream: Stream): Promise<void> {
    const response = await this.send('/v1/completions', arrival.tenant, {}, {
      model: 'model', prompt, max_tokens: arrival.outputTokens, stream: true, stream_options: { include_usage: true }
    })
    stream.request = String(response.headers['x-request-id'] ?? '')
    if (response.statusCode !== 200) {
      stream.code = getCode(await response.body.text())
      return
    }
    const parser = eventsource.createParser({ onEvent: event => this.takeEvent(stream, event.data) })
    response.body.setEncoding('utf8')
    for await (const chunk of response.body) {
      parser.feed(String(chunk))
    }
  }

  private takeEvent (stream: Stream, data: string): void {
    if (data === '[DONE]') {
      stream.isDone = true
      return
    }
    const chunk = JSON.parse(data)
    stream.code ||= chunk.error?.code ?? ''
    stream.outputTokens = chunk.usage?.completion_tokens ?? stream.outputTokens
    const text: string = chunk.choices?.[0]?.text ?? ''
    if (text !== '') {
      stream.firstAtMs ||= this.elapsedMs
      stream.lastAtMs = this.elapsedMs
      stream.text += text
    }
  }

  private createOutcome (arrival: workloads.Arrival, prompt: string, stream: Stream, sentAtMs: number): Outcome {
    const { request, outputTokens, firstAtMs, lastAtMs, code } = stream
    return {
      arrival,
      request,
      end: getEnd(arrival, prompt, stream),
      code,
      firstTokenMs: firstAtMs - arrival.atMs,
      betweenTokensMs: (lastAtMs - firstAtMs) / Math.max(1, outputTokens - 1),
      sentAtMs,
      endMs: this.elapsedMs - arrival.atMs,
      outputTokens
    }
  }

  private async call (call: workloads.Call): Promise<CallOutcome> {
    try {
      const headers = { 'idempotency-key': `call-${call.number}` }
      const response = await this.send(`/${this.service}`, call.tenant, headers, { call: call.number })
      await response.body.dump()
      return { call, status: response.statusCode }
    } catch {
      return { call, status: 0 }
    }
  }

  private async send (
    path: string, tenant: string, headers: Record<string, string>, body: object
  ): Promise<undici.Dispatcher.ResponseData> {
    return await undici.request(`${this.balancer.pick()}${path}`, {
      method: 'POST',
      dispatcher: this.dispatcher,
      headers: { authorization: `Bearer ${this.keys.get(tenant)}`, 'content-type': 'application/json', ...headers },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(answerTimeoutMs)
    })
  }

  private get elapsedMs (): number {
    return performance.now() - this.startMs
  }
}

function getEnd (arrival: workloads.Arrival, prompt: string, stream: Stream): Outcome['end'] {
  if (!stream.isDone || stream.code !== '') {
    return stream.firstAtMs === 0 && stream.code !== '' ? 'refused' : 'broken'
  }
  const expected = engineText.createText(engineText.getDigest(prompt), arrival.outputTokens)
  return stream.text === expected ? 'whole' : 'wrong'
}

function getCode (body: string): string {
  try {
    return JSON.parse(body).error?.code ?? 'unknown'
  } catch {
    return 'unknown'
  }
}
