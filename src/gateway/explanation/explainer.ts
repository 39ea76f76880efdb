/**
 * Explains where a request would go now, and why, without sending it: its admission as `RequestHandler` decides it, and the choices at each
 * service that its route may lead to.
 *
 * Changes no state, takes no permit, draws no random number and sends nothing. Performs no input or output.
 */
import * as allowances from '../allowance_limiter.js'
import * as allowedRegions from '../availability/allowed_regions.js'
import type * as contexts from '../context.js'
import * as explanations from './explanation.js'
import * as failures from '../../contracts/failure.js'
import * as generations from './generation_explanation.js'
import * as handlers from '../request_handler.js'
import * as plains from './plain_explanation.js'
import * as promptPrefills from '../prompt_prefill.js'
import * as routing from '../../contracts/routing.js'
import type * as tables from '../routing_table.js'
import * as targets from './target_explanation.js'
import type * as types from '../types.js'

/** What the gateway knows of itself and of the others. */
export abstract class GatewayView {
  /** Time since the store was last heard, in milliseconds; infinite if it never was. */
  abstract getStoreAgeMs (): number
  abstract countGateways (): { readonly other: number, readonly heard: number }
  /** Whether a request that must end by a time on the monotonic clock, in milliseconds, may begin. */
  abstract mayBegin (endMs: number): boolean
}

/** The admission of a request, as far as it got. */
interface Admission {
  readonly route?: routing.Route
  readonly workspace?: routing.RoutedWorkspace | undefined
  readonly refusal?: failures.Failure | undefined
}

interface AdmittedQuery {
  readonly route: routing.Route
  readonly workspace: routing.RoutedWorkspace | undefined
  readonly sizes: types.GenerationSizes | undefined
  readonly remainingMs: number
}

export class Explainer {
  constructor (private readonly context: contexts.GatewayContext, private readonly view: GatewayView) {}

  explain (query: explanations.Query): explanations.Explanation {
    const { routing: { table }, settings, system } = this.context
    const sizes = readSizes(query)
    const admission = this.admit(table, query, sizes)
    const { route, workspace } = admission
    const remainingMs = Math.min(query.timeoutMs ?? handlers.defaultTimeoutMs, (route?.timeoutMs ?? Infinity) - handlers.timeoutMarginMs)
    const isStopping = admission.refusal === undefined && !this.view.mayBegin(system.clock.monotonicMs() + remainingMs)
    const refusal = isStopping ? failures.createFailure('not_run', 'shutting_down', [], handlers.shutdownRetryMs) : admission.refusal
    const storeAgeMs = this.view.getStoreAgeMs()
    const gateways = this.view.countGateways()
    return {
      gateway: settings.node,
      zone: settings.zone,
      version: table?.document.version,
      storeAgeMs: Number.isFinite(storeAgeMs) ? targets.round(storeAgeMs) : undefined,
      otherGateways: gateways.other,
      heardGateways: gateways.heard,
      request: {
        method: query.method,
        path: query.path,
        host: route?.host ?? query.host,
        route: route?.name,
        kind: route?.kind,
        workspace: workspace?.name ?? query.workspace,
        priority: workspace?.priority ?? route?.priority,
        promptTokens: sizes?.promptTokens,
        outputTokens: sizes?.maximumOutputTokens,
        expectedTokens: sizes?.hintedOutputTokens,
        allowedRegions: listRegions(route, workspace)
      },
      allowance: this.describeAllowance(workspace, sizes),
      refusal: refusal === undefined ? undefined : targets.createRefusal(refusal),
      targets: refusal !== undefined || table === undefined || route === undefined
        ? []
        : this.explainTargets(table, query, { route, workspace, sizes, remainingMs })
    }
  }

