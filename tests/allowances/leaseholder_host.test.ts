import * as assert from 'node:assert/strict'
import * as fleets from './fleet.js'
import * as test from 'node:test'

async function createFleet (nodes: readonly string[]): Promise<fleets.Fleet> {
  const fleet = new fleets.Fleet()
  fleet.addWorkspace('w', 1000, 10_000)
  for (const node of nodes) {
    fleet.start(node)
  }
  await fleet.clock.advance(2500)
  return fleet
}

async function request (fleet: fleets.Fleet, node: string, tokens: number, usedShare = 1): Promise<boolean> {
  const answer = fleet.request(node, 'w', tokens, usedShare, 100)
  await fleet.clock.advance(1600)
  return await answer
}

function getOther (fleet: fleets.Fleet, node: string | undefined): string {
  for (const other of fleet.entries.keys()) {
    if (other !== node) {
      return other
    }
  }
  return ''
}

test.describe('LeaseholderHost', () => {
  test.it('has one leaseholder, which answers its own entry and the others', async () => {
    const fleet = await createFleet(['a', 'b', 'c'])
    assert.notEqual(fleet.findLeaseholder(), undefined)
    for (const node of ['a', 'b', 'c']) {
      assert.equal(await request(fleet, node, 1000), true)
    }
  })

  test.it('refuses charges beyond the allowance with a time to retry after', async () => {
    const fleet = await createFleet(['a', 'b'])
    assert.equal(await request(fleet, 'a', 10_000), true)
    assert.equal(await request(fleet, 'b', 10_000), false)
    const failure = fleet.refused[0]?.failure
    assert.equal(failure?.code, 'allowance_exhausted')
    assert.equal(failure?.verdict, 'not_run')
    assert.ok((failure?.retryAfterMs ?? 0) > 8000 && (failure?.retryAfterMs ?? 0) < 10_000)
    assert.equal(await request(fleet, 'b', 10_001), false)
    assert.equal(fleet.refused[1]?.failure.code, 'request_exceeds_burst')
  })

  test.it('keeps the leaseholder during a store outage of any length', async () => {
    const fleet = await createFleet(['a', 'b', 'c'])
    const leaseholder = fleet.findLeaseholder()
    fleet.setStoreDown(true)
    await fleet.clock.advance(60_000)
    assert.equal(fleet.findLeaseholder(), leaseholder)
    assert.equal(await request(fleet, getOther(fleet, leaseholder), 5000), true)
    fleet.setStoreDown(false)
    await fleet.clock.advance(10_000)
    assert.equal(fleet.findLeaseholder(), leaseholder)
  })

  test.it('fails over to a standby that has the low-water marks when the leaseholder dies', async () => {
    const fleet = await createFleet(['a', 'b', 'c'])
    const leaseholder = fleet.findLeaseholder() as string
    fleet.kill(leaseholder)
    await fleet.clock.advance(5000)
    assert.notEqual(fleet.findLeaseholder(), leaseholder)
    assert.equal(await request(fleet, getOther(fleet, leaseholder), 7000), true)
  })

  test.it('hands over without refusing any charge when the leaseholder leaves', async () => {
    const fleet = await createFleet(['a', 'b', 'c'])
    const leaseholder = fleet.findLeaseholder() as string
    const left = fleet.entries.get(leaseholder)?.host.leave()
    assert.equal(await request(fleet, getOther(fleet, leaseholder), 9000), true)
    await left
    assert.notEqual(fleet.findLeaseholder(), undefined)
    assert.deepEqual(fleet.refused, [])
  })

  test.it('does not let a paused leaseholder grant charges after its lease has expired', async () => {
    const fleet = await createFleet(['a', 'b', 'c'])
    const leaseholder = fleet.findLeaseholder() as string
    assert.equal(await request(fleet, leaseholder, 9000), true)
    fleet.entries.get(leaseholder)?.gate.pause()
    await fleet.clock.advance(6000)
    assert.notEqual(fleet.findLeaseholder(), undefined)
    await request(fleet, getOther(fleet, leaseholder), 9000)
    fleet.entries.get(leaseholder)?.gate.resume()
    await request(fleet, leaseholder, 9000)
    assert.ok(fleet.getOvershoot('w') <= 0)
  })

  test.it('takes over again after it was paused and has lost its shards', async () => {
    const fleet = await createFleet(['a', 'b'])
    const first = fleet.findLeaseholder() as string
    const second = getOther(fleet, first)
    for (const [paused, serving] of [[first, second], [second, first]] as const) {
      fleet.entries.get(paused)?.gate.pause()
      await fleet.clock.advance(6000)
      assert.equal(fleet.findLeaseholder(), serving)
      fleet.entries.get(paused)?.gate.resume()
      await fleet.clock.advance(3000)
    }
  })

  test.it('resolves a take-over whose answer is lost by retrying the write', async () => {
    const fleet = new fleets.Fleet()
    fleet.addWorkspace('w', 1000, 10_000)
    const entry = fleet.start('a')
    entry.store.lostAnswers = 3
    await fleet.clock.advance(6000)
    assert.equal(fleet.findLeaseholder(), 'a')
    assert.equal(await request(fleet, 'a', 1000), true)
  })
})
