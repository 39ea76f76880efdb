/**
 * Server selection (power of two choices) and admission by predicted time to first token. Pure functions; the caller
 * supplies the random numbers.
 */
import * as configuration from '../contracts/configuration.js'
import * as failures from '../contracts/failure.js'
import * as clusterViews from './cluster_view.js'

/** Requirements of a prompt, independent of the server. */
export interface PromptRequirements {
  readonly model: configuration.Model
  readonly promptTokens: number
  readonly maximumTokens: number
  readonly prefixes: readonly string[]
}

/** Location of this entry. */
export interface Location {
  readonly zone: string
  readonly region: string
}

/** A server that could take a task, with the predicted cost of sending the task there. */
export interface Candidate {
  readonly name: string
  readonly server: configuration.Server
  readonly costMs: number
  /** Network part of the cost, in milliseconds: leaving the zone, and KV cache transfer. */
  readonly networkMs: number
  /** Predicted wait and service time at the server, in milliseconds. */
  readonly waitMs: number
  readonly serviceMs: number
}

/** A server of a plain service that could take a call. */
export interface ServiceCandidate extends Candidate {
  /** Fraction of its slots in use. */
  readonly occupancy: number
}

/** Maximum time by which cached prefixes may lower a server's cost, in milliseconds. */
const maximumPrefixCreditMs = 250

/** Cost of leaving the zone, in milliseconds. */
const crossZoneCostMs = 2

/** Cost difference up to which candidates count as equal, in milliseconds. */
const nearTieMs = 5

/** Cost difference up to which candidates count as equal, as a fraction of the lowest cost. */
const nearTieShare = 0.05

/** Cost of a plain service's server with all slots in use, in milliseconds. */
const fullServiceCostMs = 100

/** Cost of each missing piece of memory, in milliseconds. */
const missingPieceCostMs = 50

/** Returns the prefill time of a prompt on an idle server without cached prefixes, in milliseconds. */
export function getUnloadedMs (server: configuration.Server, promptTokens: number): number {
  return promptTokens / server.prefillTokensPerSecond * 1000
}

/** Ranks prefill servers by wait, service time and zone. Cached prefixes lower the cost up to a bound. */
export function rankPrefills (
  clusterView: clusterViews.ClusterView, snapshots: ReadonlyMap<string, clusterViews.ServerSnapshot>, requirements: PromptRequirements, location: Location
): Candidate[] {
  const candidates: Candidate[] = []
  for (const [name, { server, pendingPromptTokens }] of snapshots) {
    const tokensPerSecond = server.prefillTokensPerSecond
    const cached = clusterView.countPrefixes(name, requirements.prefixes) * requirements.model.pieceTokens
    const savedMs = Math.min(cached, requirements.promptTokens) / tokensPerSecond * 1000
    const waitMs = pendingPromptTokens / tokensPerSecond * 1000
    const uncachedMs = getUnloadedMs(server, requirements.promptTokens)
    const networkMs = getZoneCostMs(server, location)
    const costMs = waitMs + uncachedMs - Math.min(savedMs, maximumPrefixCreditMs) + networkMs
    candidates.push({ name, server, costMs, networkMs, waitMs, serviceMs: uncachedMs - savedMs })
  }
  return candidates.sort(compareCosts)
}

/** Ranks decode servers by occupancy, missing memory, transfer time and zone. */
export function rankDecodes (
  snapshots: ReadonlyMap<string, clusterViews.ServerSnapshot>, requirements: PromptRequirements, source: clusterViews.ServerSnapshot | undefined, location: Location
): Candidate[] {
  const candidates: Candidate[] = []
  const pieces = countPieces(requirements)
  for (const [name, snapshot] of snapshots) {
    const { server } = snapshot
    const stepMs = requirements.model.betweenTokensTargetMs
    const occupancy = snapshot.running / server.slots
    const missing = Math.max(0, pieces - snapshot.freePieces)
    const networkMs = estimateTransferMs(requirements, source, snapshot) + getZoneCostMs(server, location)
    const waitMs = Math.max(0, occupancy - 1) * stepMs + missing * missingPieceCostMs
    const costMs = occupancy * stepMs + waitMs + networkMs
    candidates.push({ name, server, costMs, networkMs, waitMs, serviceMs: stepMs })
  }
  return candidates.sort(compareCosts)
}

