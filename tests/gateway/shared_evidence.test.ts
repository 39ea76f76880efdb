import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as choices from '../../src/gateway/plain/plain_choice.js'
import * as healths from '../../src/gateway/server_health.js'
import * as routing from '../../src/contracts/routing.js'
import * as seededRandom from '../../src/host/seeded_random.js'

const servers: readonly routing.RoutedServer[] = ['s1', 's2', 's3', 's4', 's5'].map(id => ({
  id, service: 's', address: `10.0.0.1:${id}`, zone: 'a', slots: 6, state: 'ready'
}))
/** Requests per second of all gateways together. */
const callsPerSecond = 120
const exchangeMs = 300

/** Runs gateways in front of servers of which the first two lose part of their answers; returns the number of lost answers. */
function countLost (gateways: number, isShared: boolean): number {
  const random = new seededRandom.SeededRandom(5)
  const fleet = Array.from({ length: gateways }, () => {
    const health = new healths.ServerHealth()
    return { health, choice: new choices.PlainChoice('a', health) }
  })
  let lost = 0
  let toldMs = 0
  for (let nowMs = 0; nowMs < 4_000; nowMs += 1000 / callsPerSecond) {
    const { health, choice } = fleet[random.nextInteger(gateways)] as typeof fleet[number]
    const server = choice.choose(servers, new Set(), false, nowMs, random.nextUnit())?.id ?? ''
    const isLost = (server === 's1' || server === 's2') && random.nextUnit() < 0.4
    health.record(server, isLost ? 'silent' : 'good', nowMs, 25)
    lost += isLost ? 1 : 0
    if (isShared && nowMs - toldMs >= exchangeMs) {
      toldMs = nowMs
      for (const [index, from] of fleet.entries()) {
        for (const to of fleet) {
          if (to !== from) {
            to.health.updatePeer(`g${index}`, from.health.listOutcomes(nowMs), nowMs)
          }
        }
      }
    }
  }
  return lost
}

test.describe('Servers that lose answers to many gateways', () => {
  test.it('are avoided after fewer than half the failures that gateways need without shared outcomes', () => {
    const alone = countLost(1, false)
    const apart = countLost(24, false)
    const together = countLost(24, true)
    assert.ok(together < apart / 2, `${together} lost with shared evidence, ${apart} without, ${alone} at one gateway`)
  })

  test.it('do not include all servers when a single gateway with a faulty link reports failures', () => {
    const health = new healths.ServerHealth()
    for (const { id } of servers) {
      for (let call = 0; call < 10; call += 1) {
        health.record(id, 'good', call)
      }
      for (let peer = 0; peer < 10; peer += 1) {
        health.updatePeer(`g${peer}`, { ...Object.fromEntries(servers.map(server => [server.id, [10, 0]])) } as Record<string, healths.Outcomes>, 0)
      }
    }
    health.updatePeer('cut off', { ...Object.fromEntries(servers.map(server => [server.id, [10, 10]])) } as Record<string, healths.Outcomes>, 0)
    for (const { id } of servers) {
      assert.ok(health.getFailureRate(id, 10) < 0.1)
    }
  })

  test.it('count as healthy again once no gateway reports failures', () => {
    const health = new healths.ServerHealth()
    health.updatePeer('other', { s1: [10, 9] }, 0)
    assert.ok(health.getFailureRate('s1', 10) > 0.5)
    assert.equal(health.getFailureRate('s1', 3_000), 0)
  })

  test.it('are reported between zones only where requests have failed', () => {
    const health = new healths.ServerHealth()
    health.record('s1', 'silent', 0)
    health.record('s2', 'good', 0)
    health.updatePeer('near', { s1: [3, 1], s3: [5, 0] }, 0)
    assert.deepEqual(health.aggregateOutcomes(['near'], 0), { s1: [4, 2] })
  })
})
