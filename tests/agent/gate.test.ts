import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as drivers from './gate_driver.js'

test.describe('Gate', () => {
  test.describe('start', () => {
    test.it('runs an attempt and sends its frames with offsets', () => {
      const driver = new drivers.GateDriver()
      assert.deepEqual(driver.start('1').unsafeCoerce(), { state: 'running', waitMs: 0 })
      driver.progress('1', 'hello', 2)
      driver.finish('1')
      assert.deepEqual(driver.getFrames('1').map(frame => [frame.offset, frame.kind]), [[0, 'started'], [1, 'text'], [2, 'finished']])
      assert.equal(driver.gate.figures.held, 0)
    })

    test.it('starts an attempt at most once, however often it arrives', () => {
      const driver = new drivers.GateDriver()
      driver.start('1')
      const failure = drivers.getFailure(driver.start('1'))
      assert.deepEqual([failure.code, failure.verdict], ['attempt_repeated', 'may_have_run'])
      driver.finish('1')
      assert.deepEqual(drivers.getFailure(driver.start('1')).verdict, 'ran')
      assert.equal(driver.launched.length, 1)
    })

    test.it('starts several attempts of one request', () => {
      const driver = new drivers.GateDriver()
      driver.start('1', { request: 'r' })
      driver.start('2', { request: 'r' })
      assert.equal(driver.launched.length, 2)
    })

    test.it('refuses an attempt addressed to another boot', () => {
      const driver = new drivers.GateDriver()
      const failure = drivers.getFailure(driver.start('1', { boot: 'boot-0' }))
      assert.deepEqual([failure.code, failure.verdict], ['server_boot_changed', 'not_run'])
      assert.equal(driver.launched.length, 0)
    })

    test.it('refuses an attempt over an expired session, and its duplicate over another session', () => {
      const driver = new drivers.GateDriver()
      driver.apply({ kind: 'session.opened', nowMs: 0, session: 'two' })
      driver.apply({ kind: 'session.expired', nowMs: 0, session: 'one' })
      assert.equal(drivers.getFailure(driver.start('1')).code, 'session_unknown')
      assert.equal(drivers.getFailure(driver.start('1', {}, 'two')).verdict, 'not_run')
      assert.equal(driver.launched.length, 0)
    })

    test.it('never starts a duplicate of a refused attempt', () => {
      const driver = new drivers.GateDriver({}, { slots: 1 })
      driver.start('1')
      assert.equal(drivers.getFailure(driver.start('2', { maximumWaitMs: 1 })).verdict, 'not_run')
      driver.finish('1')
      assert.equal(drivers.getFailure(driver.start('2')).code, 'attempt_repeated')
      assert.equal(driver.isLaunched('2'), false)
    })
  })

  test.describe('cancel', () => {
    test.it('keeps a tombstone for a start that arrives after its cancel', () => {
      const driver = new drivers.GateDriver()
      assert.deepEqual(driver.cancel('1', 'unless_started'), { verdict: 'not_run', state: 'unknown' })
      const failure = drivers.getFailure(driver.start('1'))
      assert.deepEqual([failure.code, failure.verdict], ['attempt_cancelled', 'not_run'])
      assert.equal(driver.launched.length, 0)
    })

    test.it('removes a queued attempt permanently', () => {
      const driver = new drivers.GateDriver({}, { slots: 1 })
      driver.start('1')
      driver.start('2')
      assert.deepEqual(driver.cancel('2', 'unless_started'), { verdict: 'not_run', state: 'cancelled' })
      driver.finish('1')
      assert.equal(driver.isLaunched('2'), false)
    })

    test.it('aborts a running attempt only in mode `always`', () => {
      const driver = new drivers.GateDriver()
      driver.start('1')
      assert.deepEqual(driver.cancel('1', 'unless_started'), { verdict: 'may_have_run', state: 'running' })
      assert.deepEqual(driver.aborted, [])
      driver.progress('1')
      assert.deepEqual(driver.cancel('1'), { verdict: 'ran', state: 'cancelled' })
      assert.equal(driver.aborted.length, 1)
    })

    test.it('frees memory only when the engine confirms the abort, and repeats the abort until then', () => {
      const driver = new drivers.GateDriver()
      driver.start('1')
      driver.cancel('1')
      driver.advance(250)
      assert.equal(driver.aborted.length, 3)
      assert.equal(driver.gate.figures.held, 1)
      driver.confirm('1')
      assert.equal(driver.gate.figures.held, 0)
      driver.advance(1000)
      assert.equal(driver.aborted.length, 3)
    })

    test.it('drops late output of a cancelled attempt', () => {
      const driver = new drivers.GateDriver()
      driver.start('1')
      driver.cancel('1')
      driver.progress('1')
      driver.finish('1')
      assert.deepEqual(driver.getFrames('1').map(frame => frame.kind), ['started', 'failed'])
      assert.equal(driver.gate.figures.held, 0)
    })
  })
})
