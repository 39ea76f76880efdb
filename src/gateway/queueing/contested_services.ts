/**
 * Services for which requests are ordered by urgency and workspace over all gateways.
 *
 * Pattern: kinds of requests with different goals compete for the memory of the same engines. Where all routes of a service have the same
 * priority no kind is to go first, and the service is served in the order of arrival as it always was.
 */
import * as routing from '../../contracts/routing.js'

export class ContestedServices {
  private names: ReadonlySet<string> = new Set()

  /** Sets the configuration: a service with engines is contested if routes of different priorities lead to it. */
  setDocument ({ routes, services }: routing.RoutingDocument): void {
    const priorities = new Map<string, Set<number>>()
    for (const { name, engine } of services) {
      if (engine !== undefined) {
        priorities.set(name, new Set())
      }
    }
    for (const { kind, targets, priority } of routes) {
      for (const { service, weight } of kind === 'stream' ? targets : []) {
        if (weight > 0) {
          priorities.get(service)?.add(priority)
        }
      }
    }
    this.names = new Set([...priorities].filter(([, found]) => found.size > 1).map(([name]) => name))
  }

  has (service: string): boolean {
    return this.names.has(service)
  }

  list (): readonly string[] {
    return [...this.names]
  }
}
