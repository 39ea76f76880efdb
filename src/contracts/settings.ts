/**
 * Settings of a daemon process. The schema is the one table of options: the parser checks by it and the
 * operators' tool prints its descriptions.
 */
import * as z from 'zod'
import * as identities from './identity.js'

function milliseconds (standard: number, description: string): z.ZodDefault<z.ZodNumber> {
  return z.number().int().positive().default(standard).describe(`${description} (ms)`)
}

function bytes (standard: number, description: string): z.ZodDefault<z.ZodNumber> {
  return z.number().int().positive().default(standard).describe(`${description} (bytes)`)
}

function count (standard: number, description: string): z.ZodDefault<z.ZodNumber> {
  return z.number().int().positive().default(standard).describe(description)
}

export const Limits = z.strictObject({
  memoryMb: count(1_024, 'Memory of this process, from which the bounds on what callers may hold follow (MB)'),
  descriptors: count(8_192, 'Descriptors of this process, from which the bounds on connections follow'),
  bodyBytes: bytes(2_097_152, 'Largest body of a request or an answer'),
  headerBytes: bytes(16_384, 'All headers of a request'),
  headerCount: count(64, 'Headers of a request'),
  bodyTimeoutMs: milliseconds(10_000, 'Longest time for a body to arrive'),
  stalledCallerMs: milliseconds(10_000, 'Longest time for a caller to take what was sent'),
  stalledCallerBytes: bytes(262_144, 'Most bytes waiting for one caller'),
  requestsInFlight: count(2_000, 'Requests in flight in one entry'),
  loopDelayMs: z.number().int().nonnegative().default(0)
    .describe('Smoothed delay of the event loop from which on an entry refuses new requests; 0 for none (ms)'),
  requestTimeoutMs: milliseconds(300_000, 'Longest time for one request'),
  attemptsKept: count(50_000, 'Finished and cancelled attempts an agent remembers'),
  attemptsKeptMs: milliseconds(120_000, 'How long an agent remembers them'),
  eventsKept: count(20_000, 'Events in the time line ring')
})
export type Limits = z.infer<typeof Limits>

/** Periods of heartbeats that may pass besides the silence limit until a silent connection is replaced. */
const beatsUntilReplaced = 3

/** A session must outlast a silent connection, or the streams over it would end with it. */
function checkLease (payload: z.core.ParsePayload<{ heartbeatMs: number, silenceMs: number, sessionLeaseMs: number }>): void {
  const { heartbeatMs, silenceMs, sessionLeaseMs } = payload.value
  const minimum = silenceMs + beatsUntilReplaced * heartbeatMs
  if (sessionLeaseMs < minimum) {
    payload.issues.push({
      code: 'too_small', origin: 'number', minimum, inclusive: true, input: sessionLeaseMs, path: ['sessionLeaseMs']
    })
  }
}

export const Timing = z.strictObject({
  connectTimeoutMs: milliseconds(1_000, 'Longest time to open a connection between processes'),
  heartbeatMs: milliseconds(250, 'Period of heartbeats on links with work under way'),
  silenceMs: milliseconds(600, 'Silence after which a connection is replaced'),
  sessionLeaseMs: milliseconds(1_500, 'How long an agent keeps the work of an entry it does not hear; at least silenceMs and three times heartbeatMs'),
  idleMs: milliseconds(60_000, 'Idle time after which a connection is closed'),
  reconnectMs: milliseconds(100, 'Pause before connecting again'),
  loadReportsPerSecond: count(20, 'Loads asked for, over all links with work under way (1/s)'),
  callTimeoutMs: milliseconds(2_000, 'Longest wait for an answer of another process'),
  balancerLagMs: milliseconds(1_000, 'How long an entry stays up after it reports not ready'),
  drainTimeoutMs: milliseconds(300_000, 'Longest graceful shutdown'),
  storeTimeoutMs: milliseconds(1_500, 'Longest wait for the store'),
  machineListMs: milliseconds(2_000, 'Period of reading the list of VMs')
}).check(checkLease)
export type Timing = z.infer<typeof Timing>

const Common = z.strictObject({
  node: identities.Identity.shape.node.describe('Name of this VM, unique within the deployment'),
  zone: z.string().min(1).describe('Availability zone of this VM'),
  region: z.string().min(1).default('local').describe('Region of this VM'),
  control: identities.Address.describe('Listener for other processes of the system'),
  credential: z.string().min(16).describe('Secret shared by the processes of the deployment, or "env:NAME"'),
  security: z.strictObject({
    authority: z.string().min(1).describe('File with the certificates (PEM) of the issuer'),
    certificate: z.string().min(1).describe('File with this process\'s certificate (PEM)'),
    key: z.string().min(1).describe('File with the certificate\'s private key (PEM)')
  }).optional().describe('Mutual TLS between the processes of the system'),
  log: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info').describe('Lowest level of log lines'),
  limits: Limits.prefault({}),
  timing: Timing.prefault({})
})

/** How entries choose servers; all but the first are for comparison in measurements. */
export const PolicyName = z.enum(['mulberryflow', 'round_robin', 'least_requests', 'prefill_then_slot', 'reserve_through'])
export type PolicyName = z.infer<typeof PolicyName>

/** Settings of an entry. */
export const EntrySettings = Common.extend({
  role: z.literal('entry'),
  callers: identities.Address.describe('Listener for callers'),
  administration: identities.Address.describe('Listener for operators, health and metrics'),
  store: z.strictObject({
    urls: z.array(z.url()).min(1).describe('Addresses of the platform\'s store'),
    prefix: z.string().min(1).default('/mulberryflow/').describe('Prefix of all keys')
  }),
  machines: z.strictObject({
    url: z.url().describe('Address of the platform\'s list of VMs')
  }),
  policy: PolicyName.default('mulberryflow').describe('How servers are chosen; others than the standard are for measurements'),
  administratorHash: z.string().regex(/^[0-9a-f]{64}$/).describe('SHA-256 of the administrators\' credential')
})
export type EntrySettings = z.infer<typeof EntrySettings>

/** Settings of an agent. */
export const AgentSettings = Common.extend({
  role: z.literal('agent'),
  health: identities.Address.describe('Listener for health and metrics'),
  server: z.string().min(1).describe('Name of the backend server beside this agent, as in section servers/<name>'),
  backend: z.strictObject({
    kind: z.enum(['engine', 'service']),
    url: z.url().describe('Address of the backend server'),
    role: z.enum(['prefill', 'decode', 'service']),
    models: z.array(z.string()).default([]),
    slots: count(20, 'Requests that the server works on at once'),
    memoryPieces: z.number().int().nonnegative().default(160).describe('Pieces of engine memory'),
    pieceTokens: count(1_024, 'Tokens in one piece'),
    prefillTokensPerSecond: count(8_000, 'Speed of prefill'),
    stepMs: milliseconds(25, 'Time of one decode step'),
    checksFencing: z.boolean().default(false).describe('Whether the server refuses old fencing numbers')
  })
})
export type AgentSettings = z.infer<typeof AgentSettings>

export const Settings = z.discriminatedUnion('role', [EntrySettings, AgentSettings])
export type Settings = z.infer<typeof Settings>
