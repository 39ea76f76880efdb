import * as assert from 'node:assert/strict'
import * as fleets from './fleet.js'
import * as promiseRequests from './promise_request.js'
import * as standbys from '../../src/allowances/standby.js'
import * as test from 'node:test'
import * as timings from '../../src/allowances/timing.js'

const timing = { ...timings.defaultTiming, clockDrift: 0 }

async function createFleet (): Promise<fleets.Fleet> {
  const fleet = new fleets.Fleet()
  fleet.addWorkspace('w', 10, 10_000)
  for (const node of ['a', 'b', 'c']) {
    fleet.start(node)
  }
  await fleet.clock.advance(5000)
  return fleet
}

function getOthers (fleet: fleets.Fleet, leaseholder: string): readonly string[] {
  return [...fleet.entries.keys()].filter(node => node !== leaseholder)
}

function cutOff (fleet: fleets.Fleet, leaseholder: string): void {
  for (const other of getOthers(fleet, leaseholder)) {
    fleet.cuts.add(`${leaseholder} ${other}`)
    fleet.cuts.add(`${other} ${leaseholder}`)
  }
}

test.describe('Standby', () => {
  test.it('keeps a promise, counted from the receipt of the request', () => {
    const standby = new standbys.Standby('b-1', 0, timing)
    assert.equal(standby.answer(promiseRequests.createRequest(), 5000, true).promised, true)
    assert.equal(standby.getPromisedUntilMs(0), 8000)
  })

  test.it('promises nothing while it takes over, to an earlier term, or after the release', () => {
    const standby = new standbys.Standby('b-1', 0, timing)
    assert.equal(standby.answer(promiseRequests.createRequest(), 5000, false).promised, false)
    standby.answer(promiseRequests.createRequest({ term: 3, released: true }), 5000, true)
    assert.equal(standby.answer(promiseRequests.createRequest({ term: 2 }), 5000, true).promised, false)
    assert.equal(standby.answer(promiseRequests.createRequest({ term: 3 }), 5000, true).promised, false)
    assert.equal(standby.answer(promiseRequests.createRequest({ term: 4 }), 5000, true).promised, true)
  })

  test.it('keeps the promises that an earlier process of the VM may have given', () => {
    assert.equal(new standbys.Standby('b-2', 1000, timing).getPromisedUntilMs(0), 4000)
  })

  test.describe('low-water marks', () => {
    const floor = { workspace: 'w', tokens: 50 }

    test.it('belong to one term and one boot', () => {
      const standby = new standbys.Standby('b-2', 0, timing)
      const late = promiseRequests.createRequest({ sequence: 1, floors: [floor], toBoot: 'b-1' })
      assert.equal(standby.answer(late, 0, true).promised, false)
      assert.equal(standby.getInitialBalances(0, 1).isComplete, false)
      standby.answer({ ...late, toBoot: 'b-2' }, 0, true)
      assert.deepEqual(standby.getInitialBalances(0, 1).lowWaterMarks, new Map([['w', 50]]))
      assert.equal(standby.getInitialBalances(0, 2).isComplete, false)
    })

    test.it('are not replaced by older ones, nor updated from a base that is not held', () => {
      const standby = new standbys.Standby('b-1', 0, timing)
      standby.answer(promiseRequests.createRequest({ sequence: 2, floors: [floor] }), 0, true)
      standby.answer(promiseRequests.createRequest({ sequence: 1, floors: [{ ...floor, tokens: 90 }] }), 0, true)
      const answer = standby.answer(promiseRequests.createRequest({ sequence: 5, base: 4, floors: [{ ...floor, tokens: 80 }] }), 0, true)
      assert.equal(answer.sequence, 2)
      assert.equal(standby.getInitialBalances(0, 1).lowWaterMarks.get('w'), 50)
    })
  })
})

test.describe('A fleet', () => {
  test.it('has no second leaseholder when a standby restarts before its promise has expired', async () => {
    const fleet = await createFleet()
    const leaseholder = fleet.findLeaseholder() as string
    fleet.setStoreDown(true)
    await fleet.clock.advance(6000)
    cutOff(fleet, leaseholder)
    for (const node of getOthers(fleet, leaseholder)) {
      fleet.kill(node)
      fleet.start(node)
    }
    for (let step = 0; step < 60; step += 1) {
      await fleet.clock.advance(100)
      fleet.findLeaseholder()
    }
    assert.notEqual(fleet.findLeaseholder(), leaseholder)
  })

  test.it('does not go below a low-water mark that an unresponsive standby holds', async () => {
    const fleet = await createFleet()
    const leaseholder = fleet.findLeaseholder() as string
    cutOff(fleet, leaseholder)
    for (let count = 0; count < 10; count += 1) {
      fleet.request(leaseholder, 'w', 1000, 1, 10)
    }
    await fleet.clock.advance(50)
    fleet.kill(leaseholder)
    await fleet.clock.advance(6000)
    for (let count = 0; count < 10; count += 1) {
      fleet.request(getOthers(fleet, leaseholder)[0] as string, 'w', 1000, 1, 10)
    }
    await fleet.clock.advance(2000)
    assert.ok(fleet.accepted.length > 5)
    assert.ok(fleet.getOvershoot('w') <= 0)
  })

  test.it('replaces an unresponsive standby, so that the whole allowance can be used', async () => {
    const fleet = await createFleet()
    const leaseholder = fleet.findLeaseholder() as string
    for (const other of getOthers(fleet, leaseholder)) {
      fleet.kill(other)
    }
    const answer = fleet.request(leaseholder, 'w', 9000, 1, 10)
    await fleet.clock.advance(1600)
    assert.equal(await answer, true)
  })

  test.it('refuses with a time to retry after when no process may decide', async () => {
    const fleet = await createFleet()
    const leaseholder = fleet.findLeaseholder() as string
    fleet.setStoreDown(true)
    fleet.kill(leaseholder)
    const answer = fleet.request(getOthers(fleet, leaseholder)[0] as string, 'w', 100, 1, 10)
    await fleet.clock.advance(6000)
    assert.equal(await answer, false)
    assert.equal(fleet.refused[0]?.failure.code, 'keeper_unavailable')
    assert.equal(fleet.refused[0]?.failure.verdict, 'not_run')
    assert.notEqual(fleet.refused[0]?.failure.retryAfterMs, undefined)
  })

  test.it('stops when a standby dies during a store outage, and serves again once the store is back', async () => {
    const fleet = await createFleet()
    const leaseholder = fleet.findLeaseholder() as string
    fleet.setStoreDown(true)
    await fleet.clock.advance(5000)
    fleet.kill(getOthers(fleet, leaseholder)[0] as string)
    await fleet.clock.advance(5000)
    assert.equal(fleet.findLeaseholder(), undefined)
    fleet.setStoreDown(false)
    await fleet.clock.advance(3000)
    assert.equal(fleet.findLeaseholder(), leaseholder)
  })

  test.it('keeps serving when a standby restarts during a store outage', async () => {
    const fleet = await createFleet()
    const leaseholder = fleet.findLeaseholder() as string
    fleet.setStoreDown(true)
    await fleet.clock.advance(5000)
    const other = getOthers(fleet, leaseholder)[0] as string
    fleet.kill(other)
    await fleet.clock.advance(1500)
    fleet.start(other).store.setDown(true)
    await fleet.clock.advance(20_000)
    assert.equal(fleet.findLeaseholder(), leaseholder)
  })
})
