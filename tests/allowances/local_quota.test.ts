import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as fleets from './fleet.js'
import * as test from 'node:test'
import * as timings from '../../src/allowances/timing.js'

const nodes = ['a', 'b', 'c']
const runs = Number(process.env.SCHEDULE_RUNS ?? 60)
const seed = Number(process.env.SCHEDULE_SEED ?? 20261204)
const timing = { ...timings.defaultTiming, localQuotaFraction: 0.3, localQuotaMs: 8000 }

async function createFleet (names: readonly string[], fleetTiming: timings.LeaseTiming): Promise<fleets.Fleet> {
  const fleet = new fleets.Fleet(1, fleetTiming)
  fleet.addWorkspace('w', 1000, 10_000)
  for (const node of names) {
    fleet.start(node)
  }
  await fleet.clock.advance(8000)
  return fleet
}

function getOther (fleet: fleets.Fleet, leaseholder: string): string {
  return [...fleet.entries.keys()].find(node => node !== leaseholder) as string
}

async function isServed (fleet: fleets.Fleet, node: string, tokens: number): Promise<boolean> {
  const answer = fleet.request(node, 'w', tokens, 1, 100)
  await fleet.clock.advance(1600)
  return await answer
}

test.describe('Local quotas', () => {
  for (const names of [['a', 'b'], ['a', 'b', 'c']]) {
    test.it(`serve every entry when the leaseholder among ${names.length} entries dies as a store outage begins`, async () => {
      const fleet = await createFleet(names, timings.defaultTiming)
      const leaseholder = fleet.findLeaseholder() as string
      fleet.setStoreDown(true)
      fleet.kill(leaseholder)
      await fleet.clock.advance(5000)
      for (const node of fleet.entries.keys()) {
        assert.equal(await isServed(fleet, node, 300), true)
      }
      assert.equal(await isServed(fleet, getOther(fleet, leaseholder), 5000), false)
      fleet.setStoreDown(false)
      await fleet.clock.advance(20_000)
      assert.equal(await isServed(fleet, getOther(fleet, leaseholder), 9500), true)
      assert.ok(fleet.getOvershoot('w') <= 0)
    })

    test.it(`serve the leaseholder among ${names.length} entries when a standby dies as a store outage begins`, async () => {
      const fleet = await createFleet(names, timings.defaultTiming)
      const leaseholder = fleet.findLeaseholder() as string
      const other = getOther(fleet, leaseholder)
      fleet.setStoreDown(true)
      fleet.kill(other)
      await fleet.clock.advance(5000)
      assert.equal(await isServed(fleet, leaseholder, 300), true)
      fleet.setStoreDown(false)
      fleet.start(other)
      await fleet.clock.advance(20_000)
      assert.equal(await isServed(fleet, leaseholder, 10_000), true)
      assert.ok(fleet.getOvershoot('w') <= 0)
    })
  }

  test.it('serve the leaseholder when a standby dies that has just started', async () => {
    const fleet = await createFleet(['a', 'b'], timings.defaultTiming)
    const leaseholder = fleet.findLeaseholder() as string
    const other = getOther(fleet, leaseholder)
    fleet.kill(other)
    fleet.start(other)
    await fleet.clock.advance(2500)
    fleet.setStoreDown(true)
    fleet.kill(other)
    await fleet.clock.advance(5000)
    assert.equal(await isServed(fleet, leaseholder, 300), true)
  })

  test.it('serve the leaseholder when the only standby dies again soon after its restart', async () => {
    const fleet = await createFleet(['a', 'b'], timings.defaultTiming)
    const leaseholder = fleet.findLeaseholder() as string
    const other = getOther(fleet, leaseholder)
    fleet.kill(other)
    await fleet.clock.advance(4000)
    fleet.start(other)
    await fleet.clock.advance(1500)
    fleet.setStoreDown(true)
    fleet.kill(other)
    await fleet.clock.advance(5000)
    assert.equal(await isServed(fleet, leaseholder, 300), true)
    assert.equal(await isServed(fleet, leaseholder, 5000), false)
  })

  test.it('expire when the time limit after the last contact has passed', async () => {
    const fleet = await createFleet(nodes, timing)
    const leaseholder = fleet.findLeaseholder() as string
    fleet.setStoreDown(true)
    fleet.kill(leaseholder)
    await fleet.clock.advance(timing.localQuotaMs)
    assert.equal(await isServed(fleet, getOther(fleet, leaseholder), 100), false)
  })

  test.it('of ended processes return to the leaseholder after the time limit', async () => {
    const fleet = await createFleet(nodes, timing)
    const leaseholder = fleet.findLeaseholder() as string
    fleet.kill(getOther(fleet, leaseholder))
    await fleet.clock.advance(5000)
    assert.equal(await isServed(fleet, leaseholder, 9000), false)
    await fleet.clock.advance(timing.localQuotaMs + 10_000)
    assert.equal(await isServed(fleet, leaseholder, 10_000), true)
  })

  test.it('never exceed rate and burst in any window', async () => {
    const node = fc.constantFrom(...nodes)
    const phase = fc.record({
      apart: fc.oneof(fc.constant([]), node.map(name => [name]), fc.constant(nodes)),
      withoutStore: fc.oneof(fc.constant([]), node.map(name => [name]), fc.constant(nodes)),
      ended: fc.option(node, { freq: 4, nil: undefined }),
      paused: fc.option(node, { freq: 4, nil: undefined }),
      leaving: fc.option(node, { freq: 10, nil: undefined }),
      forMs: fc.integer({ min: 200, max: 14_000 })
    })
    const schedule = fc.record({
      phases: fc.array(phase, { minLength: 2, maxLength: 5 }),
      tokens: fc.constantFrom(200, 500, 1100),
      usedShare: fc.constantFrom(0.2, 1, 1)
    })
    let localQuotaGrants = 0
    await fc.assert(fc.asyncProperty(schedule, async ({ phases, tokens, usedShare }) => {
      const fleet = await createFleet(nodes, { ...timing, localQuotaMs: 16_000 })
      fleet.addWorkspace('w', 2000, 4000)
      const stop = fleet.clock.every(200, () => {
        for (const name of nodes) {
          fleet.request(name, 'w', tokens, usedShare, 700)
        }
      })
      for (const one of phases) {
        await applyPhase(fleet, one)
      }
      await fleet.clock.advance(6000)
      stop()
      for (const entry of fleet.entries.values()) {
        entry.host.stop()
      }
      localQuotaGrants += fleet.localQuotaGrants
      assert.ok(fleet.getOvershoot('w') <= 1e-3, `overshoot of ${fleet.getOvershoot('w')} tokens`)
    }), { seed, numRuns: runs })
    assert.ok(localQuotaGrants > runs, `${localQuotaGrants} charges granted by local quotas`)
  })
})

interface Phase {
  /** Entries that are partitioned from all others. */
  readonly apart: readonly string[]
  readonly withoutStore: readonly string[]
  readonly ended: string | undefined
  readonly paused: string | undefined
  readonly leaving: string | undefined
  readonly forMs: number
}

/** Applies the faults of a phase and ends those of the previous one. */
async function applyPhase (fleet: fleets.Fleet, phase: Phase): Promise<void> {
  fleet.cuts.clear()
  for (const name of phase.apart) {
    for (const other of nodes) {
      fleet.cuts.add(`${name} ${other}`).add(`${other} ${name}`)
    }
  }
  for (const name of nodes) {
    const entry = fleet.entries.get(name) ?? fleet.start(name)
    entry.store.setDown(phase.withoutStore.includes(name))
  }
  if (phase.ended !== undefined) {
    fleet.kill(phase.ended)
  }
  const paused = phase.paused === undefined ? undefined : fleet.entries.get(phase.paused)
  paused?.gate.pause()
  if (phase.leaving !== undefined) {
    fleet.entries.get(phase.leaving)?.host.leave()
  }
  await fleet.clock.advance(phase.forMs)
  paused?.gate.resume()
  fleet.findLeaseholder()
}
