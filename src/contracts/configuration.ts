/**
 * The configuration document: sections with an owner and a version each, and what a section may hold.
 */
import * as z from 'zod'
import * as identities from './identity.js'

export const Name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/)

/** Tokens that a workspace may use across the whole fleet. */
export const Allowance = z.object({
  tokensPerSecond: z.number().positive().max(1e9),
  burstTokens: z.number().positive().max(1e12)
})
export type Allowance = z.infer<typeof Allowance>

/** Section `workspaces/<name>`. */
export const Workspace = z.object({
  title: z.string().max(200).default(''),
  allowance: Allowance,
  /** Models that the workspace may use; all if left out. */
  models: z.array(Name).optional(),
  /** Plain services that the workspace may use; all if left out. */
  services: z.array(Name).optional()
})
export type Workspace = z.infer<typeof Workspace>

/** A caller's key. Only its SHA-256 hash is kept. */
export const Key = z.object({
  id: Name,
  /** SHA-256 of the key, in hexadecimal. */
  hash: z.string().regex(/^[0-9a-f]{64}$/),
  label: z.string().max(200).default(''),
  createdAtMs: z.number().int().nonnegative(),
  withdrawnAtMs: z.number().int().nonnegative().optional()
})
export type Key = z.infer<typeof Key>

/** Section `keys/<workspace>`. Passed to entries only, never to agents or backend servers. */
export const KeyRing = z.object({
  keys: z.array(Key).max(1000)
})
export type KeyRing = z.infer<typeof KeyRing>

/** Section `models/<name>`. */
export const Model = z.object({
  /** Bytes of prompt text per token, used to bound a prompt's tokens before the engine has counted them. */
  bytesPerToken: z.number().positive().default(4),
  maximumPromptTokens: z.number().int().positive().default(32768),
  maximumOutputTokens: z.number().int().positive().default(4096),
  /** Output tokens if the request does not say. */
  defaultOutputTokens: z.number().int().positive().default(256),
  /** Tokens in one piece of engine memory. */
  pieceTokens: z.number().int().positive().default(1024),
  kvBytesPerToken: z.number().positive().default(80_000),
  firstTokenTargetMs: z.number().positive().default(1900),
  betweenTokensTargetMs: z.number().positive().default(28)
})
export type Model = z.infer<typeof Model>

/** Section `servers/<name>`: a backend server and the agent beside it. */
export const Server = z.object({
  role: z.enum(['prefill', 'decode', 'service']),
  zone: z.string().min(1).max(64),
  region: z.string().min(1).max(64).default('local'),
  agent: identities.Address,
  models: z.array(Name).default([]),
  services: z.array(Name).default([]),
  state: z.enum(['active', 'leaving']).default('active'),
  /** Whether the server refuses orders with an old fencing number. */
  checksFencing: z.boolean().default(false),
  /** Requests that the server works on at once. */
  slots: z.number().int().positive().default(20),
  /** Pieces of engine memory; 0 for plain services. */
  memoryPieces: z.number().int().nonnegative().default(0),
  prefillTokensPerSecond: z.number().positive().default(8000),
  /** Rate of the server's link for KV cache, in bytes a second. */
  linkBytesPerSecond: z.number().positive().default(12_500_000_000)
})
export type Server = z.infer<typeof Server>

/** Section `services/<name>`: a plain service and its routes. */
export const Service = z.object({
  routes: z.array(z.object({
    prefix: z.string().regex(/^\/[A-Za-z0-9._~/-]*$/),
    methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
    /** Whether the route is open to callers without a key. */
    open: z.boolean().default(false),
    /** Whether a call may be sent again when it may have run. */
    idempotent: z.boolean()
  })).min(1),
  timeoutMs: z.number().int().positive().default(10_000)
})
export type Service = z.infer<typeof Service>
export type ServiceRoute = Service['routes'][number]

/** Section `teams/<name>`: who may change which sections. */
export const Team = z.object({
  /** SHA-256 of the team's credential, in hexadecimal. */
  credentialHash: z.string().regex(/^[0-9a-f]{64}$/),
  /** Section names, or prefixes that end in `*`. */
  sections: z.array(z.string().min(1).max(200)).min(1)
})
export type Team = z.infer<typeof Team>

/** Section `policy`. */
export const Policy = z.object({
  /** Shards over which the workspaces' allowances are spread; each has one keeper. */
  allowanceShards: z.number().int().min(1).max(1024).default(8),
  /** Longest queue of one agent, in requests. */
  queueLimit: z.number().int().positive().default(256),
  /** Attempts of one request, the first one included. */
  attemptLimit: z.number().int().min(1).max(5).default(3)
})
export type Policy = z.infer<typeof Policy>

/** The kinds of sections by the first part of their names, with the schema of their bodies. */
export const sectionSchemas = {
  workspaces: Workspace,
  keys: KeyRing,
  models: Model,
  servers: Server,
  services: Service,
  teams: Team,
  policy: Policy
} as const
export type SectionKind = keyof typeof sectionSchemas

/** A section as it is stored and passed on. A deleted section has no body. */
export const Section = z.object({
  /** `<kind>/<name>`, or `policy`. */
  name: z.string().min(1).max(200),
  owner: z.string().min(1).max(64),
  /** Counts the changes of this section, from 1. */
  version: z.number().int().positive(),
  /** The body, already checked by the schema of its kind; absent once the section is deleted. */
  body: z.unknown().optional()
})
export type Section = z.infer<typeof Section>

/** One accepted change of one or more sections. */
export const Change = z.object({
  /** Version of the whole document after the change; counts the accepted changes, from 1. */
  version: z.number().int().positive(),
  operation: z.string().min(1).max(128),
  team: z.string().min(1).max(64),
  atMs: z.number().int().nonnegative(),
  /** Empty when an agent receives a change of secret sections only. */
  sections: z.array(Section)
})
export type Change = z.infer<typeof Change>

/** The whole document at one version. */
export const Snapshot = z.object({
  version: z.number().int().nonnegative(),
  sections: z.array(Section)
})
export type Snapshot = z.infer<typeof Snapshot>

/** Returns the kind of a section by its name, or `undefined` if there is no such kind. */
export function getSectionKind (name: string): SectionKind | undefined {
  const kind = name.split('/', 1)[0] ?? ''
  return Object.hasOwn(sectionSchemas, kind) ? kind as SectionKind : undefined
}

/** Tells whether a section is kept from agents. */
export function isSecretSection (name: string): boolean {
  const kind = getSectionKind(name)
  return kind === 'keys' || kind === 'teams'
}
