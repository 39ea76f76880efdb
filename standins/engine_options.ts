/**
 * Options and fault knobs of the engine stand-in. All times are simulated milliseconds.
 */
import * as z from 'zod'
import * as outages from './outages.js'

/** Knobs that may change while the engine runs. */
export const EngineFaults = z.strictObject({
  outage: outages.Outage.default('none'),
  /** Ends the process at once. */
  crash: z.boolean().default(false),
  /** Number of following requests that are answered 500 without running. */
  failNext: z.number().int().nonnegative().default(0),
  /** Number of following generations that fail on their way. */
  breakNext: z.number().int().nonnegative().default(0),
  /** Tokens after which they fail. */
  breakAfterTokens: z.number().int().nonnegative().default(3),
  /** Nothing more is written to any caller; the work goes on. */
  freezeAnswers: z.boolean().default(false),
  /** KV transfers out of this engine make no progress. */
  stallTransfers: z.boolean().default(false),
  /** Factor on the time of a decode step. */
  stepFactor: z.number().positive().default(1),
  /** How long a request goes on after its caller has disconnected, in milliseconds. */
  abandonMs: z.number().nonnegative().default(5_000),
  /** How long a KV cache waits to be taken before it is evicted, in milliseconds. */
  exportTtlMs: z.number().nonnegative().default(800),
  /** Longest KV transfer, in milliseconds. */
  transferTimeoutMs: z.number().positive().default(10_000),
  /** Rate of the link in each direction, in bytes a second. */
  linkBytesPerSecond: z.number().positive().default(12_500_000_000),
  /** Age of the load that `/metrics` reports, in milliseconds. */
  metricsLagMs: z.number().nonnegative().default(1_000),
  /** Delay of cache events, in milliseconds. */
  eventDelayMs: z.number().nonnegative().default(500),
  /** Every n-th cache event is lost; 0 for none. */
  eventGapEvery: z.number().int().nonnegative().default(0),
  /** Whether orders with an old fencing number are refused. */
  checksFencing: z.boolean().default(false),
  /** Time to load a model, in milliseconds. */
  modelLoadMs: z.number().nonnegative().default(2_000),
  /** Mean length of an output that ends by itself, in tokens; 0 to always run to `max_tokens`. */
  meanOutputTokens: z.number().int().nonnegative().default(0)
})
export type EngineFaults = z.infer<typeof EngineFaults>

export const EngineOptions = z.strictObject({
  id: z.string().min(1).default('engine'),
  models: z.array(z.string().min(1)).min(1).default(['model']),
  role: z.enum(['prefill', 'decode', 'both']).default('both'),
  /** Most requests in one batch. */
  slots: z.number().int().positive().default(20),
  /** Pieces of memory for KV caches. */
  memoryPieces: z.number().int().positive().default(160),
  pieceTokens: z.number().int().positive().default(1_024),
  bytesPerToken: z.number().positive().default(4),
  kvBytesPerToken: z.number().positive().default(80_000),
  prefillTokensPerSecond: z.number().positive().default(8_000),
  /** Time that every prefill takes besides its tokens, in milliseconds. */
  prefillOverheadMs: z.number().nonnegative().default(5),
  /** Time of a decode step of an empty batch, in milliseconds. */
  stepMs: z.number().positive().default(20),
  /** What each request of the batch adds to it, in milliseconds. */
  stepMsPerRequest: z.number().nonnegative().default(0.25),
  /** Factor on the time of a decode step while a prefill runs on the same engine. */
  prefillSlowdown: z.number().min(1).default(2),
  /** Pieces that the prefix cache holds besides the memory of requests. */
  prefixCachePieces: z.number().int().nonnegative().default(128),
  /** Simulated milliseconds per real millisecond. */
  timeScale: z.number().positive().default(1),
  faults: EngineFaults.prefault({})
})
export type EngineOptions = z.infer<typeof EngineOptions>
