import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fleets from './permit_fleet.js'
import * as limitChecks from '../../platform/soak/limit_check.js'
import * as seededRandom from '../../src/host/seeded_random.js'

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

/** Checks the arrivals from all gateways, or from those that are not excused in a time. */
function assertWithinLimit (server: fleets.LimitedServer, counts?: limitChecks.ArrivalFilter): void {
  const excess = limitChecks.findLimitExcess(server.arrivals, server.limitChanges, counts)
  assert.equal(excess, undefined, `${server.id} at ${server.perSecond} a second: ${JSON.stringify(excess)}`)
}

function assertAllWithinLimits (fleet: fleets.PermitFleet): void {
  for (const server of fleet.servers) {
    assertWithinLimit(server)
  }
}

/** Fraction of what the limits allowed in a time that arrived. */
function measureUse (server: fleets.LimitedServer, fromMs: number, toMs: number): number {
  const allowed = limitChecks.countAllowed(server.limitChanges, fromMs, toMs) as number
  return server.arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < toMs).length / allowed
}

/** Six gateways, and from time to time a trouble of one of them or a change of a server's limit, which overlap. */
class RandomStory {
  readonly fleet: fleets.PermitFleet
  private readonly random: seededRandom.SeededRandom
  private readonly disturbances: { readonly gateway: string, readonly fromMs: number, toMs: number }[] = []

  constructor (seed: number) {
    this.random = new seededRandom.SeededRandom(seed)
    this.fleet = createFleet(6, seed)
    for (const zone of zones) {
      this.fleet.addServer(zone)
    }
  }

  async play (lengthMs: number): Promise<void> {
    const load = this.fleet.load(90, lengthMs)
    const endMs = this.fleet.clock.monotonicMs() + lengthMs
    const troubles: Promise<void>[] = []
    while (this.fleet.clock.monotonicMs() < endMs - 6_000) {
      if (this.random.nextUnit() < 0.5) {
        const server = this.fleet.servers[this.random.nextInteger(this.fleet.servers.length)]
        server?.nameLimit(this.random.nextUnit() < 0.2 ? undefined : 0.5 + this.random.nextUnit() * 10)
      } else {
        troubles.push(this.disturb(this.fleet.gateways[this.random.nextInteger(6)] as fleets.SimulatedGateway))
      }
      await this.fleet.clock.advance(this.random.nextUnit() * 2_500)
    }
    await load
    await Promise.all(troubles)
  }

  isDisturbed (gateway: string | undefined, fromMs: number, toMs: number): boolean {
    return this.disturbances.some(disturbance => disturbance.gateway === gateway && disturbance.fromMs <= toMs && disturbance.toMs >= fromMs)
  }

