/**
 * Work that an entry gives to an agent: prefills, decodes and calls of plain services.
 */
import * as z from 'zod'
import * as failures from './failure.js'
import * as verdicts from './verdict.js'

const Count = z.number().int().nonnegative()
export const RequestId = z.string().min(1).max(64)
export const AttemptId = z.string().min(1).max(64)

/** Identifies one attempt at one request. Attempts are never reused. */
export const AttemptKey = z.object({
  request: RequestId,
  attempt: AttemptId
})
export type AttemptKey = z.infer<typeof AttemptKey>

/** A prompt, as text or as the model's tokens. */
export const Prompt = z.union([z.string(), z.array(Count)])
export type Prompt = z.infer<typeof Prompt>

/** What the engine is asked to generate. */
export const Generation = z.object({
  model: z.string(),
  prompt: Prompt,
  /** Upper bound of the prompt's tokens. */
  promptTokens: Count,
  maximumTokens: z.number().int().positive(),
  temperature: z.number().min(0).max(2).optional(),
  topP: z.number().min(0).max(1).optional(),
  stop: z.array(z.string()).max(4).optional(),
  seed: z.number().int().optional()
})
export type Generation = z.infer<typeof Generation>

/** Handle of a KV cache that a prefill left in its engine, passed through as the engine gave it. */
export const TransferHandle = z.record(z.string(), z.unknown())
export type TransferHandle = z.infer<typeof TransferHandle>

/** A call of a plain service. */
export const ServiceCall = z.object({
  service: z.string(),
  method: z.string(),
  /** Path and query, as they go to the server. */
  target: z.string(),
  /** Headers that may pass; the caller's key is never among them. */
  headers: z.record(z.string(), z.string()),
  /** The body in base64. */
  body: z.string(),
  timeoutMs: z.number().positive()
})
export type ServiceCall = z.infer<typeof ServiceCall>

export const ServiceAnswer = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  /** The body in base64. */
  body: z.string()
})
export type ServiceAnswer = z.infer<typeof ServiceAnswer>

/** What is to be done, by kind. */
export const Task = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('prefill'), generation: Generation }),
  z.object({ kind: z.literal('decode'), generation: Generation, transfer: TransferHandle.optional() }),
  z.object({ kind: z.literal('call'), call: ServiceCall })
])
export type Task = z.infer<typeof Task>
export type TaskKind = Task['kind']

/** Tokens that the engine counted. */
export const Usage = z.object({
  promptTokens: Count,
  outputTokens: Count,
  cachedTokens: Count.default(0)
})
export type Usage = z.infer<typeof Usage>

/**
 * One step of an attempt's output. Offsets count the frames of an attempt from 0 without gaps.
 * The last frame of an attempt is `finished` or `failed`.
 */
export const Frame = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('started'), offset: Count }),
  z.object({ kind: z.literal('text'), offset: Count, text: z.string(), tokens: Count }),
  z.object({
    kind: z.literal('finished'),
    offset: Count,
    reason: z.enum(['stop', 'length', 'prefilled', 'answered']),
    usage: Usage.optional(),
    transfer: TransferHandle.optional(),
    answer: ServiceAnswer.optional()
  }),
  z.object({ kind: z.literal('failed'), offset: Count, failure: failures.Failure })
])
export type Frame = z.infer<typeof Frame>

/** Frames of one attempt. */
export const Frames = AttemptKey.extend({ frames: z.array(Frame).min(1) })
export type Frames = z.infer<typeof Frames>

/** Frames of several attempts that became ready together. */
export const FrameBatch = z.object({ attempts: z.array(Frames).min(1) })
export type FrameBatch = z.infer<typeof FrameBatch>

/** Load of a server as its agent knows it at this moment. */
export const Load = z.object({
  running: Count,
  queued: Count,
  /** Prompt tokens queued and running, not yet prefilled. */
  pendingPromptTokens: Count,
  freePieces: Count,
  totalPieces: Count,
  /** Pieces promised to reservations and not yet used. */
  promisedPieces: Count,
  slots: Count,
  draining: z.boolean()
})
export type Load = z.infer<typeof Load>

/** Asks an agent how soon it could start a task; with `holdMs` also to keep room for it. */
export const Offer = z.object({
  request: RequestId,
  workspace: z.string(),
  /** The workspace's weight in the fair order; its share of the waits is not bounded if absent. */
  weight: z.number().positive().optional(),
  kind: z.enum(['prefill', 'decode', 'call']),
  model: z.string(),
  promptTokens: Count,
  maximumTokens: Count,
  /** Hashes of the prompt's prefixes, one for each whole piece, shortest first. */
  prefixes: z.array(z.string()).max(512),
  /** In how many milliseconds the task is expected to arrive. */
  expectedInMs: z.number().nonnegative(),
  /** How long after its instant the room is kept; absent to ask only. */
  holdMs: z.number().positive().optional(),
  /** Longest wait after the expected arrival for which room is of use; `holdMs` if absent. */
  maximumWaitMs: z.number().nonnegative().optional()
})
export type Offer = z.infer<typeof Offer>

export const OfferAnswer = z.object({
  boot: z.string(),
  /** Predicted wait before the task would start, in milliseconds after its arrival. */
  waitMs: z.number().nonnegative(),
  /** Predicted time from start to result, in milliseconds (prefill: the whole; decode: one step). */
  serviceMs: z.number().nonnegative(),
  /** Prompt tokens found in the server's prefix cache. */
  cachedTokens: Count,
  /** Present when room is kept. */
  reservation: z.string().optional(),
  /** When to ask again for room that was not kept, in milliseconds. */
  retryAfterMs: z.number().positive().optional(),
  /** Whether room was not kept only because the workspace holds more than its fair share. */
  isAboveShare: z.boolean().optional(),
  load: Load
})
export type OfferAnswer = z.infer<typeof OfferAnswer>

/** Starts an attempt. An agent refuses it, `not_run`, when addressed to an earlier boot. */
export const Start = AttemptKey.extend({
  boot: z.string(),
  workspace: z.string(),
  /** The workspace's weight in the fair order. */
  weight: z.number().positive(),
  /** Room kept by an earlier offer. */
  reservation: z.string().optional(),
  /** Longest wait in the queue, in milliseconds; after it the attempt is refused as `not_run`. */
  maximumWaitMs: z.number().nonnegative(),
  task: Task
})
export type Start = z.infer<typeof Start>

export const StartAnswer = z.object({
  state: z.enum(['queued', 'running']),
  waitMs: z.number().nonnegative()
})
export type StartAnswer = z.infer<typeof StartAnswer>

/** Cancels an attempt; one that has not arrived yet will be refused when it does. */
export const Cancel = AttemptKey.extend({
  boot: z.string(),
  /** `unless_started` leaves an attempt that runs already untouched. */
  mode: z.enum(['always', 'unless_started'])
})
export type Cancel = z.infer<typeof Cancel>

export const CancelAnswer = z.object({
  /** `not_run` is decisive: the attempt never starts after this answer. */
  verdict: verdicts.Verdict,
  state: z.enum(['unknown', 'queued', 'running', 'finished', 'cancelled'])
})
export type CancelAnswer = z.infer<typeof CancelAnswer>

/** Asks for the frames from an offset on, over the session that asks. */
export const Resume = AttemptKey.extend({
  boot: z.string(),
  offset: Count
})
export type Resume = z.infer<typeof Resume>

export const ResumeAnswer = z.object({
  state: CancelAnswer.shape.state,
  frames: z.array(Frame)
})
export type ResumeAnswer = z.infer<typeof ResumeAnswer>
