import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as manualClock from '../support/manual_clock.js'
import * as retries from '../../src/gateway/retry_budget.js'
import * as retryFleets from './retry_fleet.js'
import * as sendAccounts from '../../src/gateway/send_account.js'

const budget = { ratio: 0.2, windowMs: 10_000, slack: 58 }
const sizes = [[1, 20], [6, 40], [24, 60], [400, 400]] as const

test.describe('The retry budget', () => {
  for (const [gateways, perSecond] of sizes) {
    test.describe(`of ${gateways} gateways, when every request is worth a retry`, () => {
      const startFleet = async (seed: number): Promise<retryFleets.RetryFleet> => {
        const fleet = new retryFleets.RetryFleet(seed, budget)
        for (let index = 0; index < gateways; index += 1) {
          fleet.start()
        }
        await fleet.run(12_000, perSecond, 0)
        return fleet
      }

      test.it('is used in large part when nothing restarts', async () => {
        const fleet = await startFleet(1)
        await fleet.run(20_000, perSecond)
        assert.ok(fleet.findExcess() <= 0, String(fleet.findExcess()))
        const perWindow = fleet.retries.length / 2
        assert.ok(perWindow >= 0.4 * (budget.ratio * perSecond * 10 + budget.slack), String(perWindow))
      })

      // Guards against a budget that a process forgets with its end.
      for (const periodMs of gateways > 100 ? [3_000] : [800, 3_000, 7_000]) {
        test.it(`holds while all are killed every ${periodMs} ms`, async () => {
          const fleet = await startFleet(2)
          for (let elapsedMs = 0; elapsedMs < 21_000; elapsedMs += periodMs) {
            await fleet.run(periodMs, perSecond)
            for (const process of [...fleet.processes]) {
              fleet.restart(process)
            }
          }
          assert.ok(fleet.findExcess() <= 0, String(fleet.findExcess()))
        })
      }

      // Guards against shares of the slack that grow with each gateway that leaves, while those that left have used theirs.
      test.it('holds while they are stopped and started in turn, and while more join', async () => {
        const fleet = await startFleet(3)
        const pauseMs = Math.max(50, 6_000 / gateways)
        for (const process of [...fleet.processes]) {
          await process.leave()
          await fleet.run(pauseMs / 2, perSecond)
          fleet.restart(process)
          await fleet.run(pauseMs / 2, perSecond)
        }
        for (let joined = 0; joined < gateways; joined += 1) {
          fleet.start()
        }
        await fleet.run(8_000, perSecond)
        assert.ok(fleet.findExcess() <= 0, String(fleet.findExcess()))
      })

      // Guards against gateways that the others no longer count, and that go on with their share.
      test.it('holds while one after the other loses the store', async () => {
        const fleet = await startFleet(4)
        for (const process of fleet.processes.slice(1)) {
          process.store.setDown(true)
          await fleet.run(24_000 / gateways, perSecond, 0)
        }
        await fleet.run(12_000, perSecond)
        assert.ok(fleet.findExcess() <= 0, String(fleet.findExcess()))
      })
    })
  }

  test.describe('of four gateways', () => {
    test.it('stays within the budget of a window, even with a restart', () => {
      const clock = new manualClock.ManualClock()
      const gateways = 4
      let sends = 0
      for (let index = 0; index < gateways; index += 1) {
        // One gateway restarts in the middle and does not know its past sends.
        const lives = index === 0 ? 2 : 1
        for (let life = 0; life < lives; life += 1) {
          const retryBudget = new retries.RetryBudget(budget, clock)
          retryBudget.setServices(['s'])
          for (let request = 0; request < 200 / lives; request += 1) {
            clock.pause(1)
            retryBudget.accrue(1 / gateways)
            retryBudget.recordRequest('s')
            sends += retryBudget.take('s') === undefined ? 0 : 1
          }
        }
      }
      assert.ok(sends > 0)
      assert.ok(sends <= budget.ratio * 200 * gateways + budget.slack, String(sends))
    })
  })

  test.describe('of one gateway', () => {
    test.it('gives a process no credit before its first request, nor for a share that is not certain', () => {
      const clock = new manualClock.ManualClock()
      const retryBudget = new retries.RetryBudget(budget, clock)
      retryBudget.setServices(['s'])
      clock.pause(5_000)
      retryBudget.accrue(1)
      assert.equal(retryBudget.take('s'), undefined)
      clock.pause(500)
      retryBudget.accrue(0)
      assert.equal(retryBudget.take('s'), undefined)
    })

    // Guards against requests from before a suspension that count as recent.
    test.it('lets credit expire while the VM is suspended', () => {
      const clock = new manualClock.ManualClock()
      const retryBudget = new retries.RetryBudget(budget, clock)
      for (let request = 0; request < 100; request += 1) {
        retryBudget.recordRequest('s')
      }
      assert.notEqual(retryBudget.take('s'), undefined)
      clock.stepWall(10_000)
      assert.equal(retryBudget.take('s'), undefined)
    })

    // Guards against credit that expires early because the wall clock counts whole milliseconds.
    test.it('keeps credit for the window however often it is looked at', () => {
      const clock = new class extends manualClock.ManualClock {
        override wallMs (): number {
          return Math.floor(super.wallMs())
        }
      }()
      const retryBudget = new retries.RetryBudget(budget, clock)
      for (let request = 0; request < 10; request += 1) {
        retryBudget.recordRequest('s')
      }
      for (let look = 0; look < 30_000; look += 1) {
        clock.pause(0.3)
        assert.ok(retryBudget.describe('s').credit > 0)
      }
      assert.notEqual(retryBudget.take('s'), undefined)
    })

    test.it('returns credit to the time that it was issued at', () => {
      const clock = new manualClock.ManualClock()
      const retryBudget = new retries.RetryBudget(budget, clock)
      for (let request = 0; request < 10; request += 1) {
        retryBudget.recordRequest('s')
      }
      const credit = retryBudget.take('s')
      assert.ok(credit !== undefined)
      assert.equal(retryBudget.take('s'), undefined)
      clock.pause(9_000)
      retryBudget.giveBack(credit)
      assert.notEqual(retryBudget.take('s'), undefined)
      clock.pause(1_000)
      retryBudget.giveBack(credit)
      assert.equal(retryBudget.take('s'), undefined)
    })
  })

  test.describe('of one request', () => {
    const createAccount = (requests: number): { account: sendAccounts.SendAccount, retryBudget: retries.RetryBudget } => {
      const retryBudget = new retries.RetryBudget(budget, new manualClock.ManualClock())
      for (let request = 0; request < requests; request += 1) {
        retryBudget.recordRequest('s')
      }
      return { account: new sendAccounts.SendAccount(retryBudget, 's'), retryBudget }
    }

    test.it('is not used by the first send, nor by the first prefill that a server accepts', () => {
      const { account } = createAccount(0)
      assert.ok(account.reserve())
      account.recordSend()
      account.recordPrefilled()
      assert.ok(account.reserve())
      account.recordSend()
      assert.ok(!account.reserve())
    })

    // Guards against prefills that servers reject and that nothing counts.
    test.it('is used by the send after a prefill that a server rejects', () => {
      const { account } = createAccount(0)
      account.recordSend()
      assert.ok(!account.reserve())
    })

    test.it('is given back for sends that reach no server, and at the end of the request', () => {
      const { account, retryBudget } = createAccount(10)
      account.recordSend()
      account.recordUnsent()
      assert.ok(!account.isRetry)
      account.recordSend()
      assert.ok(account.reserve())
      assert.equal(retryBudget.take('s'), undefined)
      account.release()
      assert.notEqual(retryBudget.take('s'), undefined)
    })
  })
})
