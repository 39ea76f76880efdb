/**
 * The deployments that are measured: their fleets, workspaces and mixes of requests.
 */
import * as fleetPlans from '../fleet_plan.js'

/** A workspace and what it sends. */
export interface Tenant {
  readonly name: string
  /** Share of the allowances and of the requests. */
  readonly share: number
}

/** Log-normal distribution within limits, in tokens. */
export interface Spread {
  readonly median: number
  readonly sigma: number
  readonly minimum: number
  readonly maximum: number
}

/** What the requests are like. */
export interface Mix {
  readonly freshPromptTokens: Spread
  readonly outputTokens: Spread
  /** Share of the requests that begin with one of their workspace's prefixes. */
  readonly prefixShare: number
  /** Lengths of each workspace's prefixes, in tokens. */
  readonly prefixTokens: readonly number[]
  /** Calls of the plain service a second. */
  readonly callsPerSecond: number
}

export interface Deployment {
  readonly name: string
  readonly zones: readonly fleetPlans.ZonePlan[]
  readonly tenants: readonly Tenant[]
  readonly mix: Mix
  /** Generations a second at the steady peak. */
  readonly requestsPerSecond: number
}

/** Share of the summed allowances that the steady peak uses. */
export const steadyUse = 0.8

/** Seconds of the rate that a burst holds, and the least burst in tokens. */
const burstSeconds = 5
const minimumBurstTokens = 60_000

const tenants: readonly Tenant[] = [
  { name: 'amber', share: 0.36 },
  { name: 'birch', share: 0.28 },
  { name: 'cedar', share: 0.16 },
  { name: 'delta', share: 0.12 },
  { name: 'ember', share: 0.08 }
]

const drafting: Mix = {
  freshPromptTokens: { median: 550, sigma: 1.25, minimum: 20, maximum: 20_000 },
  outputTokens: { median: 90, sigma: 0.6, minimum: 10, maximum: 400 },
  prefixShare: 0.6,
  prefixTokens: [1024, 2048, 3072],
  callsPerSecond: 4
}

const forecasting: Mix = {
  freshPromptTokens: { median: 300, sigma: 1.2, minimum: 20, maximum: 16_000 },
  outputTokens: { median: 60, sigma: 0.6, minimum: 10, maximum: 300 },
  prefixShare: 0.5,
  prefixTokens: [1024, 2048],
  callsPerSecond: 8
}

export const deployments: readonly Deployment[] = [
  {
    name: 'nairobi',
    zones: [
      { zone: 'zone-a', entries: 1, prefill: 3, decode: 2, service: 1 },
      { zone: 'zone-b', entries: 1, prefill: 3, decode: 2, service: 1 },
      { zone: 'zone-c', entries: 1, prefill: 2, decode: 1, service: 1 }
    ],
    tenants,
    mix: drafting,
    requestsPerSecond: 34
  },
  {
    name: 'gdansk',
    zones: [
      { zone: 'zone-a', entries: 1, prefill: 2, decode: 3, service: 1 },
      { zone: 'zone-b', entries: 1, prefill: 2, decode: 2, service: 1 },
      { zone: 'zone-c', entries: 1, prefill: 1, decode: 3, service: 1 }
    ],
    tenants,
    mix: forecasting,
    requestsPerSecond: 52
  },
  {
    name: 'small',
    zones: [
      { zone: 'zone-a', entries: 1, prefill: 1, decode: 1, service: 1 },
      { zone: 'zone-b', entries: 1, prefill: 1, decode: 1 }
    ],
    tenants,
    mix: drafting,
    requestsPerSecond: 9
  }
]

/** Returns a workspace's allowance when all workspaces together are to use `tokensPerSecond` at the steady peak. */
export function getAllowance (tenant: Tenant, tokensPerSecond: number): { rate: number, burst: number } {
  const rate = Math.round(tenant.share * tokensPerSecond / steadyUse)
  return { rate, burst: Math.max(minimumBurstTokens, Math.round(rate * burstSeconds)) }
}
