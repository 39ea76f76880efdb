/**
 * Settings of a gateway. They come from the platform's settings file, by way of an adapter.
 */
import * as z from 'zod'
import * as identities from '../contracts/identity.js'

const milliseconds = z.number().nonnegative()

export const GatewaySettings = z.object({
  node: z.string().min(1),
  zone: z.string().min(1),
  /** Listener for callers. */
  ingress: identities.Address,
  /** Listener for the balancer's readiness probe. */
  readiness: identities.Address,
  /** Listener for other gateways. */
  peers: identities.Address,
  /** Addresses where other gateways may be found before the store has named any. */
  seeds: z.array(z.string()).default([]),
  /** Listener for metrics. */
  metrics: identities.Address.optional(),
  /** The platform's store. */
  store: identities.Address,
  timing: z.object({
    /** From SIGTERM to the forced end of the process. */
    graceMs: milliseconds,
    /** Shortest lease that the store grants. */
    minimumLeaseMs: milliseconds,
    /** How long the store holds a watch without events. */
    watchHoldMs: milliseconds,
    /** Pause between news from the store and the next watch. */
    newsPauseMs: milliseconds.default(150),
    /** Time that two holders of the right to order must lie apart. */
    orderLeaseMs: milliseconds
  }),
  /** What may be used beyond an allowance in a window, over all gateways. */
  allowance: z.object({
    windowMs: milliseconds,
    /** Part of the allowance of the window. */
    overPart: z.number().nonnegative(),
    /** Units beside that part. */
    slack: z.number().nonnegative()
  }),
  retries: z.object({
    /** Further sends to servers for each request. */
    ratio: z.number().nonnegative(),
    windowMs: milliseconds,
    /** Further sends in a window beside the ratio, over all gateways. */
    slack: z.number().nonnegative()
  })
})
export type GatewaySettings = z.infer<typeof GatewaySettings>
