/**
 * Dependencies and settings of links and connections.
 */
import * as connections from './connection.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as traffics from './traffic.js'
import * as types from './types.js'

/** State shared by the links of a process. */
export interface LinkContext {
  readonly system: host.System
  readonly identity: identities.Identity
  readonly credential: string
  readonly timing: types.LinkTiming
  readonly piggyback: types.Piggyback
  readonly traffic: traffics.Traffic
  readonly security: types.Security | undefined
}

/** Returns the part of a link context that connections need. */
export function createConnectionContext (context: LinkContext): connections.ConnectionContext {
  return { clock: context.system.clock, piggyback: context.piggyback, traffic: context.traffic }
}
