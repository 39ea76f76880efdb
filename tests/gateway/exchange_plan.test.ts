import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as exchangePlans from '../../src/gateway/exchange_plan.js'

test.describe('The exchange plan', () => {
  test.it('does not accept aggregates of a relay that was suspended, or of its earlier process', () => {
    const plan = new exchangePlans.ExchangePlan('self', 'a')
    const last = { teller: 'g1', boot: 'second', sequence: 50, asOfMs: 10_000, receivedMs: 10_000, isDirect: true }
    assert.equal(plan.isNewer(last, { teller: 'g1', boot: 'second', sequence: 51 }, 10_050), true)
    assert.equal(plan.isNewer(last, { teller: 'g1', boot: 'second', sequence: 3 }, 20_000), false)
    assert.equal(plan.isNewer(last, { teller: 'g1', boot: 'first', sequence: 900 }, 10_050), false)
    assert.equal(plan.isNewer(last, { teller: 'g1', boot: 'third', sequence: 1 }, 10_000 + 2 * plan.periodMs), true)
    assert.equal(plan.isNewer(last, { teller: 'g2', boot: 'other', sequence: 1 }, 10_050), false)
    assert.equal(plan.isNewer(last, { teller: 'g2', boot: 'other', sequence: 1 }, 10_000 + 2 * plan.periodMs), true)
  })

  test.it('has the same period in zones of different sizes', () => {
    const partner = { lastSeenMs: 0, lastExchangeMs: 0, aggregatesSentMs: 0 } as const
    const large = new exchangePlans.ExchangePlan('a0', 'a')
    large.setPartners([...Array.from({ length: 11 }, (_, index) => ({ ...partner, node: `a${index + 1}`, zone: 'a' })), { ...partner, node: 'b0', zone: 'b' }])
    const small = new exchangePlans.ExchangePlan('b0', 'b')
    small.setPartners(Array.from({ length: 12 }, (_, index) => ({ ...partner, node: `a${index}`, zone: 'a' })))
    assert.equal(large.periodMs, small.periodMs)
  })
})
