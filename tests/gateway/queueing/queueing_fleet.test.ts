/**
 * Gateways before too little decode memory: who gets it, and what happens when gossip is old or missing.
 */
import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fleets from './queueing_fleet.js'
import * as routing from '../../../src/contracts/routing.js'
import * as seededRandom from '../../../src/host/seeded_random.js'

const { requestTokens } = fleets

function createWorkspace (name: string): routing.RoutedWorkspace {
  return { name, keyHashes: [], unit: 'tokens', plainTokens: 0, rate: 10 * requestTokens, burst: 0 }
}

/** Runs requests that arrive at random gateways, `perSecond` by rank. */
function run (fleet: fleets.QueueingFleet, forMs: number, perSecond: ReadonlyMap<number, number>): void {
  const random = new seededRandom.SeededRandom(7)
  for (const endMs = fleet.nowMs + forMs; fleet.nowMs < endMs;) {
    for (const [rank, rate] of perSecond) {
      const running = fleet.gateways.filter(({ isRunning }) => isRunning)
      for (let count = rate * 0.02; random.nextUnit() < count; count -= 1) {
        fleet.request(running[random.nextInteger(running.length)] as fleets.SimulatedGateway, { rank, goalMs: 2_000 })
      }
    }
    fleet.step()
  }
}

function getMean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

/** Places in 20 s for few urgent and many less urgent requests at 12 gateways, twice as many as fit. */
function runMixed (isOld: boolean, urgentPerSecond = 4): fleets.QueueingFleet {
  const fleet = new fleets.QueueingFleet(12, 40, 2_000)
  for (const gateway of fleet.gateways) {
    gateway.isOld = isOld
  }
  run(fleet, 20_000, new Map([[0, urgentPerSecond], [3, 36]]))
  return fleet
}

test.describe('Urgent requests at some gateways and many less urgent ones at all', () => {
  const getUrgentWait = (fleet: fleets.QueueingFleet): number => getMean(fleet.ends.filter(({ rank }) => rank === 0).map(({ waitedMs }) => waitedMs))

  // Guards against memory that goes to whichever gateway looks first.
  test.it('are placed sooner where gateways tell each other what waits, while the memory stays in use', () => {
    const told = runMixed(false)
    const untold = runMixed(true)
    assert.ok(getUrgentWait(told) < getUrgentWait(untold) * 0.75, `${getUrgentWait(told)} against ${getUrgentWait(untold)} ms`)
    const placed = [told, untold].map(({ ends }) => ends.filter(({ isPlaced }) => isPlaced).length) as [number, number]
    assert.ok(placed[0] > placed[1] * 0.9, String(placed))
  })

  // Guards against less urgent requests that are never served.
  test.it('leave the rest to the less urgent', () => {
    const { ends } = runMixed(false, 8)
    const lessUrgent = ends.filter(({ rank, isPlaced }) => rank === 3 && isPlaced).length
    assert.ok(lessUrgent > (20 - 8) * 20 * 0.75, String(lessUrgent))
  })

  // Guards against a claim that outlives the gateway that made it.
  test.it('hold memory back for less than a second when their gateway dies', () => {
    const fleet = new fleets.QueueingFleet(2, 4, 3_000)
    const [dying, other] = fleet.gateways as [fleets.SimulatedGateway, fleets.SimulatedGateway]
    for (let request = 0; request < 5; request += 1) {
      fleet.request(other, { rank: 3 })
      run(fleet, 20, new Map())
    }
    for (let request = 0; request < 8; request += 1) {
      fleet.request(dying, { rank: 0 })
    }
    run(fleet, 2_880, new Map())
    dying.isRunning = false
    const diedMs = fleet.nowMs
    while (fleet.ends.length < 5 && fleet.nowMs < diedMs + 5_000) {
      fleet.step()
    }
    assert.deepEqual(fleet.ends.map(({ rank }) => rank), [3, 3, 3, 3, 3])
    assert.ok(fleet.nowMs - diedMs < 1_000, String(fleet.nowMs - diedMs))
    assert.ok(other.log.find('placement deferred').length > 0)
  })

  test.it('hold nothing back at gateways of a version that does not tell it', () => {
    assert.deepEqual(runMixed(true).gateways.flatMap(({ log }) => log.lines), [])
  })
})

test.describe('Workspaces of equal rank', () => {
  const names = ['a', 'b', 'c', 'd']

  /** Returns what each workspace got of 20 places a second at 4 gateways, in parts of its requests that did not still wait at the end. */
  function share (perSecond: Readonly<Record<string, number>>): Record<string, number> {
    const fleet = new fleets.QueueingFleet(4, 40, 2_000, names.map(createWorkspace))
    const asked: Record<string, number> = {}
    for (let step = 0; step < 1_500; step += 1) {
      for (const [workspace, rate] of Object.entries(perSecond)) {
        for (const before = Math.floor(step * rate / 50), after = Math.floor((step + 1) * rate / 50); (asked[workspace] ?? 0) < after;) {
          fleet.request(fleet.gateways[(asked[workspace] ?? before) % 4] as fleets.SimulatedGateway, { rank: 3, workspace, goalMs: 2_000 })
          asked[workspace] = (asked[workspace] ?? 0) + 1
        }
      }
      fleet.step()
    }
    const parts: Record<string, number> = {}
    for (const workspace of Object.keys(perSecond)) {
      const ends = fleet.ends.filter(end => end.workspace === workspace)
      parts[workspace] = ends.filter(({ isPlaced }) => isPlaced).length / ends.length
    }
    return parts
  }

  // Guards against one workspace at several times its usual rate that takes the memory of all.
  test.it('keep what they usually get while one asks for six times as much', () => {
    const parts = share({ a: 4, b: 4, c: 4, d: 24 })
    for (const name of ['a', 'b', 'c']) {
      assert.ok((parts[name] as number) > 0.9, JSON.stringify(parts))
    }
    assert.ok((parts['d'] as number) > 0.25, JSON.stringify(parts))
  })

  // Guards against a workspace that is shut out for long by a wrong total of another gateway, or owed more than it asked for.
  test.it('are back within a minute after an absurd total, and save up nothing by refunds', () => {
    const [{ shares }] = new fleets.QueueingFleet(1, 1, 1, names.map(createWorkspace)).gateways as [fleets.SimulatedGateway]
    shares.recordTold('a', 1e300, 0)
    shares.recordTold('a', NaN, 0)
    shares.recordTold('b', -1e300, 0)
    shares.recordTold('unknown', 1, 0)
    assert.ok(shares.getUse('a', 0) > 5 && shares.getUse('a', 60_000) < 0.1, String(shares.getUse('a', 60_000)))
    assert.deepEqual(['b', 'unknown'].map(name => shares.getUse(name, 0)), [0, 0])
    assert.ok(shares.measure('a', requestTokens) > 0)
  })

  test.it('use everything when they are alone', () => {
    const parts = share({ d: 40 })
    assert.ok((parts['d'] as number) > 0.47, JSON.stringify(parts))
  })
})
