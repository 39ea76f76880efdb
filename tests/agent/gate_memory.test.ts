import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as drivers from './gate_driver.js'

const prefill = { role: 'prefill', slots: 4 } as const

/** Starts five attempts after a history of outputs of a tenth of the requested maximum. */
function startAfterShortOutputs (driver: drivers.GateDriver): void {
  for (let index = 0; index < 40; index += 1) {
    driver.start(`warm-${index}`, { promptTokens: 100, maximumTokens: 400 })
    driver.progress(`warm-${index}`, 'x', 40)
    driver.finish(`warm-${index}`)
  }
  for (const attempt of ['1', '2', '3', '4', '5']) {
    driver.start(attempt, { promptTokens: 100, maximumTokens: 400 })
  }
}

test.describe('Gate: memory', () => {
  test.describe('pieces', () => {
    test.it('admits attempts by their expected memory growth', () => {
      const driver = new drivers.GateDriver({}, { slots: 20, memoryPieces: 10 })
      driver.start('1', { promptTokens: 200, maximumTokens: 400 })
      driver.start('2', { promptTokens: 200, maximumTokens: 400 })
      assert.equal(driver.isLaunched('2'), false)
      driver.finish('1')
      assert.equal(driver.isLaunched('2'), true)
    })

    test.it('counts memory growth while decoding', () => {
      const driver = new drivers.GateDriver()
      driver.start('1', { promptTokens: 100, maximumTokens: 400 })
      driver.progress('1', 'x', 150)
      assert.equal(driver.gate.figures.held, 3)
    })

    test.it('admits more attempts once outputs are known to be shorter than their maximum', () => {
      const driver = new drivers.GateDriver({}, { slots: 20, memoryPieces: 10 })
      startAfterShortOutputs(driver)
      assert.equal(driver.isLaunched('5'), true)
      assert.equal(driver.gate.figures.expected, 10)
    })

    test.it('never counts more pieces than exist when outputs exceed the estimate', () => {
      const driver = new drivers.GateDriver({}, { slots: 20, memoryPieces: 10 })
      startAfterShortOutputs(driver)
      for (const attempt of ['1', '2', '3', '4', '5']) {
        driver.progress(attempt, 'x', 400)
        assert.ok(driver.gate.figures.held <= 10)
      }
      driver.finish('1')
      driver.finish('2')
      assert.equal(driver.gate.figures.held, 10)
      driver.finish('3')
      driver.finish('4')
      driver.finish('5')
      assert.equal(driver.gate.figures.held, 0)
    })

    test.it('refuses an attempt that exceeds the total memory', () => {
      const driver = new drivers.GateDriver()
      const failure = drivers.getFailure(driver.start('1', { promptTokens: 1_000, maximumTokens: 1_000 }))
      assert.deepEqual([failure.code, failure.verdict], ['memory_exhausted', 'not_run'])
    })
  })

  test.describe('transfer', () => {
    test.it('keeps the pieces of a finished prefill until its transfer is evicted', () => {
      const driver = new drivers.GateDriver({}, prefill)
      driver.start('1', { kind: 'prefill', promptTokens: 250 })
      driver.finish('1', { reason: 'prefilled', transfer: { block: 1 } })
      assert.equal(driver.gate.figures.held, 3)
      driver.advance(499)
      assert.equal(driver.gate.figures.held, 3)
      driver.advance(1)
      assert.equal(driver.gate.figures.held, 0)
    })

    test.it('frees the pieces earlier when the transfer is cancelled and the engine confirms', () => {
      const driver = new drivers.GateDriver({}, prefill)
      driver.start('1', { kind: 'prefill' })
      driver.finish('1', { reason: 'prefilled', transfer: { block: 1 } })
      assert.deepEqual(driver.cancel('1'), { verdict: 'ran', state: 'finished' })
      assert.deepEqual([driver.aborted, driver.gate.figures.holders], [[1], 1])
      driver.confirm('1')
      assert.equal(driver.gate.figures.holders, 0)
    })
  })

  test.describe('time between tokens', () => {
    test.it('limits concurrency to the target time between tokens, and tries again later', () => {
      const driver = new drivers.GateDriver({}, { slots: 3, betweenTokensTargetMs: 28 })
      driver.start('1', { maximumTokens: 1_000 })
      driver.start('2', { maximumTokens: 100 })
      driver.runSteps(30, 40)
      driver.finish('2')
      driver.start('3')
      assert.equal(driver.isLaunched('3'), false)
      driver.advance(11_000)
      assert.equal(driver.isLaunched('3'), true)
    })
  })

  test.describe('slow engine', () => {
    test.it('delays offers, but not starts with a reservation', () => {
      const driver = new drivers.GateDriver({}, { slots: 3, memoryPieces: 100, betweenTokensTargetMs: 28 })
      driver.start('1', { maximumTokens: 1_000 })
      driver.start('2', { maximumTokens: 1_000 })
      const { reservation } = driver.offer('r-4', { expectedInMs: 1_000, holdMs: 5_000 })
      driver.runSteps(30, 40)
      driver.finish('2')
      assert.ok(driver.offer('r-3').waitMs > 0)
      driver.start('3')
      driver.start('4', { reservation })
      assert.deepEqual([driver.isLaunched('3'), driver.isLaunched('4')], [false, true])
    })

    test.it('is not inferred from a single pause', () => {
      const driver = new drivers.GateDriver({}, { slots: 3, memoryPieces: 100, betweenTokensTargetMs: 28 })
      driver.start('1', { maximumTokens: 1_000 })
      driver.start('2', { maximumTokens: 1_000 })
      driver.runSteps(30, 25)
      driver.runSteps(1, 400)
      driver.finish('2')
      driver.start('3')
      assert.equal(driver.isLaunched('3'), true)
    })
  })

  test.describe('prefill', () => {
    test.it('queues prefills in the gate instead of sending all to the engine', () => {
      const driver = new drivers.GateDriver({}, prefill)
      driver.start('1', { kind: 'prefill', promptTokens: 400 })
      driver.start('2', { kind: 'prefill', promptTokens: 400 })
      assert.equal(driver.isLaunched('2'), false)
      driver.finish('1')
      assert.equal(driver.isLaunched('2'), true)
    })

    test.it('predicts a shorter service time for prompts that the engine has cached', () => {
      const driver = new drivers.GateDriver({}, prefill)
      driver.apply({ kind: 'cache.changed', nowMs: 0, change: { stored: ['p1', 'p2'], evicted: [] } })
      const offer = driver.offer('r', { kind: 'prefill', promptTokens: 400, prefixes: ['p1', 'p2', 'p3'] })
      assert.deepEqual([offer.cachedTokens, offer.serviceMs], [200, 200])
    })
  })
})
