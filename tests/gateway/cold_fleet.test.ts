/**
 * The bound of cold servers in virtual time: many gateways under far more requests than cold servers take.
 */
import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as coldLimits from '../../src/gateway/availability/cold_limit.js'
import * as fleets from './permit_fleet.js'

const zones = ['a', 'b', 'c', 'd']
const tolerance = { over: 1.5, slack: 5 }
const coldPerSecond = 31
/** Requests that a cold server may get in any one second, as the deployment with cold servers states them. */
const bound = coldPerSecond * tolerance.over + tolerance.slack
const limit = coldLimits.createColdLimit(coldPerSecond, tolerance)

function createFleet (gatewayCount: number, seed: number): fleets.PermitFleet {
  const fleet = new fleets.PermitFleet(seed)
  fleet.coldProfile = { coldMs: 3_000, limit }
  for (let index = 0; index < gatewayCount; index += 1) {
    fleet.addGateway(zones[index % zones.length] as string)
  }
  return fleet
}

/** Returns the most requests that a server got within any one second of a time. */
function countMost ({ arrivals }: fleets.LimitedServer, fromMs: number, toMs: number): number {
  const times = arrivals.map(({ atMs }) => atMs).filter(atMs => atMs >= fromMs && atMs < toMs)
  let most = 0
  let first = 0
  for (const [index, atMs] of times.entries()) {
    while (atMs - (times[first] as number) >= 1_000) {
      first += 1
    }
    most = Math.max(most, index - first + 1)
  }
  return most
}

interface Play {
  readonly gatewayCount: number
  readonly coldMs?: number
  readonly perSecond?: number
  readonly knows?: (gateway: fleets.SimulatedGateway, issuer: string) => boolean
  /** Relative load of a gateway: an issuer that does not know that a server is cold cannot limit its own callers. */
  readonly weigh?: (gateway: fleets.SimulatedGateway, issuer: string) => number
  readonly before?: (fleet: fleets.PermitFleet) => Promise<void>
  readonly during?: (fleet: fleets.PermitFleet, server: fleets.LimitedServer) => Promise<void>
}

/** Lets a server start cold under load and returns the most requests in one second, and those of a second on average. */
async function play ({ gatewayCount, coldMs = 8_000, perSecond = 300, knows, weigh, before, during }: Play): Promise<{ most: number, mean: number, fleet: fleets.PermitFleet }> {
  const fleet = createFleet(gatewayCount, gatewayCount)
  const server = fleet.addServer('a')
  await fleet.clock.advance(2_000)
  const issuer = fleet.gateways[0]?.permits.getIssuer(server.entry) ?? ''
  await before?.(fleet)
  const startMs = fleet.clock.monotonicMs()
  fleet.startCold(server, coldMs, gateway => knows === undefined || knows(gateway, issuer))
  const load = fleet.load(perSecond, coldMs, index => weigh?.(fleet.gateways[index] as fleets.SimulatedGateway, issuer) ?? 1)
  await during?.(fleet, server)
  await load
  const endMs = startMs + coldMs
  const got = server.arrivals.filter(({ atMs }) => atMs >= startMs && atMs < endMs).length
  return { most: countMost(server, startMs, endMs), mean: got / coldMs * 1000, fleet }
}

function assertWithinBound (most: number): void {
  assert.ok(most <= bound, `${most} requests in one second, the bound is ${bound}`)
}

