/**
 * Tells for which services recovering servers are paced: those whose configuration, or whose servers' answers, call for it.
 */
import type * as routing from '../../contracts/routing.js'

/** One reason to pace the servers of a service. */
export abstract class PaceSource {
  abstract callsForPace (service: string): boolean
}

/** Services whose routes have different priorities. */
export class RoutePriorities extends PaceSource {
  private document: routing.RoutingDocument | undefined
  private services: ReadonlySet<string> = new Set()

  constructor (private readonly getDocument: () => routing.RoutingDocument | undefined) {
    super()
  }

  override callsForPace (service: string): boolean {
    const document = this.getDocument()
    if (document !== this.document) {
      this.document = document
      this.services = findServicesOfSeveralPriorities(document?.routes ?? [])
    }
    return this.services.has(service)
  }
}

export class PaceActivation {
  constructor (private readonly isEnabled: boolean, private readonly sources: readonly PaceSource[]) {}

  isPaced (service: string): boolean {
    return this.isEnabled && this.sources.some(source => source.callsForPace(service))
  }
}

function findServicesOfSeveralPriorities (routes: readonly routing.Route[]): ReadonlySet<string> {
  const priorities = new Map<string, number>()
  const found = new Set<string>()
  for (const { priority, targets } of routes) {
    for (const { service } of targets) {
      if ((priorities.get(service) ?? priority) !== priority) {
        found.add(service)
      }
      priorities.set(service, priority)
    }
  }
  return found
}