  private async disturb (gateway: fleets.SimulatedGateway): Promise<void> {
    const { clock } = this.fleet
    const disturbance = { gateway: gateway.node, fromMs: clock.monotonicMs(), toMs: Infinity }
    this.disturbances.push(disturbance)
    const forMs = this.random.nextUnit() * 5_000
    const draw = this.random.nextInteger(3)
    if (draw === 0) {
      this.fleet.freeze(gateway)
    } else if (draw === 1) {
      this.fleet.setCut([gateway], true)
    } else {
      gateway.isRunning = false
    }
    await clock.sleep(forMs)
    if (draw === 0) {
      this.fleet.thaw(gateway)
    } else if (draw === 1) {
      this.fleet.setCut([gateway], false)
    } else {
      gateway.restart()
    }
    disturbance.toMs = clock.monotonicMs()
  }
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
            // Two orders to each of three issuers, there and back.
            assert.ok(fleet.longestDecisionMs <= 3 * 2 * 2, `decided after ${fleet.longestDecisionMs} ms`)
          })
        }
      })
    }
  }

  test.describe('while gateways are in trouble', () => {
    const perSecond = 5

    /** Three limited servers under three times as many requests; `disturb` runs ten seconds after the limits were named. */
    async function play (gatewayCount: number, disturb: (fleet: fleets.PermitFleet) => Promise<void>): Promise<{ fleet: fleets.PermitFleet, startMs: number, endMs: number }> {
      const fleet = createFleet(gatewayCount, 3)
      const servers = zones.map(zone => fleet.addServer(zone))
      for (const server of servers) {
        server.nameLimit(perSecond)
      }
      const load = fleet.load(3 * 3 * perSecond, 40_000)
      await fleet.clock.advance(10_000)
      const startMs = fleet.clock.monotonicMs()
      await disturb(fleet)
      const endMs = fleet.clock.monotonicMs()
      await load
      return { fleet, startMs, endMs }
    }

    for (const gatewayCount of [2, 3, 6, 24]) {
      test.describe(`${gatewayCount} gateways`, () => {
        test.it('all together keep the limits while each of them is restarted, one after the other', async () => {
          const { fleet } = await play(gatewayCount, async ({ gateways, clock }) => {
            for (const gateway of gateways) {
              gateway.isRunning = false
              await clock.advance(500)
              gateway.restart()
              await clock.advance(500)
            }
          })
          assertAllWithinLimits(fleet)
        })

        test.it('keep and use the limits while one of them is frozen, and when it goes on', async () => {
          const { fleet, startMs, endMs } = await play(gatewayCount, async fleet => {
            fleet.freeze(fleet.gateways[0] as fleets.SimulatedGateway)
            await fleet.clock.advance(6_000)
            fleet.thaw(fleet.gateways[0] as fleets.SimulatedGateway)
          })
          for (const server of fleet.servers) {
            assertWithinLimit(server)
            const use = measureUse(server, startMs, endMs)
            assert.ok(use >= (gatewayCount === 2 ? 0.5 : 0.75), `${server.id}: ${use} while one was frozen`)
            assert.ok(measureUse(server, endMs + 1_000, endMs + 11_000) >= 0.9)
          }
        })

        test.it('keep the limits together while a zone is cut off from the others, and use them', async () => {
          const { fleet, startMs, endMs } = await play(gatewayCount, async fleet => {
            fleet.setCut(fleet.gateways.filter(({ zone }) => zone === 'a'), true)
            await fleet.clock.advance(10_000)
            fleet.setCut(fleet.gateways.filter(({ zone }) => zone === 'a'), false)
          })
          for (const server of fleet.servers) {
            assertWithinLimit(server)
            assert.ok(measureUse(server, startMs + 2_000, endMs) >= 0.9, `${server.id}: ${measureUse(server, startMs + 2_000, endMs)}`)
          }
          // One order to each of three issuers that do not answer in time.
          assert.ok(fleet.longestDecisionMs <= 3 * 80 + 12, `decided after ${fleet.longestDecisionMs} ms`)
        })

        test.it('keep the limits together while none reaches another', async () => {
          const { fleet } = await play(gatewayCount, async fleet => {
            for (const gateway of fleet.gateways) {
              fleet.setCut([gateway], true)
            }
            await fleet.clock.advance(10_000)
            fleet.cuts.clear()
          })
          assertAllWithinLimits(fleet)
        })

        test.it('keep the limits while others join', async () => {
          const { fleet } = await play(gatewayCount, async fleet => {
            for (let number = 0; number < 6; number += 1) {
              fleet.addGateway(zones[number % 3] as string)
              await fleet.clock.advance(400)
            }
          })
          assertAllWithinLimits(fleet)
        })
      })
    }
  })

  test.describe('beside a gateway of the version before, which issues no permits', () => {
    test.it('keep the limits, and use their shares of those that it would issue', async () => {
      const fleet = createFleet(3, 7)
      const [old] = fleet.gateways as [fleets.SimulatedGateway]
      old.isOld = true
      const servers = zones.map(zone => fleet.addServer(zone))
      for (const server of servers) {
        server.nameLimit(6)
      }
      await fleet.load(3 * 3 * 6, 30_000, index => index === 0 ? 0 : 1)
      for (const server of servers) {
        assertWithinLimit(server)
        assert.ok(measureUse(server, settlingMs, 30_000) >= 0.6, `${server.id}: ${measureUse(server, settlingMs, 30_000)}`)
      }
    })
  })

  test.describe('with requests that are sent without a permit', () => {
    // Guards against control calls, which are not refused, on top of a limit that requests already use up.
    test.it('count them, and issue fewer permits', async () => {
      const fleet = createFleet(6, 8)
      const server = fleet.addServer('a')
      server.nameLimit(10)
      const load = fleet.load(60, 30_000)
      for (let call = 0; call < 200; call += 1) {
        fleet.callUnpermitted(fleet.gateways[call % 6] as fleets.SimulatedGateway, server)
        await fleet.clock.advance(150)
      }
      await load
      assertWithinLimit(server)
      const use = measureUse(server, settlingMs, 30_000)
      assert.ok(use >= 0.9 && use <= 1.15, `${use}`)
    })
  })

  test.describe('through random troubles and changes of limits', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      test.it(`keep the limits, those in trouble excused: seed ${seed}`, async () => {
        const story = new RandomStory(seed)
        await story.play(60_000)
        for (const server of story.fleet.servers) {
          assertWithinLimit(server, (gateway, fromMs, toMs) => !story.isDisturbed(gateway, fromMs, toMs))
        }
      })
    }
  })

  test.describe('when servers change their limits', () => {
    for (const gatewayCount of [1, 6, 24]) {
      test.it(`follow them down and up, and use a server fully after the end of its limit, with ${gatewayCount} gateways`, async () => {
        const fleet = createFleet(gatewayCount, 4)
        const [first, second] = [fleet.addServer('a'), fleet.addServer('b')] as [fleets.LimitedServer, fleets.LimitedServer]
        second.nameLimit(2)
        const load = fleet.load(60, 40_000)
        for (const perSecond of [20, 4, 12, 3]) {
          first.nameLimit(perSecond)
          await fleet.clock.advance(8_000)
          assertWithinLimit(first)
        }
        assertWithinLimit(second)
        first.nameLimit(undefined)
        await fleet.clock.advance(3_000)
        const endedMs = fleet.clock.monotonicMs()
        await fleet.clock.advance(2_000)
        const refusedBefore = fleet.gateways.reduce((sum, { counts }) => sum + counts.refused, 0)
        await load
        assert.ok(first.arrivals.filter(({ atMs }) => atMs > endedMs).length > 3 * 25)
        assert.equal(fleet.gateways.reduce((sum, { counts }) => sum + counts.refused, 0), refusedBefore)
      })

      test.it(`do not apply them to a new process of the server, with ${gatewayCount} gateways`, async () => {
        const fleet = createFleet(gatewayCount, 5)
        const server = fleet.addServer('a')
        server.nameLimit(0.3)
        const load = fleet.load(20, 30_000)
        await fleet.clock.advance(10_000)
        server.bornMs += 1
        server.nameLimit(undefined)
        await fleet.clock.advance(2_000)
        const restartedMs = fleet.clock.monotonicMs()
        await load
        assert.ok(server.arrivals.filter(({ atMs }) => atMs > restartedMs).length > 0.9 * 20 * 18)
      })

      test.it(`notice the end of a limit of none at all, with ${gatewayCount} gateways`, async () => {
        const fleet = createFleet(gatewayCount, 6)
        const server = fleet.addServer('a')
        server.nameLimit(0)
        const load = fleet.load(10, 30_000)
        await fleet.clock.advance(15_000)
        assertWithinLimit(server)
        server.nameLimit(undefined)
        await fleet.clock.advance(5_000)
        const endedMs = fleet.clock.monotonicMs()
        await load
        assert.ok(server.arrivals.filter(({ atMs }) => atMs > endedMs).length > 0.9 * 10 * 10)
      })
    }
  })
})
