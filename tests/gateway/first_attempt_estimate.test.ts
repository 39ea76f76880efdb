/**
 * Callers that are refused in a burst and retry with less time left. A retry must be queued by the time of its first attempt.
 */
import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as firstAttemptEstimates from '../../src/gateway/first_attempt_estimate.js'
import * as capacityQueues from '../../src/gateway/queueing/capacity_queue.js'

test.describe('Retries of callers', () => {
  test.it('are recognized by the shortened time-out', () => {
    const estimate = new firstAttemptEstimates.FirstAttemptEstimate()
    for (let request = 0; request < 20; request += 1) {
      assert.equal(estimate.estimateElapsedMs('r', 14_000, request * 100), 0)
    }
    assert.equal(estimate.estimateElapsedMs('r', 10_300, 2_100), 3_700)
    assert.equal(estimate.estimateElapsedMs('another', 10_300, 2_100), 0)
  })

  test.it('are not confused with first attempts that have a shorter common time-out', () => {
    const estimate = new firstAttemptEstimates.FirstAttemptEstimate()
    for (let request = 0; request < 40; request += 1) {
      estimate.estimateElapsedMs('r', request % 3 === 0 ? 8_000 : 14_000, request * 100)
    }
    assert.equal(estimate.estimateElapsedMs('r', 8_000, 4_100), 0)
    assert.equal(estimate.estimateElapsedMs('r', 7_000, 4_200), 1_000)
  })

  test.it('are not inferred from a single caller with a long time-out', () => {
    const estimate = new firstAttemptEstimates.FirstAttemptEstimate()
    estimate.estimateElapsedMs('r', 600_000, 0)
    for (let request = 0; request < 40; request += 1) {
      assert.equal(estimate.estimateElapsedMs('r', 14_000, request * 100), 0)
    }
  })

  test.it('are not inferred from time-outs that were counted long ago', () => {
    const estimate = new firstAttemptEstimates.FirstAttemptEstimate()
    for (let request = 0; request < 20; request += 1) {
      estimate.estimateElapsedMs('r', 14_000, request)
    }
    assert.equal(estimate.estimateElapsedMs('r', 5_000, 60_000), 0)
  })

  test.it('get the capacity that requests with an attainable goal leave, and are not refused with them', () => {
    const queue = new capacityQueues.CapacityQueue()
    const ends: string[] = []
    let free = 0
    const wait = (id: string, isLate: boolean, latestMs: number): void => queue.add({
      id,
      priority: 1,
      expectedOutputTokens: 4_000,
      sinceMs: isLate ? 1_200 : 4_900,
      latestMs,
      isLate,
      tryReserve: () => {
        free -= 1
        return free >= 0
      },
      settle: isTaken => ends.push(`${id} ${isTaken ? 'placed' : 'refused'}`)
    })
    wait('back', true, 8_000)
    wait('new', false, 5_600)
    wait('newer', false, 5_700)
    free = 1
    queue.dispatch(5_000)
    assert.deepEqual(ends, ['new placed'])
    free = 0
    queue.dispatch(5_800)
    assert.deepEqual(ends, ['new placed', 'newer refused'])
    free = 1
    queue.dispatch(6_000)
    assert.deepEqual(ends, ['new placed', 'newer refused', 'back placed'])
  })
})
