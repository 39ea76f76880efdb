/**
 * The state of one attempt in the gate, from its arrival until the server has released all of its resources.
 */
import * as frameLogs from './frame_log.js'
import * as ledgers from './memory_ledger.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'

export type State = 'queued' | 'running' | 'finished' | 'cancelled'

/** Resources that a task needs on the server. */
export interface Demand {
  readonly kind: work.TaskKind
  readonly model: string
  /** Prompt tokens to prefill on this server. */
  readonly prefillTokens: number
  readonly promptTokens: number
  readonly maximumTokens: number
}

/** The initial values of an attempt. */
export interface AttemptOptions {
  readonly key: string
  readonly id: work.AttemptKey
  readonly workspace: string
  readonly weight: number
  readonly session: string
  readonly task: work.Task
  readonly demand: Demand
  /** Expected tokens of the whole attempt, used by the fair queue. */
  readonly cost: number
  /** Expected pieces of memory. */
  readonly pieces: number
  readonly queuedAtMs: number
  /** Time at which the attempt is refused unless it has started. */
  readonly deadlineMs: number
  /** Whether the attempt uses capacity that was reserved for it. */
  readonly hasReservation: boolean
}

export class Attempt {
  readonly key: string
  readonly id: work.AttemptKey
  readonly workspace: string
  readonly weight: number
  readonly demand: Demand
  readonly cost: number
  readonly pieces: number
  readonly queuedAtMs: number
  readonly deadlineMs: number
  readonly hasReservation: boolean
  readonly frames = new frameLogs.FrameLog()
  /** Session that receives the frames. */
  session: string
  /** Unset once the order has been sent. */
  task: work.Task | undefined
  state: State = 'queued'
  /** Whether the attempt has run, as far as is known. */
  verdict: verdicts.Verdict = 'not_run'
  /** Number of the order to the server; 0 before the launch. */
  order = 0
  startedAtMs = 0
  /** Time of the last output. */
  progressAtMs = 0
  outputTokens = 0
  /** Whether the server has reported the end of its work. */
  isServerDone = false
  /** Whether an abort has been sent to the server. */
  isAborting = false
  /** Whether the prompt has been prefilled. */
  isPrefilled = false
  allocation: ledgers.Allocation | undefined

  constructor (options: AttemptOptions) {
    this.key = options.key
    this.id = options.id
    this.workspace = options.workspace
    this.weight = options.weight
    this.demand = options.demand
    this.cost = options.cost
    this.pieces = options.pieces
    this.queuedAtMs = options.queuedAtMs
    this.deadlineMs = options.deadlineMs
    this.hasReservation = options.hasReservation
    this.session = options.session
    this.task = options.task
  }
}

/** Returns a unique key for an attempt of a request; the length prefix keeps the parts unambiguous. */
export function createKey (id: work.AttemptKey): string {
  return `${id.request.length}:${id.request}${id.attempt}`
}

/** Returns the demand of a task on a server that has cached `cachedTokens` of its prompt. */
export function createDemand (task: work.Task, cachedTokens: number): Demand {
  if (task.kind === 'call') {
    return { kind: 'call', model: task.call.service, prefillTokens: 0, promptTokens: 0, maximumTokens: 0 }
  }
  const { model, promptTokens, maximumTokens } = task.generation
  const hasTransfer = task.kind === 'decode' && task.transfer !== undefined
  return {
    kind: task.kind,
    model,
    promptTokens,
    prefillTokens: hasTransfer ? 0 : Math.max(0, promptTokens - cachedTokens),
    maximumTokens: task.kind === 'prefill' ? 1 : maximumTokens
  }
}

/** Returns the demand that an offered task would have. */
export function createOfferedDemand (offer: work.Offer, cachedTokens: number): Demand {
  const isPrefill = offer.kind === 'prefill'
  return {
    kind: offer.kind,
    model: offer.model,
    promptTokens: offer.promptTokens,
    prefillTokens: isPrefill ? Math.max(0, offer.promptTokens - cachedTokens) : 0,
    maximumTokens: isPrefill ? 1 : offer.maximumTokens
  }
}
