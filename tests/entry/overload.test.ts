import * as assert from 'node:assert/strict'
import * as manualClocks from '../support/manual_clock.js'
import * as overload from '../../src/entry/overload.js'
import * as settings from '../../src/contracts/settings.js'
import * as test from 'node:test'

/** A clock whose timers fire late, as on a busy event loop. */
class LateClock extends manualClocks.ManualClock {
  lateMs = 0

  override after (delayMs: number, action: () => void): () => void {
    return super.after(delayMs + this.lateMs, action)
  }
}

test.describe('createOverloadSignal', () => {
  test.it('limits requests in flight', () => {
    const limits = settings.Limits.parse({ requestsInFlight: 2 })
    const signal = overload.createOverloadSignal(limits, new manualClocks.ManualClock())
    assert.deepEqual([signal.isOverloaded(1), signal.isOverloaded(2)], [false, true])
  })

  test.it('refuses requests while the event loop is late, and accepts them afterwards', async () => {
    const clock = new LateClock()
    const limits = settings.Limits.parse({ requestsInFlight: 2, loopDelayMs: 20 })
    const signal = overload.createOverloadSignal(limits, clock)
    const seen: boolean[] = []
    for (const lateMs of [0, 10, 40, 0]) {
      clock.lateMs = lateMs
      await clock.advance(2000)
      seen.push(signal.isOverloaded(1))
    }
    assert.deepEqual(seen, [false, false, true, false])
    assert.equal(signal.isOverloaded(2), true)
  })
})
