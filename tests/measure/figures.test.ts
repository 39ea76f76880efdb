import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as figures from '../../tools/measure/figures.js'

const allowance = { rate: 100, burst: 50 }

test.describe('Figures', () => {
  test.it('takes percentiles by nearest rank', () => {
    assert.equal(figures.getPercentile([4, 1, 3, 2], 0.5), 2)
    assert.equal(figures.getPercentile([4, 1, 3, 2], 0.95), 4)
    assert.equal(figures.getPercentile([], 0.5), undefined)
  })

  test.describe('inside the rate', () => {
    test.it('takes only the charges that the bucket holds enough for', () => {
      const charges = [{ atMs: 0, tokens: 40 }, { atMs: 10, tokens: 40 }, { atMs: 20, tokens: 12 }, { atMs: 520, tokens: 50 }]
      assert.deepEqual(figures.findInside(charges, allowance), [true, false, true, true])
    })
  })

  test.describe('overshoot', () => {
    test.it('is 0 when every window stays within rate and burst', () => {
      assert.equal(figures.getOvershoot([{ atMs: 0, tokens: 50 }, { atMs: 500, tokens: 50 }], allowance), 0)
    })

    test.it('finds a window in the middle, in any order of the charges', () => {
      const charges = [{ atMs: 9100, tokens: 40 }, { atMs: 0, tokens: 10 }, { atMs: 9000, tokens: 40 }, { atMs: 20000, tokens: 1 }]
      assert.equal(figures.getOvershoot(charges, allowance), 20)
    })
  })

  test.describe('fair shares', () => {
    test.it('gives what one does not ask for to the others by weight', () => {
      const shares = figures.getFairShares([
        { name: 'large', weight: 2, demand: 1000 },
        { name: 'middle', weight: 1, demand: 1000 },
        { name: 'small', weight: 1, demand: 10 }
      ], 100)
      assert.deepEqual([shares.get('large'), shares.get('middle'), shares.get('small')], [60, 30, 10])
    })

    test.it('gives nobody more than the demand', () => {
      const shares = figures.getFairShares([{ name: 'only', weight: 1, demand: 5 }], 100)
      assert.equal(shares.get('only'), 5)
    })
  })
})
