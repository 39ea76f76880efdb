import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as drivers from './gate_driver.js'

const oneSlot = { slots: 1, memoryPieces: 100 } as const
const hold = { expectedInMs: 500, holdMs: 200 } as const

test.describe('Gate: reservations', () => {
  test.it('keeps the slot for the start that names the reservation', () => {
    const driver = new drivers.GateDriver({}, oneSlot)
    const { reservation, waitMs } = driver.offer('r-1', hold)
    assert.equal(waitMs, 0)
    driver.start('long', { maximumTokens: 200 })
    assert.equal(driver.isLaunched('long'), false)
    driver.advance(500)
    assert.equal(driver.start('1', { reservation, maximumWaitMs: 0 }).unsafeCoerce().state, 'running')
  })

  test.it('cannot be used by another request', () => {
    const driver = new drivers.GateDriver({}, oneSlot)
    const { reservation } = driver.offer('r-1', hold)
    assert.equal(driver.start('2', { reservation, maximumTokens: 200 }).unsafeCoerce().state, 'queued')
    assert.equal(driver.gate.figures.reservations, 1)
  })

  test.it('expires, and the slot goes to a waiting attempt', () => {
    const driver = new drivers.GateDriver({}, oneSlot)
    driver.offer('r-1', hold)
    driver.start('long', { maximumTokens: 200 })
    driver.advance(699)
    assert.equal(driver.isLaunched('long'), false)
    driver.advance(1)
    assert.equal(driver.isLaunched('long'), true)
  })

  test.it('does not keep the slot idle when a short attempt fits before the expected arrival', () => {
    const driver = new drivers.GateDriver({}, oneSlot)
    driver.offer('r-1', hold)
    driver.start('short', { maximumTokens: 40 })
    assert.equal(driver.isLaunched('short'), true)
  })

  test.it('is made when the slot is in use now and expected to be free at the arrival', () => {
    const driver = new drivers.GateDriver({}, oneSlot)
    driver.start('running', { maximumTokens: 50 })
    assert.notEqual(driver.offer('r-1', hold).reservation, undefined)
    assert.equal(driver.offer('r-2', hold).reservation, undefined)
    assert.equal(driver.offer('r-3', { expectedInMs: 100, holdMs: 200 }).reservation, undefined)
  })

  test.it('is made for a later time when the task may wait until then, and is kept from then on', () => {
    const driver = new drivers.GateDriver({}, oneSlot)
    driver.start('running', { maximumTokens: 80 })
    const { reservation, waitMs } = driver.offer('r-1', { ...hold, maximumWaitMs: 300 })
    assert.equal(waitMs, 300)
    driver.advance(999)
    assert.equal(driver.gate.figures.reservations, 1)
    driver.finish('running')
    assert.equal(driver.start('1', { reservation, maximumWaitMs: 0 }).unsafeCoerce().state, 'running')
  })

  test.it('is not made when the task may not wait as long, and the answer says when to retry', () => {
    const driver = new drivers.GateDriver({}, oneSlot)
    driver.start('running', { maximumTokens: 100 })
    const { reservation, retryAfterMs } = driver.offer('r-1', { ...hold, maximumWaitMs: 300 })
    assert.deepEqual([reservation, retryAfterMs], [undefined, 200])
  })

  test.it('uses capacity that is free before and after a later reservation', () => {
    const driver = new drivers.GateDriver({}, oneSlot)
    driver.offer('r-later', { expectedInMs: 700, holdMs: 200, maximumTokens: 50 })
    driver.start('running', { maximumTokens: 20 })
    assert.equal(driver.offer('r-short', { expectedInMs: 0, holdMs: 2_000, maximumTokens: 20 }).waitMs, 1_200)
    const other = new drivers.GateDriver({}, { slots: 2, memoryPieces: 100 })
    other.offer('r-later', { expectedInMs: 700, holdMs: 200 })
    other.start('running', { maximumTokens: 20 })
    assert.equal(other.offer('r-now', { expectedInMs: 100, holdMs: 200 }).waitMs, 0)
  })

  test.describe('of a workspace above its fair share', () => {
    /** Fills ten slots, nine of them for workspace a; the first one is free after 700 ms. */
    function fill (): drivers.GateDriver {
      const driver = new drivers.GateDriver({}, { slots: 10, memoryPieces: 100 })
      for (let index = 0; index < 10; index += 1) {
        driver.start(`${index}`, { workspace: index < 9 ? 'a' : 'b', maximumTokens: index < 9 ? 100 : 70 })
      }
      return driver
    }
    const wanted = { expectedInMs: 0, holdMs: 500, maximumWaitMs: 900 } as const

    test.it('is refused first when no capacity is free, with the time until it would be made', () => {
      const driver = fill()
      const first = driver.offer('r-a', { ...wanted, workspace: 'a', weight: 1 })
      assert.deepEqual([first.reservation, first.isAboveShare], [undefined, true])
      assert.ok((first.retryAfterMs ?? 0) > 0 && (first.retryAfterMs ?? 0) < first.waitMs)
      const other = driver.offer('r-b', { ...wanted, workspace: 'b', weight: 1 })
      assert.notEqual(other.reservation, undefined)
    })

    test.it('follows the weights', () => {
      const driver = fill()
      assert.notEqual(driver.offer('r-a', { ...wanted, workspace: 'a', weight: 1_000 }).reservation, undefined)
    })

    test.it('is made when capacity is free, or no other workspace is active', () => {
      const driver = fill()
      driver.finish('9')
      assert.notEqual(driver.offer('r-a', { ...wanted, workspace: 'a', weight: 1 }).reservation, undefined)
      const alone = new drivers.GateDriver({}, oneSlot)
      alone.start('running', { maximumTokens: 80 })
      assert.notEqual(alone.offer('r-1', { ...wanted, weight: 1 }).reservation, undefined)
    })
  })

  test.it('is replaced when the offer is repeated, released on request, and ends with its session', () => {
    const driver = new drivers.GateDriver()
    driver.offer('r-1', hold)
    const { reservation } = driver.offer('r-1', hold)
    assert.equal(driver.gate.load.promisedPieces, 2)
    driver.call('work.release', { reservation: reservation ?? '' })
    assert.equal(driver.gate.load.promisedPieces, 0)
    driver.offer('r-2', hold)
    driver.apply({ kind: 'session.expired', nowMs: 0, session: 'one' })
    assert.equal(driver.gate.figures.reservations, 0)
  })
})
