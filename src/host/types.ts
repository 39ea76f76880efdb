/**
 * Interfaces to the environment: clock, random numbers, log, key-value store and list of VMs. Every process
 * receives one `System`; tests and benchmarks pass their own.
 */
import * as failures from '../contracts/failure.js'
import * as machines from '../contracts/machine.js'

/** Cancels a timer or subscription. Idempotent. */
export type Stop = () => void

/** Time and timers. */
export abstract class Clock {
  /** Milliseconds since an arbitrary start; never decreases. */
  abstract monotonicMs (): number
  /** Milliseconds since the Unix epoch; may jump. */
  abstract wallMs (): number
  /** Runs the action once after the delay in milliseconds. */
  abstract after (delayMs: number, action: () => void): Stop

  /** Runs the action every `periodMs` milliseconds until stopped. */
  every (periodMs: number, action: () => void): Stop {
    const run = (): void => {
      stop = this.after(periodMs, run)
      action()
    }
    let stop = this.after(periodMs, run)
    return () => stop()
  }

  /** Resolves after the delay in milliseconds. */
  sleep (delayMs: number): Promise<void> {
    return new Promise(resolve => {
      this.after(delayMs, resolve)
    })
  }
}

/** Random numbers. */
export abstract class Random {
  /** Returns a number in [0, 1). */
  abstract nextUnit (): number
  /** Returns a unique identifier of 22 or more URL-safe characters. */
  abstract nextId (): string

  /** Returns an integer in [0, bound). */
  nextInteger (bound: number): number {
    return Math.floor(this.nextUnit() * bound)
  }
}

/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** A log. Lines are written only for changes of state. */
export abstract class Log {
  abstract info (message: string, fields?: LogFields): void
  abstract warn (message: string, fields?: LogFields): void
  abstract error (message: string, fields?: LogFields): void
}

/** A key of the platform's store with its value. Revisions count the store's commits. */
export interface StoreEntry {
  readonly key: string
  readonly value: string
  readonly createRevision: number
  readonly modRevision: number
}

/** A condition of a transaction; a revision of 0 means that the key does not exist. */
export interface StoreComparison {
  readonly key: string
  readonly target: 'mod' | 'create'
  readonly revision: number
}

export type StoreOperation =
  | { readonly kind: 'put', readonly key: string, readonly value: string, readonly lease?: string }
  | { readonly kind: 'delete', readonly key: string }
  | { readonly kind: 'get', readonly key: string }

export interface StoreTransaction {
  readonly compare: readonly StoreComparison[]
  readonly success: readonly StoreOperation[]
  readonly failure: readonly StoreOperation[]
}

export interface StoreCommit {
  /** Whether every comparison held, so that `success` was executed and not `failure`. */
  readonly succeeded: boolean
  readonly revision: number
  /** Results of the `get` operations, in order; `undefined` for a missing key. */
  readonly reads: readonly (StoreEntry | undefined)[]
}

export interface StorePage {
  readonly entries: readonly StoreEntry[]
  /** The store's revision at the time of the read. */
  readonly revision: number
  /** Whether the range contains further keys. */
  readonly more: boolean
}

export interface StoreRange {
  readonly prefix: string
  /** Only keys that sort after this one are returned. */
  readonly after?: string
  readonly limit?: number
}

export type StoreEvent =
  | { readonly kind: 'put', readonly entry: StoreEntry }
  | { readonly kind: 'delete', readonly key: string, readonly modRevision: number }

export interface StoreLease {
  readonly id: string
  /** Time to live, counted from the moment when the request was sent. */
  readonly ttlMs: number
}

/**
 * The platform's key-value store. A failed write whose verdict is `may_have_run` may have taken effect; the caller
 * finds out by reading back.
 */
export abstract class Store {
  abstract read (key: string): Promise<failures.Result<StoreEntry | undefined>>
  abstract readRange (range: StoreRange): Promise<failures.Result<StorePage>>
  abstract commit (transaction: StoreTransaction): Promise<failures.Result<StoreCommit>>
  abstract grantLease (ttlMs: number): Promise<failures.Result<StoreLease>>
  abstract renewLease (id: string): Promise<failures.Result<StoreLease>>
  abstract revokeLease (id: string): Promise<failures.Result<void>>
  /**
   * Reports changes of keys with the prefix from the revision on, in order. `ended` is called once when the watch
   * fails; the caller then reads again and starts a new watch.
   */
  abstract watch (
    prefix: string,
    fromRevision: number,
    changed: (events: readonly StoreEvent[]) => void,
    ended: (failure: failures.Failure) => void
  ): Stop
}

/** The platform's list of live and leaving VMs. It lags behind the actual state. */
export abstract class MachineList {
  abstract read (): Promise<failures.Result<readonly machines.Machine[]>>
}

/** The environment that a process receives at its start. */
export abstract class System {
  abstract readonly clock: Clock
  abstract readonly random: Random
  abstract readonly log: Log
}
