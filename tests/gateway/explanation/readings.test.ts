/** Readings of the deciding classes that an explanation uses: they agree with the decisions and change nothing. */
import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as util from 'node:util'
import * as choices from '../../../src/gateway/plain/server_choice.js'
import * as fleets from '../../../src/gateway/engine_fleet.js'
import * as healths from '../../../src/gateway/server_health.js'
import * as issuerChoices from '../../../src/gateway/issuer_choice.js'
import * as manualClocks from '../../support/manual_clock.js'
import * as paceFleets from '../pace/pace_fleet.js'
import * as permits from '../../../src/gateway/permits.js'
import * as probabilities from '../../../src/gateway/explanation/probabilities.js'
import * as recordedLogs from '../../support/recorded_log.js'
import * as routing from '../../../src/contracts/routing.js'
import * as seededRandom from '../../../src/host/seeded_random.js'
import * as serverLimits from '../../../src/gateway/server_limits.js'
import * as serverLoads from '../../../src/gateway/plain/server_loads.js'

const profile: routing.EngineProfile = { slots: 12, memoryTokens: 30_000, handleMs: 500, switchMs: 6_000, maximumHoldMs: 2_000 }
const draws = 20_000
/** Four standard errors of a frequency of one half. */
const tolerance = 0.015

function createServers (stage: routing.EngineStage | undefined): readonly routing.RoutedServer[] {
  return ['a', 'b', 'c'].map((zone, index) => ({ id: `s${index}`, service: 's', address: `10.0.0.${index}:1`, zone, slots: 6 + index, state: 'ready', stage }))
}

function checkFrequencies (expected: readonly number[], servers: readonly routing.RoutedServer[], draw: () => string | undefined): void {
  const counts = new Map<string | undefined, number>()
  for (let times = 0; times < draws; times += 1) {
    const chosen = draw()
    counts.set(chosen, (counts.get(chosen) ?? 0) + 1)
  }
  const frequencies = servers.map(({ id }) => (counts.get(id) ?? 0) / draws)
  const text = `${expected.map(part => part.toFixed(3)).join(', ')} against ${frequencies.join(', ')}`
  assert.ok(expected.every((part, index) => Math.abs(part - (frequencies[index] ?? 0)) < tolerance), text)
  assert.ok(expected.filter(part => part > 0.05).length > 1, text)
}

test.describe('The probabilities of an explanation', () => {
  const health = new healths.ServerHealth()
  const random = new seededRandom.SeededRandom(1)

  // Guards against probabilities that are not those of the draws.
  test.it('are the frequencies of decode and prefill servers', () => {
    const fleet = new fleets.EngineFleet('a', health, random)
    fleet.setOtherGateways(27)
    fleet.bookDecode('r', 's0', 6_000)
    const decode = createServers('decode')
    const jitter = fleet.getJitter()
    const ratings = fleet.inspectDecode(decode, profile, 3_000, 0).map(({ rating }) => new probabilities.UniformCost(-Number(rating) - jitter, jitter))
    checkFrequencies(probabilities.computeLeast(ratings), decode, () => fleet.rankDecode(decode, profile, 3_000, 0)[0]?.id)
    const prefill = createServers('prefill')
    fleet.bookPrefill('p', 's1', 600, 0)
    const times = fleet.inspectPrefill(prefill, 3_000, new Set(), 0, 'c')
    const costs = times.map(({ time, paceMs }) => new probabilities.UniformCost(time.readyMs + time.distanceMs + paceMs, jitter * time.readyMs))
    checkFrequencies(probabilities.computeLeast(costs), prefill, () => fleet.choosePrefill(prefill, 3_000, new Set(), 0, 'c')?.server.id)
  })

  test.it('are the frequencies of plain servers chosen by expected time', () => {
    const log = new recordedLogs.RecordedLog()
    const loads = new serverLoads.ServerLoads(log)
    const choice = new choices.ServerChoice('elsewhere', health, loads, random, log)
    choice.setOtherGateways(27)
    const servers = createServers(undefined)
    for (const [index, server] of servers.entries()) {
      loads.recordReport(server, { running: 2 * index, waiting: 0, slots: 6, slowness: 1 }, 0)
    }
    const call = { servers, excluded: new Set<string>(), isRepeatable: false, goalMs: 200, remainingMs: 2_000 }
    const inspected = choice.inspect(call, 10)
    assert.ok(inspected.by === 'expected_time')
    const costs = inspected.ranked.eligible.map(candidate => new probabilities.LogExponentialCost(candidate.costMs, inspected.getScaleMs(candidate)))
    checkFrequencies(probabilities.computeLeast(costs), servers, () => {
      const chosen = choice.choose(call, 10, 0.5)
      return chosen.kind === 'chosen' ? chosen.server.id : undefined
    })
  })
})

