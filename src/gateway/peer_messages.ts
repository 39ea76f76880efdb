/**
 * What gateways tell each other, and how it is written.
 */
import * as buffer from 'node:buffer'
import * as zlib from 'node:zlib'
import * as z from 'zod'

/** Largest message before compression, in bytes; a copy of the store with a large configuration stays below. */
export const longestMessageBytes = 16_777_216
/** Messages up to this length stay as they are within a zone, in bytes: compression costs more there than it saves. */
const plainBytes = 4_096
/** Levels of compression within a zone and between zones, whose links are paid by the byte. */
const nearLevel = 1
const farLevel = 6

const Booking = z.object({ runs: z.number(), tokens: z.number(), unread: z.number() })

/** What is under way at engines, and what bears on the choice of a server. */
const Work = z.object({
  /** Units admitted in this life, by workspace. */
  admitted: z.record(z.string(), z.number()),
  /** What is under way, by server. */
  bookings: z.record(z.string(), Booking),
  /** Load that callers offer, by service, in busy engines. */
  offered: z.record(z.string(), z.object({ prefill: z.number(), decode: z.number() })),
  /** Servers that change their stage by order of the gateway. */
  switching: z.array(z.string()),
  /** Recent sends by server, and how many of them failed. */
  outcomes: z.record(z.string(), z.tuple([z.number(), z.number()])),
  /** Servers that have said that they leave, with the start of their life in milliseconds since the Unix epoch, or 0. */
  leaving: z.record(z.string(), z.number())
})
export type Work = z.infer<typeof Work>

/** The state of one gateway. */
export const PeerState = z.object({
  node: z.string(),
  zone: z.string(),
  boot: z.string(),
  /** Revision of the copy of the store. */
  revision: z.number(),
  /** Absent where the sum of the gateway's zone comes along. */
  work: Work.optional()
})
export type PeerState = z.infer<typeof PeerState>

/** The sum of all gateways of a zone, as one of them tells it. */
export const ZoneState = z.object({
  zone: z.string(),
  /** The gateway that has made the sum. */
  teller: z.string(),
  boot: z.string(),
  /** Counts the sums of this life. */
  sequence: z.number(),
  /** Gateways that are part of the sum, with the time since they were heard, in milliseconds. */
  heard: z.record(z.string(), z.number()),
  work: Work
})
export type ZoneState = z.infer<typeof ZoneState>

/** What one gateway tells another. */
export const PeerNews = z.object({
  own: PeerState,
  /** Sums of zones, with the time since they were made, in milliseconds. */
  zones: z.array(z.object({ ageMs: z.number(), state: ZoneState }))
})
export type PeerNews = z.infer<typeof PeerNews>

/** A copy of the store. */
export const Snapshot = z.object({
  revision: z.number(),
  items: z.array(z.object({ key: z.string(), value: z.string(), revision: z.number() }))
})

/** A message as it is sent. */
export interface Encoded {
  readonly headers: Readonly<Record<string, string>>
  readonly body: buffer.Buffer
}

export function encode (message: unknown, isNear: boolean): Encoded {
  const text = buffer.Buffer.from(JSON.stringify(message))
  if (isNear && text.length <= plainBytes) {
    return { headers: { 'content-type': 'application/json' }, body: text }
  }
  return {
    headers: { 'content-type': 'application/json', 'content-encoding': 'deflate' },
    body: zlib.deflateSync(text, { level: isNear ? nearLevel : farLevel })
  }
}

/** Throws if the bytes are no JSON, or too much of it. */
export function decode (bytes: buffer.Buffer, encoding: string | undefined): unknown {
  const text = encoding === 'deflate' ? zlib.inflateSync(bytes, { maxOutputLength: longestMessageBytes }) : bytes
  return JSON.parse(text.toString('utf8'))
}
