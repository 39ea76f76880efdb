import * as assert from 'node:assert/strict'
import * as rights from '../../src/allowances/right.js'
import * as test from 'node:test'
import * as timings from '../../src/allowances/timing.js'

const timing = { ...timings.defaultTiming, clockDrift: 0 }

test.describe('LeaseValidity', () => {
  test.it('is counted from the sending of a request, not from its answer', () => {
    const right = new rights.Right(timing)
    right.noteLease(1000)
    assert.equal(right.getUntilMs(), 4000)
    right.setRequired(['b'])
    right.notePromise('b', 2000)
    assert.equal(right.getUntilMs(), 5000)
  })

  test.it('outlasts the lease only with the promise of every standby', () => {
    const right = new rights.Right(timing)
    right.noteLease(0)
    right.setRequired(['b', 'c'])
    right.notePromise('b', 2000)
    assert.equal(right.isHeld(3500), false)
    right.notePromise('c', 1000)
    assert.equal(right.isHeld(3500), true)
    assert.equal(right.isHeld(4000), false)
  })

  test.it('does not outlast the lease if any entry may take over', () => {
    const right = new rights.Right(timing)
    right.noteLease(0)
    right.notePromise('b', 2000)
    assert.equal(right.getUntilMs(), 3000)
  })

  test.it('ends at the maximum extension after the last contact with the store', () => {
    const right = new rights.Right({ ...timing, maximumExtensionMs: 10_000 })
    right.noteLease(0)
    right.setRequired(['b'])
    right.notePromise('b', 9000)
    assert.equal(right.getUntilMs(), 10_000)
  })

  test.it('is shorter for the holder than for the processes that wait for its end', () => {
    const drift = { ...timing, clockDrift: 0.01 }
    assert.ok(timings.getBelievedMs(1000, drift) < 1000)
    assert.ok(timings.getOutwaitMs(1000, drift) > 1000)
  })
})
