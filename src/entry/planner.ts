/**
 * The choice of servers: which two to ask, and whether what they answer meets the targets. Pure; the random
 * numbers come in from the caller.
 */
import * as configuration from '../contracts/configuration.js'
import * as failures from '../contracts/failure.js'
import * as pictures from './picture.js'

/** What a prompt needs, whichever server takes it. */
export interface Need {
  readonly model: configuration.Model
  readonly promptTokens: number
  readonly maximumTokens: number
  readonly prefixes: readonly string[]
}

/** Where this entry stands. */
export interface Place {
  readonly zone: string
  readonly region: string
}

/** A server that could take a task, with the predicted cost of giving it the task. */
export interface Candidate {
  readonly name: string
  readonly server: configuration.Server
  readonly costMs: number
  /** Part of the cost that lies on the way to the server, in milliseconds: other zone and transfer. */
  readonly wayMs: number
  /** Predicted wait and service at the server, in milliseconds. */
  readonly waitMs: number
  readonly serviceMs: number
}

/** A plain service's server that could take a call. */
export interface ServiceCandidate extends Candidate {
  /** Share of its slots in use. */
  readonly fill: number
}

/** Most time that the prospect of cached prefixes may add to a request's way, in milliseconds. */
const maximumDetourMs = 250

/** Cost of leaving the zone, in milliseconds. */
const otherZoneMs = 2

/** Candidates whose costs differ by less than this count as equal, in milliseconds. */
const nearTieMs = 5

/** Share of the best cost within which candidates count as equal. */
const nearTieShare = 0.05

/** Cost of a plain service's server with all slots in use, in milliseconds. */
const fullServiceMs = 100

/** Cost for each piece of memory that is missing, in milliseconds. */
const missingPieceMs = 50

/** Returns the time that a prompt takes on an idle server, in milliseconds. */
export function getUnloadedMs (server: configuration.Server, promptTokens: number): number {
  return promptTokens / server.prefillTokensPerSecond * 1000
}

/** Ranks prefill servers by wait, service and zone; a cached prefix counts up to the bounded detour. */
export function rankPrefills (
  picture: pictures.Picture, standings: ReadonlyMap<string, pictures.Standing>, need: Need, place: Place
): Candidate[] {
  const candidates: Candidate[] = []
  for (const [name, { server, pendingPromptTokens }] of standings) {
    const rate = server.prefillTokensPerSecond
    const cached = picture.countPrefixes(name, need.prefixes) * need.model.pieceTokens
    const savedMs = Math.min(cached, need.promptTokens) / rate * 1000
    const waitMs = pendingPromptTokens / rate * 1000
    const fullMs = getUnloadedMs(server, need.promptTokens)
    const wayMs = getZoneCost(server, place)
    const costMs = waitMs + fullMs - Math.min(savedMs, maximumDetourMs) + wayMs
    candidates.push({ name, server, costMs, wayMs, waitMs, serviceMs: fullMs - savedMs })
  }
  return candidates.sort(byCost)
}

/** Ranks decode servers by occupancy, missing memory, transfer time and zone. */
export function rankDecodes (
  standings: ReadonlyMap<string, pictures.Standing>, need: Need, source: pictures.Standing | undefined, place: Place
): Candidate[] {
  const candidates: Candidate[] = []
  const pieces = countPieces(need)
  for (const [name, standing] of standings) {
    const { server } = standing
    const stepMs = need.model.betweenTokensTargetMs
    const fill = standing.running / server.slots
    const missing = Math.max(0, pieces - standing.freePieces)
    const wayMs = estimateTransferMs(need, source, standing) + getZoneCost(server, place)
    const waitMs = Math.max(0, fill - 1) * stepMs + missing * missingPieceMs
    const costMs = fill * stepMs + waitMs + wayMs
    candidates.push({ name, server, costMs, wayMs, waitMs, serviceMs: stepMs })
  }
  return candidates.sort(byCost)
}

/** Ranks servers of a plain service by the share of their slots in use, and by zone. */
export function rankServices (standings: ReadonlyMap<string, pictures.Standing>, place: Place): ServiceCandidate[] {
  const candidates: ServiceCandidate[] = []
  for (const [name, { server, running }] of standings) {
    const wayMs = getZoneCost(server, place)
    const fill = running / server.slots
    const costMs = fill * fullServiceMs + wayMs
    candidates.push({ name, server, costMs, wayMs, waitMs: 0, serviceMs: 0, fill })
  }
  return candidates.sort(byCost)
}

/**
 * Picks up to two of the ranked candidates: at random among those near the best, then likewise among the rest.
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

/** Tokens to transfer times their size, over the slower of the two links, each shared with its other transfers. */
export function estimateTransferMs (
  need: Need, source: pictures.Standing | undefined, target: pictures.Standing
): number {
  const bytes = need.promptTokens * need.model.kvBytesPerToken
  const rate = Math.min(getLinkShare(target), source === undefined ? Number.POSITIVE_INFINITY : getLinkShare(source))
  return bytes / rate * 1000
}

/** Pieces of memory that the prompt and its first output need. */
export function countPieces (need: Need): number {
  return Math.ceil((need.promptTokens + 1) / need.model.pieceTokens)
}

/** A prediction of the first token, from the answers of both agents. */
export interface Prediction {
  readonly prefillWaitMs: number
  readonly prefillServiceMs: number
  readonly transferMs: number
  readonly decodeWaitMs: number
  readonly stepMs: number
  /** Time of the same prompt on an idle server without a cache, in milliseconds. */
  readonly unloadedMs: number
}

/** Slack of a prompt whose unloaded time alone exceeds the target, as a share of that time. */
const longPromptSlack = 0.5

/** Returns the time within which the first token is due: a prompt too long for the target gets its own. */
export function getFirstTokenDeadlineMs (targetMs: number, unloadedMs: number): number {
  return Math.max(targetMs, unloadedMs * (1 + longPromptSlack))
}

/**
 * Returns the refusal of a request whose first token would be late, with the time until it would not be. Only
 * what lies ahead counts: time already lost would not come back to a caller that returns later.
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

function getLinkShare (standing: pictures.Standing): number {
  return standing.server.linkBytesPerSecond / (standing.transfers + 1)
}

function getZoneCost (server: configuration.Server, place: Place): number {
  return server.zone === place.zone ? 0 : otherZoneMs
}

function byCost (first: Candidate, second: Candidate): number {
  return first.costMs - second.costMs
}

function countNearTies (ranked: readonly Candidate[]): number {
  const best = ranked[0]?.costMs ?? 0
  const limit = best + Math.max(nearTieMs, Math.abs(best) * nearTieShare)
  const ties = ranked.findIndex(candidate => candidate.costMs > limit)
  return ties < 0 ? ranked.length : ties
}
