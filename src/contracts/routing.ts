/**
 * What a gateway routes by: routes, services, workspaces and the servers behind them, in the product's terms.
 */
import * as z from 'zod'

/**
 * What may be repeated: `idempotent` requests may run any number of times, `non_idempotent` ones at most once;
 * a `stream` is non-idempotent unless its route is resumable.
 */
export const RequestKind = z.enum(['idempotent', 'non_idempotent', 'stream'])
export type RequestKind = z.infer<typeof RequestKind>

/** One way out of a route; weights are relative. */
export const Target = z.object({ service: z.string(), weight: z.number().nonnegative() })
export type Target = z.infer<typeof Target>

export const Route = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  prefix: z.string(),
  kind: RequestKind,
  targets: z.array(Target).min(1),
  /** Longest time until the final answer, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** Time within which an answer has its full value, in milliseconds; to the first event for streams. */
  goalMs: z.number().positive(),
  /** Longest pause between two events of a stream for which it is in time, in milliseconds. */
  pauseMs: z.number().nonnegative().optional(),
  /** Servers that may run one request. */
  maximumServers: z.number().int().positive(),
  /** 0 is the most urgent. */
  priority: z.number().int(),
  isPublic: z.boolean(),
  isResumable: z.boolean(),
  /** Regions whose servers may get its requests; absent: all. */
  allowedRegions: z.array(z.string()).optional()
})
export type Route = z.infer<typeof Route>

/** What the engines of a service can do. */
export const EngineProfile = z.object({
  /** Requests that an engine decodes at once. */
  slots: z.number().int().positive(),
  /** Memory for running requests and cached prompts, in tokens. */
  memoryTokens: z.number().positive(),
  /** How long a prefill's KV cache is kept for its decode, in milliseconds. */
  handleMs: z.number().positive(),
  /** How long an engine serves nothing while it changes its stage, in milliseconds. */
  switchMs: z.number().positive(),
  /** Longest reservation of a slot, in milliseconds. */
  maximumHoldMs: z.number().positive()
})
export type EngineProfile = z.infer<typeof EngineProfile>

export const RoutedService = z.object({
  name: z.string(),
  /** Connections that one server accepts from all gateways together. */
  maximumConnections: z.number().int().positive(),
  engine: EngineProfile.optional(),
  /** What the service's servers take while they are cold; absent if they never are. */
  cold: z.object({
    /** How long a server is cold after it has started, in milliseconds. */
    forMs: z.number().positive(),
    /** Requests a second that a cold server takes from all gateways together. */
    perSecond: z.number().nonnegative()
  }).optional()
})
export type RoutedService = z.infer<typeof RoutedService>

export const RoutedWorkspace = z.object({
  name: z.string(),
  /** SHA-256 of each key, in hexadecimal. */
  keyHashes: z.array(z.string()),
  /** Goes before the route's priority. */
  priority: z.number().int().optional(),
  unit: z.enum(['requests', 'tokens']),
  /** Tokens that a request without sizes counts as. */
  plainTokens: z.number().nonnegative(),
  /** Units a second over all gateways; 0 means no limit. */
  rate: z.number().nonnegative(),
  burst: z.number().nonnegative(),
  /** Regions whose servers may get its requests; absent: all. */
  allowedRegions: z.array(z.string()).optional()
})
export type RoutedWorkspace = z.infer<typeof RoutedWorkspace>

/** Bounds on what a client may send. */
export const IngressLimits = z.object({
  headerBytes: z.number().positive(),
  bodyBytes: z.number().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive()
})
export type IngressLimits = z.infer<typeof IngressLimits>

export const RoutingDocument = z.object({
  version: z.number(),
  routes: z.array(Route),
  services: z.array(RoutedService),
  limits: IngressLimits,
  /** Absent where requests carry no keys. */
  workspaces: z.array(RoutedWorkspace).optional(),
  /** Optional figures that are out of range and were left out, for the log. */
  faults: z.array(z.string()).optional()
})
export type RoutingDocument = z.infer<typeof RoutingDocument>

export const EngineStage = z.enum(['prefill', 'decode'])
export type EngineStage = z.infer<typeof EngineStage>

export const RoutedServer = z.object({
  id: z.string(),
  service: z.string(),
  /** IP and port. */
  address: z.string(),
  zone: z.string(),
  slots: z.number().int().positive(),
  state: z.enum(['ready', 'draining']),
  stage: EngineStage.optional(),
  /** Start of this life of the server, in milliseconds since the Unix epoch. */
  bornMs: z.number().optional(),
  /** Counts what the server has written of itself in this life: of two entries the one with more is the newer. */
  writes: z.number().optional(),
  /** How long the server stays cold from the time at which it wrote the entry, in milliseconds; absent if it does not say. */
  coldLeftMs: z.number().nonnegative().optional(),
  /** Optional figures that are out of range and were left out, for the log. */
  faults: z.array(z.string()).optional()
})
export type RoutedServer = z.infer<typeof RoutedServer>
