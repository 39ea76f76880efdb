/**
 * The decisions on requests that wait for decode memory, as the components of a gateway share them.
 */
import * as capacityForecasts from './capacity_forecast.js'
import * as capacityReturns from './capacity_returns.js'
import * as fairShares from './fair_shares.js'
import * as host from '../../host/types.js'
import type * as metrics from '../../metrics/types.js'
import * as placementDeferrals from './placement_deferral.js'
import * as prefillAdmissions from './prefill_admission.js'
import type * as tables from '../routing_table.js'
import * as waitingDemands from './waiting_demand.js'

export class Queueing {
  /** Services for which requests are ordered by urgency and workspace over all gateways. */
  services: readonly string[] = []
  readonly shares = new fairShares.FairShares()
  readonly forecast = new capacityForecasts.CapacityForecast()
  readonly prefills = new prefillAdmissions.PrefillAdmission()
  readonly demand: waitingDemands.WaitingDemand
  readonly deferral: placementDeferrals.PlacementDeferral
  readonly returns: capacityReturns.CapacityReturns
  /** Other gateways, and the time between two messages of one, in milliseconds. */
  otherGateways = 0
  gossipPeriodMs = 0

  constructor (private readonly system: host.System, meter: metrics.Meter) {
    this.demand = new waitingDemands.WaitingDemand(system.log)
    this.deferral = new placementDeferrals.PlacementDeferral(this.demand, system.log, meter)
    this.returns = new capacityReturns.CapacityReturns(system.random)
  }

  setTable ({ document, urgencies }: tables.RoutingTable): void {
    const before = this.services.join(',')
    this.services = urgencies.list()
    this.shares.setWorkspaces(document.workspaces ?? [], this.system.clock.monotonicMs())
    const after = this.services.join(',')
    if (before !== after) {
      this.system.log.info('services ordered by urgency', { services: after, before, version: document.version })
    }
  }

  setGossip (otherGateways: number, periodMs: number): void {
    this.otherGateways = otherGateways
    this.gossipPeriodMs = periodMs
  }
}
