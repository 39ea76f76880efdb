/**
 * The schemas of the completions API: requests as callers send them, answers and events as callers receive them.
 */
import * as configuration from '../contracts/configuration.js'
import * as failures from '../contracts/failure.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'
import * as z from 'zod'

const Common = z.object({
  model: z.string().min(1).max(128),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  temperature: z.number().min(0).max(2).nullish(),
  top_p: z.number().min(0).max(1).nullish(),
  stop: z.union([z.string(), z.array(z.string()).max(4)]).nullish(),
  seed: z.number().int().nullish(),
  n: z.literal(1).nullish()
})

export const TextRequest = Common.extend({
  prompt: z.union([z.string().min(1), z.array(z.number().int().nonnegative()).min(1)])
})
export type TextRequest = z.infer<typeof TextRequest>

const Content = z.union([
  z.string(),
  z.array(z.object({ type: z.literal('text'), text: z.string() }))
])

export const ChatRequest = Common.extend({
  messages: z.array(z.object({
    role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
    content: Content
  })).min(1).max(10_000),
  max_completion_tokens: z.number().int().positive().nullish()
})
export type ChatRequest = z.infer<typeof ChatRequest>

/** Which of the two endpoints received the request. */
export type Kind = 'text' | 'chat'

/** A validated request to either endpoint. */
export interface CompletionRequest {
  readonly kind: Kind
  readonly model: string
  readonly prompt: work.Prompt
  readonly isStreamed: boolean
  readonly includesUsage: boolean
  readonly maximumTokens: number | undefined
  readonly temperature: number | undefined
  readonly topP: number | undefined
  readonly stop: readonly string[] | undefined
  readonly seed: number | undefined
}

/** Parses a body. Fails with `body_malformed` or `body_invalid`. */
export function parseRequest (kind: Kind, body: string): failures.Result<CompletionRequest> {
  const parsed = parseJson(body)
  if (parsed.isLeft()) {
    return failures.fail(parsed.extract() as failures.Failure)
  }
  const json = parsed.extract()
  return kind === 'text' ? parseText(json) : parseChat(json)
}

/**
 * Formats chat messages as one prompt: for each message a line `<|role|>`, its text and a line break, then the
 * line `<|assistant|>`, after which the model continues.
 */
export function formatChat (messages: ChatRequest['messages']): string {
  let prompt = ''
  for (const { role, content } of messages) {
    prompt += `<|${role}|>\n${formatContent(content)}\n`
  }
  return `${prompt}<|assistant|>\n`
}

/** Returns an upper bound of a prompt's tokens: exact for token arrays, estimated from the bytes of text. */
export function boundPromptTokens (prompt: work.Prompt, model: configuration.Model): number {
  if (typeof prompt !== 'string') {
    return prompt.length
  }
  return Math.max(1, Math.ceil(Buffer.byteLength(prompt) / model.bytesPerToken))
}

/** Checks a request against the limits of its model. Fails with `prompt_too_long` or `body_invalid`. */
export function createGeneration (request: CompletionRequest, model: configuration.Model): failures.Result<work.Generation> {
  const promptTokens = boundPromptTokens(request.prompt, model)
  if (promptTokens > model.maximumPromptTokens) {
    const details = [promptTokens, request.model, model.maximumPromptTokens]
    return failures.fail(failures.createFailure('not_run', 'prompt_too_long', details))
  }
  const maximumTokens = request.maximumTokens ?? Math.min(model.defaultOutputTokens, model.maximumOutputTokens)
  if (maximumTokens > model.maximumOutputTokens) {
    const detail = `max_tokens is ${maximumTokens}, the model generates at most ${model.maximumOutputTokens}`
    return failures.fail(failures.createFailure('not_run', 'body_invalid', [detail]))
  }
  return failures.succeed({
    model: request.model,
    prompt: request.prompt,
    promptTokens,
    maximumTokens,
    ...(request.temperature !== undefined && { temperature: request.temperature }),
    ...(request.topP !== undefined && { topP: request.topP }),
    ...(request.stop !== undefined && { stop: [...request.stop] }),
    ...(request.seed !== undefined && { seed: request.seed })
  })
}

/** Formats the answers to one request. */
export class ResponseFormatter {
  private readonly head: string
  private readonly common: { readonly id: string, readonly created: number, readonly model: string }

