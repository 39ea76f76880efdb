/**
 * The completions API of an engine: requests, answers and errors in the published shapes.
 */
import * as z from 'zod'
import * as engineOptions from './engine_options.js'
import * as engineRequests from './engine_request.js'
import * as prefixes from '../src/contracts/prefixes.js'
import * as work from '../src/contracts/work.js'

const defaultMaximumTokens = 16

const ExportParams = z.object({ do_remote_decode: z.literal(true) })

export const CompletionBody = z.object({
  model: z.string(),
  prompt: work.Prompt,
  max_tokens: z.number().int().positive().default(defaultMaximumTokens),
  stream: z.boolean().default(false),
  priority: z.number().int().default(0),
  seed: z.number().int().default(0),
  stop: z.union([z.string(), z.array(z.string())]).default([]),
  kv_transfer_params: z.union([engineRequests.TransferSource, ExportParams]).optional()
})
export type CompletionBody = z.infer<typeof CompletionBody>

export function createCompletion (
  id: string, body: CompletionBody, options: engineOptions.EngineOptions
): engineRequests.Completion {
  const { kv_transfer_params: params, prompt, model } = body
  const isExport = params !== undefined && 'do_remote_decode' in params
  return {
    id,
    model,
    prompt,
    promptTokens: countTokens(prompt, options.bytesPerToken),
    prefixes: prefixes.hashPrefixes(model, prompt, options.pieceTokens, options.bytesPerToken),
    maximumTokens: body.max_tokens,
    priority: body.priority,
    seed: body.seed,
    stops: typeof body.stop === 'string' ? [body.stop] : body.stop,
    isExport,
    source: params !== undefined && 'do_remote_prefill' in params ? params : undefined
  }
}

/** Returns the tokens of a prompt; text has a fixed number of bytes a token, rounded up. An empty prompt has one. */
export function countTokens (prompt: work.Prompt, bytesPerToken: number): number {
  const tokens = typeof prompt === 'string' ? Math.ceil(Buffer.byteLength(prompt) / bytesPerToken) : prompt.length
  return Math.max(1, tokens)
}

export function createErrorBody (error: engineRequests.EngineError): object {
  return { error: { message: error.message, type: 'engine_error', code: error.code } }
}

export function createUsage (request: engineRequests.EngineRequest): object {
  const { promptTokens } = request.completion
  return {
    prompt_tokens: promptTokens,
    completion_tokens: request.generated,
    total_tokens: promptTokens + request.generated,
    prompt_tokens_details: { cached_tokens: request.cachedTokens }
  }
}

/** Returns the fields that every chunk and every answer of a request has. */
export function createHead (request: engineRequests.EngineRequest): object {
  return { id: request.completion.id, object: 'text_completion', created: 0, model: request.completion.model }
}

export function createChoice (text: string, finishReason: string | null): object {
  return { index: 0, text, logprobs: null, finish_reason: finishReason }
}

/** Returns what a response says of the KV transfer, if anything. */
export function createTransferPart (request: engineRequests.EngineRequest): object {
  return request.transferParams === undefined ? {} : { kv_transfer_params: request.transferParams }
}
