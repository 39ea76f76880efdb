/**
 * Events of the time line. Every process keeps a bounded ring of them.
 */
import * as z from 'zod'
import * as identities from './identity.js'

export const EventKind = z.enum([
  'process.started', 'process.draining', 'process.stopped',
  'link.opened', 'link.silent', 'link.closed',
  'request.received', 'request.refused', 'request.finished', 'request.abandoned',
  'grant.requested', 'grant.given', 'grant.refused', 'grant.settled',
  'reservation.made', 'reservation.used', 'reservation.lapsed',
  'attempt.sent', 'attempt.queued', 'attempt.started', 'attempt.finished', 'attempt.failed', 'attempt.refused',
  'cancel.sent', 'cancel.confirmed', 'cancel.tombstone',
  'transfer.started', 'transfer.finished', 'transfer.failed',
  'configuration.changed', 'configuration.refused',
  'keeper.acquired', 'keeper.extended', 'keeper.shared', 'keeper.lost'
])
export type EventKind = z.infer<typeof EventKind>

/** One event. Events sort by `tick`, then `node`, then `sequence`: a cause always sorts before its effect. */
export const Event = z.object({
  node: identities.Identity.shape.node,
  role: identities.Role,
  boot: z.string(),
  /** Position in the process's ring, from 1. */
  sequence: z.number().int().positive(),
  /** Lamport time. */
  tick: z.number().int().nonnegative(),
  /** Wall clock of the process in milliseconds; for display only. */
  wallMs: z.number(),
  kind: EventKind,
  request: z.string().optional(),
  attempt: z.string().optional(),
  workspace: z.string().optional(),
  /** Further typed details, for display. */
  details: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).optional()
})
export type Event = z.infer<typeof Event>

/** What the reporting code fills in; the recorder adds the rest. */
export type EventDraft = Pick<Event, 'kind' | 'request' | 'attempt' | 'workspace' | 'details'>