  /** `createdS` is the time of the answer in seconds since the Unix epoch. */
  constructor (private readonly kind: Kind, request: string, createdS: number, model: string) {
    const prefix = kind === 'text' ? 'cmpl' : 'chatcmpl'
    this.common = { id: `${prefix}-${request}`, created: createdS, model }
    const object = kind === 'text' ? 'text_completion' : 'chat.completion.chunk'
    this.head = JSON.stringify({ ...this.common, object }).slice(0, -1)
  }

  /** Returns the event that opens a chat stream. */
  formatRole (): string {
    return `${this.head},"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`
  }

  /** Returns the event for a piece of text. */
  formatText (text: string): string {
    const quoted = JSON.stringify(text)
    return this.kind === 'text'
      ? `${this.head},"choices":[{"index":0,"text":${quoted},"logprobs":null,"finish_reason":null}]}`
      : `${this.head},"choices":[{"index":0,"delta":{"content":${quoted}},"finish_reason":null}]}`
  }

  /** Returns the event that carries the finish reason. */
  formatEnd (reason: types.Completion['reason']): string {
    return this.kind === 'text'
      ? `${this.head},"choices":[{"index":0,"text":"","logprobs":null,"finish_reason":"${reason}"}]}`
      : `${this.head},"choices":[{"index":0,"delta":{},"finish_reason":"${reason}"}]}`
  }

  formatUsage (usage: work.Usage): string {
    return `${this.head},"choices":[],"usage":${JSON.stringify(createUsage(usage))}}`
  }

  /** Returns the body of an answer that is not streamed. */
  createAnswer (text: string, completion: types.Completion): unknown {
    const usage = createUsage(completion.usage)
    const finish = { index: 0, logprobs: null, finish_reason: completion.reason }
    return this.kind === 'text'
      ? { ...this.common, object: 'text_completion', choices: [{ ...finish, text }], usage }
      : {
          ...this.common,
          object: 'chat.completion',
          choices: [{ ...finish, message: { role: 'assistant', content: text } }],
          usage
        }
  }
}

/** Returns the answer to a request for the list of models. */
export function createModelList (names: readonly string[]): unknown {
  const data = names.map(id => ({ id, object: 'model', created: 0, owned_by: 'mulberryflow' }))
  return { object: 'list', data }
}

function parseJson (body: string): failures.Result<unknown> {
  try {
    return failures.succeed(JSON.parse(body) as unknown)
  } catch (error) {
    return failures.fail(failures.createFailure('not_run', 'body_malformed', [(error as Error).message]))
  }
}

function parseText (json: unknown): failures.Result<CompletionRequest> {
  const parsed = TextRequest.safeParse(json)
  if (!parsed.success) {
    return failures.fail(createInvalidFailure(parsed.error))
  }
  return failures.succeed(createRequest('text', parsed.data, parsed.data.prompt, parsed.data.max_tokens))
}

function parseChat (json: unknown): failures.Result<CompletionRequest> {
  const parsed = ChatRequest.safeParse(json)
  if (!parsed.success) {
    return failures.fail(createInvalidFailure(parsed.error))
  }
  const maximum = parsed.data.max_completion_tokens ?? parsed.data.max_tokens
  return failures.succeed(createRequest('chat', parsed.data, formatChat(parsed.data.messages), maximum))
}

function createRequest (
  kind: Kind, common: z.infer<typeof Common>, prompt: work.Prompt, maximumTokens: number | null | undefined
): CompletionRequest {
  const { stop } = common
  return {
    kind,
    model: common.model,
    prompt,
    isStreamed: common.stream ?? false,
    includesUsage: common.stream_options?.include_usage ?? false,
    maximumTokens: maximumTokens ?? undefined,
    temperature: common.temperature ?? undefined,
    topP: common.top_p ?? undefined,
    stop: typeof stop === 'string' ? [stop] : stop ?? undefined,
    seed: common.seed ?? undefined
  }
}

function createInvalidFailure (error: z.ZodError): failures.Failure {
  const issues = error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
  return failures.createFailure('not_run', 'body_invalid', [issues.join('; ')])
}

function formatContent (content: z.infer<typeof Content>): string {
  return typeof content === 'string' ? content : content.map(part => part.text).join('')
}

function createUsage (usage: work.Usage): unknown {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.outputTokens,
    total_tokens: usage.promptTokens + usage.outputTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens }
  }
}
