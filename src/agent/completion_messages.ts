/**
 * Requests and responses of the completions API of engines.
 */
import * as z from 'zod'
import * as types from './types.js'
import * as work from '../contracts/work.js'

const Count = z.number().int().nonnegative()

const Usage = z.object({
  prompt_tokens: Count,
  completion_tokens: Count,
  prompt_tokens_details: z.object({ cached_tokens: Count.nullish() }).nullish()
})

/** One event of a stream, or a complete response. */
export const Chunk = z.object({
  choices: z.array(z.object({ text: z.string().default(''), finish_reason: z.string().nullish() })).default([]),
  usage: Usage.nullish(),
  kv_transfer_params: work.TransferHandle.nullish(),
  error: z.object({ message: z.string().default(''), code: z.union([z.string(), z.number()]).nullish() }).optional()
})
export type Chunk = z.infer<typeof Chunk>

export const CacheEvents = z.object({
  events: z.array(z.object({ id: Count, kind: z.enum(['stored', 'removed']), hashes: z.array(z.string()) }))
})

/** Returns the body of a completion request. */
export function createRequestBody (task: Exclude<work.Task, { readonly kind: 'call' }>): object {
  const { generation } = task
  const common = {
    model: generation.model,
    prompt: generation.prompt,
    temperature: generation.temperature,
    top_p: generation.topP,
    stop: generation.stop,
    seed: generation.seed
  }
  if (task.kind === 'prefill') {
    return { ...common, max_tokens: 1, stream: false, kv_transfer_params: { do_remote_decode: true } }
  }
  const stream = { max_tokens: generation.maximumTokens, stream: true, stream_options: { include_usage: true } }
  if (task.transfer === undefined) {
    return { ...common, ...stream }
  }
  return { ...common, ...stream, kv_transfer_params: { ...task.transfer, do_remote_prefill: true } }
}

export function readUsage (chunk: Chunk): work.Usage | undefined {
  const { usage } = chunk
  if (usage === undefined || usage === null) {
    return undefined
  }
  return {
    promptTokens: usage.prompt_tokens,
    outputTokens: usage.completion_tokens,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0
  }
}

/** Returns why the generation ended; any reason other than `length` maps to `stop`. */
export function readFinishReason (text: string): types.Completion['reason'] {
  return text === 'length' ? 'length' : 'stop'
}

/** Returns the request identifier that the engine uses for an attempt. */
export function createRequestId (id: work.AttemptKey): string {
  return `${encodeURIComponent(id.request)}.${encodeURIComponent(id.attempt)}`
}

/** Returns `undefined` for text that is not JSON. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
