/**
 * Tells for which services recovering servers are paced: those whose configuration, or whose servers' answers, call for it.
 */
import type * as tables from '../routing_table.js'

/** One reason to pace the servers of a service. */
export abstract class PaceSource {
  abstract callsForPace (service: string): boolean
}

/** Services with generations on routes of different priorities, and services whose servers state a rate that they take while they are cold. */
export class ConfiguredServices extends PaceSource {
  constructor (private readonly getTable: () => tables.RoutingTable | undefined) {
    super()
  }

  override callsForPace (service: string): boolean {
    const table = this.getTable()
    return table !== undefined && (table.urgencies.isRanked(service) || table.getService(service)?.cold !== undefined)
  }
}

/** Services whose servers have lately reported how long work takes on their VMs. */
export class SlownessReports extends PaceSource {
  constructor (private readonly isReported: (service: string) => boolean) {
    super()
  }

  override callsForPace (service: string): boolean {
    return this.isReported(service)
  }
}

export class PaceActivation {
  constructor (private readonly isEnabled: boolean, private readonly sources: readonly PaceSource[]) {}

  isPaced (service: string): boolean {
    return this.isEnabled && this.sources.some(source => source.callsForPace(service))
  }
}
