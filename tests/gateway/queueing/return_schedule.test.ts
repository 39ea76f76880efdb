import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as returnSchedules from '../../../src/gateway/queueing/return_schedule.js'

test.describe('The times at which refused callers are to come back', () => {
  test.it('follow each other as fast as the limits allow, from the next permit on', () => {
    const returns = new returnSchedules.ReturnSchedule()
    const times = Array.from({ length: 4 }, () => returns.schedule('desk', 300, 4, 1_000))
    assert.deepEqual(times, [300, 550, 800, 1_050])
    assert.equal(returns.schedule('models', 100, 4, 1_000), 100)
    assert.equal(returns.schedule('desk', 300, 4, 9_000), 300)
  })

  test.it('have a bound, also where the servers take nothing', () => {
    const returns = new returnSchedules.ReturnSchedule()
    returns.schedule('desk', 4_000, 0, 0)
    assert.equal(returns.schedule('desk', 4_000, 0, 0), 10_000)
  })
})
