/**
 * Dependencies shared by the components of a gateway.
 */
import type * as allowedRegions from './availability/allowed_regions.js'
import type * as allowances from './allowance_limiter.js'
import type * as choices from './plain/server_choice.js'
import type * as connectionPools from './connection_pool.js'
import type * as directories from './directory.js'
import type * as fleets from './engine_fleet.js'
import type * as healths from './server_health.js'
import type * as guards from './prompt_guard.js'
import type * as headrooms from './urgency/memory_headroom.js'
import type * as host from '../host/types.js'
import type * as metrics from '../metrics/types.js'
import type * as outputs from './output_estimate.js'
import type * as permits from './permits.js'
import type * as paces from './pace/server_pace.js'
import type * as retries from './retry_budget.js'
import type * as returnSchedules from './queueing/return_schedule.js'
import type * as capacityQueues from './queueing/capacity_queue.js'
import type * as queueings from './queueing/queueing.js'
import type * as serverLimits from './server_limits.js'
import type * as serverLoads from './plain/server_loads.js'
import type * as settings from './settings.js'
import type * as tables from './routing_table.js'
import type * as types from './types.js'

export interface GatewayContext {
  readonly system: host.System
  readonly settings: settings.GatewaySettings
  readonly meter: metrics.Meter
  readonly dialect: types.Dialect
  readonly pool: connectionPools.ConnectionPool
  readonly health: healths.ServerHealth
  readonly limits: serverLimits.ServerLimits
  readonly permits: permits.Permits
  readonly pace: paces.ServerPace
  readonly guard: guards.PromptGuard
  readonly returns: returnSchedules.ReturnSchedule
  readonly directory: directories.Directory
  readonly regions: allowedRegions.RegionMap
  readonly serverChoice: choices.ServerChoice
  readonly loads: serverLoads.ServerLoads
  readonly fleet: fleets.EngineFleet
  readonly headroom: headrooms.MemoryHeadroom
  readonly outputs: outputs.OutputEstimate
  readonly capacityQueue: capacityQueues.CapacityQueue
  readonly queueing: queueings.Queueing
  readonly allowance: allowances.AllowanceLimiter
  readonly retries: retries.RetryBudget
  /** Routing table in force; undefined until the first version has been read. */
  readonly routing: { table: tables.RoutingTable | undefined }
}
