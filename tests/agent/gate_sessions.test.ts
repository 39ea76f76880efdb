import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as drivers from './gate_driver.js'

const retention = { attemptsKept: 10, attemptsKeptMs: 60_000, lateArrivalMs: 5_000 }

test.describe('Gate: sessions', () => {
  test.describe('frames', () => {
    test.it('are resent from an offset, and go to the session that resumed last', () => {
      const driver = new drivers.GateDriver()
      driver.apply({ kind: 'session.opened', nowMs: 0, session: 'two' })
      driver.start('1')
      driver.progress('1', 'a')
      driver.progress('1', 'b')
      const answer = driver.call('work.resume', { request: 'r-1', attempt: '1', boot: drivers.boot, offset: 2 }, 'two').unsafeCoerce()
      assert.deepEqual(answer, { state: 'running', frames: [{ kind: 'text', offset: 2, text: 'b', tokens: 1 }] })
      const actions = driver.apply({ kind: 'backend.progress', nowMs: 0, order: 1, text: 'c', tokens: 1 })
      assert.deepEqual(actions.map(action => action.kind === 'send' && action.session), ['two'])
    })

    test.it('are kept after the end until it is acknowledged', () => {
      const driver = new drivers.GateDriver()
      const resume = { request: 'r-1', attempt: '1', boot: drivers.boot, offset: 0 }
      driver.start('1')
      driver.finish('1')
      const acknowledge = (offset: number): void => {
        driver.apply({ kind: 'work.acknowledge', nowMs: 0, notice: { request: 'r-1', attempt: '1', offset } })
      }
      acknowledge(0)
      assert.equal(driver.call('work.resume', resume).unsafeCoerce().frames.length, 2)
      acknowledge(1)
      assert.deepEqual(driver.call('work.resume', resume).unsafeCoerce(), { state: 'finished', frames: [] })
      assert.equal(drivers.getFailure(driver.start('1')).code, 'attempt_repeated')
    })
  })

  test.describe('expiry', () => {
    test.it('cancels all attempts of the session, and no others', () => {
      const driver = new drivers.GateDriver({}, { slots: 2 })
      driver.apply({ kind: 'session.opened', nowMs: 0, session: 'two' })
      driver.start('1')
      driver.start('other', {}, 'two')
      driver.start('2')
      driver.offer('r-3', { expectedInMs: 100_000, holdMs: 100 })
      driver.apply({ kind: 'session.expired', nowMs: 0, session: 'one' })
      assert.deepEqual(driver.aborted, [1])
      driver.confirm('1')
      assert.equal(driver.isLaunched('2'), false)
      assert.deepEqual([driver.gate.figures.holders, driver.gate.figures.live, driver.gate.figures.reservations], [1, 1, 0])
      driver.finish('other')
      assert.equal(driver.gate.figures.held, 0)
    })

    test.it('keeps the answer of a finished call for another session', () => {
      const driver = new drivers.GateDriver({}, { role: 'service', memoryPieces: 0 })
      driver.apply({ kind: 'session.opened', nowMs: 0, session: 'two' })
      driver.start('1', { kind: 'call' })
      driver.finish('1', { reason: 'answered', answer: { status: 201, headers: {}, body: '' } })
      driver.apply({ kind: 'session.expired', nowMs: 0, session: 'one' })
      assert.equal(driver.gate.figures.unsettled, 0)
      const resume = { request: 'r-1', attempt: '1', boot: drivers.boot, offset: 0 }
      assert.equal(driver.call('work.resume', resume, 'two').unsafeCoerce().frames.length, 2)
    })

    test.it('cancels the transfers of finished prefills', () => {
      const driver = new drivers.GateDriver({}, { role: 'prefill' })
      driver.start('1', { kind: 'prefill' })
      driver.finish('1', { reason: 'prefilled', transfer: {} })
      driver.apply({ kind: 'work.acknowledge', nowMs: 0, notice: { request: 'r-1', attempt: '1', offset: 1 } })
      driver.apply({ kind: 'session.expired', nowMs: 0, session: 'one' })
      assert.deepEqual(driver.aborted, [1])
    })
  })

  test.describe('history of ended attempts', () => {
    test.it('is bounded by age', () => {
      const driver = new drivers.GateDriver({ retention })
      driver.start('1')
      driver.finish('1')
      driver.advance(59_999)
      assert.equal(driver.gate.figures.remembered, 1)
      driver.advance(1)
      assert.equal(driver.gate.figures.remembered, 0)
      assert.equal(driver.gate.figures.unsettled, 0)
    })

    test.it('is bounded by number, but keeps attempts of which a duplicate could still arrive', () => {
      const driver = new drivers.GateDriver({ retention })
      for (let index = 0; index < 10; index += 1) {
        driver.start(String(index))
        driver.finish(String(index))
      }
      const failure = drivers.getFailure(driver.start('more'))
      assert.deepEqual([failure.code, failure.verdict], ['queue_full', 'may_have_run'])
      assert.deepEqual(driver.cancel('late'), { verdict: 'may_have_run', state: 'unknown' })
      assert.equal(drivers.getFailure(driver.start('0')).code, 'attempt_repeated')
      driver.advance(5_000)
      assert.equal(driver.start('later').isRight(), true)
      assert.equal(driver.gate.figures.remembered, 9)
    })
  })

  test.describe('drain', () => {
    test.it('refuses new work, finishes admitted work, and reports when it is idle', () => {
      const driver = new drivers.GateDriver({}, { slots: 1 })
      driver.start('1')
      driver.start('2')
      driver.apply({ kind: 'drain', nowMs: 0 })
      assert.equal(driver.isLeaving, true)
      const failure = drivers.getFailure(driver.start('3'))
      assert.deepEqual([failure.code, failure.verdict], ['server_leaving', 'not_run'])
      driver.finish('1')
      driver.finish('2')
      assert.equal(driver.isIdle, false)
      for (const attempt of ['1', '2']) {
        driver.apply({ kind: 'work.acknowledge', nowMs: 0, notice: { request: `r-${attempt}`, attempt, offset: 1 } })
      }
      assert.equal(driver.isIdle, true)
    })

    test.it('honours reservations made before', () => {
      const driver = new drivers.GateDriver()
      const { reservation } = driver.offer('r-1', { holdMs: 100 })
      driver.apply({ kind: 'drain', nowMs: 0 })
      assert.equal(driver.isIdle, false)
      assert.equal(driver.start('1', { reservation }).unsafeCoerce().state, 'running')
    })
  })

  test.describe('fencing', () => {
    test.it('sends the fencing token of this boot with every order and abort', () => {
      const driver = new drivers.GateDriver({ fence: 99 })
      driver.start('1')
      assert.equal(driver.launched[0]?.fence, 99)
      const params = { request: 'r-1', attempt: '1', boot: drivers.boot, mode: 'always' } as const
      const actions = driver.apply({ kind: 'work.cancel', nowMs: 0, call: 100, session: 'one', params })
      assert.equal(actions.find(action => action.kind === 'abort')?.fence, 99)
    })
  })
})
