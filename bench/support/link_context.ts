/**
 * Link contexts for benchmarks.
 */
import * as linkContexts from '../../src/links/link_context.js'
import * as identities from '../../src/contracts/identity.js'
import * as nodeSystem from '../../src/host/node_system.js'
import * as piggybacks from '../../src/daemon/process_piggyback.js'
import * as rings from '../../src/timeline/ring.js'
import * as settings from '../../src/contracts/settings.js'
import * as traffics from '../../src/links/traffic.js'
import * as work from '../../src/contracts/work.js'

export const emptyLoad: work.Load = {
  running: 0, queued: 0, pendingPromptTokens: 0, freePieces: 160, totalPieces: 160, promisedPieces: 0, slots: 20, draining: false
}

/** Creates the context of a process with the standard timing. */
export function createContext (role: identities.Role): linkContexts.LinkContext {
  return {
    system: nodeSystem.createSilentSystem(),
    identity: { node: `bench-${role}`, boot: 'bench', role, zone: 'z', region: 'r' },
    credential: 'a credential for benchmarks',
    timing: settings.Timing.parse({}),
    piggyback: new piggybacks.ProcessPiggyback(new rings.LamportClock()),
    traffic: new traffics.Traffic(),
    security: undefined
  }
}
