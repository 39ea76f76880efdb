/**
 * Cost of an agent's decisions and its slope with waiting requests and with workspaces.
 */
import * as decisionCosts from './support/decision_cost.js'
import * as decisions from './decisions.js'
import * as fairQueues from '../src/agent/fair_queue.js'
import * as gateDrivers from '../tests/agent/gate_driver.js'
import * as slopes from './support/slope.js'

const waitingCounts = [32, 64, 128, 256, 512]
const workspaceCounts = [5, 130, 260, 520]
const decisionsPerPoint = 20_000
/** Workspaces while the number of waiting requests varies. */
const fixedWorkspaces = 20
/** Waiting requests while the number of workspaces varies. */
const fixedWaiting = 520
const slots = 20
const memoryPieces = 160
const pieceTokens = 1024
const promptTokens = 1000
const maximumTokens = 200

/** Keeps every attempt of a measurement. */
const retention = { attemptsKept: 1_000_000, attemptsKeptMs: 3_600_000, lateArrivalMs: 3_600_000 }

interface Crowd {
  readonly waiting: number
  readonly workspaces: number
}

/** Returns a gate whose slots are all taken, with attempts that wait. */
function createGate ({ waiting, workspaces }: Crowd): gateDrivers.GateDriver {
  const driver = new gateDrivers.GateDriver({ retention }, { slots, memoryPieces, pieceTokens, queueLimit: 2 * fixedWaiting })
  for (let index = 0; index < slots + waiting; index += 1) {
    start(driver, `waiting-${index}`, `workspace-${index % workspaces}`)
  }
  return driver
}

function start (driver: gateDrivers.GateDriver, attempt: string, workspace: string): void {
  driver.start(attempt, { workspace, promptTokens, maximumTokens }).unsafeCoerce()
}

function measureOffer (crowd: Crowd): number {
  const driver = createGate(crowd)
  return decisionCosts.measureDecision(decisionsPerPoint, index => {
    const workspace = `workspace-${index % crowd.workspaces}`
    const answer = driver.offer(`offer-${index}`, { workspace, promptTokens, maximumTokens })
    if (answer.reservation !== undefined) {
      driver.call('work.release', { reservation: answer.reservation })
    }
  })
}

function measureStart (crowd: Crowd): number {
  const driver = createGate(crowd)
  let started = 0
  return decisionCosts.measureDecision(decisionsPerPoint, index => {
    started += 1
    start(driver, `started-${started}`, `workspace-${index % crowd.workspaces}`)
    driver.cancel(`started-${started}`)
  })
}

/** One item is added, another taken, charged for a token and ended. */
function measureQueue ({ waiting, workspaces }: Crowd): number {
  const queue = new fairQueues.FairQueue<fairQueues.QueuedItem>()
  const add = (index: number): void => {
    queue.add({ workspace: `workspace-${index % workspaces}`, weight: 1, cost: promptTokens, pieces: 2 })
  }
  for (let index = 0; index < waiting; index += 1) {
    add(index)
  }
  return decisionCosts.measureDecision(decisionsPerPoint, index => {
    add(index)
    const item = queue.peek()
    if (item !== undefined) {
      queue.take(item)
      queue.charge(item, 1)
      queue.end(item)
    }
  })
}

function measure (figure: string, decide: (crowd: Crowd) => number): readonly decisions.Slope[] {
  // Has the code compiled before the first point is measured.
  decide({ waiting: fixedWaiting, workspaces: fixedWorkspaces })
  const byWaiting: slopes.Point[] = []
  for (const waiting of waitingCounts) {
    byWaiting.push({ x: waiting, y: decide({ waiting, workspaces: fixedWorkspaces }) })
  }
  const byWorkspaces: slopes.Point[] = []
  for (const workspaces of workspaceCounts) {
    byWorkspaces.push({ x: workspaces, y: decide({ waiting: fixedWaiting, workspaces }) })
  }
  return [
    decisions.createSlope(figure, 'µs', 'waiting requests', byWaiting),
    decisions.createSlope(figure, 'µs', 'workspaces', byWorkspaces)
  ]
}

/** Measures the decisions of an agent. */
export function measureAgentDecisions (): readonly decisions.Slope[] {
  return [
    ...measure('offer at the gate, released again', measureOffer),
    ...measure('start and cancel at the gate', measureStart),
    ...measure('one item through the fair queue', measureQueue)
  ]
}
