/**
 * The sections of the configuration that describe a fleet: models, plain services and servers. Workspaces and
 * keys are the caller's.
 */
import * as configuration from '../src/contracts/configuration.js'
import * as engineOptions from '../standins/engine_options.js'
import * as fleetNodes from './fleet_nodes.js'
import * as fleetPlans from './fleet_plan.js'

/** Returns the bodies of the sections by their names. */
export function createSections (
  plan: fleetPlans.FleetPlan, servers: readonly fleetNodes.ServerNode[]
): ReadonlyMap<string, object> {
  const sections = new Map<string, object>()
  for (const model of fleetPlans.getModels(plan)) {
    sections.set(`models/${model}`, createModel(plan))
  }
  for (const service of fleetPlans.getServices(plan)) {
    sections.set(`services/${service}`, createService(service))
  }
  for (const server of servers) {
    sections.set(`servers/${server.vm.name}`, server.section)
  }
  return sections
}

function createModel (plan: fleetPlans.FleetPlan): configuration.Model {
  const { pieceTokens, bytesPerToken, kvBytesPerToken } = engineOptions.EngineOptions.parse(plan.engine ?? {})
  return configuration.Model.parse({ pieceTokens, bytesPerToken, kvBytesPerToken })
}

/** A service keeps one collection below a path of its name. */
function createService (service: string): configuration.Service {
  return configuration.Service.parse({
    routes: [
      { prefix: `/${service}`, methods: ['GET'], idempotent: true },
      { prefix: `/${service}`, methods: ['POST'], idempotent: false }
    ]
  })
}
