/**
 * Cost of the choice of plain servers by expected time, its slope with gateways, and the bytes that it adds to messages.
 */
import * as choices from '../src/gateway/plain/server_choice.js'
import * as decisionCosts from './support/decision_cost.js'
import * as decisions from './decisions.js'
import * as healths from '../src/gateway/server_health.js'
import * as messages from '../src/gateway/peer_messages.js'
import * as nodeSystems from '../src/host/node_system.js'
import * as routing from '../src/contracts/routing.js'
import * as seededRandom from '../src/host/seeded_random.js'
import * as serverLoads from '../src/gateway/plain/server_loads.js'
import * as slopes from './support/slope.js'

const peerCounts = [10, 30, 77, 150]
const serverCounts = [5, 16, 64, 200]
const decisionsPerPoint = 3000
const slots = 6

function createServers (count: number): routing.RoutedServer[] {
  return Array.from({ length: count }, (_, index) => (
    { id: `i-${String(index).padStart(10, '0')}`, service: 'desk', address: '127.0.0.1:1', zone: `zone-${index % 4}`, slots, state: 'ready' }
  ))
}

/** Loads of servers that are all busy, as this gateway saw them. */
function createLoads (servers: readonly routing.RoutedServer[], random: seededRandom.SeededRandom): serverLoads.ServerLoads {
  const loads = new serverLoads.ServerLoads(nodeSystems.createSilentSystem().log)
  for (const server of servers) {
    loads.start(server.id, 0)
    loads.recordReport(server, { running: 6, waiting: random.nextInteger(40), slots, slowness: 1 + random.nextInteger(200) / 100 }, random.nextInteger(200))
    for (let answer = random.nextInteger(4); answer >= 0; answer -= 1) {
      loads.recordMeasured(server.id, 0.5 + random.nextUnit(), 200)
    }
  }
  return loads
}

function measureChoice (): decisions.Slope {
  const points: slopes.Point[] = []
  const servers = createServers(5)
  for (const count of peerCounts) {
    const random = new seededRandom.SeededRandom(1)
    const loads = createLoads(servers, random)
    for (let peer = 0; peer < count; peer += 1) {
      loads.updatePeer(`g${peer}`, createLoads(servers, random).listReported(210), 210, 210)
    }
    const choice = new choices.ServerChoice('zone-0', new healths.ServerHealth(), loads, random, nodeSystems.createSilentSystem().log)
    const call = { servers, excluded: new Set<string>(), isRepeatable: false, goalMs: 341, remainingMs: 3_000 }
    points.push({ x: count, y: decisionCosts.measureDecision(decisionsPerPoint, () => choice.choose(call, 220, 0.5)) })
  }
  return decisions.createSlope('choice among 5 plain servers by expected time', 'µs', 'gateways and zones heard', points)
}

function measureReports (): decisions.Slope {
  const points: slopes.Point[] = []
  for (const count of serverCounts) {
    const loads = createLoads(createServers(count), new seededRandom.SeededRandom(1))
    points.push({ x: count, y: decisionCosts.measureDecision(decisionsPerPoint, () => loads.listReported(210)) })
  }
  return decisions.createSlope('loads for a message to another gateway', 'µs', 'busy plain servers', points)
}

/** Bytes that the loads add to an encoded message, within a zone (not compressed up to 4 KiB) or between zones. */
function measureBytes (isSameZone: boolean): decisions.Slope {
  const points: slopes.Point[] = []
  const empty = { admitted: {}, bookings: {}, offered: {}, switching: [], outcomes: {}, leaving: {} }
  for (const count of serverCounts) {
    const plain = createLoads(createServers(count), new seededRandom.SeededRandom(1)).listReported(210)
    const y = messages.encode({ ...empty, plain }, isSameZone).body.length - messages.encode(empty, isSameZone).body.length
    points.push({ x: count, y })
  }
  return decisions.createSlope(`loads in a message ${isSameZone ? 'within a zone' : 'between zones'}`, 'bytes', 'busy plain servers', points)
}

/** Measures the choice of plain servers by expected time. */
export function measurePlainDecisions (): decisions.Slope[] {
  return [measureChoice(), measureReports(), measureBytes(true), measureBytes(false)]
}
