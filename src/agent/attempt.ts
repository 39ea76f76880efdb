/**
 * One attempt as the gate sees it, from its arrival until nothing of it is held.
 */
import * as frameLogs from './frame_log.js'
import * as ledgers from './memory_ledger.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'

export type State = 'queued' | 'running' | 'finished' | 'cancelled'

/** What a task asks of the server. */
export interface Demand {
  readonly kind: work.TaskKind
  readonly model: string
  /** Prompt tokens to be prefilled here. */
  readonly prefillTokens: number
  readonly promptTokens: number
  readonly maximumTokens: number
}

/** What is known of an attempt when it arrives. */
export interface Arrival {
  readonly key: string
  readonly id: work.AttemptKey
  readonly workspace: string
  readonly weight: number
  readonly session: string
  readonly task: work.Task
  readonly demand: Demand
  /** Expected tokens of the whole attempt, for the fair order. */
  readonly cost: number
  /** Expected pieces of memory. */
  readonly pieces: number
  readonly queuedAtMs: number
  /** When the attempt is refused if it has not started. */
  readonly deadlineMs: number
  /** Whether the attempt uses room that was promised to it. */
  readonly isPromised: boolean
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
  readonly isPromised: boolean
  readonly frames = new frameLogs.FrameLog()
  /** Session that receives the frames. */
  session: string
  /** Dropped once the order has been given. */
  task: work.Task | undefined
  state: State = 'queued'
  /** Whether the attempt ran, as far as is known now. */
  verdict: verdicts.Verdict = 'not_run'
  /** Number of the order to the server; 0 before the launch. */
  order = 0
  startedAtMs = 0
  /** Time of the last output, in milliseconds. */
  progressAtMs = 0
  outputTokens = 0
  /** Whether the server has reported the end of its work. */
  isServerDone = false
  /** Whether an abort has been ordered. */
  isAborting = false
  /** Whether the prompt has been prefilled. */
  isPrefilled = false
  holding: ledgers.Holding | undefined

  constructor (arrival: Arrival) {
    this.key = arrival.key
    this.id = arrival.id
    this.workspace = arrival.workspace
    this.weight = arrival.weight
    this.demand = arrival.demand
    this.cost = arrival.cost
    this.pieces = arrival.pieces
    this.queuedAtMs = arrival.queuedAtMs
    this.deadlineMs = arrival.deadlineMs
    this.isPromised = arrival.isPromised
    this.session = arrival.session
    this.task = arrival.task
  }
}

/** Returns a text that identifies one attempt at one request. */
export function createKey (id: work.AttemptKey): string {
  return `${id.request.length}:${id.request}${id.attempt}`
}

/** Returns what a task asks of the server, which has so many of its prompt tokens cached. */
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

/** Returns what an offered task would ask of the server. */
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
