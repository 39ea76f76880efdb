/**
 * Cost of the decisions and its slope with servers, workspaces and sections.
 */
import * as configuration from '../src/contracts/configuration.js'
import * as decisionCosts from './support/decision_cost.js'
import * as documents from '../src/configuration/document.js'
import * as shardBuckets from '../src/allowances/shard_buckets.js'
import * as keeperTiming from '../src/allowances/timing.js'
import * as clusterViews from '../src/entry/cluster_view.js'
import * as planner from '../src/entry/planner.js'
import * as slopes from './support/slope.js'
import * as work from '../src/contracts/work.js'

const serverCounts = [32, 150, 300, 600]
const workspaceCounts = [5, 130, 260, 520]
const decisionsPerPoint = 3000
const prefixes = Array.from({ length: 16 }, (_, index) => `prefix-${index}`)

/** One measured dependence. */
export interface Slope extends slopes.Line {
  readonly figure: string
  readonly unit: string
  readonly against: string
  readonly points: readonly slopes.Point[]
}

export function createSlope (figure: string, unit: string, against: string, points: readonly slopes.Point[]): Slope {
  return { figure, unit, against, ...slopes.fitLine(points), points }
}

/** Returns a slope as one line of text. */
export function formatSlope ({ figure, unit, against, slope, intercept }: Slope): string {
  return `${figure}: ${intercept.toFixed(2)} ${unit} + ${slope.toFixed(4)} ${unit} for each of the ${against}`
}

function createServer (index: number): configuration.Server {
  return configuration.Server.parse({
    role: index % 3 === 0 ? 'prefill' : 'decode',
    zone: `zone-${index % 5}`,
    agent: { host: '127.0.0.1', port: 1 + index },
    models: ['model'],
    memoryPieces: 160
  })
}

const load: work.Load = {
  running: 10, queued: 2, pendingPromptTokens: 4000, freePieces: 80, totalPieces: 160, promisedPieces: 0, slots: 20, draining: false
}

function createStandings (count: number): { picture: clusterViews.ClusterView, servers: Map<string, configuration.Server> } {
  const picture = new clusterViews.ClusterView()
  const servers = new Map<string, configuration.Server>()
  for (let index = 0; index < count; index += 1) {
    servers.set(`server-${index}`, createServer(index))
    picture.recordLoad(`server-${index}`, load, 0)
    picture.recordPrefixes(`server-${index}`, prefixes.slice(0, index % prefixes.length))
  }
  return { picture, servers }
}

function listStandings (
  picture: clusterViews.ClusterView, servers: ReadonlyMap<string, configuration.Server>, role: string, nowMs: number
): Map<string, clusterViews.ServerSnapshot> {
  const standings = new Map<string, clusterViews.ServerSnapshot>()
  for (const [name, server] of servers) {
    if (server.role === role) {
      standings.set(name, picture.getSnapshot(name, server, nowMs))
    }
  }
  return standings
}

/** Plans a request over all servers of one model, the worst case: all servers serve it. */
function measurePlans (): Slope {
  const need = { model: configuration.Model.parse({}), promptTokens: 16_000, maximumTokens: 256, prefixes }
  const place = { zone: 'zone-0', region: 'local' }
  const points: slopes.Point[] = []
  for (const count of serverCounts) {
    const { picture, servers } = createStandings(count)
    const y = decisionCosts.measureDecision(decisionsPerPoint, index => {
      const prefills = planner.rankPrefills(picture, listStandings(picture, servers, 'prefill', index), need, place)
      const source = picture.getSnapshot(prefills[0]?.name ?? '', servers.get(prefills[0]?.name ?? '') as configuration.Server, index)
      planner.rankDecodes(listStandings(picture, servers, 'decode', index), need, source, place)
    })
    points.push({ x: count, y })
  }
  return createSlope('plan of one request', 'µs', 'servers of the model', points)
}

function measureCharges (): Slope {
  const points: slopes.Point[] = []
  for (const count of workspaceCounts) {
    const keeper = new shardBuckets.ShardBuckets(0, shardBuckets.fullBalances, keeperTiming.defaultTiming)
    for (let index = 0; index < count; index += 1) {
      keeper.setAllowance(`workspace-${index}`, { tokensPerSecond: 1e6, burstTokens: 1e9 }, 0)
    }
    const y = decisionCosts.measureDecision(decisionsPerPoint, index => {
      const id = `charge-${count}-${index}`
      keeper.charge({ id, workspace: `workspace-${index % count}`, tokens: 1000 }, index, () => 0)
      keeper.settle(id, 500, index)
    })
    points.push({ x: count, y })
  }
  return createSlope('charge and settlement at the keeper', 'µs', 'workspaces', points)
}

function measureKeys (): Slope {
  const points: slopes.Point[] = []
  for (const count of workspaceCounts) {
    const document = new documents.Document()
    const sections = Array.from({ length: count }, (_, index) => ({
      name: `keys/workspace-${index}`,
      owner: 'root',
      version: 1,
      body: { keys: [{ id: 'k', hash: String(index).padStart(64, '0'), createdAtMs: 0 }] }
    }))
    document.applySnapshot({ version: 1, sections })
    const y = decisionCosts.measureDecision(decisionsPerPoint, index => {
      document.findKey(String(index % count).padStart(64, '0'))
    })
    points.push({ x: count, y })
  }
  return createSlope('look-up of a key', 'µs', 'workspaces', points)
}

/** Measures every decision. */
export function measureDecisions (): Slope[] {
  return [measurePlans(), measureCharges(), measureKeys()]
}
