import * as assert from 'node:assert/strict'
import * as fastCheck from 'fast-check'
import * as test from 'node:test'
import * as allowances from '../../src/gateway/allowance_limiter.js'
import * as exchangePlans from '../../src/gateway/exchange_plan.js'
import * as routing from '../../src/contracts/routing.js'

const tolerance = { windowMs: 8_000, overPart: 0.1, slack: 190_000 }
const workspace: routing.RoutedWorkspace = {
  name: 'grants', keyHashes: [], unit: 'tokens', plainTokens: 200, rate: 47_000, burst: 47_000
}
const seeds = 300
const stepMs = 100

interface Use {
  readonly atMs: number
  readonly units: number
}

/** Returns the most units that may be admitted in a window. */
function getBound (): number {
  return (workspace.rate * tolerance.windowMs / 1000 + workspace.burst) * (1 + tolerance.overPart) + tolerance.slack
}

function findLargestWindow (uses: readonly Use[]): number {
  let largest = 0
  let sum = 0
  let first = 0
  for (const use of uses) {
    sum += use.units
    while (use.atMs - (uses[first] as Use).atMs >= tolerance.windowMs) {
      sum -= (uses[first] as Use).units
      first += 1
    }
    largest = Math.max(largest, sum)
  }
  return largest
}

/** Gateways that exchange their totals at each step, except those that are partitioned off. */
class Fleet {
  readonly uses: Use[] = []
  nowMs = 0
  private readonly limiters: allowances.AllowanceLimiter[] = []
  private readonly boots: number[] = []

  constructor (private readonly size: number) {
    for (let index = 0; index < size; index += 1) {
      this.boots.push(0)
      this.limiters.push(this.create(index))
    }
  }

  create (index: number): allowances.AllowanceLimiter {
    const limiter = new allowances.AllowanceLimiter(tolerance)
    limiter.setWorkspaces([workspace], this.nowMs)
    limiter.setPeers(this.names().filter(name => name !== `g${index}`))
    return limiter
  }

  restart (index: number): void {
    this.boots[index] = (this.boots[index] ?? 0) + 1
    this.limiters[index] = this.create(index)
  }

  charge (index: number, units: number): allowances.AllowanceVerdict {
    const verdict = (this.limiters[index] as allowances.AllowanceLimiter).charge(workspace, units, this.nowMs)
    if (verdict.kind === 'admitted') {
      this.uses.push({ atMs: this.nowMs, units })
    }
    return verdict
  }

  step (cutOff: ReadonlySet<number>): void {
    this.nowMs += stepMs
    for (const [to, limiter] of this.limiters.entries()) {
      for (const [from, other] of this.limiters.entries()) {
        if (to !== from && !cutOff.has(to) && !cutOff.has(from)) {
          limiter.receiveTotals(`g${from}`, String(this.boots[from]), other.listAdmitted(), this.nowMs)
        }
      }
    }
  }

  private names (): string[] {
    return Array.from({ length: this.size }, (_, index) => `g${index}`)
  }
}

