import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fastCheck from 'fast-check'
import * as configuration from '../../src/contracts/configuration.js'
import * as fakes from './fake_agents.js'
import * as clusterViews from '../../src/entry/cluster_view.js'
import * as planner from '../../src/entry/planner.js'
import * as random from '../../src/host/seeded_random.js'
import * as retryBudgets from '../../src/entry/retry_budget.js'
import * as work from '../../src/contracts/work.js'

const location: planner.Location = { zone: 'a', region: 'local' }
const model = configuration.Model.parse({ pieceTokens: 1000, kvBytesPerToken: 1000 })

function createServer (changes: Partial<configuration.Server> = {}): configuration.Server {
  const agent = { host: '127.0.0.1', port: 1 }
  return configuration.Server.parse({ role: 'prefill', zone: 'a', agent, prefillTokensPerSecond: 10_000, ...changes })
}

function createLoad (changes: Partial<work.Load>): work.Load {
  return { ...fakes.createLoad(), ...changes }
}

function createRequirements (promptTokens: number, prefixes: readonly string[] = []): planner.PromptRequirements {
  return { model, promptTokens, maximumTokens: 100, prefixes }
}

test.describe('planner', () => {
  let clusterView: clusterViews.ClusterView
  const servers = new Map<string, configuration.Server>()
  test.beforeEach(() => {
    clusterView = new clusterViews.ClusterView()
    servers.clear()
    servers.set('s1', createServer())
    servers.set('s2', createServer())
  })

  function getSnapshots (nowMs = 0): Map<string, clusterViews.ServerSnapshot> {
    const snapshots = new Map<string, clusterViews.ServerSnapshot>()
    for (const [name, server] of servers) {
      snapshots.set(name, clusterView.getSnapshot(name, server, nowMs))
    }
    return snapshots
  }

  function rankPrefills (requirements: planner.PromptRequirements): string[] {
    return planner.rankPrefills(clusterView, getSnapshots(), requirements, location).map(candidate => candidate.name)
  }

  test.describe('prefill', () => {
    test.it('corrects a report by the tasks sent since then', () => {
      clusterView.recordLoad('s1', createLoad({ pendingPromptTokens: 1000 }), 0)
      clusterView.recordLoad('s2', createLoad({ pendingPromptTokens: 2000 }), 0)
      assert.deepEqual(rankPrefills(createRequirements(100)), ['s1', 's2'])
      clusterView.recordSent('s1', { promptTokens: 5000, pieces: 0 })
      assert.deepEqual(rankPrefills(createRequirements(100)), ['s2', 's1'])
      clusterView.recordLoad('s1', createLoad({ pendingPromptTokens: 0 }), 0)
      assert.deepEqual(rankPrefills(createRequirements(100)), ['s1', 's2'])
    })

    test.it('subtracts the work done since the report', () => {
      clusterView.recordLoad('s1', createLoad({ pendingPromptTokens: 9000 }), 0)
      const pending = [0, 600, 2000].map(nowMs => getSnapshots(nowMs).get('s1')?.pendingPromptTokens)
      assert.deepEqual(pending, [9000, 3000, 0])
    })

    test.it('prefers a cached prefix up to a bounded cost', () => {
      const prefixes = Array.from({ length: 10 }, (_, index) => `p${index}`)
      clusterView.recordPrefixes('s1', prefixes)
      clusterView.recordLoad('s1', createLoad({ pendingPromptTokens: 2000 }), 0)
      assert.equal(rankPrefills(createRequirements(10_000, prefixes))[0], 's1')
      clusterView.recordLoad('s1', createLoad({ pendingPromptTokens: 3000 }), 0)
      assert.equal(rankPrefills(createRequirements(10_000, prefixes))[0], 's2')
    })

    test.it('removes prefixes that a server no longer finds', () => {
      clusterView.recordPrefixes('s1', ['p1', 'p2', 'p3'])
      clusterView.correctPrefixes('s1', ['p1', 'p2', 'p3'], 1)
      assert.equal(clusterView.countPrefixes('s1', ['p1', 'p2', 'p3']), 1)
    })

    test.it('prefers the local zone among equals', () => {
      servers.set('s1', createServer({ zone: 'b' }))
      assert.deepEqual(rankPrefills(createRequirements(100)), ['s2', 's1'])
    })
  })

  test.describe('decode', () => {
    function rankDecodes (requirements: planner.PromptRequirements): string[] {
      const snapshots = getSnapshots()
      return planner.rankDecodes(snapshots, requirements, undefined, location).map(candidate => candidate.name)
    }

    test.it('avoids servers whose memory is promised', () => {
      clusterView.recordLoad('s1', createLoad({ freePieces: 5, promisedPieces: 4 }), 0)
      clusterView.recordLoad('s2', createLoad({ freePieces: 5, running: 3 }), 0)
      assert.equal(rankDecodes(createRequirements(3000))[0], 's2')
    })

    test.it('shares a link among the running transfers', () => {
      const server = createServer({ linkBytesPerSecond: 1e6 })
      servers.set('s1', server)
      const estimate = (): number =>
        planner.estimateTransferMs(createRequirements(1000), undefined, clusterView.getSnapshot('s1', server, 0))
      assert.equal(estimate(), 1000)
      clusterView.recordTransfer('s1', 1)
      assert.equal(estimate(), 2000)
      clusterView.recordTransfer('s1', -1)
      assert.equal(estimate(), 1000)
    })
  })

  test.describe('pickTwo', () => {
    const createCandidate = (name: string, costMs: number): planner.Candidate =>
      ({ name, costMs, networkMs: 0, server: createServer(), waitMs: 0, serviceMs: 0 })

    test.it('distributes picks among near ties, and is deterministic for a seed', () => {
      const ranked = [1, 2, 3, 4].map(index => createCandidate(`s${index}`, index))
      const pickOften = (seed: number): (string | undefined)[] => {
        const source = new random.SeededRandom(seed)
        return Array.from({ length: 50 }, () => planner.pickTwo(ranked, () => source.nextUnit())[0]?.name)
      }
      assert.equal(new Set(pickOften(1)).size, 4)
      assert.deepEqual(pickOften(1), pickOften(1))
    })

    test.it('picks two different candidates, the first near the lowest cost', () => {
      fastCheck.assert(fastCheck.property(
        fastCheck.array(fastCheck.nat(2000), { maxLength: 20 }), fastCheck.nat(1000), (costs, seed) => {
          const sorted = [...costs].sort((first, second) => first - second)
          const ranked = sorted.map((cost, index) => createCandidate(`s${index}`, cost))
          const source = new random.SeededRandom(seed)
          const picked = planner.pickTwo(ranked, () => source.nextUnit())
          assert.equal(picked.length, Math.min(2, ranked.length))
          assert.equal(new Set(picked).size, picked.length)
          const best = sorted[0] ?? 0
          assert.ok((picked[0]?.costMs ?? best) <= best + Math.max(5, best * 0.05))
        }
      ), { seed: 1, numRuns: 300 })
    })
  })

  test.describe('checkAdmission', () => {
    const base: planner.Prediction = {
      prefillWaitMs: 0, prefillServiceMs: 100, transferMs: 50, decodeWaitMs: 0, stepMs: 25, unloadedMs: 150
    }

    test.it('admits requests that meet the target, and refuses others with the excess as retry time', () => {
      assert.equal(planner.checkAdmission(base, 1900), undefined)
      const refusal = planner.checkAdmission({ ...base, prefillWaitMs: 3000 }, 1900)
      assert.equal(refusal?.verdict, 'not_run')
      assert.equal(refusal?.retryAfterMs, 3175 - 1900)
    })

    test.it('admits a prompt that is too long for the target on an idle server', () => {
      const long = { ...base, prefillServiceMs: 4000, unloadedMs: 4050 }
      assert.equal(planner.checkAdmission(long, 1900), undefined)
      assert.notEqual(planner.checkAdmission({ ...long, prefillWaitMs: 2500 }, 1900), undefined)
    })
  })

  test.describe('services', () => {
    test.it('go to the server with fewer calls, including those sent since the report', () => {
      clusterView.recordLoad('s1', createLoad({ running: 3 }), 0)
      clusterView.recordLoad('s2', createLoad({ running: 4 }), 0)
      const rank = (): string[] => planner.rankServices(getSnapshots(), location).map(candidate => candidate.name)
      assert.deepEqual(rank(), ['s1', 's2'])
      clusterView.recordSent('s1', { promptTokens: 0, pieces: 0 })
      clusterView.recordSent('s1', { promptTokens: 0, pieces: 0 })
      assert.deepEqual(rank(), ['s2', 's1'])
      clusterView.recordLoad('s1', createLoad({ running: 3 }), 0)
      assert.deepEqual(rank(), ['s1', 's2'])
    })
  })

  test.describe('RetryBudget', () => {
    test.it('limits retries to a fraction of the requests', () => {
      const budget = new retryBudgets.RetryBudget()
      let retries = 0
      for (let request = 0; request < 1000; request += 1) {
        budget.earn()
        retries += budget.trySpend() ? 1 : 0
      }
      assert.ok(retries <= 120, `${retries} retries of 1000 requests`)
    })
  })

  test.describe('cluster view', () => {
    test.it('excludes servers that are leaving or did not answer', () => {
      const isUsable = (name: string, nowMs: number): boolean =>
        clusterView.getSnapshot(name, createServer(), nowMs).isUsable
      clusterView.recordLeaving('s1', 0)
      clusterView.recordFailure('s2', 0)
      assert.equal(isUsable('s1', 1999), false)
      assert.equal(isUsable('s1', 2000), true)
      assert.equal(isUsable('s2', 1999), false)
      assert.equal(isUsable('s2', 2000), true)
      assert.equal(clusterView.getSnapshot('s3', createServer({ state: 'leaving' }), 0).isUsable, false)
    })

    test.it('returns to the reported load when all sent tasks have ended', () => {
      fastCheck.assert(fastCheck.property(
        fastCheck.array(fastCheck.record({ promptTokens: fastCheck.nat(1000), pieces: fastCheck.nat(10) })), taskLoads => {
          const own = new clusterViews.ClusterView()
          own.recordLoad('s', createLoad({ running: 3, pendingPromptTokens: 700 }), 0)
          const before = own.getSnapshot('s', createServer(), 0)
          for (const taskLoad of taskLoads) {
            own.recordSent('s', taskLoad)
          }
          for (const taskLoad of taskLoads) {
            own.recordEnded('s', taskLoad)
          }
          assert.deepEqual(own.getSnapshot('s', createServer(), 0), before)
        }
      ), { seed: 1 })
    })
  })
})
