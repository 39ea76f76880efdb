import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as test from 'node:test'
import * as buckets from '../../src/allowances/bucket.js'

const allowance = { tokensPerSecond: 1000, burstTokens: 100 }

interface CountedCharge {
  readonly atMs: number
  readonly number: number
  readonly bound: number
  used: number
  isOpen: boolean
}

/** Reference implementation: recomputes the sum of every window that starts at a charge. */
class WindowCounter {
  readonly charges: CountedCharge[] = []

  constructor (private readonly ratePerMs: number, private readonly burst: number) {}

  /** Returns the tokens that may be charged now: the least slack of all windows that end now. */
  getSlack (nowMs: number): number {
    let slack = this.burst
    let used = 0
    for (const charge of this.charges.toReversed()) {
      used += charge.used
      slack = Math.min(slack, this.burst + this.ratePerMs * (nowMs - charge.atMs) - used)
    }
    return slack
  }
}

const steps = fc.array(fc.oneof(
  fc.record({ kind: fc.constant('charge' as const), tokens: fc.integer({ min: 1, max: 100 }) }),
  fc.record({ kind: fc.constant('settle' as const), which: fc.nat(20), share: fc.integer({ min: 0, max: 4 }) }),
  fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 60 }) })
), { maxLength: 60 })

function settleCharge (bucket: buckets.Bucket, counter: WindowCounter, which: number, share: number, nowMs: number): void {
  const open = counter.charges.filter(charge => charge.isOpen)
  const charge = open[which % Math.max(1, open.length)]
  if (charge === undefined) {
    return
  }
  const used = Math.floor(charge.bound * share / 4)
  bucket.settle(charge.number, charge.bound, used, nowMs)
  charge.used = used
  charge.isOpen = false
}

test.describe('Bucket', () => {
  test.it('equals the least slack of all windows, with refunds in any order', () => {
    fc.assert(fc.property(steps, list => {
      const bucket = new buckets.Bucket(allowance, 0, allowance.burstTokens)
      const counter = new WindowCounter(1, 100)
      let nowMs = 0
      for (const step of list) {
        if (step.kind === 'wait') {
          nowMs += step.ms
        } else if (step.kind === 'settle') {
          settleCharge(bucket, counter, step.which, step.share, nowMs)
        } else {
          const slack = counter.getSlack(nowMs)
          const number = bucket.tryCharge(step.tokens, nowMs)
          assert.equal(number !== undefined, slack >= step.tokens, `slack ${slack}, wanted ${step.tokens}`)
          if (number !== undefined) {
            counter.charges.push({ atMs: nowMs, number, bound: step.tokens, used: step.tokens, isOpen: true })
          }
        }
        assert.ok(Math.abs(bucket.getLevel(nowMs) - counter.getSlack(nowMs)) < 1e-6)
        assert.ok(bucket.segmentCount <= counter.charges.filter(charge => charge.isOpen).length + 1)
      }
    }), { seed: 20261203, numRuns: 3000 })
  })

  test.it('does not allow the burst twice in one window after a late refund', () => {
    const bucket = new buckets.Bucket(allowance, 0, 100)
    const first = bucket.tryCharge(100, 0) as number
    assert.notEqual(bucket.tryCharge(100, 100), undefined)
    bucket.settle(first, 100, 0, 100)
    assert.equal(bucket.tryCharge(1, 100), undefined)
  })

  test.it('returns the exact wait until a charge can be granted', () => {
    const bucket = new buckets.Bucket(allowance, 0, 100)
    bucket.tryCharge(90, 0)
    assert.equal(bucket.getWaitMs(50, 0), 40)
    assert.equal(bucket.tryCharge(50, 39.9), undefined)
    assert.notEqual(bucket.tryCharge(50, 40), undefined)
  })

  test.it('goes into debt when more was used than charged', () => {
    const bucket = new buckets.Bucket(allowance, 0, 100)
    const number = bucket.tryCharge(100, 0) as number
    bucket.settle(number, 100, 150, 0)
    assert.equal(bucket.getLevel(0), -50)
    assert.equal(bucket.getWaitMs(10, 0), 60)
  })

  test.describe('setAllowance', () => {
    test.it('keeps counting earlier charges', () => {
      const bucket = new buckets.Bucket(allowance, 0, 100)
      bucket.tryCharge(80, 0)
      bucket.setAllowance({ tokensPerSecond: 1000, burstTokens: 50 }, 0)
      assert.equal(bucket.getLevel(0), -30)
      bucket.setAllowance({ tokensPerSecond: 2000, burstTokens: 200 }, 10)
      assert.equal(bucket.getLevel(10), 130)
    })

    test.it('stays within the larger rate and burst in every window', () => {
      const changes = fc.array(fc.tuple(fc.integer({ min: 0, max: 50 }), fc.integer({ min: 1, max: 60 }), fc.boolean()))
      fc.assert(fc.property(changes, list => {
        const large = { tokensPerSecond: 2000, burstTokens: 100 }
        const small = { tokensPerSecond: 500, burstTokens: 60 }
        const bucket = new buckets.Bucket(large, 0, 100)
        const counter = new WindowCounter(2, 100)
        let nowMs = 0
        for (const [waitMs, tokens, isLarge] of list) {
          nowMs += waitMs
          bucket.setAllowance(isLarge ? large : small, nowMs)
          if (bucket.tryCharge(tokens, nowMs) !== undefined) {
            counter.charges.push({ atMs: nowMs, number: 0, bound: tokens, used: tokens, isOpen: false })
          }
          assert.ok(counter.getSlack(nowMs) >= -1e-6)
        }
      }), { seed: 20261203, numRuns: 1000 })
    })
  })

  test.it('repays no debt with the refund of an earlier charge', () => {
    const bucket = new buckets.Bucket(allowance, 0, 100)
    const first = bucket.tryCharge(10, 0) as number
    const second = bucket.tryCharge(80, 0) as number
    bucket.settle(first, 10, 40, 50)
    bucket.settle(second, 80, 0, 50)
    assert.equal(bucket.getLevel(50), 70)
  })
})