test.describe('The allowance limiter', () => {
  test.describe('under several times the rate of a workspace', () => {
    test.it('keeps usage within the bound of a window through partitions and a restart', () => {
      fastCheck.assert(fastCheck.property(
        fastCheck.integer({ min: 2, max: 5 }),
        fastCheck.array(fastCheck.record({ cut: fastCheck.nat(5), restart: fastCheck.integer({ min: -20, max: 4 }) }), { minLength: 20, maxLength: 20 }),
        (size, phases) => {
          const fleet = new Fleet(size)
          let restarts = 0
          for (const { cut, restart } of phases) {
            if (restart >= 0 && restart < size && restarts < 1) {
              fleet.restart(restart)
              restarts += 1
            }
            for (let step = 0; step < 10; step += 1) {
              fleet.step(new Set(cut < size ? [cut] : []))
              for (let index = 0; index < size; index += 1) {
                fleet.charge(index, 4_400)
                fleet.charge(index, 200)
              }
            }
          }
          assert.ok(findLargestWindow(fleet.uses) <= getBound())
        }), { seed: 7, numRuns: seeds })
    })

    test.it('keeps usage within the bound of a window when all gateways restart in the middle of it', () => {
      const fleet = new Fleet(4)
      for (let step = 0; step < 160; step += 1) {
        fleet.step(new Set())
        if (step === 80) {
          for (let index = 0; index < 4; index += 1) {
            fleet.restart(index)
          }
        }
        for (let index = 0; index < 4; index += 1) {
          fleet.charge(index, 4_400)
        }
      }
      assert.ok(findLargestWindow(fleet.uses) <= getBound())
    })

    // Guards against units that each start saves up anew, whole at each gateway that does not know the others yet.
    test.it('keeps usage within the bound of a window when all gateways restart again and again', () => {
      const fleet = new Fleet(6)
      for (let step = 0; step < 200; step += 1) {
        fleet.step(new Set())
        if (step % 20 === 0) {
          for (let index = 0; index < 6; index += 1) {
            fleet.restart(index)
          }
        }
        for (let charge = 0; charge < 30; charge += 1) {
          fleet.charge(charge % 6, 4_400)
        }
      }
      assert.ok(findLargestWindow(fleet.uses) <= getBound(), String(findLargestWindow(fleet.uses)))
    })
  })

  test.describe('within the rate of a workspace', () => {
    test.it('refuses nothing when all requests go to one gateway', () => {
      const fleet = new Fleet(4)
      for (let step = 0; step < 300; step += 1) {
        fleet.step(new Set())
        if (step > 20) {
          assert.equal(fleet.charge(0, 4_400).kind, 'admitted', `step ${step}`)
        }
      }
    })

    test.it('refuses nothing at a gateway that the workspace has not used before', () => {
      const limiter = new allowances.AllowanceLimiter(tolerance)
      limiter.setWorkspaces([workspace], 0)
      for (let request = 0; request < 20; request += 1) {
        assert.equal(limiter.charge(workspace, 4_400, 8_000).kind, 'admitted')
      }
    })

    test.it('refuses nothing among many gateways, which exchange their totals less often', () => {
      const gateways = 30
      const names = Array.from({ length: gateways - 1 }, (_, index) => `g${index}`)
      const plan = new exchangePlans.ExchangePlan('self', 'a')
      plan.setPartners(names.map((node, index) => ({
        node, zone: 'abc'[index % 3] as string, lastSeenMs: 0, learnedMs: 0, lastExchangeMs: 0, aggregatesSentMs: 0, teller: 'itself'
      })))
      const period = plan.periodMs
      const limiter = new allowances.AllowanceLimiter(tolerance)
      limiter.setWorkspaces([workspace], 0)
      limiter.setPeers(names, plan.unresponsiveAfterMs)
      for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
        for (let index = 0; index < gateways - 1; index += 1) {
          if (nowMs % (Math.ceil(period * 2 / 100) * 100) === 0) {
            limiter.receiveTotals(`g${index}`, 'boot', {}, nowMs)
          }
        }
        if (nowMs > 2_000) {
          assert.equal(limiter.charge(workspace, 4_400, nowMs).kind, 'admitted', `at ${nowMs}`)
        }
      }
    })

    test.it('refuses nothing during two seconds of twice the rate', () => {
      const fleet = new Fleet(4)
      for (let step = 0; step < 80; step += 1) {
        fleet.step(new Set())
        fleet.charge(0, 200)
      }
      for (let step = 0; step < 20; step += 1) {
        fleet.step(new Set())
        assert.equal(fleet.charge(step % 4, 4_700).kind, 'admitted')
        assert.equal(fleet.charge((step + 1) % 4, 4_700).kind, 'admitted')
      }
    })
  })

  test.describe('with reports of other gateways and zones', () => {
    test.it('does not charge what a gateway admitted before its first report', () => {
      const limiter = new allowances.AllowanceLimiter(tolerance)
      limiter.charge(workspace, 200, 0)
      limiter.receiveTotals('other', 'boot', { grants: 10_000_000 }, 1_000)
      assert.equal(limiter.charge(workspace, 4_400, 2_000).kind, 'admitted')
    })

    test.it('does not charge what a zone\'s new relay counted before its first report', () => {
      const limiter = new allowances.AllowanceLimiter(tolerance)
      limiter.charge(workspace, 200, 0)
      limiter.receiveZoneTotals('b', 'b0 first', { grants: 0 }, 0)
      limiter.receiveZoneTotals('b', 'b1 first', { grants: 10_000_000 }, 500)
      assert.equal(limiter.charge(workspace, 4_400, 2_000).kind, 'admitted')
      limiter.receiveZoneTotals('b', 'b1 first', { grants: 10_200_000 }, 1_000)
      assert.equal(limiter.charge(workspace, 4_400, 2_000).kind, 'refused')
    })

    test.it('extrapolates the rate of a zone between the aggregates of two relays', () => {
      const limiter = new allowances.AllowanceLimiter(tolerance)
      limiter.charge(workspace, 200, 0)
      for (let nowMs = 0; nowMs <= 4_000; nowMs += 100) {
        limiter.receiveZoneTotals('b', 'b0 first', { grants: workspace.rate / 1000 * nowMs }, nowMs)
        limiter.charge(workspace, 0, nowMs)
      }
      limiter.receiveZoneTotals('b', 'b1 first', { grants: 0 }, 6_000)
      assert.equal(limiter.charge(workspace, workspace.burst, 6_000).kind, 'refused')
    })

    test.it('follows a total that is lowered by a refund', () => {
      const limiter = new allowances.AllowanceLimiter(tolerance)
      limiter.charge(workspace, 200, 0)
      limiter.receiveTotals('other', 'boot', { grants: 0 }, 0)
      for (let round = 1; round <= 200; round += 1) {
        limiter.receiveTotals('other', 'boot', { grants: 20_000 }, round)
        limiter.receiveTotals('other', 'boot', { grants: 0 }, round)
      }
      assert.equal(limiter.charge(workspace, 4_400, 1_000).kind, 'admitted')
    })
  })

  test.describe('on refusal', () => {
    test.it('states a retry time after which the request is admitted', () => {
      const limiter = new allowances.AllowanceLimiter(tolerance)
      let verdict: allowances.AllowanceVerdict = { kind: 'admitted' }
      while (verdict.kind === 'admitted') {
        verdict = limiter.charge(workspace, 4_400, 0)
      }
      assert.equal(limiter.charge(workspace, 4_400, verdict.retryAfterMs).kind, 'admitted')
    })

    test.it('admits small requests after large ones have used up the bucket', () => {
      const limiter = new allowances.AllowanceLimiter(tolerance)
      while (limiter.charge(workspace, 4_400, 0).kind === 'admitted') {
        // Drains the bucket.
      }
      assert.equal(limiter.charge(workspace, 200, 0).kind, 'admitted')
    })
  })
})
