/**
 * The decisions on requests that wait for decode memory, as the components of a gateway share them.
 */
import * as capacityForecasts from './capacity_forecast.js'
import * as capacityReturns from './capacity_returns.js'
import * as contestedServices from './contested_services.js'
import * as fairShares from './fair_shares.js'
import * as host from '../../host/types.js'
import type * as metrics from '../../metrics/types.js'
import * as placementDeferrals from './placement_deferral.js'
import * as prefillAdmissions from './prefill_admission.js'
import * as routing from '../../contracts/routing.js'
import * as waitingDemands from './waiting_demand.js'

export class Queueing {
  readonly services = new contestedServices.ContestedServices()
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

  setDocument (document: routing.RoutingDocument): void {
    const before = this.services.list().join(',')
    this.services.setDocument(document)
    this.shares.setWorkspaces(document.workspaces ?? [], this.system.clock.monotonicMs())
    const after = this.services.list().join(',')
    if (before !== after) {
      this.system.log.info('services ordered by urgency', { services: after, before, version: document.version })
    }
  }

  setGossip (otherGateways: number, periodMs: number): void {
    this.otherGateways = otherGateways
    this.gossipPeriodMs = periodMs
  }
}
