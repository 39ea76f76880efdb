import * as assert from 'node:assert/strict'
import * as shardBuckets from '../../src/allowances/shard_buckets.js'
import * as promiseRequests from './promise_request.js'
import * as records from '../../src/allowances/record.js'
import * as shards from '../../src/allowances/shard.js'
import * as shardTypes from '../../src/allowances/shard_types.js'
import * as standbys from '../../src/allowances/standby.js'
import * as leaseholderStates from '../../src/allowances/leaseholder_state.js'
import * as test from 'node:test'
import * as timings from '../../src/allowances/timing.js'
import * as types from '../../src/allowances/types.js'

const timing = { ...timings.defaultTiming, clockDrift: 0 }

function createVm (node: string): types.EntryVm {
  return { node, zone: node, address: { host: node, port: 1 }, state: 'live' }
}

function createRecord (standbys: readonly string[], change: Partial<records.TermRecord> = {}): records.TermRecord {
  const members = standbys.map(node => ({ node, address: createVm(node).address }))
  const holder = { node: 'a', address: createVm('a').address }
  return { term: 1, holder, holderBoot: 'a-1', successors: members, ...change }
}

function createShard (node: string, startedMs = 0): shards.Shard {
  const standby = new standbys.Standby(`${node}-1`, startedMs, timing)
  return new shards.Shard({ shard: 0, self: createVm(node), boot: `${node}-1`, succession: standby, timing }, startedMs)
}

const request = promiseRequests.createRequest()
const entries = ['a', 'b', 'c'].map(createVm)

/** Advances a standby to the write of its take-over. */
function startTakeOver (): { shard: shards.Shard, write: shardTypes.Write } {
  const shard = createShard('b', -10_000)
  shard.accept({ kind: 'lease', lease: { id: '1', sentMs: 0 } }, 0)
  shard.accept({ kind: 'observed', observation: { stored: { record: createRecord(['b']), revision: 5 }, isHeld: false, storeRevision: 5 } }, 0)
  const [action] = shard.accept({ kind: 'tick', entries }, 0)
  assert.equal(action?.kind, 'write')
  return { shard, write: (action as { write: shardTypes.Write }).write }
}

function createLeaseholderState (standbys: readonly string[]): leaseholderStates.LeaseholderState {
  const stored = { record: createRecord(standbys), revision: 5 }
  const initialBalances = shardBuckets.emptyBalances
  return new leaseholderStates.LeaseholderState({ shard: 0, stored, startedMs: 0, serveFromMs: 0, initialBalances }, timing)
}

function answer (boot: string): standbys.PromiseAnswer {
  return { promised: true, term: 1, boot, sequence: 0, atMs: 0, free: true, forgone: false }
}

test.describe('Shard', () => {
  test.it('gives no promise until the outcome of its take-over is known', () => {
    const { shard, write } = startTakeOver()
    assert.equal(shard.answerPromise(request, 0).promised, false)
    shard.accept({ kind: 'outcome', write, leaseId: '1', outcome: { kind: 'unknown' } }, 100)
    assert.equal(shard.answerPromise(request, 100).promised, false)
    const [again] = shard.accept({ kind: 'tick', entries }, 200)
    assert.deepEqual(again, { kind: 'write', write, leaseId: '1' })
    const refused = { kind: 'refused', stored: { record: createRecord(['b', 'c']), revision: 6 }, holderLease: '9', storeRevision: 6 } as const
    shard.accept({ kind: 'outcome', write, leaseId: '1', outcome: refused }, 300)
    assert.equal(shard.answerPromise(request, 300).promised, true)
  })

  test.it('treats a refused write as successful when the stored record is that of the write', () => {
    const { shard, write } = startTakeOver()
    shard.accept({ kind: 'outcome', write, leaseId: '1', outcome: { kind: 'unknown' } }, 100)
    shard.accept({ kind: 'tick', entries }, 200)
    const outcome = { kind: 'refused', stored: { record: write.record, revision: 6 }, holderLease: '1', storeRevision: 6 } as const
    shard.accept({ kind: 'outcome', write, leaseId: '1', outcome }, 300)
    assert.equal(shard.leaseholderState?.leaseId, '1')
    assert.equal(shard.getStartMs(300), timing.grantTtlMs)
  })

  test.it('takes over although a refusal arrives after the holder that it names has ended', () => {
    const { shard, write } = startTakeOver()
    const stored = { record: createRecord(['b'], { term: 2, holder: { node: 'c', address: createVm('c').address } }), revision: 6 }
    const observe = (isHeld: boolean, storeRevision: number): void => {
      shard.accept({ kind: 'observed', observation: { stored, isHeld, storeRevision } }, 100)
    }
    observe(true, 6)
    observe(false, 8)
    const refused = { kind: 'refused', stored, holderLease: '9', storeRevision: 7 } as const
    shard.accept({ kind: 'outcome', write, leaseId: '1', outcome: refused }, 200)
    const [action] = shard.accept({ kind: 'tick', entries }, 20_000)
    assert.deepEqual([action?.kind, (action as { write?: shardTypes.Write }).write?.expectedRevision], ['write', 6])
  })

  test.it('takes over a shard whose record names other standbys only after the longest possible extension', () => {
    const shard = createShard('c', -10_000)
    shard.accept({ kind: 'lease', lease: { id: '1', sentMs: 0 } }, 0)
    shard.accept({ kind: 'observed', observation: { stored: { record: createRecord(['b']), revision: 5 }, isHeld: false, storeRevision: 5 } }, 0)
    assert.deepEqual(shard.accept({ kind: 'tick', entries }, 3_000_000), [])
    assert.equal(shard.accept({ kind: 'tick', entries }, 3_700_000)[0]?.kind, 'write')
  })
})

