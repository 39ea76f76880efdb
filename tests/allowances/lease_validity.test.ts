import * as assert from 'node:assert/strict'
import * as leaseValidities from '../../src/allowances/lease_validity.js'
import * as test from 'node:test'
import * as timings from '../../src/allowances/timing.js'

const timing = { ...timings.defaultTiming, clockDrift: 0 }

test.describe('LeaseValidity', () => {
  test.it('is counted from the sending of a request, not from its answer', () => {
    const validity = new leaseValidities.LeaseValidity(timing)
    validity.recordLease(1000)
    assert.equal(validity.getUntilMs(), 4000)
    validity.setStandbys(['b'])
    validity.recordPromise('b', 2000)
    assert.equal(validity.getUntilMs(), 5000)
  })

  test.it('outlasts the lease only with the promise of every standby', () => {
    const validity = new leaseValidities.LeaseValidity(timing)
    validity.recordLease(0)
    validity.setStandbys(['b', 'c'])
    validity.recordPromise('b', 2000)
    assert.equal(validity.isValid(3500), false)
    validity.recordPromise('c', 1000)
    assert.equal(validity.isValid(3500), true)
    assert.equal(validity.isValid(4000), false)
  })

  test.it('does not outlast the lease if any entry may take over', () => {
    const validity = new leaseValidities.LeaseValidity(timing)
    validity.recordLease(0)
    validity.recordPromise('b', 2000)
    assert.equal(validity.getUntilMs(), 3000)
  })

  test.it('ends at the maximum extension after the last contact with the store', () => {
    const validity = new leaseValidities.LeaseValidity({ ...timing, maximumExtensionMs: 10_000 })
    validity.recordLease(0)
    validity.setStandbys(['b'])
    validity.recordPromise('b', 9000)
    assert.equal(validity.getUntilMs(), 10_000)
  })

  test.it('is shorter for the holder than for the processes that wait for its end', () => {
    const drift = { ...timing, clockDrift: 0.01 }
    assert.ok(timings.getUsableMs(1000, drift) < 1000)
    assert.ok(timings.getExpiryWaitMs(1000, drift) > 1000)
  })
})