test.describe('Cold servers', () => {
  for (const gatewayCount of [1, 6, 20, 68]) {
    test.describe(`before ${gatewayCount} gateways`, () => {
      // Guards against a limit for each gateway, and against a bound that is kept by leaving the servers idle.
      test.it('get their requests, within the bound', async () => {
        const { most, mean } = await play({ gatewayCount })
        assertWithinBound(most)
        assert.ok(mean >= 0.7 * limit.perSecond, `${mean} a second of ${limit.perSecond}`)
      })

      // Guards against permits that each of many gateways has saved up and uses in the same second.
      test.it('get no more while no gateway reaches another', async () => {
        const { most } = await play({
          gatewayCount,
          before: async fleet => {
            for (const gateway of fleet.gateways) {
              fleet.setCut([gateway], true)
            }
            await fleet.clock.advance(5_000)
          }
        })
        assertWithinBound(most)
      })

      // Guards against two issuers that both issue the whole limit while a partition begins and ends.
      test.it('get no more while a zone is cut off from the others', async () => {
        const { most } = await play({
          gatewayCount,
          during: async fleet => {
            await fleet.clock.advance(2_000)
            const inside = fleet.gateways.filter(({ zone }) => zone === 'a')
            fleet.setCut(inside, true)
            await fleet.clock.advance(3_000)
            fleet.setCut(inside, false)
          }
        })
        assertWithinBound(most)
      })

      // Guards against an issuer that starts with a full bucket after the process before it has used one up.
      test.it('get no more while each gateway is restarted', async () => {
        const { most } = await play({
          gatewayCount,
          during: async fleet => {
            for (const gateway of fleet.gateways.slice(0, 12)) {
              gateway.isRunning = false
              await fleet.clock.advance(200)
              gateway.restart()
              await fleet.clock.advance(200)
            }
          }
        })
        assertWithinBound(most)
      })
    })
  }

  // Guards against an issuer that grants everything because it has not read yet that the server is cold.
  test.it('get no more from an issuer that does not know that they are cold', async () => {
    const { most, mean } = await play({ gatewayCount: 20, knows: (gateway, issuer) => gateway.node !== issuer, weigh: (gateway, issuer) => gateway.node === issuer ? 0 : 1 })
    assertWithinBound(most)
    assert.ok(mean >= 0.7 * limit.perSecond, `${mean} a second of ${limit.perSecond}`)
  })

  // Guards against an issuer of the version before, which grants what is ordered of a server without a stated limit.
  test.it('get no more beside an issuer of the version before', async () => {
    const { most } = await play({
      gatewayCount: 20,
      before: async fleet => {
        for (const gateway of fleet.gateways) {
          gateway.isOld = true
        }
      }
    })
    assertWithinBound(most)
  })

  // Guards against calls of the gateways themselves on top of a limit that requests already use up.
  test.it('get no more with calls that are sent without a permit', async () => {
    const { most } = await play({
      gatewayCount: 20,
      during: async (fleet, server) => {
        for (let call = 0; call < 40; call += 1) {
          fleet.callUnpermitted(fleet.gateways[call % 20] as fleets.SimulatedGateway, server)
          await fleet.clock.advance(150)
        }
      }
    })
    assertWithinBound(most)
  })

  // Guards against a limit that outlasts the cold time.
  test.it('get everything once they are no longer cold', async () => {
    const { fleet } = await play({ gatewayCount: 6, coldMs: 2_000 })
    const [server] = fleet.servers as [fleets.LimitedServer]
    const endMs = fleet.clock.monotonicMs()
    const refused = fleet.gateways.reduce((sum, { counts }) => sum + counts.refused, 0)
    await fleet.load(200, 5_000)
    assert.ok(server.arrivals.filter(({ atMs }) => atMs >= endMs).length > 0.9 * 5 * 200)
    assert.ok(fleet.gateways.reduce((sum, { counts }) => sum + counts.refused, 0) - refused < 20)
  })

  for (let seed = 1; seed <= 6; seed += 1) {
    // Guards against bursts of gateways that lose and find each other at random while several servers are cold.
    test.it(`get no more through random cuts and restarts: seed ${seed}`, async () => {
      const fleet = createFleet(20, seed)
      const servers = zones.map(zone => fleet.addServer(zone))
      await fleet.clock.advance(2_000)
      for (const server of servers) {
        fleet.startCold(server, 20_000)
      }
      const startMs = fleet.clock.monotonicMs()
      const load = fleet.load(600, 20_000)
      for (let step = 0; step < 20; step += 1) {
        const gateway = fleet.gateways[(step * 7 + seed) % 20] as fleets.SimulatedGateway
        const isCut = (step + seed) % 2 === 0
        isCut ? fleet.setCut([gateway], true) : (gateway.isRunning = false)
        await fleet.clock.advance(700)
        isCut ? fleet.setCut([gateway], false) : gateway.restart()
        await fleet.clock.advance(250)
      }
      await load
      for (const server of servers) {
        assertWithinBound(countMost(server, startMs, startMs + 20_000))
      }
    })
  }
})

test.describe('The limit of a cold server', () => {
  // Guards against a limit above the bound where the bound is small, and against figures that are no limit.
  for (const [perSecond, over, slack] of [[0, 1, 0], [0.5, 1, 0], [1, 1, 0], [2, 1.5, 5], [31, 1.5, 5], [1_000, 1.2, 0]] as const) {
    test.it(`lies within the bound: ${perSecond} a second, factor ${over} and ${slack} more`, () => {
      const granted = coldLimits.createColdLimit(perSecond, { over, slack })
      assert.ok(granted.depth + granted.perSecond * 1.3 < Math.floor(perSecond * over + slack) + 1)
      const bucket = new coldLimits.ColdBucket(0, granted.depth, () => 0.5)
      let total = 0
      for (let nowMs = 0; nowMs <= 10_000; nowMs += 10) {
        total += bucket.take(1_000, granted, nowMs).granted
      }
      assert.ok(total <= granted.perSecond * 10 + 1)
      assert.equal(total > 0, perSecond * over + slack >= 1)
    })
  }
})
