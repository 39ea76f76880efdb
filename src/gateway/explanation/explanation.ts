/**
 * What an explanation asks and answers, as it passes between the gateway's inner listener and the operators' tool.
 */
import * as z from 'zod'
import * as diagnosticTable from '../../contracts/diagnostics.js'
import * as routing from '../../contracts/routing.js'

/** Path of explanations on the gateway's inner listener. */
export const explanationPath = '/mulberryflow/explain'

/** Shortest beginning of a key's hash that names a key. */
const leastHashDigits = 8
/** Limits on a query: callers' own requests have fewer parts, and paths are bounded by their heads. */
const maximumParts = 64
const maximumNameLength = 200
const maximumPathLength = 8_000

const count = z.coerce.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER)
const name = z.string().min(1).max(maximumNameLength)

const Part = z.string().regex(/^[^:,\s]{1,128}:\d{1,15}$/, 'expected ID:TOKENS').transform(text => {
  const [id = '', tokens] = text.split(':')
  return { id: id.toLowerCase(), tokens: Number(tokens) }
})

/** A request as far as the choice of its servers depends on it. */
export const Query = z.object({
  method: z.string().regex(/^[A-Za-z]{1,20}$/).default('GET'),
  path: z.string().startsWith('/').max(maximumPathLength),
  /** Absent: that of the only route whose prefix fits. */
  host: name.optional(),
  workspace: name.optional(),
  /** Beginning of the SHA-256 of a key, in hexadecimal. The key itself must not be sent to a listener without authentication. */
  keyHash: z.string().regex(new RegExp(`^[0-9a-f]{${leastHashDigits},64}$`), `expected ${leastHashDigits} to 64 hexadecimal digits`).optional(),
  /** Absent: the sum of the parts. */
  promptTokens: count.optional(),
  /** Parts of the prompt in their order. */
  parts: z.array(Part).max(maximumParts).default([]),
  /** Most output tokens, and the caller's estimate of them. */
  outputTokens: count.optional(),
  expectedTokens: count.optional(),
  /** Time-out of the caller, in milliseconds. */
  timeoutMs: count.optional()
}).refine(({ workspace, keyHash }) => workspace === undefined || keyHash === undefined, { path: ['keyHash'], message: 'expected either a workspace or a key' })
export type Query = z.infer<typeof Query>

const figure = z.number()

/** The figures of a candidate that the rule of its choice reads; times and ages in milliseconds, memory in tokens. */
export const Figures = z.object({
  /** What the choice compares: for `free_memory` the highest is the best, for the other rules the lowest. */
  rating: figure.optional(),
  runs: figure.optional(),
  slots: figure.optional(),
  usedTokens: figure.optional(),
  freeTokens: figure.optional(),
  /** Memory kept free for more urgent generations. */
  headroomTokens: figure.optional(),
  /** Prompt tokens that wait to be read. */
  unreadTokens: figure.optional(),
  prefillMs: figure.optional(),
  distanceMs: figure.optional(),
  /** Age of the oldest message of another gateway in the committed load. */
  loadAgeMs: figure.optional(),
  /** Calls running and waiting. */
  ahead: figure.optional(),
  reportAgeMs: figure.optional(),
  slowness: figure.optional(),
  measured: figure.optional(),
  expectedMs: figure.optional(),
  answerMs: figure.optional(),
  failureRate: figure.optional(),
  /** Age of the oldest report of another gateway in the failure rate. */
  failureAgeMs: figure.optional(),
  /** Part of the capacity that may be used; below 1 for recovering servers. */
  pace: figure.optional(),
  coldLeftMs: figure.optional(),
  limitPerSecond: figure.optional(),
  limitAgeMs: figure.optional(),
  permitWaitMs: figure.optional(),
  /** Gateway that issues the permits of a server with a limit. */
  issuer: z.string().optional()
})
export type Figures = z.infer<typeof Figures>

