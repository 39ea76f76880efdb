/**
 * Gateways in virtual time that share a retry budget: real budgets, membership and replicas of the store, and callers whose every
 * request is worth a retry.
 */
import * as confirmingStores from '../support/confirming_store.js'
import * as host from '../../src/host/types.js'
import * as manualClock from '../support/manual_clock.js'
import * as members from '../../src/gateway/members.js'
import * as nodeSystems from '../../src/host/node_system.js'
import * as replicas from '../../src/gateway/store_replica.js'
import * as retries from '../../src/gateway/retry_budget.js'
import * as seededRandom from '../../src/host/seeded_random.js'
import * as settings from '../../src/gateway/settings.js'
import * as storeCore from '../../standins/store_core.js'

const service = 'models'
const watchHoldMs = 900
const watchLagMs = 200
const creditPeriodMs = 250
const stepMs = 50

/** The clock of a process, whose timers end with it. */
class ProcessClock extends host.Clock {
  isRunning = true

  constructor (private readonly clock: host.Clock) {
    super()
  }

  override monotonicMs (): number {
    return this.clock.monotonicMs()
  }

  override wallMs (): number {
    return this.clock.wallMs()
  }

  override after (delayMs: number, action: () => void): host.Stop {
    return this.clock.after(delayMs, () => this.isRunning && action())
  }
}

/** One life of a gateway. */
class GatewayProcess {
  readonly store: confirmingStores.ConfirmingStore
  readonly budget: retries.RetryBudget
  private readonly clock: ProcessClock
  private readonly members: members.Members
  private readonly replica: replicas.StoreReplica

  constructor (readonly node: string, fleet: RetryFleet) {
    this.clock = new ProcessClock(fleet.clock)
    const system = { ...nodeSystems.createSilentSystem(), clock: this.clock, random: fleet.random }
    this.store = new confirmingStores.ConfirmingStore(fleet.core, this.clock, watchHoldMs)
    this.store.lagMs = watchLagMs
    const options = settings.GatewaySettings.parse({
      node,
      zone: 'a',
      ingress: { host: '127.0.0.1', port: 1 },
      readiness: { host: '127.0.0.1', port: 1 },
      peers: { host: '127.0.0.1', port: 1 },
      store: { host: '127.0.0.1', port: 1 },
      timing: { graceMs: 8_000, watchHoldMs, minimumLeaseMs: 1_000, orderLeaseMs: 3_000 },
      allowance: { windowMs: 8_000, overPart: 0.1, slack: 0 },
      retries: fleet.budget
    })
    this.members = new members.Members(this.store, system, options, node, () => false, () => {})
    this.replica = new replicas.StoreReplica(this.store, '', system, this.members, watchHoldMs)
    this.budget = new retries.RetryBudget(fleet.budget, this.clock)
    this.budget.setServices([service])
    this.replica.start()
    this.members.start()
    this.clock.every(creditPeriodMs, () => {
      this.budget.accrue(this.replica.isCurrent(this.clock.monotonicMs()) ? this.members.getShare(this.replica.revision) : 0)
    })
  }

  /** Ends without notice. */
  kill (): void {
    this.clock.isRunning = false
    this.replica.stop()
    this.store.setDown(true)
  }

  /** Ends as planned: the entry is removed first. */
  async leave (): Promise<void> {
    await this.members.leave()
  }
}

export class RetryFleet {
  readonly clock = new manualClock.ManualClock()
  readonly core = new storeCore.StoreCore(this.clock)
  readonly random: seededRandom.SeededRandom
  readonly processes: GatewayProcess[] = []
  /** Times of requests and of retries, in milliseconds. */
  readonly requests: number[] = []
  readonly retries: number[] = []
  private lastNumber = 0

  constructor (seed: number, readonly budget: settings.GatewaySettings['retries']) {
    this.random = new seededRandom.SeededRandom(seed)
  }

  start (node?: string): GatewayProcess {
    this.lastNumber += 1
    const process = new GatewayProcess(node ?? `front-${this.lastNumber}`, this)
    this.processes.push(process)
    return process
  }

  kill (process: GatewayProcess): void {
    process.kill()
    this.processes.splice(this.processes.indexOf(process), 1)
  }

  /** Kills a process and starts the next one of the same gateway. */
  restart (process: GatewayProcess): void {
    this.kill(process)
    this.start(process.node)
  }

  /** Moves time on; `perSecond` requests arrive at random gateways, a fraction of which needs a retry. */
  async run (forMs: number, perSecond: number, retryFraction = 1): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += stepMs) {
      await this.clock.advance(stepMs)
      for (let due = perSecond * stepMs / 1000; due > 0; due -= 1) {
        const process = this.processes[this.random.nextInteger(Math.max(1, this.processes.length))]
        if (process === undefined || this.random.nextUnit() >= due) {
          continue
        }
        this.requests.push(this.clock.monotonicMs())
        process.budget.recordRequest(service)
        if (this.random.nextUnit() < retryFraction && process.budget.take(service) !== undefined) {
          this.retries.push(this.clock.monotonicMs())
        }
      }
    }
  }

  /** Returns the largest excess of retries over the budget in any window: 0 or less where it is kept. */
  findExcess (): number {
    const { ratio, slack, windowMs } = this.budget
    let excess = -Infinity
    for (const fromMs of this.retries) {
      const sent = countWithin(this.retries, fromMs, windowMs)
      const counted = Math.max(...[0, windowMs / 2, windowMs].map(backMs => countWithin(this.requests, fromMs - backMs, windowMs)))
      excess = Math.max(excess, sent - ratio * counted - slack)
    }
    return excess
  }
}

function countWithin (times: readonly number[], fromMs: number, windowMs: number): number {
  let count = 0
  for (const timeMs of times) {
    count += timeMs >= fromMs && timeMs < fromMs + windowMs ? 1 : 0
  }
  return count
}
