import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as gossipFleets from '../gossip_fleet.js'
import * as messages from '../../../src/gateway/peer_messages.js'
import * as recordedLogs from '../../support/recorded_log.js'
import * as waitingDemands from '../../../src/gateway/queueing/waiting_demand.js'

function createDemand (): { readonly log: recordedLogs.RecordedLog, readonly demand: waitingDemands.WaitingDemand } {
  const log = new recordedLogs.RecordedLog()
  return { log, demand: new waitingDemands.WaitingDemand(log) }
}

function createWaiting (ranks: readonly number[], sinceMs: number): waitingDemands.WaitingRequest[] {
  return ranks.map(rank => ({ service: 's', rank, tokens: 4_000, sinceMs }))
}

test.describe('Demand that waits at other gateways', () => {
  test.it('is summed by rank, for a zone too, and expires or is dropped with its gateway', () => {
    const { demand } = createDemand()
    demand.updatePeer('g1', demand.describe(createWaiting([0, 0, 3], 200), 1_000), 1_000, 1_000)
    demand.updatePeer('g2', demand.describe(createWaiting([3], 500), 1_000), 1_000, 1_000)
    assert.deepEqual(demand.aggregate(createWaiting([0], 900), ['g1', 'g2'], 1_100), { s: [[0, 3, 12_000, 700], [3, 2, 8_000, 700]] })
    assert.deepEqual(demand.getElsewhere('s', 3, 1_100), { count: 4, tokens: 16_000, oldestMs: 800, newsMs: 100 })
    demand.forgetPeer('g2')
    assert.equal(demand.getElsewhere('s', 3, 1_100).count, 3)
    assert.equal(demand.getElsewhere('s', 3, 3_001).count, 0)
    assert.equal(demand.aggregate([], ['g1'], 3_001), undefined)
  })

  // Guards against requests that have been served since the news.
  test.it('counts as more urgent only if it had waited for longer than the news is old', () => {
    const { demand } = createDemand()
    demand.updatePeer('g1', { s: [[0, 1, 4_000, 250], [2, 1, 4_000, 900]] }, 1_000, 1_000)
    assert.equal(demand.getMoreUrgent('s', 3, 1_200).count, 2)
    assert.equal(demand.getMoreUrgent('s', 3, 1_300).count, 1)
    assert.equal(demand.getMoreUrgent('s', 2, 1_300).count, 0)
    assert.equal(demand.getMoreUrgent('other', 3, 1_200).count, 0)
  })

  test.it('is ignored with one log line where its figures are absurd', () => {
    const { demand, log } = createDemand()
    demand.updatePeer('g1', { s: [[0, -1, 4_000, 9], [0, 1, 1e300, 9], [0.5, 1, 1, 1], [0, 1, 4_000, -5], [1, 1, 4_000, 500]] }, 1_000, 1_000)
    demand.updatePeer('g2', { s: Array.from({ length: 500 }, (_unused, rank) => [rank, 1, 1, 1]) }, 1_000, 1_000)
    assert.equal(demand.getElsewhere('s', 9, 1_000).tokens, 4_010)
    assert.equal(demand.getElsewhere('s', Infinity, 1_000).count, 1 + waitingDemands.maximumRanks)
    assert.equal(log.lines.length, 1)
  })

  test.it('is exchanged with gateways of the version before, in both directions', () => {
    const { demand } = createDemand()
    const status = messages.PeerState.shape.work.unwrap()
    const told: unknown = JSON.parse(JSON.stringify({ ...gossipFleets.emptyStatus, waiting: demand.describe(createWaiting([0], 0), 100) }))
    assert.deepEqual(status.parse(told).waiting, { s: [[0, 1, 4_000, 100]] })
    assert.deepEqual(status.omit({ waiting: true }).parse(told), gossipFleets.emptyStatus)
    demand.updatePeer('old', status.parse(gossipFleets.emptyStatus).waiting, 100, 100)
    assert.equal(demand.getElsewhere('s', 9, 100).count, 0)
  })

  // Guards against messages that grow with the number of requests or of gateways.
  test.it('takes at most a kilobyte in a message, whatever waits at 300 gateways', () => {
    const { demand } = createDemand()
    const names = Array.from({ length: 75 }, (_unused, index) => `gw-zone-a-${index}`)
    for (const name of names) {
      const waiting = Array.from({ length: 20_000 }, (_unused, index) => ({ service: `models-${index % 40}`, rank: index % 37, tokens: 31_321, sinceMs: 0 }))
      demand.updatePeer(name, demand.describe(waiting, 9_000), 9_000, 9_000)
    }
    const getBytes = (status: messages.GatewayStatus): number => messages.encode(status, true).body.length
    const aggregate = demand.aggregate([], names, 9_100)
    const bytes = getBytes({ ...gossipFleets.emptyStatus, waiting: aggregate }) - getBytes(gossipFleets.emptyStatus)
    assert.ok(bytes < 1_024, String(bytes))
  })
})
