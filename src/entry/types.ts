/**
 * Types shared by the parts of an entry: its context, the job of one request, and the sink for its output.
 */
import * as allowances from '../allowances/types.js'
import * as configuration from '../contracts/configuration.js'
import * as documents from '../configuration/document.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as links from '../links/types.js'
import * as metrics from '../metrics/types.js'
import * as policies from './policy.js'
import * as settings from '../contracts/settings.js'
import * as timeline from '../timeline/types.js'
import * as work from '../contracts/work.js'

/** Dependencies and settings that an entry gets at its start. */
export interface EntryContext {
  readonly identity: identities.Identity
  readonly system: host.System
  readonly configuration: documents.ConfigurationView
  readonly links: links.LinkPool
  readonly allowances: allowances.Allowances
  readonly store: host.Store
  /** Prefix of all keys in the store; ends in a slash. */
  readonly storePrefix: string
  readonly limits: settings.Limits
  readonly timing: settings.Timing
  readonly meter: metrics.Meter
  readonly recorder: timeline.Recorder
  /** Defaults to the standard policy. */
  readonly policy?: policies.Policy
}

/** A generation to be served. */
export interface Job {
  readonly request: string
  readonly workspace: string
  /** Weight in fair queueing. */
  readonly weight: number
  readonly model: configuration.Model
  readonly generation: work.Generation
  /** Hashes of the prompt's prefixes, one for each full piece, shortest first. */
  readonly prefixes: readonly string[]
  /** Monotonic time at which the request arrived, in milliseconds. */
  readonly receivedAtMs: number
}

/** A finished generation. */
export interface Completion {
  readonly reason: 'stop' | 'length'
  readonly usage: work.Usage
}

/** Receives the text of a generation. */
export abstract class Sink {
  /** Whether text has been sent to the caller, so that it cannot be withdrawn. */
  abstract readonly isCommitted: boolean
  abstract write (text: string): void
  /** Discards text that has not been sent to the caller; a new attempt starts from the beginning. */
  abstract reset (): void
}
