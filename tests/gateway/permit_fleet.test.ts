import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fleets from './permit_fleet.js'
import * as limitChecks from '../../platform/soak/limit_check.js'

const zones = ['a', 'b', 'c']
/** Time in which a limit becomes known everywhere, in milliseconds. */
const settlingMs = 3_000

function createFleet (gatewayCount: number, seed: number): fleets.PermitFleet {
  const fleet = new fleets.PermitFleet(seed)
  for (let index = 0; index < gatewayCount; index += 1) {
    fleet.addGateway(zones[index % zones.length] as string)
  }
  return fleet
}

/** Checks the arrivals from the named gateways, or from all. */
function assertWithinLimit (server: fleets.LimitedServer, gateways?: ReadonlySet<string>): void {
  const arrivals = server.arrivals.filter(({ gateway }) => gateways === undefined || gateways.has(gateway))
  const excess = limitChecks.findLimitExcess(arrivals.map(({ atMs }) => atMs), server.limitChanges)
  assert.equal(excess, undefined, `${server.id} at ${server.perSecond} a second: ${JSON.stringify(excess)}`)
}

/** Fraction of what the limits allowed in a time that arrived. */
function measureUse (server: fleets.LimitedServer, fromMs: number, toMs: number): number {
  const allowed = limitChecks.countAllowed(server.limitChanges, fromMs, toMs) as number
  return server.arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < toMs).length / allowed
}

test.describe('The permits of a fleet before servers with limits', () => {
  for (const gatewayCount of [1, 6, 24]) {
    for (const perSecond of [0.5, 2.5, 7, 40]) {
      test.describe(`${gatewayCount} gateways, ${perSecond} requests a second`, () => {
        // Guards against a limit that each gateway keeps for itself, and against one that is shared out and then left unused.
        for (const [factor, least] of [[1, 0.75], [3, 0.9], [10, 0.9]] as const) {
          test.it(`are kept and used under ${factor} times as many requests`, async () => {
            const fleet = createFleet(gatewayCount, 1)
            const servers = zones.map(zone => fleet.addServer(zone))
            await fleet.load(servers.length * perSecond * factor, 2_000)
            for (const server of servers) {
              server.nameLimit(perSecond)
            }
            const startMs = fleet.clock.monotonicMs()
            const lengthMs = Math.max(20_000, 40_000 / perSecond)
            await fleet.load(servers.length * perSecond * factor, lengthMs)
            for (const server of servers) {
              assertWithinLimit(server)
              const use = measureUse(server, startMs + settlingMs, startMs + lengthMs)
              assert.ok(use >= least, `${server.id} in zone ${server.zone}: ${use}`)
              assert.ok(use <= 1.15, `${server.id} in zone ${server.zone}: ${use}`)
            }
          })
        }
      })
    }
  }
})
