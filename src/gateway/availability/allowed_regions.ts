/**
 * Restricts requests to the servers of the regions that their routes and workspaces allow.
 *
 * Pattern: some workspaces' prompts must not leave a region, at whichever gateway they arrive. Performs no input or output.
 */
import * as routing from '../../contracts/routing.js'

/** Returns the regions that both allow; undefined stands for all regions. */
export function intersectRegions (route: readonly string[] | undefined, workspace: readonly string[] | undefined): readonly string[] | undefined {
  return route === undefined || workspace === undefined ? route ?? workspace : route.filter(region => workspace.includes(region))
}

export class RegionMap {
  /** `regions` maps zones to regions. */
  constructor (private readonly regions: Readonly<Record<string, string>>) {}

  /** Tells whether a zone is in one of the regions; a zone without a known region is in none. */
  isAllowed (zone: string, allowed: readonly string[] | undefined): boolean {
    if (allowed === undefined) {
      return true
    }
    const region = Object.hasOwn(this.regions, zone) ? this.regions[zone] : undefined
    return region !== undefined && allowed.includes(region)
  }

  /** Returns the servers in the regions; all of them, in the same list, without a restriction. */
  select (servers: readonly routing.RoutedServer[], allowed: readonly string[] | undefined): readonly routing.RoutedServer[] {
    return allowed === undefined ? servers : servers.filter(({ zone }) => this.isAllowed(zone, allowed))
  }
}
