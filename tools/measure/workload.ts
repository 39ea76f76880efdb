/**
 * The requests of a run, drawn from a seeded generator before it starts: the same seed gives the same requests.
 */
import * as deployments from './deployment.js'
import * as host from '../../src/host/types.js'
import * as seededRandoms from '../../src/host/seeded_random.js'

/** A request for a generation. */
export interface Arrival {
  readonly number: number
  /** Time of the arrival after the start of the run, in milliseconds. */
  readonly atMs: number
  readonly tenant: string
  readonly promptTokens: number
  readonly outputTokens: number
  /** Which of its workspace's prefixes the prompt begins with. */
  readonly prefix: number | undefined
}

/** A call of the plain service. */
export interface Call {
  readonly number: number
  readonly atMs: number
  readonly tenant: string
}

export interface Workload {
  readonly arrivals: readonly Arrival[]
  readonly calls: readonly Call[]
}

export interface WorkloadOptions {
  readonly deployment: deployments.Deployment
  readonly seed: number
  readonly seconds: number
  /** Generations a second of all workspaces at the steady peak. */
  readonly requestsPerSecond: number
  /** Factors on the rates of some workspaces. */
  readonly factors: Readonly<Record<string, number>>
}

const secondMs = 1000
/** Bytes of prompt text in one token, as the models are configured. */
const bytesPerToken = 4
/** Draws from which the mean size of a request is taken. */
const meanDraws = 20_000
const meanSeed = 1

/** Draws the arrivals as one Poisson process for each workspace. */
export function createWorkload (options: WorkloadOptions): Workload {
  const random = new seededRandoms.SeededRandom(options.seed)
  const arrivals: Omit<Arrival, 'number'>[] = []
  const calls: Omit<Call, 'number'>[] = []
  for (const tenant of options.deployment.tenants) {
    const factor = options.factors[tenant.name] ?? 1
    const perSecond = options.requestsPerSecond * tenant.share
    for (const atMs of drawTimes(random, perSecond * factor, options.seconds)) {
      arrivals.push({ atMs, tenant: tenant.name, ...drawRequest(options.deployment.mix, random) })
    }
    for (const atMs of drawTimes(random, options.deployment.mix.callsPerSecond * tenant.share, options.seconds)) {
      calls.push({ atMs, tenant: tenant.name })
    }
  }
  return { arrivals: inOrder(arrivals), calls: inOrder(calls) }
}

/** Returns the mean tokens of a request, prompt and output together. */
export function getMeanTokens (mix: deployments.Mix): number {
  const random = new seededRandoms.SeededRandom(meanSeed)
  let tokens = 0
  for (let draw = 0; draw < meanDraws; draw += 1) {
    const { promptTokens, outputTokens } = drawRequest(mix, random)
    tokens += promptTokens + outputTokens
  }
  return tokens / meanDraws
}

/** Returns the prompt's text: the workspace's prefix if there is one, then text that no other request has. */
export function createPrompt (arrival: Arrival, mix: deployments.Mix): string {
  const prefixTokens = arrival.prefix === undefined ? 0 : mix.prefixTokens[arrival.prefix] as number
  const prefix = fillText(`${arrival.tenant} prefix ${arrival.prefix} `, prefixTokens)
  return prefix + fillText(`request ${arrival.number} `, arrival.promptTokens - prefixTokens)
}

function drawRequest (mix: deployments.Mix, random: host.Random): Pick<Arrival, 'promptTokens' | 'outputTokens' | 'prefix'> {
  const hasPrefix = random.nextUnit() < mix.prefixShare
  const prefix = hasPrefix ? Math.floor(random.nextUnit() * mix.prefixTokens.length) : undefined
  const prefixTokens = prefix === undefined ? 0 : mix.prefixTokens[prefix] as number
  const promptTokens = prefixTokens + drawTokens(mix.freshPromptTokens, random)
  return { promptTokens, outputTokens: drawTokens(mix.outputTokens, random), prefix }
}

function drawTimes (random: host.Random, perSecond: number, seconds: number): number[] {
  const times: number[] = []
  let atMs = drawGapMs(random, perSecond)
  while (atMs < seconds * secondMs) {
    times.push(atMs)
    atMs += drawGapMs(random, perSecond)
  }
  return times
}

function drawGapMs (random: host.Random, perSecond: number): number {
  return -Math.log(1 - random.nextUnit()) / perSecond * secondMs
}

function drawTokens (spread: deployments.Spread, random: host.Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.nextUnit()))
  const normal = radius * Math.cos(2 * Math.PI * random.nextUnit())
  const tokens = Math.round(spread.median * Math.exp(spread.sigma * normal))
  return Math.min(spread.maximum, Math.max(spread.minimum, tokens))
}

function fillText (phrase: string, tokens: number): string {
  const length = tokens * bytesPerToken
  return phrase.repeat(Math.ceil(length / phrase.length)).slice(0, length)
}

function inOrder<Item extends { readonly atMs: number }> (items: readonly Item[]): (Item & { readonly number: number })[] {
  const sorted = [...items].sort((first, second) => first.atMs - second.atMs)
  return sorted.map((item, index) => ({ ...item, number: index + 1 }))
}
