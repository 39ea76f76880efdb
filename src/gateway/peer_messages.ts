/**
 * Messages of the gossip between gateways, and their encoding. On the wire, `work` is the state that a gateway reports.
 */
import * as buffer from 'node:buffer'
import * as zlib from 'node:zlib'
import * as z from 'zod'
import * as boundedJson from '../contracts/bounded_json.js'
import * as collections from '../contracts/collections.js'

/** Largest message before compression, in bytes; a store replica with a large configuration is smaller. */
export const maximumMessageBytes = 16_777_216
/** Messages within a zone up to this size are not compressed, in bytes: compression costs more there than it saves. */
const maximumUncompressedBytes = 4_096
/** Compression levels within a zone, and between zones, whose links are billed by the byte. */
const sameZoneCompressionLevel = 1
const crossZoneCompressionLevel = 6

const CommittedLoad = z.object({ runs: z.number(), tokens: z.number(), unread: z.number() })

/**
 * What a server last stated about its limit: requests a second from all gateways together, or -1 for no limit; the start time of the
 * server's process in milliseconds since the Unix epoch, or 0; and the time since the statement was last true, in milliseconds.
 */
const LimitStatement = z.tuple([z.number(), z.number(), z.number()])
export type LimitStatement = z.infer<typeof LimitStatement>

/** What waits for decode memory of a service: rank, 0 for the most urgent; requests; tokens of memory that they need; and how long the oldest has waited, in milliseconds. */
const WaitingStatement = z.tuple([z.number(), z.number(), z.number(), z.number()])
export type WaitingStatement = z.infer<typeof WaitingStatement>

/**
 * What a server's answer said about its cold time: the time left and the start time of its process in milliseconds since the Unix
 * epoch, or 0, and the time since it was observed, in milliseconds.
 */
const ColdStatement = z.tuple([z.number(), z.number(), z.number()])
export type ColdStatement = z.infer<typeof ColdStatement>

/**
 * Recovery of a server: the start time of its process in milliseconds since the Unix epoch, or 0; the time since it returned, in
 * milliseconds; how often its pace has fallen; the part of its capacity that all gateways may use; and the time since its latest answer.
 */
export const PaceStatement = z.tuple([z.number(), z.number(), z.number(), z.number(), z.number()])
export type PaceStatement = z.infer<typeof PaceStatement>

/** Evidence on a part of prompts: ends of servers on which it was in flight without an answer, and the latest answer that began on it. */
export const PartStatement = z.object({
  /** Server process, workspace of the run, weight of the evidence, age in milliseconds, and the other parts of the run. */
  ends: collections.list(z.tuple([z.string(), z.string(), z.number(), z.number(), collections.list(z.string())])),
  /** Workspace of the run, and age in milliseconds. */
  answer: z.tuple([z.string(), z.number()]).optional()
})
export type PartStatement = z.infer<typeof PartStatement>

/**
 * What gateways have seen of a server that reports its slowness: their calls in flight; the number of measured answers and the sum of their
 * times relative to the expected ones, both decaying; and, if there is a recent load report, its age in milliseconds, the running and the
 * waiting calls, and the slowness in percent (0: not stated). Figures beyond these are ignored.
 */
const PlainStatement = collections.list(z.number())
export type PlainStatement = z.infer<typeof PlainStatement>

/** Load committed to engines, and other inputs to the choice of a server. */
export const GatewayStatus = z.object({
  /** Units admitted since the process started, by workspace. */
  admitted: collections.dictionary(z.number()),
  /** Committed load, by server. */
  bookings: collections.dictionary(CommittedLoad),
  /** Load that callers offer, by service, as a number of busy engines. */
  offered: collections.dictionary(z.object({ prefill: z.number(), decode: z.number() })),
  /** Servers that are changing their stage, by order of the gateway or as observed by it. */
  switching: collections.list(z.string()),
  /** Recent requests by server, and how many of them failed. */
  outcomes: collections.dictionary(z.tuple([z.number(), z.number()])),
  /** Servers that have announced that they are leaving, with the start time of the incarnation in milliseconds since the Unix epoch, or 0. */
  leaving: collections.dictionary(z.number()),
  /** Limits that servers state; absent where there are none, and from gateways that do not know limits. */
  limits: collections.dictionary(LimitStatement).optional(),
  /**
   * Generations a second that arrive at services whose routes have different priorities, and their memory in tokens a second, by service and
   * level of urgency; absent where there are none, and from gateways that do not know them.
   */
  arrivals: collections.dictionary(collections.list(z.tuple([z.number().nonnegative(), z.number().nonnegative()]))).optional(),
  /**
   * Number of events and the time between them in milliseconds, by decode server, as decaying sums; absent where they are not measured, and from
   * gateways that do not know them.
   */
  intervals: collections.dictionary(z.tuple([z.number().nonnegative(), z.number().nonnegative()])).optional(),
  /** Evidence on parts of prompts that may end servers; absent where there is none, and from gateways that do not know it. */
  parts: collections.dictionary(PartStatement).optional(),
  /** Requests that wait for decode memory, by service; absent where none wait, and from gateways that do not know it. */
  waiting: collections.dictionary(collections.list(WaitingStatement)).optional(),
  /** What servers' answers said about their cold times; absent where there is nothing, and from gateways that do not know cold servers. */
  cold: collections.dictionary(ColdStatement).optional(),
  /** Servers that recover; absent where there are none, and from gateways that do not know their pace. */
  paces: collections.dictionary(PaceStatement).optional(),
  /** Load of servers that report their slowness; absent where there are none, and from gateways that do not know it. */
  plain: collections.dictionary(PlainStatement).optional()
})
export type GatewayStatus = z.infer<typeof GatewayStatus>

