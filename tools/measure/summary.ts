/**
 * One run's figures. Pure.
 */
import * as callers from './callers.js'
import * as deployments from './deployment.js'
import * as figures from './figures.js'
import * as observations from './observations.js'
import * as workloads from './workload.js'

/** What a run has given. */
export interface Observed {
  readonly outcomes: readonly callers.Outcome[]
  readonly calls: readonly callers.CallOutcome[]
  readonly engines: observations.EngineTotals
  readonly store: observations.StoreCalls
  readonly serviceRuns: ReadonlyMap<number, number>
  readonly loadAverage: number
}

export interface Conditions {
  readonly deployment: deployments.Deployment
  readonly scenario: string
  readonly policy: string
  readonly seed: number
  readonly seconds: number
  readonly requestsPerSecond: number
  readonly allowances: ReadonlyMap<string, figures.Allowance>
}

export interface TenantSummary {
  readonly asked: number
  readonly insideAsked: number
  readonly whole: number
  readonly refusedInside: number
  /** Served tokens over the fair share. */
  readonly fairShare: number
  readonly overshootTokens: number
}

export interface Summary {
  readonly deployment: string
  readonly scenario: string
  readonly policy: string
  readonly seed: number
  readonly seconds: number
  readonly requestsPerSecond: number
  readonly asked: number
  readonly insideAsked: number
  readonly whole: number
  /** Requests a second that met both targets. */
  readonly goodput: number
  /** Those over the requests inside the rate. */
  readonly goodShare: number
  readonly wastedShare: number
  readonly worstShare: number
  readonly worstTenant: string
  readonly refusedInside: number
  readonly refusedInsideByCode: Readonly<Record<string, number>>
  readonly codes: Readonly<Record<string, number>>
  readonly overshootTokens: number
  readonly storeCallsPerSecond: number
  readonly firstTokenMs: Quantiles
  readonly betweenTokensMs: Quantiles
  readonly broken: number
  readonly wrong: number
  readonly callsFailed: number
  readonly callsDoubled: number
  readonly callsLost: number
  readonly heldPieces: number
  readonly engines: observations.EngineTotals
  readonly loadAverage: number
  readonly tenants: Readonly<Record<string, TenantSummary>>
}

export interface Quantiles {
  readonly p50: number
  readonly p95: number
}

/** Targets of a request, in milliseconds. */
export const firstTokenTargetMs = 1_900
export const betweenTokensTargetMs = 28

const secondMs = 1000

export function summarize (conditions: Conditions, observed: Observed): Summary {
  const { outcomes, engines } = observed
  const tenants = summarizeTenants(conditions, outcomes)
  const rows = Object.values(tenants)
  const good = outcomes.filter(isGood).length
  const insideAsked = sum(rows, row => row.insideAsked)
  const whole = outcomes.filter(outcome => outcome.end === 'whole')
  const [worstTenant, worst] = findWorst(tenants)
  return {
    deployment: conditions.deployment.name,
    scenario: conditions.scenario,
    policy: conditions.policy,
    seed: conditions.seed,
    seconds: conditions.seconds,
    requestsPerSecond: conditions.requestsPerSecond,
    asked: outcomes.length,
    insideAsked,
    whole: whole.length,
    goodput: good / conditions.seconds,
    goodShare: good / insideAsked,
    wastedShare: (engines.prefilledTokens - engines.decodedTokens) / Math.max(1, engines.prefilledTokens),
    worstShare: worst,
    worstTenant,
    refusedInside: sum(rows, row => row.refusedInside),
    refusedInsideByCode: countCodes(findRefusedInside(conditions, outcomes)),
    codes: countCodes(outcomes.filter(outcome => outcome.end !== 'whole')),
    overshootTokens: Math.max(...rows.map(row => row.overshootTokens)),
    storeCallsPerSecond: (observed.store.reads + observed.store.writes) / conditions.seconds,
    firstTokenMs: getQuantiles(whole.map(outcome => outcome.firstTokenMs)),
    betweenTokensMs: getQuantiles(whole.map(outcome => outcome.betweenTokensMs)),
    broken: outcomes.filter(outcome => outcome.end === 'broken').length,
    wrong: outcomes.filter(outcome => outcome.end === 'wrong').length,
    ...summarizeCalls(observed),
    heldPieces: engines.heldPieces,
    engines,
    loadAverage: observed.loadAverage,
    tenants
  }
}

