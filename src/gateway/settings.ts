/**
 * Settings of a gateway. An adapter reads them from the platform's settings file.
 */
import * as z from 'zod'
import * as identities from '../contracts/identity.js'

const milliseconds = z.number().nonnegative()
/** Memory of a VM whose settings do not name it. */
const defaultVmBytes = 536_870_912

/**
 * Services whose recovering servers are paced: none; those whose configuration states what cold servers take; or also those whose routes have
 * different priorities or whose servers report how long work takes.
 */
export const PaceScope = z.enum(['off', 'cold', 'all'])
export type PaceScope = z.infer<typeof PaceScope>

export const Explain = z.enum(['off', 'on'])

export const GatewaySettings = z.object({
  node: z.string().min(1),
  zone: z.string().min(1),
  /** Listener for requests of callers. */
  ingress: identities.Address,
  /** Listener for the readiness probe of the load balancer. */
  readiness: identities.Address,
  /** Listener for gossip from other gateways. */
  peers: identities.Address,
  /** Addresses of gateways to contact before the store has listed any. */
  seeds: z.array(z.string()).default([]),
  /** Listener for metrics scrapes. */
  metrics: identities.Address.optional(),
  /** Address of the platform's store. */
  store: identities.Address,
  timing: z.object({
    /** Time from SIGTERM until the process is forced to end. */
    graceMs: milliseconds,
    /** Shortest lease that the store grants. */
    minimumLeaseMs: milliseconds,
    /** Time for which the store holds a watch without events. */
    watchHoldMs: milliseconds,
    /** Pause between events from the store and the next watch. */
    newsPauseMs: milliseconds.default(150),
    /** Minimum time between the leases of two stage coordinators. */
    orderLeaseMs: milliseconds
  }),
  /** Tolerated use beyond an allowance in a window, summed over all gateways. */
  allowance: z.object({
    windowMs: milliseconds,
    /** Fraction of the allowance of the window. */
    overPart: z.number().nonnegative(),
    /** Units in addition to that fraction. */
    slack: z.number().nonnegative()
  }),
  /** What callers may make this process hold. */
  callers: z.object({
    /** Memory of the VM, in bytes. */
    vmBytes: z.number().positive().default(defaultVmBytes),
    /** Part of what the VM has beyond the process itself that is for callers. */
    memoryPart: z.number().positive().max(1).default(0.35),
    /** Descriptors that the process may open. */
    descriptors: z.number().positive().default(Infinity),
    /** A body of which nothing comes for so long is ended. */
    bodyStallMs: milliseconds.default(15_000),
    /** Least rate of a large body while others wait for memory, in bytes a second: 4 MB take a minute at it. */
    leastBodyRate: z.number().nonnegative().default(65_536),
    /** Settings that are out of range and were replaced by their defaults, for the log. */
    faults: z.array(z.string()).optional()
  }).default({ vmBytes: defaultVmBytes, memoryPart: 0.35, descriptors: Infinity, bodyStallMs: 15_000, leastBodyRate: 65_536 }),
  retries: z.object({
    /** Retries to servers for each request. */
    ratio: z.number().nonnegative(),
    windowMs: milliseconds,
    /** Retries in a window in addition to the ratio, summed over all gateways. */
    slack: z.number().nonnegative()
  }),
  /** Whether servers that start or return while traffic runs get their share of the load step by step, where the service calls for it. */
  pace: PaceScope.default('off'),
  /** Whether the inner listener explains where a request would go. It has no authentication. */
  explain: Explain.default('off'),
  availability: z.object({
    /** Requests that a cold server may get in any one second, as a factor on its rate and in addition. */
    coldOver: z.number().nonnegative(),
    coldSlack: z.number().nonnegative(),
    /** Time after the store's acknowledgement of an evacuation from which no request may reach a server of the zone; absent if it is not stated. */
    evacuationMs: milliseconds.optional(),
    /** Region of this gateway's zone; absent if it is not known. */
    region: z.string().optional(),
    /** Region of each zone that the settings state. */
    regions: z.record(z.string(), z.string()),
    /** Settings that are out of range and were replaced by their defaults, for the log. */
    faults: z.array(z.string())
  }).optional()
})
export type GatewaySettings = z.infer<typeof GatewaySettings>