/** What rules a candidate out. */
export const Rule = z.enum([
  'draining', 'evacuated', 'misdirected', 'backing_off', 'leaving', 'region', 'no_permit',
  'not_ready', 'switching', 'paused', 'refused_lately', 'paced', 'no_slot', 'no_memory', 'other_stage', 'tried',
  /** Not ruled out by itself: another zone, while a server of the gateway's zone is nearly as good. */
  'other_zone'
])
export type Rule = z.infer<typeof Rule>

export const Candidate = z.object({
  server: z.string(),
  zone: z.string(),
  region: z.string().optional(),
  isOwnZone: z.boolean(),
  ruledOutBy: z.array(Rule),
  /** Probability of being chosen; 1 where nothing is drawn. */
  probability: z.number().min(0).max(1),
  figures: Figures
})
export type Candidate = z.infer<typeof Candidate>

/** One choice of a server, in the order in which a request makes them. */
export const Step = z.object({
  choice: z.enum(['call', 'decode', 'prefill']),
  by: z.enum(['load', 'expected_time', 'free_memory', 'prefill_time']),
  /** Memory that the request commits, in tokens. */
  neededTokens: z.number().optional(),
  candidates: z.array(Candidate)
})
export type Step = z.infer<typeof Step>

/** A refusal as the caller would get it; the time to come back is drawn where it is a range. */
export const Refusal = z.object({
  status: z.number(),
  code: z.enum(diagnosticTable.diagnosticCodes),
  message: z.string(),
  retryAfterMs: z.number().optional(),
  retryAfterUpToMs: z.number().optional()
})
export type Refusal = z.infer<typeof Refusal>

export const Outcome = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('sent'),
    /** The likeliest server. */
    server: z.string(),
    probability: z.number(),
    /** The likeliest prefill server; `decode_server`: the decode server reads the prompt itself. */
    prefill: z.object({ by: z.enum(['prefill_server', 'decode_server']), server: z.string(), probability: z.number() }).optional()
  }),
  z.object({
    kind: z.literal('waits'),
    for: z.enum(['capacity', 'requests_ahead', 'more_urgent_elsewhere', 'trial_of_prompt']),
    /** Expected wait; absent where it is not known. */
    expectedMs: z.number().optional(),
    /** Longest wait, after which the request is refused. */
    longestMs: z.number(),
    refusal: Refusal
  }),
  z.object({ kind: z.literal('refused'), refusal: Refusal })
])
export type Outcome = z.infer<typeof Outcome>

/** What a request would meet at one of the services that its route leads to. */
export const Target = z.object({
  service: z.string(),
  /** Probability that the route's weights select the service. */
  probability: z.number(),
  outcome: Outcome,
  steps: z.array(Step),
  /** What the answer does not cover. */
  notes: z.array(z.string())
})
export type Target = z.infer<typeof Target>

export const Explanation = z.object({
  gateway: z.string(),
  zone: z.string(),
  /** Version of the configuration; absent until the first has been read. */
  version: z.number().optional(),
  /** Time since the store was last heard; absent if it never was. It bounds the age of configuration, server entries and evacuations. */
  storeAgeMs: z.number().optional(),
  /** Other gateways, and how many of them were heard lately. */
  otherGateways: z.number(),
  heardGateways: z.number(),
  request: z.object({
    method: z.string(),
    path: z.string(),
    host: z.string().optional(),
    route: z.string().optional(),
    kind: routing.RequestKind.optional(),
    workspace: z.string().optional(),
    /** Order of the request, 0 the most urgent; over all gateways for services whose routes have different priorities. */
    priority: z.number().optional(),
    promptTokens: z.number().optional(),
    outputTokens: z.number().optional(),
    expectedTokens: z.number().optional(),
    allowedRegions: z.array(z.string()).optional()
  }),
  allowance: z.object({ unit: z.enum(['requests', 'tokens']), needed: z.number(), left: z.number(), perSecond: z.number() }).optional(),
  /** Refusal before a server is chosen. */
  refusal: Refusal.optional(),
  targets: z.array(Target)
})
export type Explanation = z.infer<typeof Explanation>
