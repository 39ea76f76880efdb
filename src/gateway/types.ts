/**
 * Types shared by the modules of the gateway, and the interfaces to the protocol and to stored documents.
 */
import type * as buffer from 'node:buffer'
import * as failures from '../contracts/failure.js'
import * as routing from '../contracts/routing.js'

/** Token counts of a generation as its caller states them. */
export interface GenerationSizes {
  readonly promptTokens: number
  /** Upper bound of the output. */
  readonly maximumOutputTokens: number
  /** The caller's estimate of the output length; often far off. */
  readonly hintedOutputTokens: number | undefined
}

/** A caller's request as its headers state it. */
export interface Arrival {
  /** Identifier of this attempt, set by the caller. */
  readonly id: string | undefined
  readonly method: string
  /** Includes the query. */
  readonly path: string
  readonly host: string
  readonly rawHeaders: readonly string[]
  /** SHA-256 of the key in hexadecimal; the key itself is not kept. */
  readonly keyHash: string | undefined
  /** Time-out of the caller, in milliseconds from the arrival. */
  readonly callerTimeoutMs: number | undefined
  readonly sizes: GenerationSizes | undefined
  /** Identifiers of the parts of the prompt that other requests may share; the last part belongs to the request or its session. */
  readonly sharedParts: readonly string[]
  /** Identifier of the last event that the caller received of a stream that it resumes. */
  readonly resumeAfter: string | undefined
}

/** Location from which a server fetches the KV cache of a prompt. */
export interface CacheSource {
  readonly address: string
  readonly handle: string
}

/** Parameters of forwarding one request to a server. */
export interface ForwardPlan {
  readonly server: routing.RoutedServer
  readonly remainingMs: number
  readonly workspace: string | undefined
  readonly purpose: 'run' | 'prefill'
  readonly cache?: CacheSource | undefined
  /** Identifier of a reservation at the server that this request consumes. The header on the wire is `Hold`. */
  readonly reservation?: string | undefined
  /** Identifier of the last event delivered to the caller; the stream resumes after it. */
  readonly resumeAfter?: string | undefined
  /** Position of the request in the order of the server's work, 0 for the most urgent; absent where requests are not ranked. */
  readonly rank?: number | undefined
}

/** A request to a server, ready to be sent. */
export interface OutgoingRequest {
  /** Identifier that the server repeats in its answer; undefined for calls that the gateway makes on its own behalf. */
  readonly requestId: string | undefined
  readonly method: string
  readonly path: string
  /** Names and values, alternating. */
  readonly headers: readonly string[]
  readonly body: buffer.Buffer | undefined
}

/** Load that a server reports with an answer. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Factor by which work takes longer on the server's VM than usual; absent if the report states none. */
  readonly slowness?: number
  /** Whether the report states a slowness that is not acceptable. */
  readonly hasInvalidSlowness?: boolean
}

/** Information in the headers of a server's answer. */
export interface AnswerFacts {
  /** Identifier of the request that the answer belongs to. */
  readonly requestId: string | undefined
  /** The server states that it has not run the request and never will. */
  readonly isNotRun: boolean
  /** Whether the answer carries the signature that marks it as the server's own. */
  readonly isSigned: boolean
  /** Whether the body is a stream of events. */
  readonly isStream: boolean
  readonly load: ReportedLoad | undefined
  /** Idle time-out of the connection at the server, in milliseconds. */
  readonly idleMs: number | undefined
  /** The server is about to shut down. */
  readonly isLeaving: boolean
  /** Time for which the server asks this gateway to send it nothing, in milliseconds. */
  readonly backOffMs: number | undefined
  /** Requests a second that the server takes from all gateways together; undefined if it states no limit. */
  readonly limitPerSecond: number | undefined
  /** How long the server stays cold, in milliseconds; undefined if it does not say. */
  readonly coldLeftMs?: number | undefined
}

/** A prompt that a server has prefilled. */
export interface PrefilledPrompt {
  readonly handle: string
  readonly tokens: number
}

/** An order to change the stage of an engine. */
export interface StageOrder {
  readonly stage: routing.EngineStage
  readonly holder: string
  readonly fence: number
  /** Number of orders that the engine must have accepted so far; otherwise it refuses the order. */
  readonly expectedOrders: number | undefined
}

/** State that an engine reports; up to some hundred milliseconds old. */
export interface EngineReport {
  readonly stage: routing.EngineStage
  readonly isBusy: boolean
  readonly orders: number
  readonly running: number
  readonly waiting: number
  readonly usedTokens: number
  readonly totalTokens: number
}

/** The protocol between callers, gateway and servers. Performs no input or output. */
export abstract class Dialect {
  /** Path of the readiness probe. */
  abstract readonly readinessPath: string
  abstract readArrival (method: string, url: string, rawHeaders: readonly string[]): Arrival
  abstract writeRequest (arrival: Arrival, body: buffer.Buffer | undefined, plan: ForwardPlan): OutgoingRequest
  abstract readAnswer (status: number, rawHeaders: readonly string[]): AnswerFacts
  /** Returns the headers that are passed on to the caller. */
  abstract selectReturned (rawHeaders: readonly string[]): readonly string[]
  /** Returns the headers of a refusal or failure that the gateway itself generates. */
  abstract writeFailure (arrival: Arrival | undefined, retryAfterMs: number | undefined): readonly string[]

  abstract writeReservationRequest (server: routing.RoutedServer, tokens: number, ttlMs: number): OutgoingRequest
  abstract readReservation (body: buffer.Buffer): failures.Result<string>
  abstract writeReservationRelease (server: routing.RoutedServer, reservation: string): OutgoingRequest
  abstract readPrefilled (body: buffer.Buffer): failures.Result<PrefilledPrompt>
  abstract writeCacheRelease (server: routing.RoutedServer, handle: string): OutgoingRequest
  abstract writeStageOrder (server: routing.RoutedServer, order: StageOrder): OutgoingRequest
  abstract writeReportRequest (server: routing.RoutedServer): OutgoingRequest
  abstract readReport (body: buffer.Buffer): failures.Result<EngineReport>
}

/** Parses the documents of the platform's store. */
export abstract class StoredDocuments {
  abstract readonly routingKey: string
  abstract readonly serverPrefix: string
  /** Prefix of the keys whose remainders name evacuated zones; undefined if there are no evacuations. */
  readonly evacuationPrefix: string | undefined = undefined
  abstract readRouting (value: string): failures.Result<routing.RoutingDocument>
  /** `id` is the key without the prefix. */
  abstract readServer (id: string, value: string): failures.Result<routing.RoutedServer>
}
