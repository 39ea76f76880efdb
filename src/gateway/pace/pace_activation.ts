/**
 * Tells for which services recovering servers are paced: those whose configuration, or whose servers' answers, call for it.
 */
import type * as settings from '../settings.js'
import type * as tables from '../routing_table.js'

/** One reason to pace the servers of a service. */
export abstract class PaceSource {
  abstract callsForPace (service: string): boolean
}

/** Services whose configuration states a rate that their servers take while they are cold. */
export class ColdServices extends PaceSource {
  constructor (private readonly getTable: () => tables.RoutingTable | undefined) {
    super()
  }

  override callsForPace (service: string): boolean {
    return this.getTable()?.getService(service)?.cold !== undefined
  }
}

/** Services with generations on routes of different priorities. */
export class RankedServices extends PaceSource {
  constructor (private readonly getTable: () => tables.RoutingTable | undefined) {
    super()
  }

  override callsForPace (service: string): boolean {
    return this.getTable()?.urgencies.isRanked(service) === true
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
  /** `sources` are asked unless the pace is off, `furtherSources` where it is on for all. */
  constructor (
    private readonly scope: settings.PaceScope, private readonly sources: readonly PaceSource[], private readonly furtherSources: readonly PaceSource[]
  ) {}

  isPaced (service: string): boolean {
    const callsForPace = (source: PaceSource): boolean => source.callsForPace(service)
    return this.scope !== 'off' && (this.sources.some(callsForPace) || (this.scope === 'all' && this.furtherSources.some(callsForPace)))
  }
}