/** Whether a request met both targets: its first token, and its mean time between tokens. */
export function isGood (outcome: callers.Outcome): boolean {
  return outcome.end === 'whole' && outcome.firstTokenMs <= firstTokenTargetMs &&
    outcome.betweenTokensMs <= betweenTokensTargetMs
}

function summarizeTenants (
  conditions: Conditions, outcomes: readonly callers.Outcome[]
): Readonly<Record<string, TenantSummary>> {
  const claims: figures.Claim[] = []
  const tenants: Record<string, TenantSummary> = {}
  for (const { name, share } of conditions.deployment.tenants) {
    const own = outcomes.filter(outcome => outcome.arrival.tenant === name)
    const inside = getInside(conditions, own)
    claims.push({ name, weight: share, demand: sum(inside, outcome => getTokens(outcome.arrival)) })
    tenants[name] = {
      asked: own.length,
      insideAsked: inside.length,
      whole: own.filter(outcome => outcome.end === 'whole').length,
      refusedInside: inside.filter(outcome => outcome.end === 'refused').length,
      fairShare: countServed(own),
      overshootTokens: figures.getOvershoot(listAdmitted(own), getAllowance(conditions, name))
    }
  }
  const fair = figures.getFairShares(claims, countServed(outcomes))
  for (const [name, tenant] of Object.entries(tenants)) {
    tenants[name] = { ...tenant, fairShare: tenant.fairShare / Math.max(1, fair.get(name) ?? 0) }
  }
  return tenants
}

function findRefusedInside (conditions: Conditions, outcomes: readonly callers.Outcome[]): callers.Outcome[] {
  const found: callers.Outcome[] = []
  for (const { name } of conditions.deployment.tenants) {
    const own = outcomes.filter(outcome => outcome.arrival.tenant === name)
    found.push(...getInside(conditions, own).filter(outcome => outcome.end === 'refused'))
  }
  return found
}

function getInside (conditions: Conditions, own: readonly callers.Outcome[]): callers.Outcome[] {
  const charges = own.map(({ arrival }) => ({ atMs: arrival.atMs, tokens: getTokens(arrival) }))
  const name = own[0]?.arrival.tenant ?? ''
  const inside = own.length === 0 ? [] : figures.findInside(charges, getAllowance(conditions, name))
  return own.filter((_, index) => inside[index])
}

function getAllowance (conditions: Conditions, name: string): figures.Allowance {
  return conditions.allowances.get(name) as figures.Allowance
}

/** Charges of the requests that were admitted, at the time when they were sent. */
function listAdmitted (own: readonly callers.Outcome[]): figures.Charge[] {
  return own
    .filter(outcome => outcome.end !== 'refused')
    .map(({ arrival, sentAtMs, outputTokens }) => ({ atMs: sentAtMs, tokens: arrival.promptTokens + outputTokens }))
}

function countServed (outcomes: readonly callers.Outcome[]): number {
  return sum(outcomes.filter(outcome => outcome.end === 'whole'), outcome => getTokens(outcome.arrival))
}

function getTokens (arrival: workloads.Arrival): number {
  return arrival.promptTokens + arrival.outputTokens
}

function findWorst (tenants: Readonly<Record<string, TenantSummary>>): [string, number] {
  const byShare = Object.entries(tenants).sort(([, first], [, second]) => first.fairShare - second.fairShare)
  const [name, tenant] = byShare[0] as [string, TenantSummary]
  return [name, tenant.fairShare]
}

function summarizeCalls ({ calls, serviceRuns }: Observed): Pick<Summary, 'callsFailed' | 'callsDoubled' | 'callsLost'> {
  const succeeded = calls.filter(({ status }) => status >= 200 && status < 300)
  return {
    callsFailed: calls.length - succeeded.length,
    callsDoubled: [...serviceRuns.values()].filter(runs => runs > 1).length,
    callsLost: succeeded.filter(({ call }) => !serviceRuns.has(call.number)).length
  }
}

function countCodes (outcomes: readonly callers.Outcome[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { code, end } of outcomes) {
    const name = code === '' ? end : code
    counts[name] = (counts[name] ?? 0) + 1
  }
  return counts
}

function getQuantiles (values: readonly number[]): Quantiles {
  return { p50: figures.getPercentile(values, 0.5) ?? 0, p95: figures.getPercentile(values, 0.95) ?? 0 }
}

function sum<Item> (items: readonly Item[], get: (item: Item) => number): number {
  return items.reduce((total, item) => total + get(item), 0)
}

/** Length of the run in milliseconds. */
export function getRunMs (conditions: Conditions): number {
  return conditions.seconds * secondMs
}
