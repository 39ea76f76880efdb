import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as manualClocks from '../support/manual_clock.js'
import * as rateLimitedLogs from '../../src/host/rate_limited_log.js'
import * as recordedLogs from '../support/recorded_log.js'

/** More lines at one moment than the log takes. */
const floodLines = 5_000

test.describe('RateLimitedLog', () => {
  test.it('drops lines beyond its limit and tells how many', async () => {
    const [recorded, clock] = [new recordedLogs.RecordedLog(), new manualClocks.ManualClock()]
    const log = new rateLimitedLogs.RateLimitedLog(recorded, clock)
    for (let line = 0; line < floodLines; line += 1) {
      log.info('flood')
    }
    await clock.advance(1_000)
    log.info('later')
    const passed = recorded.find('flood').length
    assert.ok(passed < floodLines)
    assert.deepEqual(recorded.find('log lines dropped by the rate limit'), [{ lines: floodLines - passed }])
    assert.equal(recorded.find('later').length, 1)
  })

  // Guards against warnings, such as those of lost answers, that are dropped because the load has filled the log.
  test.it('keeps room for warnings', () => {
    const [recorded, clock] = [new recordedLogs.RecordedLog(), new manualClocks.ManualClock()]
    const log = new rateLimitedLogs.RateLimitedLog(recorded, clock)
    for (let line = 0; line < floodLines; line += 1) {
      log.info('flood')
    }
    log.warn('answer lost')
    assert.equal(recorded.find('answer lost').length, 1)
    for (let line = 0; line < floodLines; line += 1) {
      log.warn('flood of warnings')
    }
    assert.ok(recorded.find('flood of warnings').length < floodLines)
  })
})
