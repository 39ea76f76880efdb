/**
 * Ranks of the generations of a service by urgency, most urgent first.
 *
 * A workspace's priority takes precedence over the priority of the route, which orders the requests of workspaces with the same priority. A
 * service is ranked if its routes have different priorities; for other services nothing is stated to the engines.
 */
import * as routing from '../../contracts/routing.js'

/** Priorities that decide on the order of a request. */
export interface Priorities {
  readonly workspace: number | undefined
  readonly route: number
}

/** How urgent a generation of a ranked service is. */
export interface Urgency {
  /** Position among all priorities of the service, 0 for the most urgent. */
  readonly rank: number
  /** Position of the route's priority among those of the service's routes, 0 for the most urgent. */
  readonly level: number
  /** Longest latency goal of a route with a more urgent priority, in milliseconds; 0 for the most urgent level. */
  readonly urgentGoalMs: number
}

export class UrgencyRanks {
  /** Urgency of each combination of priorities, by ranked service. */
  private readonly services = new Map<string, ReadonlyMap<string, Urgency>>()

  constructor (document: routing.RoutingDocument) {
    const workspacePriorities = new Set<number | undefined>([undefined])
    for (const { priority } of document.workspaces ?? []) {
      workspacePriorities.add(priority)
    }
    for (const service of document.services) {
      const goals = listGoals(document, service)
      if (goals.size > 1) {
        this.services.set(service.name, rankPriorities(workspacePriorities, goals))
      }
    }
  }

  /** Names of the ranked services. */
  list (): readonly string[] {
    return [...this.services.keys()]
  }

  isRanked (service: string): boolean {
    return this.services.has(service)
  }

  /** Returns the urgency of a request among those of its service; undefined if the service is not ranked. */
  find (service: string, priorities: Priorities): Urgency | undefined {
    return this.services.get(service)?.get(formatPriorities(priorities))
  }
}

/** Returns the longest latency goal of a service's routes with generations for each of their priorities, in milliseconds. */
function listGoals (document: routing.RoutingDocument, service: routing.RoutedService): ReadonlyMap<number, number> {
  const goals = new Map<number, number>()
  for (const route of document.routes) {
    if (route.kind === 'stream' && service.engine !== undefined && route.targets.some(target => target.service === service.name && target.weight > 0)) {
      goals.set(route.priority, Math.max(route.goalMs, goals.get(route.priority) ?? 0))
    }
  }
  return goals
}

function rankPriorities (
  workspacePriorities: ReadonlySet<number | undefined>, goals: ReadonlyMap<number, number>
): ReadonlyMap<string, Urgency> {
  const levels = [...goals.keys()].sort((a, b) => a - b)
  const combinations: Priorities[] = []
  for (const workspace of workspacePriorities) {
    for (const route of levels) {
      combinations.push({ workspace, route })
    }
  }
  combinations.sort(comparePriorities)
  const urgencies = new Map<string, Urgency>()
  for (const [rank, priorities] of combinations.entries()) {
    const level = levels.indexOf(priorities.route)
    const urgentGoals = levels.slice(0, level).map(priority => goals.get(priority) ?? 0)
    urgencies.set(formatPriorities(priorities), { rank, level, urgentGoalMs: Math.max(0, ...urgentGoals) })
  }
  return urgencies
}

function comparePriorities (a: Priorities, b: Priorities): number {
  const difference = (a.workspace ?? a.route) - (b.workspace ?? b.route)
  return difference === 0 ? a.route - b.route : difference
}

function formatPriorities ({ workspace, route }: Priorities): string {
  return `${workspace ?? ''} ${route}`
}