test.describe('LeaseholderState', () => {
  test.it('requires the promises of old and new standbys while the outcome of a change of standbys is unknown', () => {
    const state = createLeaseholderState(['b'])
    state.validity.recordLease(0)
    state.addStandbys(createRecord(['c']).successors)
    state.recordAnswer('c', 1000, answer('c-1'), 1000)
    assert.equal(state.validity.getUntilMs(), 3000)
    state.recordAnswer('b', 1000, answer('b-1'), 1000)
    assert.equal(state.validity.getUntilMs(), 4000)
  })

  test.it('becomes valid again after a lapse only by a promise of the process that promised before', () => {
    const state = createLeaseholderState(['b'])
    state.validity.recordLease(0)
    state.recordAnswer('b', 1000, answer('b-1'), 1000)
    state.recordAnswer('b', 5000, answer('b-2'), 5000)
    assert.equal(state.validity.isValid(5000), false)
    state.recordAnswer('b', 5500, answer('b-1'), 5500)
    assert.equal(state.validity.isValid(5500), true)
  })

  test.it('starts with empty buckets when the levels of the last term are unknown', () => {
    const state = createLeaseholderState([])
    state.validity.recordLease(0)
    state.buckets.setAllowance('w', { tokensPerSecond: 100, burstTokens: 1000 }, 0)
    assert.deepEqual(state.charge({ id: '1', workspace: 'w', tokens: 100 }, 500), { kind: 'exhausted', retryAfterMs: 500 })
    assert.deepEqual(state.charge({ id: '2', workspace: 'w', tokens: 100 }, 1000), { kind: 'granted' })
  })
})

test.describe('Leaseholder', () => {
  const allowance = { tokensPerSecond: 100, burstTokens: 1000 }
  const charge = { id: '1', workspace: 'w', tokens: 1000 }

  function createLeaseholder (): shardBuckets.ShardBuckets {
    const leaseholder = new shardBuckets.ShardBuckets(0, shardBuckets.fullBalances, timing)
    leaseholder.setAllowance('w', allowance, 0)
    return leaseholder
  }

  test.it('counts a repeated charge and a repeated settlement once', () => {
    const leaseholder = createLeaseholder()
    assert.equal(leaseholder.charge(charge, 0, () => 0).kind, 'granted')
    assert.equal(leaseholder.charge(charge, 0, () => 0).kind, 'granted')
    leaseholder.settle('1', 400, 0)
    leaseholder.settle('1', 0, 0)
    assert.equal(leaseholder.getBucket('w')?.getLevel(0), 600)
  })

  test.it('does not grant a charge that was settled before it arrived', () => {
    const leaseholder = createLeaseholder()
    leaseholder.settle('1', 0, 0)
    assert.equal(leaseholder.charge(charge, 0, () => 0).kind, 'settled')
    assert.equal(leaseholder.getBucket('w')?.getLevel(0), 1000)
  })

  test.it('counts the full bound of a charge that is never settled, and later discards the charge', () => {
    const leaseholder = createLeaseholder()
    leaseholder.charge(charge, 0, () => 0)
    leaseholder.charge({ ...charge, id: '2', tokens: 1 }, timing.chargeRetentionMs, () => 0)
    assert.equal(leaseholder.openCharges, 1)
  })
})