test.describe('The reading', () => {
  // Guards against a query that begins or refills this gateway's share while the issuer does not answer.
  test.it('of permits agrees with the wait of a request and changes nothing, while the issuer is silent', async () => {
    const clock = new manualClocks.ManualClock()
    const log = new recordedLogs.RecordedLog()
    const limits = new serverLimits.ServerLimits(log)
    const [server] = createServers(undefined) as [routing.RoutedServer]
    const facts = { requestId: 'r', isNotRun: false, isSigned: true, isStream: false, load: undefined, idleMs: undefined, isLeaving: false, backOffMs: undefined }
    limits.recordAnswer(server, { ...facts, limitPerSecond: 4 }, 0, clock.monotonicMs())
    const choice = new issuerChoices.IssuerChoice({ node: 'g0', zone: 'a' }, () => true)
    choice.setOthers(['g1', 'g2', 'g3', 'g4', 'g5'].map(node => ({ node, zone: 'a' })))
    const silence = new class extends permits.PermitChannel {
      override ask (): Promise<never> {
        return Promise.reject(new Error('silent'))
      }
    }()
    const foreign = ['s0', 's1', 's2', 's3'].map(id => ({ ...server, id })).find(candidate => choice.choose(candidate) !== 'g0') ?? server
    limits.recordAnswer(foreign, { ...facts, limitPerSecond: 4 }, 0, clock.monotonicMs())
    const book = new permits.Permits('g0', limits, choice, silence, { clock, log, random: new seededRandom.SeededRandom(1) })
    assert.equal((await book.take(foreign)).kind, 'refused')
    let waits = 0
    for (let times = 0; times < 4; times += 1) {
      clock.advance(100)
      const before = util.inspect(book, { depth: 6 })
      const observedMs = book.observeWaitMs(foreign)
      assert.equal(util.inspect(book, { depth: 6 }), before)
      assert.equal(observedMs, book.getWaitMs(foreign))
      waits += observedMs > 0 ? 1 : 0
    }
    assert.ok(waits > 0)
  })

  // Guards against an explanation that sees the whole capacity of a server that is recovering.
  test.it('of the pace agrees with the pace of a recovering server and changes nothing', () => {
    const fleet = new paceFleets.PaceFleet(1, 28, 5, 240, true)
    fleet.run(5_000)
    fleet.crash('s0')
    fleet.run(2_000)
    fleet.restart('s0', 4)
    let recovering = 0
    for (let times = 0; times < 20; times += 1) {
      fleet.run(97)
      for (const { pace } of fleet.nodes) {
        const server = fleet.getServer('s0').listed
        // A turn that is due is drawn by this reading; the explanation cannot know the outcome before.
        const part = pace.getPart(server, fleet.nowMs)
        const isHeld = pace.isHeld(server, fleet.nowMs)
        const before = util.inspect(pace, { depth: 4 })
        const observed = pace.observe()
        assert.deepEqual([observed.getPart(server, fleet.nowMs), observed.isHeld(server, fleet.nowMs)], [part, isHeld])
        assert.equal(util.inspect(pace, { depth: 4 }), before)
        recovering += part < 1 ? 1 : 0
      }
    }
    assert.ok(recovering > 100, String(recovering))
  })
})
