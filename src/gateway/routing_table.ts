/**
 * Finds the route, the service and the workspace of a request in one version of the routing document.
 */
import * as routing from '../contracts/routing.js'
import * as urgencyRanks from './urgency/urgency_ranks.js'

export class RoutingTable {
  private readonly hosts = new Map<string, Map<string, routing.Route>>()
  private readonly services = new Map<string, routing.RoutedService>()
  private readonly workspacesByKey = new Map<string, routing.RoutedWorkspace>()
  readonly urgencies: urgencyRanks.UrgencyRanks

  constructor (readonly document: routing.RoutingDocument) {
    this.urgencies = new urgencyRanks.UrgencyRanks(document)
    for (const route of document.routes) {
      const host = route.host.toLowerCase()
      const prefixes = this.hosts.get(host) ?? new Map<string, routing.Route>()
      prefixes.set(route.prefix, route)
      this.hosts.set(host, prefixes)
    }
    for (const service of document.services) {
      this.services.set(service.name, service)
    }
    for (const workspace of document.workspaces ?? []) {
      for (const keyHash of workspace.keyHashes) {
        this.workspacesByKey.set(keyHash, workspace)
      }
    }
  }

  /** Whether requests on routes that are not public need a key. */
  get needsKeys (): boolean {
    return this.document.workspaces !== undefined
  }

  /** Returns the route with the longest prefix of the path; a query in the path is ignored. */
  findRoute (host: string, path: string): routing.Route | undefined {
    const prefixes = this.hosts.get(stripPort(host).toLowerCase())
    if (prefixes === undefined) {
      return undefined
    }
    const query = path.indexOf('?')
    const plain = query < 0 ? path : path.slice(0, query)
    for (let end = plain.lastIndexOf('/'); end >= 0; end = plain.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(plain.slice(0, end + 1))
      if (route !== undefined) {
        return route
      }
      if (end === 0) {
        return undefined
      }
    }
    return undefined
  }

  /** Hosts of the routes. */
  listHosts (): readonly string[] {
    return [...this.hosts.keys()]
  }

  findWorkspace (keyHash: string): routing.RoutedWorkspace | undefined {
    return this.workspacesByKey.get(keyHash)
  }

  getService (name: string): routing.RoutedService | undefined {
    return this.services.get(name)
  }
}

/** Selects the service of a route by weight, for a number in [0, 1). */
export function pickTarget (route: routing.Route, unit: number): string {
  let total = 0
  for (const target of route.targets) {
    total += target.weight
  }
  let left = unit * total
  for (const target of route.targets) {
    left -= target.weight
    if (left < 0) {
      return target.service
    }
  }
  return (route.targets[0] as routing.Target).service
}

function stripPort (host: string): string {
  const colon = host.lastIndexOf(':')
  return colon < 0 ? host : host.slice(0, colon)
}
