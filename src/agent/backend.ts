/**
 * The backend server as its agent sees it: a model engine or a plain service.
 */
import * as failures from '../contracts/failure.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

/** Receives what a backend server reports about orders. */
export abstract class BackendObserver {
  abstract progress (order: number, text: string, tokens: number): void
  abstract finished (order: number, completion: types.Completion): void
  /** `released` tells whether the server is known to hold nothing of the order any more. */
  abstract failed (order: number, failure: failures.Failure, released: boolean): void
}

/** Names the order that is to be given up. */
export interface Abort {
  readonly order: number
  readonly fence: number
  readonly id: work.AttemptKey
}

export abstract class Backend {
  /** Gives an order; the observer hears of it until it has finished or failed. */
  abstract launch (order: types.Order, observer: BackendObserver): void
  /** Gives an order up. Resolves to whether the server is known to hold nothing of it any more. */
  abstract abort (abort: Abort): Promise<boolean>
  abstract close (): Promise<void>
}

/** Load as an engine reports it, with a lag. */
export interface EngineLoad {
  readonly running: number
  readonly waiting: number
  /** Share of the memory in use, from 0 to 1. */
  readonly memoryUsage: number
}

/** Changes of the prefix cache. */
export interface CacheReport extends types.CacheChange {
  /** Number of the last change. */
  readonly last: number
  /** Whether changes before that one were missed. */
  readonly hasGap: boolean
}

/** An order that concerns the engine as a whole. */
export type Directive =
  | { readonly kind: 'load_model', readonly model: string }
  | { readonly kind: 'change_role', readonly role: 'prefill' | 'decode' }

export abstract class Engine extends Backend {
  abstract readLoad (): Promise<failures.Result<EngineLoad>>
  /** Reads the changes of the prefix cache after the one with the given number. */
  abstract readCache (since: number): Promise<failures.Result<CacheReport>>
  /** Orders the engine under a fencing number; an engine that checks them refuses an old one. */
  abstract direct (directive: Directive, fence: number): Promise<failures.Result<void>>
}

export abstract class Service extends Backend {}
