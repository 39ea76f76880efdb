/**
 * Shapes shared by the modules of the gateway, and the wire as the gateway sees it.
 */
import type * as buffer from 'node:buffer'
import * as failures from '../contracts/failure.js'
import * as routing from '../contracts/routing.js'

/** Sizes of a generation as its caller states them, in tokens. */
export interface GenerationSizes {
  readonly promptTokens: number
  /** Bound on the output. */
  readonly maximumOutputTokens: number
  /** The caller's estimate of the output; often far off. */
  readonly hintedOutputTokens: number | undefined
}

/** A caller's request as its headers state it. */
export interface Arrival {
  /** Identifier that the caller gave this attempt. */
  readonly id: string | undefined
  readonly method: string
  /** With the query. */
  readonly path: string
  readonly host: string
  readonly rawHeaders: readonly string[]
  /** SHA-256 of the key in hexadecimal; the key itself is not kept. */
  readonly keyHash: string | undefined
  /** How long the caller waits, in milliseconds from the arrival. */
  readonly patienceMs: number | undefined
  readonly sizes: GenerationSizes | undefined
  /** Identifier of the last event that the caller has of a stream it resumes. */
  readonly resumeAfter: string | undefined
}

/** Where a server fetches the KV cache of a prompt from. */
export interface CacheSource {
  readonly address: string
  readonly handle: string
}

/** How a request goes to a server. */
export interface ForwardPlan {
  readonly server: routing.RoutedServer
  readonly remainingMs: number
  readonly workspace: string | undefined
  readonly purpose: 'run' | 'prefill'
  readonly cache?: CacheSource | undefined
  /** Reservation at the server, to be used up by this request. */
  readonly hold?: string | undefined
  /** Identifier of the last event that was delivered, to go on behind it. */
  readonly resumeAfter?: string | undefined
}

/** A request to a server, ready to be sent. */
export interface OutgoingRequest {
  /** Identifier that the server repeats in its answer; calls of the gateway's own have none. */
  readonly requestId: string | undefined
  readonly method: string
  readonly path: string
  /** Names and values in turn. */
  readonly headers: readonly string[]
  readonly body: buffer.Buffer | undefined
}

/** Load that a server tells with an answer. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** What the headers of a server's answer say. */
export interface AnswerFacts {
  /** Identifier of the request that the answer belongs to. */
  readonly requestId: string | undefined
  /** The server states that it has not run the request and never will. */
  readonly isNotRun: boolean
  /** Whether the answer bears the signature of a server's own answer. */
  readonly isSigned: boolean
  readonly load: ReportedLoad | undefined
  /** How long the server keeps the connection when idle, in milliseconds. */
  readonly idleMs: number | undefined
  /** The server is about to leave. */
  readonly isLeaving: boolean
  /** How long the server wants nothing more from this gateway, in milliseconds. */
  readonly backOffMs: number | undefined
}

/** A prompt that a server has read. */
export interface PrefilledPrompt {
  readonly handle: string
  readonly tokens: number
}

/** An order to change the stage of an engine. */
export interface StageOrder {
  readonly stage: routing.EngineStage
  readonly holder: string
  readonly fence: number
  /** Orders that the engine has accepted so far, or the order is refused. */
  readonly expectedOrders: number | undefined
}

/** State that an engine reports; some hundred milliseconds old. */
export interface EngineReport {
  readonly stage: routing.EngineStage
  readonly isBusy: boolean
  readonly orders: number
  readonly running: number
  readonly waiting: number
  readonly usedTokens: number
  readonly totalTokens: number
}

/** The protocol between callers, gateway and servers. Free of input and output. */
export abstract class Dialect {
  /** Path of the readiness probe. */
  abstract readonly readinessPath: string
  abstract readArrival (method: string, url: string, rawHeaders: readonly string[]): Arrival
  abstract writeRequest (arrival: Arrival, body: buffer.Buffer | undefined, plan: ForwardPlan): OutgoingRequest
  abstract readAnswer (status: number, rawHeaders: readonly string[]): AnswerFacts
  /** Returns the headers that go to the caller. */
  abstract selectReturned (rawHeaders: readonly string[]): readonly string[]
  /** Returns the headers of a refusal or failure of the gateway's own; the time to come back in milliseconds. */
  abstract writeFailure (arrival: Arrival | undefined, retryAfterMs: number | undefined): readonly string[]

  abstract writeHold (server: routing.RoutedServer, tokens: number, ttlMs: number): OutgoingRequest
  abstract readHold (body: buffer.Buffer): failures.Result<string>
  abstract writeHoldRelease (server: routing.RoutedServer, hold: string): OutgoingRequest
  abstract readPrefilled (body: buffer.Buffer): failures.Result<PrefilledPrompt>
  abstract writeCacheRelease (server: routing.RoutedServer, handle: string): OutgoingRequest
  abstract writeStageOrder (server: routing.RoutedServer, order: StageOrder): OutgoingRequest
  abstract writeReportRequest (server: routing.RoutedServer): OutgoingRequest
  abstract readReport (body: buffer.Buffer): failures.Result<EngineReport>
}

/** Reads what the platform stores into the product's terms. */
export abstract class StoredDocuments {
  abstract readonly routingKey: string
  abstract readonly serverPrefix: string
  abstract readRouting (value: string): failures.Result<routing.RoutingDocument>
  /** The identifier of the server is its key without the prefix. */
  abstract readServer (id: string, value: string): failures.Result<routing.RoutedServer>
}