  /** Decides as the handler of requests does, without a charge. */
  private admit (table: tables.RoutingTable | undefined, query: explanations.Query, sizes: types.GenerationSizes | undefined): Admission {
    if (table === undefined) {
      return { refusal: failures.createFailure('not_run', 'not_ready', [], handlers.notReadyRetryMs) }
    }
    const hosts = query.host === undefined ? table.listHosts() : [query.host]
    const routes = hosts.map(host => table.findRoute(host, query.path)).filter(found => found !== undefined)
    const [route] = routes
    if (route === undefined) {
      return { refusal: failures.createFailure('not_run', 'route_unknown', [query.method, query.path]) }
    }
    if (routes.length > 1) {
      return { refusal: failures.createFailure('not_run', 'host_ambiguous', [query.path, routes.map(({ host }) => host).join(', ')]) }
    }
    const workspace = this.findWorkspace(table, query)
    const isNamed = query.workspace !== undefined || query.keyHash !== undefined
    if (isNamed && workspace === undefined) {
      return { route, refusal: query.workspace === undefined ? failures.createFailure('not_run', 'key_unknown') : failures.createFailure('not_run', 'workspace_unknown', [query.workspace]) }
    }
    if (table.needsKeys && !route.isPublic && workspace === undefined) {
      return { route, refusal: failures.createFailure('not_run', 'key_missing') }
    }
    const retryMs = workspace === undefined
      ? undefined
      : this.context.allowance.observeRetryMs(workspace, measure(workspace, sizes), this.context.system.clock.monotonicMs())
    return {
      route,
      workspace,
      refusal: retryMs === undefined || workspace === undefined ? undefined : failures.createFailure('not_run', 'allowance_exhausted', [workspace.name], retryMs)
    }
  }

  private findWorkspace (table: tables.RoutingTable, { keyHash, workspace }: explanations.Query): routing.RoutedWorkspace | undefined {
    const workspaces = table.document.workspaces ?? []
    return keyHash === undefined
      ? workspaces.find(({ name }) => name === workspace)
      : workspaces.find(({ keyHashes }) => keyHashes.some(known => known.startsWith(keyHash)))
  }

  private describeAllowance (
    workspace: routing.RoutedWorkspace | undefined, sizes: types.GenerationSizes | undefined
  ): explanations.Explanation['allowance'] {
    if (workspace === undefined || workspace.rate <= 0) {
      return undefined
    }
    const left = this.context.allowance.observeLevel(workspace, this.context.system.clock.monotonicMs())
    return { unit: workspace.unit, needed: measure(workspace, sizes), left: targets.round(left), perSecond: workspace.rate }
  }

  private explainTargets (
    table: tables.RoutingTable, query: explanations.Query,
    { route, workspace, sizes, remainingMs }: AdmittedQuery
  ): explanations.Target[] {
    const total = route.targets.reduce((sum, { weight }) => sum + weight, 0)
    const reachable = route.targets.filter(({ weight }, index) => weight > 0 || (total === 0 && index === 0))
    return reachable.map(({ service: name, weight }) => {
      const probability = total === 0 ? 1 : targets.round(weight / total)
      const service = table.getService(name)
      if (service === undefined) {
        const refusal = targets.createRefusal(failures.createFailure('not_run', 'no_server', [route.name], handlers.notReadyRetryMs))
        return { service: name, probability, outcome: { kind: 'refused', refusal }, steps: [], notes: [] }
      }
      const urgency = table.urgencies.find(name, { workspace: workspace?.priority, route: route.priority })
      const request: targets.ExplainedRequest = {
        route,
        service,
        workspace: workspace?.name,
        priority: urgency?.rank ?? workspace?.priority ?? route.priority,
        urgency,
        allowedRegions: listRegions(route, workspace),
        sizes: promptPrefills.getSizes({ sizes }),
        sharedParts: query.parts.slice(0, -1).map(({ id }) => id),
        remainingMs
      }
      const explanation = route.kind === 'stream' && service.engine !== undefined
        ? new generations.GenerationExplanation(this.context, request)
        : new plains.PlainExplanation(this.context, request)
      return { service: name, probability, ...explanation.explain() }
    })
  }
}

/** Returns the sizes as a caller would state them; undefined if the query states none. */
function readSizes ({ expectedTokens, outputTokens, parts, promptTokens }: explanations.Query): types.GenerationSizes | undefined {
  const stated = promptTokens ?? (parts.length === 0 ? undefined : parts.reduce((sum, { tokens }) => sum + tokens, 0))
  if (stated === undefined && outputTokens === undefined && expectedTokens === undefined) {
    return undefined
  }
  return {
    promptTokens: stated ?? promptPrefills.blockTokens,
    maximumOutputTokens: outputTokens ?? expectedTokens ?? promptPrefills.blockTokens,
    hintedOutputTokens: expectedTokens
  }
}

function measure (workspace: routing.RoutedWorkspace, sizes: types.GenerationSizes | undefined): number {
  return allowances.AllowanceLimiter.measure(workspace, sizes === undefined ? undefined : sizes.promptTokens + sizes.maximumOutputTokens)
}

function listRegions (route: routing.Route | undefined, workspace: routing.RoutedWorkspace | undefined): string[] | undefined {
  const regions = allowedRegions.intersectRegions(route?.allowedRegions, workspace?.allowedRegions)
  return regions === undefined ? undefined : [...regions]
}
