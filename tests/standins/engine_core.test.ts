import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as engineCore from '../../standins/engine_core.js'
import * as engineMessages from '../../standins/engine_messages.js'
import * as engineOptions from '../../standins/engine_options.js'
import * as engineRequests from '../../standins/engine_request.js'
import * as manualClocks from '../support/manual_clock.js'

/** A step takes 10 ms whatever the batch; a prefill 1 ms a token. */
const options = {
  pieceTokens: 4, memoryPieces: 8, stepMs: 10, stepMsPerRequest: 0, prefillTokensPerSecond: 1000, prefillOverheadMs: 0, prefillSlowdown: 1
}

test.describe('EngineCore', () => {
  let clock: manualClocks.ManualClock
  let core: engineCore.EngineCore

  function create (changes: object = {}, faults: object = {}): void {
    clock = new manualClocks.ManualClock()
    const parsed = engineOptions.EngineOptions.parse({ ...options, ...changes, faults })
    core = new engineCore.EngineCore(clock, parsed, () => parsed.faults)
  }

  function submit (id: string, body: object = {}): engineRequests.EngineRequest {
    const parsed = engineMessages.CompletionBody.parse({ model: 'model', prompt: [1, 2, 3, 4], max_tokens: 4, ...body })
    const request = core.submit(engineMessages.createCompletion(id, parsed, core.options))
    assert.ok(!engineCore.isError(request))
    core.start(request, undefined)
    return request
  }

  const getState = (): any => core.describe()

  test.describe('decode', () => {
    test.it('yields one token a step for every running request', async () => {
      create()
      const first = submit('a')
      const second = submit('b')
      await clock.advance(8)
      assert.deepEqual([first.generated, second.generated], [1, 1])
      await clock.advance(20)
      assert.deepEqual([first.generated, second.generated], [3, 3])
      await clock.advance(20)
      assert.deepEqual([first.phase, second.phase], ['finished', 'finished'])
      assert.equal(getState().memory.used, 0)
    })

    test.it('grows in memory piece by piece', async () => {
      create()
      submit('a', { max_tokens: 12 })
      await clock.advance(4)
      assert.equal(getState().memory.used, 2)
      await clock.advance(50)
      assert.equal(getState().memory.used, 3)
    })

    test.it('preempts the youngest when memory runs out, and finishes all', async () => {
      create({ memoryPieces: 6 })
      const requests = ['a', 'b', 'c'].map(id => submit(id, { max_tokens: 16 }))
      await clock.advance(70)
      assert.equal(requests[2]?.phase, 'waiting')
      assert.equal(requests[0]?.phase, 'running')
      await clock.advance(2000)
      assert.deepEqual(requests.map(request => request.phase), ['finished', 'finished', 'finished'])
      assert.ok(getState().counts.preemptions > 0)
      assert.equal(getState().memory.used, 0)
    })

    test.it('takes the lower priority number first', async () => {
      create({ slots: 1 })
      submit('running')
      const late = submit('late', { priority: 5 })
      const urgent = submit('urgent', { priority: 1 })
      await clock.advance(50)
      assert.deepEqual([urgent.phase === 'waiting', late.phase], [false, 'waiting'])
    })

    test.it('gives memory back when a request is cancelled, wherever it is', async () => {
      create({ slots: 1 })
      const running = submit('a')
      const waiting = submit('b')
      await clock.advance(4)
      assert.equal(core.cancel(waiting), true)
      assert.equal(core.cancel(running), true)
      assert.equal(core.cancel(running), false)
      assert.equal(getState().memory.used, 0)
      assert.deepEqual((core.describeRequests() as any).b, { received: 1, started: 0, finished: 0, failed: 0, cancelled: 1 })
    })
  })

  test.describe('callers', () => {
    test.it('are noticed as gone only after the set time', async () => {
      create({}, { abandonMs: 100 })
      const request = submit('a', { max_tokens: 20 })
      core.table.noteDetached(request)
      await clock.advance(99)
      assert.equal(request.phase, 'running')
      await clock.advance(1)
      assert.equal(request.phase, 'cancelled')
    })

    test.it('that come back keep the request', async () => {
      create({}, { abandonMs: 100 })
      const request = submit('a', { max_tokens: 20 })
      core.table.noteDetached(request)
      request.listen(() => {})
      await clock.advance(100)
      assert.equal(request.phase, 'running')
    })
  })

  test.describe('exports', () => {
    const exporting = { kv_transfer_params: { do_remote_decode: true }, max_tokens: 1 }

    test.it('hold memory until they are evicted', async () => {
      create({}, { exportTtlMs: 50 })
      const request = submit('a', exporting)
      await clock.advance(4)
      assert.equal(request.phase, 'finished')
      await clock.advance(49)
      assert.equal(getState().memory.used, 1)
      await clock.advance(1)
      assert.equal(getState().memory.used, 0)
      assert.deepEqual([getState().counts.prefilledTokens, getState().counts.evictedTokens], [4, 4])
    })

    test.it('share the link, and are held until the last byte has gone', async () => {
      create({ kvBytesPerToken: 1 }, { exportTtlMs: 1000, linkBytesPerSecond: 1000 })
      const first = submit('a', exporting)
      const second = submit('b', { ...exporting, prompt: [9, 9, 9, 9] })
      await clock.advance(8)
      const done: string[] = []
      const take = (request: engineRequests.EngineRequest): void => {
        const block = (request.transferParams as any).remote_block_ids[0]
        core.exports.take(block, request.digest, () => done.push(request.completion.id))
      }
      take(first)
      await clock.advance(2)
      take(second)
      await clock.advance(3)
      assert.deepEqual([done, getState().memory.used], [[], 2])
      await clock.advance(1)
      assert.deepEqual([done, getState().memory.used], [['a'], 1])
      await clock.advance(1)
      assert.deepEqual([done, getState().memory.used], [['a'], 1])
      await clock.advance(1)
      assert.deepEqual([done, getState().memory.used], [['a', 'b'], 0])
    })

    test.it('count as prefilled as far as they came when they are broken off', async () => {
      create()
      const request = submit('a', exporting)
      await clock.advance(3)
      core.cancel(request)
      assert.deepEqual([getState().counts.prefilledTokens, getState().memory.used], [3, 0])
    })

    test.it('are given to the right prompt only, and back to eviction when a transfer breaks off', async () => {
      create({}, { exportTtlMs: 50, linkBytesPerSecond: 1 })
      const request = submit('a', exporting)
      await clock.advance(4)
      const block = (request.transferParams as any).remote_block_ids[0]
      assert.equal(core.exports.take(block, request.digest + 1, () => {}), 'mismatch')
      const stop = core.exports.take(block, request.digest, () => {})
      assert.equal(core.exports.take(block, request.digest, () => {}), 'busy')
      await clock.advance(100)
      assert.equal(getState().memory.used, 1)
      assert.ok(typeof stop === 'function')
      stop()
      await clock.advance(0)
      assert.deepEqual([getState().memory.used, core.exports.take(block, request.digest, () => {})], [0, 'missing'])
    })
  })

  test.describe('prefix cache', () => {
    test.it('saves what an earlier prompt computed, and forgets the least recently used', async () => {
      create({ prefixCachePieces: 2, memoryPieces: 100 }, { eventDelayMs: 0 })
      const prompt = [1, 2, 3, 4, 5, 6, 7, 8, 9]
      submit('a', { prompt, max_tokens: 1 })
      await clock.advance(9)
      const again = submit('b', { prompt, max_tokens: 1 })
      await clock.advance(1)
      assert.deepEqual([again.phase, again.cachedTokens], ['finished', 8])
      submit('c', { prompt: [7, 7, 7, 7], max_tokens: 1 })
      await clock.advance(4)
      const kinds = core.cacheLog.read(0, 0, 0).map(event => [event.kind, event.hashes.length])
      assert.deepEqual(kinds, [['stored', 2], ['stored', 1], ['removed', 1]])
    })

    test.it('publishes late and with gaps that the numbering shows', async () => {
      create()
      core.cacheLog.add('stored', ['a'])
      core.cacheLog.add('stored', ['b'])
      assert.deepEqual(core.cacheLog.read(0, 10, 0), [])
      await clock.advance(10)
      assert.deepEqual(core.cacheLog.read(0, 10, 2).map(event => event.id), [1])
      assert.deepEqual(core.cacheLog.read(1, 10, 0).map(event => event.id), [2])
    })
  })
})
