/**
 * The events and actions of the gate.
 */
import * as events from '../contracts/events.js'
import * as failures from '../contracts/failure.js'
import * as protocol from '../contracts/protocol.js'
import * as work from '../contracts/work.js'

/** Capacity of the backend server. */
export interface Capacity {
  readonly role: 'prefill' | 'decode' | 'service'
  /** Requests that the server processes concurrently. */
  readonly slots: number
  /** Pieces of engine memory (blocks of the KV cache); 0 for a service without an engine. */
  readonly memoryPieces: number
  readonly pieceTokens: number
  readonly prefillTokensPerSecond: number
  /** Expected time of a decode step before any was observed. */
  readonly stepMs: number
  /** Longest acceptable mean time between tokens. */
  readonly betweenTokensTargetMs: number
  /** Longest queue, in attempts. */
  readonly queueLimit: number
  /** How long the engine keeps the KV cache of a finished prefill. */
  readonly transferKeptMs: number
}

/** Retention of ended attempts. */
export interface Retention {
  /** Maximum number of attempts in the table. */
  readonly attemptsKept: number
  readonly attemptsKeptMs: number
  /** Longest delay of a message within its session; ended attempts are kept at least this long. */
  readonly lateArrivalMs: number
}

export interface GateOptions {
  /** Name of the backend server, for messages. */
  readonly server: string
  readonly boot: string
  /** Fencing token of this boot, sent with every order. */
  readonly fence: number
  readonly capacity: Capacity
  readonly retention: Retention
  /** Delay before an unconfirmed abort is sent again. */
  readonly abortRetryMs: number
}

/** Methods that the gate answers. */
export type GateMethod = 'work.offer' | 'work.release' | 'work.start' | 'work.cancel' | 'work.resume'

/** A call over a session; `call` identifies it in the answer. */
export type GateCall = {
  readonly [Method in GateMethod]: {
    readonly kind: Method
    readonly nowMs: number
    readonly call: number
    readonly session: string
    readonly params: protocol.Params<Method>
  }
}[GateMethod]

export type CallOf<Method extends GateMethod> = Extract<GateCall, { readonly kind: Method }>

/** Result of an order that succeeded. */
export interface Completion {
  readonly reason: 'stop' | 'length' | 'prefilled' | 'answered'
  readonly usage?: work.Usage
  readonly transfer?: work.TransferHandle
  readonly answer?: work.ServiceAnswer
}

/** A report of the backend server on an order. */
export type BackendEvent =
  | { readonly kind: 'backend.progress', readonly nowMs: number, readonly order: number, readonly text: string, readonly tokens: number }
  | { readonly kind: 'backend.finished', readonly nowMs: number, readonly order: number, readonly completion: Completion }
  /** `released` is true if the server is known to have released all resources of the order. */
  | { readonly kind: 'backend.failed', readonly nowMs: number, readonly order: number, readonly failure: failures.Failure, readonly released: boolean }
  /** The server confirmed an abort. */
  | { readonly kind: 'backend.released', readonly nowMs: number, readonly order: number }

export type GateEvent =
  | GateCall
  | BackendEvent
  | { readonly kind: 'work.acknowledge', readonly nowMs: number, readonly notice: protocol.Notice<'work.acknowledge'> }
  | { readonly kind: 'session.opened', readonly nowMs: number, readonly session: string }
  | { readonly kind: 'session.expired', readonly nowMs: number, readonly session: string }
  | { readonly kind: 'cache.changed', readonly nowMs: number, readonly change: CacheChange }
  | { readonly kind: 'configure', readonly nowMs: number, readonly capacity: Capacity }
  | { readonly kind: 'drain', readonly nowMs: number }
  /** Reverts a drain. */
  | { readonly kind: 'undrain', readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** Prefixes that were added to or evicted from the engine's cache. */
export interface CacheChange {
  readonly stored: readonly string[]
  readonly evicted: readonly string[]
}

/** An order to the backend server. */
export interface Order {
  /** Number of the order within this boot. */
  readonly order: number
  readonly fence: number
  readonly id: work.AttemptKey
  readonly workspace: string
  readonly task: work.Task
}

export type CallAnswer = protocol.Answer<GateMethod>

export type GateAction =
  | { readonly kind: 'answer', readonly call: number, readonly result: failures.Result<CallAnswer> }
  | { readonly kind: 'launch', readonly order: Order }
  | { readonly kind: 'abort', readonly order: number, readonly fence: number, readonly id: work.AttemptKey }
  | { readonly kind: 'send', readonly session: string, readonly id: work.AttemptKey, readonly frame: work.Frame }
  | { readonly kind: 'leaving', readonly load: work.Load }
  /** A drain is complete: no work, unacknowledged end or reservation is left. */
  | { readonly kind: 'idle' }
  | { readonly kind: 'record', readonly draft: events.EventDraft }

/** Counters of the gate's state. */
export interface GateFigures {
  /** Pieces of memory: held, expected to be held, and total. */
  readonly held: number
  readonly expected: number
  readonly total: number
  /** Attempts that hold resources on the server. */
  readonly holders: number
  readonly reservations: number
  /** Queued and running attempts. */
  readonly live: number
  /** Ended attempts and tombstones in the table. */
  readonly remembered: number
  /** Live attempts, and ended attempts whose end is not acknowledged. */
  readonly unsettled: number
}
