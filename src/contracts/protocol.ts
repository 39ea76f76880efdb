/**
 * The JSON-RPC methods between the system's processes, with the schemas of their parameters and results.
 *
 * Every message also carries the sender's Lamport time and the highest configuration version it knows;
 * the links add and read them.
 */
import * as z from 'zod'
import * as configuration from './configuration.js'
import * as events from './events.js'
import * as identities from './identity.js'
import * as work from './work.js'

const Nothing = z.object({})

/** Opens a session, or takes one up again over a new connection. */
export const SessionOpen = z.object({
  session: z.string().min(1).max(64),
  identity: identities.Identity,
  /** Random text that the other side must include in its proof. */
  challenge: z.string().min(16).max(128),
  /** Proof of the deployment's credential over the challenge that the listener sent first. */
  proof: z.string()
})

/** Takes part of an allowance. The same charge sent twice counts once. */
export const AllowanceCharge = z.object({
  charge: z.string().min(1).max(64),
  workspace: z.string(),
  shard: z.number().int().nonnegative(),
  tokens: z.number().int().positive()
})

export const AllowanceGrant = z.object({
  granted: z.boolean(),
  /** Term of the keeper that decided. */
  term: z.number().int().nonnegative(),
  /** When the charge would be granted, in milliseconds; 0 when it was. */
  retryAfterMs: z.number().nonnegative(),
  /** Why the charge was not granted. */
  reason: z.enum(['exhausted', 'exceeds_burst', 'settled', 'not_keeper', 'not_yet']).optional(),
  /** With `exceeds_burst`: the burst that was exceeded. */
  burstTokens: z.number().optional(),
  /** With `not_keeper`: the keeper that the answering process knows of. */
  keeper: z.object({ node: z.string(), address: identities.Address }).optional()
})

/** Tells how many tokens of a charge were used; the rest is given back. */
export const AllowanceSettlement = z.object({
  charge: z.string().min(1).max(64),
  workspace: z.string(),
  shard: z.number().int().nonnegative(),
  usedTokens: z.number().int().nonnegative()
})

/** Level of one workspace's bucket below which the keeper does not go without a newer promise. */
export const AllowanceFloor = z.object({
  workspace: z.string(),
  tokens: z.number()
})

/** Asks a named successor not to take a shard over for a while. */
export const KeeperPromiseRequest = z.object({
  shard: z.number().int().nonnegative(),
  term: z.number().int().positive(),
  holder: z.string(),
  holderBoot: z.string(),
  /** How long the successor must wait from the receipt, in milliseconds. */
  forMs: z.number().positive(),
  floors: z.array(AllowanceFloor),
  /** Number of this announcement of floors within the term, from 1. */
  sequence: z.number().int().nonnegative().default(0),
  /** The floors left out are as in this announcement; 0 when the list is complete. */
  base: z.number().int().nonnegative().default(0),
  /** Boot of the successor that the floors are meant for; another boot takes nothing from the request. */
  toBoot: z.string().optional(),
  /** Whether the holder has stopped: its right has ended and earlier promises to it are void. */
  released: z.boolean().default(false),
  /** Revision of the holder's record in the store. */
  revision: z.number().int().nonnegative().default(0),
  /** How long the successor may use its share, counted from `echoMs`, once its promise has ended, in milliseconds. */
  shareMs: z.number().nonnegative().default(0),
  /** The time `atMs` of an earlier answer of the successor. */
  echoMs: z.number().default(0),
  /** Whether the process is asked to give up what it holds of the shard, and promises nothing. */
  forgo: z.boolean().default(false)
})

export const KeeperPromise = z.object({
  promised: z.boolean(),
  /** Highest term that the successor knows of. */
  term: z.number().int().nonnegative(),
  boot: z.string(),
  /** Announcement of floors that the successor holds for the holder's term; 0 for none. */
  sequence: z.number().int().nonnegative().default(0),
  /** Monotonic time of the answer in the successor's process, in milliseconds. */
  atMs: z.number().default(0),
  /** Whether the process uses nothing of the shard, has lent nothing to an earlier holder, and will not before its promise ends. */
  free: z.boolean().default(false),
  /** Whether the process has given up what it held of the shard, as asked. */
  forgone: z.boolean().default(false)
})

/** Asks for the configuration after a version. */
export const ConfigurationRequest = z.object({
  since: z.number().int().nonnegative()
})

/** Changes in order from `since` + 1 on, or a snapshot if those are no longer kept. */
export const ConfigurationAnswer = z.object({
  version: z.number().int().nonnegative(),
  changes: z.array(configuration.Change),
  snapshot: configuration.Snapshot.optional()
})

export const TimelineRequest = z.object({
  request: z.string().optional(),
  limit: z.number().int().positive().max(100_000)
})

export const StatusAnswer = z.object({
  identity: identities.Identity,
  configurationVersion: z.number().int().nonnegative(),
  state: z.enum(['starting', 'ready', 'draining']),
  uptimeMs: z.number().nonnegative(),
  /** Figures of the role, for display. */
  figures: z.record(z.string(), z.number())
})

/** Requests: answered exactly once. */
export const methods = {
  'session.open': { params: SessionOpen, result: z.object({ identity: identities.Identity, proof: z.string(), resumed: z.boolean() }) },
  'session.heartbeat': { params: z.object({ session: z.string() }), result: z.object({ load: work.Load.optional() }) },
  'session.close': { params: z.object({ session: z.string() }), result: Nothing },
  'work.offer': { params: work.Offer, result: work.OfferAnswer },
  'work.release': { params: z.object({ reservation: z.string() }), result: Nothing },
  'work.start': { params: work.Start, result: work.StartAnswer },
  'work.cancel': { params: work.Cancel, result: work.CancelAnswer },
  'work.resume': { params: work.Resume, result: work.ResumeAnswer },
  'allowance.charge': { params: AllowanceCharge, result: AllowanceGrant },
  'allowance.settle': { params: AllowanceSettlement, result: Nothing },
  'keeper.promise': { params: KeeperPromiseRequest, result: KeeperPromise },
  'configuration.read': { params: ConfigurationRequest, result: ConfigurationAnswer },
  'timeline.read': { params: TimelineRequest, result: z.object({ events: z.array(events.Event) }) },
  'status.read': { params: Nothing, result: StatusAnswer }
} as const
export type MethodName = keyof typeof methods
export type Params<Method extends MethodName> = z.infer<(typeof methods)[Method]['params']>
export type Answer<Method extends MethodName> = z.infer<(typeof methods)[Method]['result']>

/** Notifications: sent once, not answered. */
export const notifications = {
  /** The listener's first message on a connection: the text that the client's proof must cover. */
  'session.challenge': z.object({ challenge: z.string().min(16).max(128) }),
  /** Frames of attempts, to the session that started them or resumed them last. */
  'work.frames': work.FrameBatch,
  /** The frames up to an offset have arrived; the agent may forget a finished attempt. */
  'work.acknowledge': work.AttemptKey.extend({ offset: z.number().int().nonnegative() }),
  /** The sender's server takes no new work from now on. */
  'server.leaving': z.object({ load: work.Load }),
  /** A change of the configuration, passed on by a peer. */
  'configuration.changed': z.object({ change: configuration.Change })
} as const
export type NotificationName = keyof typeof notifications
export type Notice<Name extends NotificationName> = z.infer<(typeof notifications)[Name]>