/** Ranks servers of a plain service by occupancy and zone. */
export function rankServices (snapshots: ReadonlyMap<string, clusterViews.ServerSnapshot>, location: Location): ServiceCandidate[] {
  const candidates: ServiceCandidate[] = []
  for (const [name, { server, running }] of snapshots) {
    const networkMs = getZoneCostMs(server, location)
    const occupancy = running / server.slots
    const costMs = occupancy * fullServiceCostMs + networkMs
    candidates.push({ name, server, costMs, networkMs, waitMs: 0, serviceMs: 0, occupancy })
  }
  return candidates.sort(compareCosts)
}

/**
 * Picks up to two of the ranked candidates: one at random among the near ties of the cheapest, then likewise among
 * the rest.
 * `nextUnit` returns numbers in [0, 1).
 */
export function pickTwo<Ranked extends Candidate> (ranked: readonly Ranked[], nextUnit: () => number): Ranked[] {
  const rest = [...ranked]
  const picked: Ranked[] = []
  while (picked.length < 2 && rest.length > 0) {
    const ties = countNearTies(rest)
    const [candidate] = rest.splice(Math.floor(nextUnit() * ties), 1)
    if (candidate !== undefined) {
      picked.push(candidate)
    }
  }
  return picked
}

/** Returns the KV cache size divided by the rate of the slower link; transfers share a link evenly. */
export function estimateTransferMs (
  requirements: PromptRequirements, source: clusterViews.ServerSnapshot | undefined, target: clusterViews.ServerSnapshot
): number {
  const bytes = requirements.promptTokens * requirements.model.kvBytesPerToken
  const bytesPerSecond = Math.min(getLinkBytesPerSecond(target), source === undefined ? Number.POSITIVE_INFINITY : getLinkBytesPerSecond(source))
  return bytes / bytesPerSecond * 1000
}

/** Counts the pieces of memory that the prompt and its first output token need. */
export function countPieces (requirements: PromptRequirements): number {
  return Math.ceil((requirements.promptTokens + 1) / requirements.model.pieceTokens)
}

/** Parts of the predicted time to first token, from the offers of both servers. */
export interface Prediction {
  readonly prefillWaitMs: number
  readonly prefillServiceMs: number
  readonly transferMs: number
  readonly decodeWaitMs: number
  readonly stepMs: number
  /** Time of the same prompt on an idle server without cached prefixes, in milliseconds. */
  readonly unloadedMs: number
}

/** Slack of a prompt whose unloaded time alone exceeds the target, as a fraction of that time. */
const longPromptSlack = 0.5

/** Returns the deadline of the first token. A prompt that is too long for the target gets a longer one. */
export function getFirstTokenDeadlineMs (targetMs: number, unloadedMs: number): number {
  return Math.max(targetMs, unloadedMs * (1 + longPromptSlack))
}

/**
 * Refuses a request whose first token is predicted to be late. The retry time is the predicted excess. Only time to
 * come counts, because a retry would not recover the time already spent.
 */
export function checkAdmission (prediction: Prediction, targetMs: number): failures.Failure | undefined {
  const dueMs = getFirstTokenDeadlineMs(targetMs, prediction.unloadedMs)
  const predictedMs = prediction.prefillWaitMs + prediction.prefillServiceMs +
    prediction.transferMs + prediction.decodeWaitMs + prediction.stepMs
  if (predictedMs <= dueMs) {
    return undefined
  }
  const details = [Math.round(dueMs), Math.round(predictedMs)]
  return failures.createFailure('not_run', 'target_unreachable', details, predictedMs - dueMs)
}

function getLinkBytesPerSecond (snapshot: clusterViews.ServerSnapshot): number {
  return snapshot.server.linkBytesPerSecond / (snapshot.transfers + 1)
}

function getZoneCostMs (server: configuration.Server, location: Location): number {
  return server.zone === location.zone ? 0 : crossZoneCostMs
}

function compareCosts (first: Candidate, second: Candidate): number {
  return first.costMs - second.costMs
}

function countNearTies (ranked: readonly Candidate[]): number {
  const best = ranked[0]?.costMs ?? 0
  const limit = best + Math.max(nearTieMs, Math.abs(best) * nearTieShare)
  const ties = ranked.findIndex(candidate => candidate.costMs > limit)
  return ties < 0 ? ranked.length : ties
}
