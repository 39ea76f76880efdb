/**
 * What a request would meet at one service: its candidates with their figures, the choices among them, and the outcome.
 *
 * The choices are those of the decision's own classes, through methods that change nothing and draw no random number. Performs no input or output.
 */
import type * as contexts from '../context.js'
import * as diagnostics from '../../contracts/diagnostics.js'
import type * as directories from '../directory.js'
import * as explanations from './explanation.js'
import * as failures from '../../contracts/failure.js'
import type * as returnRanges from '../queueing/capacity_returns.js'
import * as routing from '../../contracts/routing.js'
import type * as types from '../types.js'
import type * as urgencyRanks from '../urgency/urgency_ranks.js'

/** A request that has been admitted, as far as the choice of its servers depends on it. */
export interface ExplainedRequest {
  readonly route: routing.Route
  readonly service: routing.RoutedService
  readonly workspace: string | undefined
  readonly priority: number
  readonly urgency: urgencyRanks.Urgency | undefined
  readonly allowedRegions: readonly string[] | undefined
  readonly sizes: types.GenerationSizes
  /** Parts of the prompt that other requests may share. */
  readonly sharedParts: readonly string[]
  readonly remainingMs: number
}

/** Outcome, choices and notes of a target. */
export type TargetAnswer = Omit<explanations.Target, 'service' | 'probability'>

/** A server of the service, whether or not it may get the request. */
interface ListedServer extends directories.InspectedServer {
  readonly rules: readonly explanations.Rule[]
}

export abstract class TargetExplanation {
  protected readonly notes: string[] = []
  protected readonly nowMs: number
  private readonly listed: readonly ListedServer[]

  constructor (protected readonly context: contexts.GatewayContext, protected readonly request: ExplainedRequest) {
    this.nowMs = context.system.clock.monotonicMs()
    this.listed = context.directory.inspect(request.service.name).map(inspected => ({ ...inspected, rules: this.listRules(inspected) }))
    this.noteUnknowns()
  }

  abstract explain (): TargetAnswer

  /** Ready servers in the allowed regions. */
  protected get ready (): readonly routing.RoutedServer[] {
    return this.listed.filter(({ rules }) => rules.every(rule => rule === 'no_permit')).map(({ server }) => server)
  }

  /** Ready servers without those known to have no permit now. */
  protected get available (): readonly routing.RoutedServer[] {
    return this.listed.filter(({ rules }) => rules.length === 0).map(({ server }) => server)
  }

  /** Returns the servers that no choice considers, as candidates that are ruled out. */
  protected listRuledOut (isListed: (server: routing.RoutedServer) => boolean = () => true): readonly explanations.Candidate[] {
    const ruledOut = this.listed.filter(({ rules, server }) => rules.length > 0 && isListed(server))
    return ruledOut.map(({ server, rules }) => this.createCandidate(server, rules, 0, {}))
  }

  protected createCandidate (
    server: routing.RoutedServer, ruledOutBy: readonly explanations.Rule[], probability: number, figures: explanations.Figures
  ): explanations.Candidate {
    const { health, limits, permits, settings } = this.context
    const { nowMs } = this
    const limitPerSecond = limits.getLimit(server, nowMs)
    const pace = this.context.pace.observe().getPart(server, nowMs)
    return {
      server: server.id,
      zone: server.zone,
      region: settings.availability?.regions[server.zone],
      isOwnZone: server.zone === settings.zone,
      ruledOutBy: [...ruledOutBy],
      probability: round(probability),
      figures: roundFigures({
        ...figures,
        failureRate: health.getFailureRate(server.id, nowMs),
        failureAgeMs: health.getReportAgeMs(server.id, nowMs),
        pace,
        ...(limitPerSecond === undefined
          ? {}
          : {
              limitPerSecond,
              limitAgeMs: limits.getAgeMs(server.id, nowMs),
              coldLeftMs: limits.getColdLeftMs(server.id, nowMs),
              permitWaitMs: permits.observeWaitMs(server),
              issuer: permits.getIssuer(server)
            })
      })
    }
  }

  protected createNoServerRefusal (retryAfterMs: number): explanations.Refusal {
    const { name } = this.request.service
    const backOffMs = this.ready.length === 0 ? this.context.directory.observeBackOffMs(name) : undefined
    return createRefusal(failures.createFailure('not_run', 'no_server', [name], Math.max(retryAfterMs, backOffMs ?? 0)))
  }

  /** Returns the refusal of a request that no server may take because of its limit. */
  protected createLimitRefusal (waitMs = 0): explanations.Refusal {
    const { permits, returns } = this.context
    const { name } = this.request.service
    const limited = this.ready.filter(server => this.hasLimit(server))
    const nearestMs = Math.min(...limited.map(server => permits.observeWaitMs(server)))
    const share = permits.getSharePerSecond(limited)
    const retryAfterMs = limited.length === 0 ? waitMs : returns.observe(name, Math.max(waitMs, nearestMs), share, this.nowMs)
    return createRefusal(failures.createFailure('not_run', 'servers_limited', [name], retryAfterMs))
  }

  protected hasLimit (server: routing.RoutedServer): boolean {
    return this.context.limits.getLimit(server, this.nowMs) !== undefined
  }

  private listRules ({ server, obstacle }: directories.InspectedServer): readonly explanations.Rule[] {
    const { permits, regions } = this.context
    const rules: explanations.Rule[] = obstacle === undefined ? [] : [obstacle]
    if (!regions.isAllowed(server.zone, this.request.allowedRegions)) {
      rules.push('region')
    }
    if (permits.observeWaitMs(server) > 0) {
      rules.push('no_permit')
    }
    return rules
  }

  private noteUnknowns (): void {
    if (this.available.some(server => this.hasLimit(server))) {
      this.notes.push('Servers with a limit need a permit; whether their issuer grants one now is not asked.')
    }
    if (this.context.settings.pace !== 'off') {
      this.notes.push('A turn of this gateway at a recovering server that has not been drawn yet counts as free.')
    }
  }
}

/** Returns the refusal that a caller gets for a failure that has not run. */
export function createRefusal ({ code, message, retryAfterMs }: failures.Failure, range?: returnRanges.ReturnRange): explanations.Refusal {
  const { status } = diagnostics.diagnostics[code]
  return range === undefined
    ? { status, code, message, retryAfterMs }
    : { status, code, message, retryAfterMs: range.earliestMs, retryAfterUpToMs: range.latestMs }
}

/** Returns the candidate that is chosen most probably; the first of several. */
export function findLikeliest (candidates: readonly explanations.Candidate[]): explanations.Candidate | undefined {
  let best: explanations.Candidate | undefined
  for (const candidate of candidates) {
    if (candidate.probability > (best?.probability ?? 0)) {
      best = candidate
    }
  }
  return best
}

export function round (value: number): number {
  return Number(value.toFixed(3))
}

function roundFigures (figures: explanations.Figures): explanations.Figures {
  const rounded: Record<string, number | string> = {}
  for (const [name, value] of Object.entries(figures)) {
    if (value !== undefined) {
      rounded[name] = typeof value === 'number' ? round(value) : value
    }
  }
  return rounded
}