/** The state of one gateway. */
export const PeerState = z.object({
  node: z.string(),
  zone: z.string(),
  boot: z.string(),
  /** Revision of the store replica. */
  revision: z.number(),
  /** Absent where the message contains the aggregate of the gateway's zone. */
  work: GatewayStatus.optional()
})
export type PeerState = z.infer<typeof PeerState>

/** The aggregate of all gateways of a zone, computed by one of them. */
export const ZoneAggregate = z.object({
  zone: z.string(),
  /** The gateway that computed the aggregate. */
  teller: z.string(),
  boot: z.string(),
  /** Sequence number of the aggregate since the process started. */
  sequence: z.number(),
  /** Gateways included in the aggregate, with the time since each was last seen, in milliseconds. */
  heard: collections.dictionary(z.number()),
  work: GatewayStatus
})
export type ZoneAggregate = z.infer<typeof ZoneAggregate>

/** A gossip message from one gateway to another. */
export const GossipMessage = z.object({
  own: PeerState,
  /** Zone aggregates, with their ages in milliseconds. */
  zones: collections.list(z.object({ ageMs: z.number(), state: ZoneAggregate }))
})
export type GossipMessage = z.infer<typeof GossipMessage>

/** A gateway's order for permits of a server, to the gateway that issues them. */
export const PermitOrder = z.object({
  /** The gateway that orders. */
  node: z.string(),
  server: z.string(),
  wanted: z.number().int().nonnegative(),
  /** Requests that the gateway sent without a permit since its last order; negative for permits that it did not use. */
  spent: z.number().int(),
  statement: LimitStatement.optional(),
  /** Requests a second and depth of the limit of a server that is cold as far as the gateway knows: the issuer may not know it yet. */
  cold: z.tuple([z.number(), z.number()]).optional()
})
export type PermitOrder = z.infer<typeof PermitOrder>

export const PermitGrant = z.object({
  granted: z.number().int().nonnegative(),
  /** Time after which a gateway that got fewer permits than it wanted may order again, in milliseconds. */
  waitMs: z.number().nonnegative(),
  statement: LimitStatement.optional(),
  /** Whether the issuer applied the limit of a cold server; absent from gateways that do not know cold servers. */
  isCold: z.boolean().optional()
})
export type PermitGrant = z.infer<typeof PermitGrant>

/** A gateway's request to try a prompt with suspected parts, or the end of a trial, to the gateway that grants trials of the parts. */
export const TrialOrder = z.object({
  node: z.string(),
  parts: collections.list(z.string()),
  /** Identifies the trial among those of the gateway. */
  trial: z.string(),
  isFinished: z.boolean(),
  /** What the gateway knows of the parts. */
  evidence: collections.dictionary(PartStatement)
})
export type TrialOrder = z.infer<typeof TrialOrder>

export const TrialGrant = z.object({
  isGranted: z.boolean(),
  /** What the granting gateway knows of the parts. */
  evidence: collections.dictionary(PartStatement)
})
export type TrialGrant = z.infer<typeof TrialGrant>

/** All keys of the store replica. */
export const Snapshot = z.object({
  revision: z.number(),
  items: collections.list(z.object({ key: z.string(), value: z.string(), revision: z.number() }))
})

/** A message as sent over HTTP. */
export interface Encoded {
  readonly headers: Readonly<Record<string, string>>
  readonly body: buffer.Buffer
}

export function encode (message: unknown, isSameZone: boolean): Encoded {
  const text = buffer.Buffer.from(JSON.stringify(message))
  if (isSameZone && text.length <= maximumUncompressedBytes) {
    return { headers: { 'content-type': 'application/json' }, body: text }
  }
  return {
    headers: { 'content-type': 'application/json', 'content-encoding': 'deflate' },
    body: zlib.deflateSync(text, { level: isSameZone ? sameZoneCompressionLevel : crossZoneCompressionLevel })
  }
}

/** Throws if the bytes are not JSON, or exceed the limits on size and values once decompressed. */
export function decode (bytes: buffer.Buffer, encoding: string | undefined): unknown {
  const text = encoding === 'deflate' ? zlib.inflateSync(bytes, { maxOutputLength: maximumMessageBytes }) : bytes
  return boundedJson.parseBounded(text)
}
