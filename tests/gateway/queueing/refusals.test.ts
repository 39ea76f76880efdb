/**
 * Requests that cannot be served in time, and the times at which refused callers come back.
 */
import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as capacityForecasts from '../../../src/gateway/queueing/capacity_forecast.js'
import * as capacityQueues from '../../../src/gateway/queueing/capacity_queue.js'
import * as capacityReturns from '../../../src/gateway/queueing/capacity_returns.js'
import * as prefillAdmissions from '../../../src/gateway/queueing/prefill_admission.js'
import * as routing from '../../../src/contracts/routing.js'
import * as seededRandom from '../../../src/host/seeded_random.js'
import * as urgencyRanks from '../../../src/gateway/urgency/urgency_ranks.js'

test.describe('Callers refused for lack of decode memory', () => {
  const refused: capacityReturns.RefusedRequest = { service: 's', rank: 3, waitMs: 400, intervalMs: 250, remainingMs: 12_000 }

  test.it('come back one after the other, the urgent ones first', () => {
    const returns = new capacityReturns.CapacityReturns(new seededRandom.SeededRandom(1))
    const [first, second, urgent, third, nextUrgent] = [3, 3, 0, 3, 0].map(rank => returns.schedule({ ...refused, rank }, 1_000)) as
      [number, number, number, number, number]
    assert.ok(first >= 400 && first < 650 && urgent >= 400 && urgent < 650, `${first}, ${urgent}`)
    assert.deepEqual([second - first, nextUrgent - urgent], [250, 250])
    assert.ok(third - second >= 250, `${second}, ${third}`)
  })

  // Guards against times that callers do not honour, and against callers beyond all turns that return together.
  test.it('come back within a third of their time and never all at once, however many there are', () => {
    const returns = new capacityReturns.CapacityReturns(new seededRandom.SeededRandom(1))
    const times = Array.from({ length: 1_000 }, () => returns.schedule(refused, 1_000))
    const perTime = new Map<number, number>()
    for (const time of times) {
      assert.ok(time > 0 && time <= 4_000, String(time))
      const slot = Math.floor(time / 200)
      perTime.set(slot, (perTime.get(slot) ?? 0) + 1)
    }
    assert.ok(Math.max(...perTime.values()) < 200, JSON.stringify([...perTime]))
  })

  test.it('come back at some time even where nothing is known or no time is left', () => {
    const returns = new capacityReturns.CapacityReturns(new seededRandom.SeededRandom(1))
    assert.equal(returns.schedule({ ...refused, remainingMs: -5 }, 0), 0)
    const unknownMs = returns.schedule({ ...refused, waitMs: Infinity, intervalMs: NaN }, 0)
    assert.ok(unknownMs >= 2_000 && unknownMs <= 4_000, String(unknownMs))
  })
})

test.describe('Requests behind more than can be served', () => {
  const forecast = new capacityForecasts.CapacityForecast()
  const admission = new prefillAdmissions.PrefillAdmission()
  forecast.recordRun('s', 7_000)

  /** Queues requests of one workspace at a gateway without free memory, 20 runs in use; returns how many are refused on arrival and a second later. */
  function countRefused (requests: number, usedTokens: number): readonly number[] {
    const queue = new capacityQueues.CapacityQueue()
    let refusals = 0
    for (let request = 0; request < requests; request += 1) {
      queue.add({
        id: String(request),
        priority: 3,
        expectedOutputTokens: 0,
        sinceMs: 0,
        latestMs: 1_800,
        isLate: false,
        claim: {
          service: 's',
          workspace: 'a',
          tokens: 4_000,
          memoryTokens: 4_000,
          arrivedMs: 0,
          isUnservable: (aheadTokens, nowMs) => {
            const rate = forecast.getRate('s', () => usedTokens, nowMs)
            const waitMs = rate === undefined ? undefined : forecast.estimateWaitMs(4_000, { ownTokens: aheadTokens, urgentTokens: 0, equalTokens: 0 }, rate)
            return admission.isUnservable({ arrivedMs: 0, goalMs: 2_000, latestMs: 1_800, waitMs }, nowMs)
          }
        },
        tryReserve: () => false,
        settle: () => { refusals += 1 }
      })
    }
    return [0, 1_000].map(nowMs => {
      queue.dispatch(nowMs)
      return refusals
    })
  }

  test.it('are refused at once, the last first, and not after a long wait', () => {
    // 20 runs of 7 s give room for 5.1 requests in 1.8 s, with the margin for 7.7.
    assert.deepEqual(countRefused(30, 80_000), [23, 23])
    assert.deepEqual(countRefused(7, 80_000), [0, 0])
  })

  test.it('wait where it is not known how fast memory becomes free', () => {
    assert.equal(new capacityForecasts.CapacityForecast().getRate('s', () => 80_000, 0), undefined)
    forecast.recordRun('s', NaN)
    assert.equal(admission.isUnservable({ arrivedMs: 0, goalMs: 2_000, latestMs: -1, waitMs: undefined }, 0), false)
  })

  test.it('have their prompts read behind those that can be in time', () => {
    assert.deepEqual([0, 700, 900].map(backlog => admission.mayRead(true, 3_200, backlog)), [true, true, false])
    assert.equal(admission.mayRead(false, 3_200, 90_000), true)
  })
})

test.describe('Services ordered by urgency', () => {
  const engine: routing.EngineProfile = { slots: 12, memoryTokens: 31_321, handleMs: 500, switchMs: 6_000, maximumHoldMs: 2_000 }

  function isContested (priorities: readonly number[], more: Partial<routing.Route> = {}, hasEngine = true): boolean {
    const routes = priorities.map(priority => ({
      name: 'r',
      host: 'h',
      prefix: `/${priority}/`,
      kind: 'stream' as const,
      targets: [{ service: 's', weight: 1 }],
      timeoutMs: 1,
      goalMs: 1,
      maximumServers: 1,
      priority,
      isPublic: false,
      isResumable: false,
      ...more
    }))
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
    return new urgencyRanks.UrgencyRanks({ version: 1, routes, services: [{ name: 's', maximumConnections: 1, engine: hasEngine ? engine : undefined }], limits }).isRanked('s')
  }

  // Guards against earlier deployments that are served in another way than before.
  test.it('are those with engines and routes of different priorities', () => {
    assert.equal(isContested([0, 2]), true)
    assert.equal(isContested([1, 1]), false)
    assert.equal(isContested([0, 2], {}, false), false)
    assert.equal(isContested([0, 2], { kind: 'idempotent' }), false)
    assert.equal(isContested([0, 2], { targets: [{ service: 's', weight: 0 }] }), false)
  })
})
