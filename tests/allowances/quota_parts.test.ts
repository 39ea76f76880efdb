import * as assert from 'node:assert/strict'
import * as shardBuckets from '../../src/allowances/shard_buckets.js'
import * as promiseRequests from './promise_request.js'
import * as leaseValidities from '../../src/allowances/lease_validity.js'
import * as quotaParts from '../../src/allowances/quota_parts.js'
import * as localQuotas from '../../src/allowances/local_quota.js'
import * as standbys from '../../src/allowances/standby.js'
import * as test from 'node:test'
import * as timings from '../../src/allowances/timing.js'

const timing = { ...timings.defaultTiming, clockDrift: 0, localQuotaFraction: 0.25, localQuotaMs: 20_000 }
const allowance = { tokensPerSecond: 100, burstTokens: 1000 }

test.describe('QuotaParts', () => {
  test.it('lists when each loan and the lease validity ended', () => {
    const validity = new leaseValidities.LeaseValidity(timing)
    validity.recordLease(0)
    const parts = new quotaParts.QuotaParts([], 0, timing)
    parts.lend('b', 2000)
    parts.lend('c', 9000)
    assert.deepEqual(parts.advance(validity, ['b', 'c'], 8000).map(({ atMs, part }) => [atMs, part]), [[2000, 0.75], [3000, 0.5], [8000, 0.5]])
    assert.deepEqual(parts.advance(validity, ['b', 'c'], 9500).at(-1), { atMs: 9500, part: 0.25 })
    parts.lend('b', 12_500)
    assert.equal(parts.advance(validity, ['b', 'c'], 9500).at(-1)?.part, 0.5)
  })

  test.it('limits the use of local quotas from the earliest of the last promises', () => {
    const validity = new leaseValidities.LeaseValidity(timing)
    validity.recordLease(0)
    const parts = new quotaParts.QuotaParts(['c'], 0, timing)
    parts.lend('b', 5000)
    assert.equal(parts.getUsableUntilMs(validity, ['b']), 22_000)
    assert.equal(parts.getUsableUntilMs(validity, ['b', 'c']), Number.NEGATIVE_INFINITY)
    assert.equal(parts.getUsableUntilMs(validity, []), Number.NEGATIVE_INFINITY)
  })

  test.it('limits the use of the own local quota from the last contact with the store as well', () => {
    const validity = new leaseValidities.LeaseValidity(timing)
    validity.recordLease(500)
    const parts = new quotaParts.QuotaParts([], 0, timing)
    assert.equal(parts.getOwnUsableUntilMs(validity, []), 20_500)
    parts.lend('b', 5000)
    assert.equal(parts.getOwnUsableUntilMs(validity, ['b']), 22_000)
  })
})

test.describe('Part of a leaseholder', () => {
  test.it('takes its part of the low-water mark along when it shrinks, and adds no tokens when it grows', () => {
    const leaseholder = new shardBuckets.ShardBuckets(0, shardBuckets.fullBalances, timing)
    leaseholder.setAllowance('w', allowance, 0)
    leaseholder.charge({ id: '1', workspace: 'w', tokens: 400 }, 0, () => 0)
    leaseholder.setPart(0.75, 1000, () => 200)
    assert.equal(leaseholder.getBucket('w')?.getLevel(1000), 650)
    assert.equal(leaseholder.getBucket('w')?.getLevel(2000), 725)
    leaseholder.setPart(1, 2000, () => 200)
    assert.equal(leaseholder.getBucket('w')?.getLevel(2000), 725)
    assert.equal(leaseholder.getBucket('w')?.getLevel(9000), 1000)
  })

  test.it('starts without the tokens of the part that was used', () => {
    const leaseholder = new shardBuckets.ShardBuckets(0, { lowWaterMarks: new Map([['w', 400]]), isComplete: true, part: 0.5 }, timing, 0.75)
    leaseholder.setPart(1, 0, () => 0)
    leaseholder.setAllowance('w', allowance, 0)
    assert.equal(leaseholder.getBucket('w')?.getLevel(0), 200)
  })
})

test.describe('Local quota of a standby', () => {
  const request = promiseRequests.createRequest({ revision: 5, shareMs: 20_000, echoMs: 3000, toBoot: 'b-1' })
  const floor = { workspace: 'w', tokens: 400 }

  function createStandby (): standbys.Standby {
    const standby = new standbys.Standby('b-1', 0, timing)
    standby.answer({ ...request, floors: [floor], sequence: 1 }, 4000, true)
    return standby
  }

  test.it('is usable from the end of the promise until the time limit', () => {
    const standby = createStandby()
    assert.equal(standby.getQuotaStartMs(0, 6999), undefined)
    assert.equal(standby.getQuotaStartMs(0, 7000), 7000)
    assert.equal(standby.getQuotaStartMs(0, 22_999), 7000)
    assert.equal(standby.getQuotaStartMs(0, 23_000), undefined)
    standby.recordTerm(0, 2)
    assert.equal(standby.getQuotaStartMs(0, 7000), undefined)
  })

  test.it('holds its part of the low-water mark, which is not used twice', () => {
    const standby = createStandby()
    const quota = new localQuotas.LocalQuota(0, standby, timing)
    assert.equal(quota.update(7000), true)
    quota.setAllowance('w', allowance, 7000)
    assert.equal(quota.charge({ id: '1', workspace: 'w', tokens: 100 }, 7000)?.kind, undefined)
    assert.equal(quota.charge({ id: '1', workspace: 'w', tokens: 110 }, 7400)?.kind, 'granted')
    assert.equal(quota.charge({ id: '2', workspace: 'w', tokens: 10 }, 7400)?.kind, 'exhausted')
    quota.deactivate(8000)
    const again = { ...request, floors: [floor], sequence: 2 }
    assert.equal(standby.answer(again, 8000, true).sequence, 0)
    assert.equal(standby.answer({ ...again, echoMs: 8000 }, 8100, true).sequence, 2)
  })

  test.it('is not free while the holder of an earlier term may use it', () => {
    const standby = createStandby()
    assert.equal(standby.answer({ ...request, term: 2 }, 6999, true).free, false)
    assert.equal(standby.answer({ ...request, term: 2, forgo: true }, 6999, true).forgone, false)
    assert.equal(standby.answer({ ...request, term: 2 }, 7000, true).free, true)
    assert.equal(standby.answer({ ...request, term: 2, forgo: true }, 7000, false).forgone, false)
    assert.equal(standby.answer({ ...request, term: 2, forgo: true }, 7000, true).forgone, true)
  })

  test.it('is not restored by a late request once it has been given up', () => {
    const standby = createStandby()
    standby.answer({ ...request, revision: 6, forgo: true }, 4000, true)
    standby.answer(request, 4000, true)
    assert.equal(standby.getQuotaStartMs(0, 8000), undefined)
    standby.answer({ ...request, revision: 7 }, 4000, true)
    assert.equal(standby.getQuotaStartMs(0, 8000), 7000)
  })

  test.it('is not lent by a process that has just started', () => {
    const standby = new standbys.Standby('b-1', 0, timing)
    assert.equal(standby.answer(request, 2999, true).free, false)
    assert.equal(standby.answer(request, 3000, true).free, true)
  })
})
