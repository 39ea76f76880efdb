import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as drivers from './gate_driver.js'

const oneSlot = { slots: 1, memoryPieces: 100 } as const

/** Runs all queued attempts on one slot, and returns them in the order of their starts. */
function runAll (driver: drivers.GateDriver, outputTokens: number): readonly string[] {
  for (let index = 0; index < driver.launched.length; index += 1) {
    const attempt = driver.launched[index]?.id.attempt ?? ''
    driver.progress(attempt, 'x', outputTokens)
    driver.finish(attempt)
  }
  return driver.launched.map(order => order.id.attempt)
}

test.describe('Gate: queue', () => {
  test.describe('waiting', () => {
    test.it('refuses at once an attempt that would wait too long, and says when to retry', () => {
      const driver = new drivers.GateDriver({}, oneSlot)
      driver.start('1', { maximumTokens: 100 })
      const failure = drivers.getFailure(driver.start('2', { maximumWaitMs: 400 }))
      assert.deepEqual([failure.code, failure.verdict, failure.retryAfterMs], ['target_unreachable', 'not_run', 600])
    })

    test.it('queues the attempt when it is retried after that time', () => {
      const driver = new drivers.GateDriver({}, oneSlot)
      driver.start('1', { maximumTokens: 100 })
      for (let step = 0; step < 60; step += 1) {
        driver.nowMs += 10
        driver.progress('1')
      }
      assert.equal(driver.start('3', { maximumWaitMs: 400 }).unsafeCoerce().state, 'queued')
    })

    test.it('refuses an attempt when its longest wait has passed', () => {
      const driver = new drivers.GateDriver({}, oneSlot)
      driver.start('1', { maximumTokens: 100 })
      driver.start('2', { maximumWaitMs: 1_500 })
      driver.advance(1_499)
      assert.deepEqual(driver.getFrames('2'), [])
      driver.advance(1)
      const [frame] = driver.getFrames('2')
      assert.equal(frame?.kind === 'failed' && frame.failure.verdict, 'not_run')
      assert.ok(frame?.kind === 'failed' && (frame.failure.retryAfterMs ?? 0) > 0)
      driver.finish('1')
      assert.equal(driver.isLaunched('2'), false)
    })

    test.it('keeps no state of a start that may not wait', () => {
      const driver = new drivers.GateDriver({}, oneSlot)
      driver.offer('r-1', { expectedInMs: 10_000, holdMs: 100 })
      const failure = drivers.getFailure(driver.start('2', { maximumTokens: 16 * 100, maximumWaitMs: 0 }))
      assert.equal(failure.verdict, 'not_run')
      assert.deepEqual([driver.getFrames('2'), driver.gate.figures.unsettled], [[], 0])
    })

    test.it('runs a call that may not wait either at once or never', () => {
      const driver = new drivers.GateDriver({}, { role: 'service', slots: 1, memoryPieces: 0 })
      const call = { kind: 'call', maximumWaitMs: 0 } as const
      assert.equal(driver.start('1', call).unsafeCoerce().state, 'running')
      assert.equal(drivers.getFailure(driver.start('2', call)).verdict, 'not_run')
      driver.finish('1', { reason: 'answered' })
      assert.equal(drivers.getFailure(driver.start('2', call)).verdict, 'not_run')
      assert.equal(driver.isLaunched('2'), false)
      assert.equal(driver.start('3', call).unsafeCoerce().state, 'running')
    })

    test.it('refuses a start that may not wait within the same decision when the concurrency limit is reached', () => {
      const driver = new drivers.GateDriver({}, { slots: 3, betweenTokensTargetMs: 28 })
      driver.start('1', { maximumTokens: 1_000 })
      driver.start('2', { maximumTokens: 100 })
      driver.runSteps(30, 40)
      driver.finish('2')
      assert.equal(drivers.getFailure(driver.start('3', { maximumWaitMs: 0 })).verdict, 'not_run')
      assert.deepEqual([driver.getFrames('3'), driver.gate.figures.unsettled], [[], 2])
    })
  })

  test.describe('waiting for a prefill', () => {
    test.it('counts the whole queue, because later arrivals may overtake in the fair order', () => {
      const driver = new drivers.GateDriver({}, { role: 'prefill', slots: 20, memoryPieces: 100, queueLimit: 50 })
      for (let index = 0; index < 4; index += 1) {
        driver.start(`a${index}`, { workspace: 'a', kind: 'prefill', promptTokens: 500 })
      }
      const wanted = { kind: 'prefill', promptTokens: 100 } as const
      const waits = ['a', 'b'].map(workspace => driver.offer(`r-${workspace}`, { ...wanted, workspace }).waitMs)
      assert.deepEqual(waits, [1_900, 1_900])
      assert.equal(drivers.getFailure(driver.start('b0', { ...wanted, workspace: 'b', maximumWaitMs: 1_000 })).verdict, 'not_run')
    })
  })

  test.describe('limit', () => {
    test.it('refuses attempts of the largest backlog first, so that a burst affects only its own workspace', () => {
      const driver = new drivers.GateDriver({}, { ...oneSlot, queueLimit: 4 })
      driver.start('running')
      for (const attempt of ['1', '2', '3', '4']) {
        driver.start(attempt)
      }
      assert.equal(drivers.getFailure(driver.start('5')).code, 'queue_full')
      assert.equal(driver.start('other', { workspace: 'b' }).isRight(), true)
      const [frame] = driver.getFrames('4')
      assert.equal(frame?.kind === 'failed' && frame.failure.code, 'queue_full')
    })
  })

  test.describe('order', () => {
    test.it('is FIFO within a workspace', () => {
      const driver = new drivers.GateDriver({}, oneSlot)
      for (const attempt of ['1', '2', '3']) {
        driver.start(attempt)
      }
      assert.deepEqual(runAll(driver, 10), ['1', '2', '3'])
    })

    test.it('counts served tokens, not attempts', () => {
      const driver = new drivers.GateDriver({}, { ...oneSlot, queueLimit: 50 })
      driver.start('first', { workspace: 'c' })
      for (let index = 0; index < 20; index += 1) {
        driver.start(`a${index}`, { workspace: 'a' })
        driver.start(`b${index}`, { workspace: 'b' })
      }
      for (let index = 0; index < 12; index += 1) {
        const attempt = driver.launched[index]?.id.attempt ?? ''
        driver.progress(attempt, 'x', attempt.startsWith('a') ? 90 : 9)
        driver.finish(attempt)
      }
      const order = driver.launched.map(launched => launched.id.attempt)
      assert.equal(order.filter(attempt => attempt.startsWith('a')).length, 2)
    })

    test.it('serves workspaces by tokens in proportion to their weights', () => {
      const driver = new drivers.GateDriver({}, { ...oneSlot, queueLimit: 50 })
      driver.start('first', { workspace: 'c' })
      for (let index = 0; index < 12; index += 1) {
        driver.start(`a${index}`, { workspace: 'a', weight: 2 })
        driver.start(`b${index}`, { workspace: 'b', weight: 1 })
      }
      const order = runAll(driver, 100).slice(1, 13)
      assert.equal(order.filter(attempt => attempt.startsWith('a')).length, 8)
    })

    test.it('gives a workspace no credit for idle time', () => {
      const driver = new drivers.GateDriver({}, { ...oneSlot, queueLimit: 50 })
      for (let index = 0; index < 20; index += 1) {
        driver.start(`a${index}`, { workspace: 'a' })
      }
      for (let index = 0; index < 10; index += 1) {
        driver.progress(`a${index}`, 'x', 100)
        driver.finish(`a${index}`)
      }
      for (let index = 0; index < 10; index += 1) {
        driver.start(`b${index}`, { workspace: 'b' })
      }
      const order = runAll(driver, 100).slice(11, 21)
      assert.equal(order.filter(attempt => attempt.startsWith('b')).length, 5)
    })

    test.it('predicts the wait of a small workspace without the backlog of a large one', () => {
      const driver = new drivers.GateDriver({}, { ...oneSlot, queueLimit: 50 })
      driver.start('running', { workspace: 'a', weight: 1_000 })
      for (let index = 0; index < 20; index += 1) {
        driver.start(`a${index}`, { workspace: 'a', weight: 1_000 })
      }
      driver.progress('running', 'x', 50)
      const { waitMs } = driver.start('b', { workspace: 'b', weight: 1_000, maximumWaitMs: 3_000 }).unsafeCoerce()
      assert.ok(waitMs <= 2_500)
      assert.ok(driver.offer('r', { workspace: 'b' }).waitMs <= 4_500)
      assert.equal(drivers.getFailure(driver.start('late', { workspace: 'a', maximumWaitMs: 3_000 })).code, 'target_unreachable')
    })
  })
})
