/**
 * The interface between an agent and its backend server, which is a model engine or a plain service.
 */
import * as failures from '../contracts/failure.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

/** Receives the progress and the results of orders. */
export abstract class BackendObserver {
  abstract progress (order: number, text: string, tokens: number): void
  abstract finished (order: number, completion: types.Completion): void
  /** `released` tells whether the server is known to hold no resources of the order any more. */
  abstract failed (order: number, failure: failures.Failure, released: boolean): void
}

/** Identifies an order to abort. */
export interface AbortRequest {
  readonly order: number
  readonly fence: number
  readonly id: work.AttemptKey
}

export abstract class Backend {
  /** Starts an order and notifies the observer until it has finished or failed. */
  abstract launch (order: types.Order, observer: BackendObserver): void
  /** Aborts an order. Resolves to whether the server is known to hold no resources of it any more. */
  abstract abort (abort: AbortRequest): Promise<boolean>
  abstract close (): Promise<void>
}

/** Load as reported by the engine; lags behind its actual state. */
export interface EngineLoad {
  readonly running: number
  readonly waiting: number
  /** Fraction of the KV cache memory in use, from 0 to 1. */
  readonly memoryUsage: number
}

/** Changes of the prefix cache. */
export interface CacheReport extends types.CacheChange {
  /** Number of the last change included. */
  readonly last: number
  /** Whether earlier changes are missing. */
  readonly hasGap: boolean
}

/** A command that applies to the engine as a whole. */
export type EngineCommand =
  | { readonly kind: 'load_model', readonly model: string }
  | { readonly kind: 'change_role', readonly role: 'prefill' | 'decode' }

export abstract class Engine extends Backend {
  abstract readLoad (): Promise<failures.Result<EngineLoad>>
  /** Reads the changes of the prefix cache that follow the change with the given number. */
  abstract readCacheChanges (since: number): Promise<failures.Result<CacheReport>>
  /** Sends a command with a fencing token; an engine that checks tokens refuses an older one. */
  abstract sendCommand (command: EngineCommand, fence: number): Promise<failures.Result<void>>
}

export abstract class Service extends Backend {}
