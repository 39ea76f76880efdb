import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as accounts from '../../../src/gateway/caller_memory/account.js'

const limits = {
  largeBytes: 10_000, smallBytes: 20_000, transientBytes: 1_000, longestWaitMs: 1_000, graceMs: 1_000, leastBytesPerSecond: 100
}

class Owner extends accounts.BodyOwner {
  grants = 0
  readonly ends: accounts.EndReason[] = []

  override granted (): void {
    this.grants += 1
  }

  override ended (reason: accounts.EndReason): void {
    this.ends.push(reason)
  }
}

test.describe('The account of callers\' memory', () => {
  function open (account: accounts.CallerMemory, bytes = 0): { readonly owner: Owner, readonly lease: accounts.BodyLease } {
    const owner = new Owner()
    const lease = account.open(owner)
    account.add(lease, bytes)
    return { owner, lease }
  }

  // Guards against requests ahead of an answer that are kept without bound, and against heads that take the room of small bodies.
  test.it('takes heads up to the part of small bodies, beside these', () => {
    const account = new accounts.CallerMemory(limits)
    const { lease, owner } = open(account)
    account.add(lease, limits.smallBytes)
    assert.deepEqual([account.takeHead(limits.smallBytes), account.takeHead(1), account.takeHead(0)], [true, false, true])
    account.giveBackHead(1)
    assert.equal(account.takeHead(1), true)
    assert.deepEqual(owner.ends, [])
  })

  test.describe('with large bodies', () => {
    // Guards against a body that is read in part and can neither go on nor end, because others hold the rest of the account.
    test.it('grants all that a body may become, in the order of the requests', () => {
      const account = new accounts.CallerMemory(limits)
      const [first, second, third] = [open(account), open(account), open(account)]
      assert.equal(account.request(first.lease, 6_000, 0), true)
      assert.equal(account.request(second.lease, 6_000, 0), false)
      assert.equal(account.request(third.lease, 1_000, 0), false)
      account.close(first.lease, false, 10)
      assert.deepEqual([second.owner.grants, third.owner.grants], [1, 1])
    })

    // Guards against memory that is given to the next body while the buffer of the last one still exists.
    test.it('counts a buffer until it has been collected', () => {
      const account = new accounts.CallerMemory(limits)
      const [first, second] = [open(account), open(account)]
      account.request(first.lease, 8_000, 0)
      account.add(first.lease, 8_000)
      account.complete(first.lease, 0)
      account.request(second.lease, 8_000, 0)
      account.close(first.lease, true, 0)
      assert.equal(second.owner.grants, 0)
      assert.equal(account.selectCollection(0), 'minor')
      account.recordCollected(8_000, 0)
      assert.equal(second.owner.grants, 1)
      assert.equal(account.describe().uncollected, 0)
    })

    // Guards against buffers that minor collections leave and that keep others waiting, and against major ones without a pause.
    test.it('asks for a major collection when a minor one has not helped', () => {
      const account = new accounts.CallerMemory(limits)
      const [first, second] = [open(account), open(account)]
      account.request(first.lease, 8_000, 0)
      account.add(first.lease, 8_000)
      account.request(second.lease, 8_000, 0)
      account.close(first.lease, true, 0)
      const kinds: string[] = []
      for (let nowMs = 0; nowMs <= 1_300; nowMs += 100) {
        const kind = account.selectCollection(nowMs)
        if (kind !== undefined) {
          account.recordCollection(kind, nowMs)
          kinds.push(`${kind} ${nowMs}`)
        }
      }
      assert.deepEqual(kinds, ['minor 0', 'major 100', 'major 1100'])
    })

    // Guards against callers that stop short and so keep all others out, and against ending one that is whole and on its way.
    test.it('ends the largest slow body while another one waits, and no whole one', () => {
      const account = new accounts.CallerMemory(limits)
      const [whole, small, large, next] = [open(account), open(account), open(account), open(account)]
      account.request(whole.lease, 3_000, 0)
      account.add(whole.lease, 3_000)
      account.complete(whole.lease, 0)
      account.request(small.lease, 3_000, 0)
      account.add(small.lease, 10)
      account.request(large.lease, 3_000, 0)
      account.add(large.lease, 50)
      account.check(5_000)
      assert.deepEqual([whole.owner.ends, small.owner.ends, large.owner.ends], [[], [], []])
      account.request(next.lease, 3_000, 5_000)
      account.check(5_001)
      assert.deepEqual([whole.owner.ends, small.owner.ends, large.owner.ends], [[], [], ['slow_body']])
    })

    // Guards against a refusal that comes as late as the caller's time-out.
    test.it('ends a wait that takes too long', () => {
      const account = new accounts.CallerMemory(limits)
      const [first, second] = [open(account), open(account)]
      account.request(first.lease, 9_000, 0)
      account.request(second.lease, 9_000, 0)
      account.check(999)
      assert.deepEqual(second.owner.ends, [])
      account.check(1_000)
      assert.deepEqual(second.owner.ends, ['wait_too_long'])
    })
  })

  test.describe('with small bodies', () => {
    // Guards against an ordinary small request that is refused because of larger ones that do not end.
    test.it('ends the largest unfinished one, never an ordinary small or a whole one', () => {
      const account = new accounts.CallerMemory(limits)
      const whole = open(account, 9_000)
      account.complete(whole.lease, 0)
      const [ordinary, larger] = [open(account, 1_000), open(account, 8_000)]
      const next = open(account, 5_000)
      assert.deepEqual([whole.owner.ends, ordinary.owner.ends, larger.owner.ends, next.owner.ends], [[], [], ['small_bodies'], []])
    })
  })

  // Guards against an account that leaks: each way in which a body ends gives back what it took.
  test.it('is empty when all have ended', () => {
    const account = new accounts.CallerMemory(limits)
    const all = [open(account, 100), open(account, 5_000), open(account), open(account)]
    account.request(all[2]!.lease, 6_000, 0)
    account.request(all[3]!.lease, 6_000, 0)
    account.add(all[2]!.lease, 500)
    account.endForConnection(all[1]!.lease)
    account.check(2_000)
    for (const { lease } of all) {
      account.close(lease, true, 3_000)
    }
    account.recordCollected(500, 3_000)
    assert.equal(account.takeAnswer(10_000), true)
    account.giveBackAnswer(10_000, false, 3_000)
    assert.deepEqual(account.describe(), { heads: 0, large: 0, small: 0, uncollected: 0, waiting: 0 })
  })
})
