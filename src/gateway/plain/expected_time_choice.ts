/**
 * Chooses the server of a plain service by the expected time until the answer, where servers report how fast their VMs work now.
 *
 * Pattern: 20 to 28 gateways send 100 to 350 calls a second to 4 or 5 servers of 6 slots. A VM is 2.5 times slower for 600 ms at a time,
 * most calls may run only once, and what a gateway knows is 100 to 300 ms old. Gateways that all choose the server which seems best meet
 * there. A call therefore stays in its own zone while that costs little, and is otherwise spread over the servers at random, in
 * proportion to how likely each is to be the best, given how much of the queues is unknown.
 *
 * Performs no input or output.
 */
import * as capacityParts from '../pace/capacity_parts.js'
import * as healths from '../server_health.js'
import * as host from '../../host/types.js'
import * as returnSchedules from '../queueing/return_schedule.js'
import * as routing from '../../contracts/routing.js'
import * as serverLoads from './server_loads.js'
import * as workTimes from './work_time.js'

/** Time to another zone and back, in milliseconds; 0.5 to 1.5 ms each way. */
const otherZoneMs = 2
/**
 * Part of a call's goal by which its answer may come later for the call to stay in its own zone: traffic between zones is billed by the
 * byte, and gateways that stay in their zones do not meet at the same server.
 */
const ownZonePart = 1 / 4
/**
 * Cost of the loss of an answer, as a multiple of the goal, weighted with the server's failure rate. A call that must run only once is
 * lost with its answer; a repeatable one is sent again.
 */
const lossGoals = 3
const repeatGoals = 1
/** Standard error of the estimated queue that remains with fresh information, in calls: servers report only when they answer. */
const queueUncertainty = 2
/**
 * Calls that other gateways may have sent to a server meanwhile, for each of them and at most: 70 calls a second to a server and information
 * that is 150 ms old. With a quarter of it, the gateways of a fleet of 28 meet at the same server in a burst and answer fewer calls in time.
 */
const unknownPerGateway = 0.4
const maximumUnknown = 12
/** Least part of a server's slots that is assumed. */
const leastPart = 0.05
/** Answers after which the work time is known well enough for a call to be refused by it. */
const leastAnswersToRefuse = 8
/** Least retry time of a refused call, in milliseconds. */
const minimumRetryMs = 100

/** A call for which a server is to be chosen. */
export interface PlainCall {
  readonly servers: readonly routing.RoutedServer[]
  readonly excluded: ReadonlySet<string>
  readonly isRepeatable: boolean
  readonly goalMs: number
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number
}

/** The expected time of a call at a server, and what it was computed from. */
export interface Estimate extends serverLoads.ServerState {
  readonly server: routing.RoutedServer
  /** Expected time until the answer, in milliseconds. */
  readonly answerMs: number
  /** Answer time at the usual speed with the estimated queue, in milliseconds, without the distance. */
  readonly usualMs: number
  readonly distanceMs: number
}

/** The chosen server; or that no server can answer a call before its deadline, with the least expected time. */
export type TimedVerdict =
  | { readonly kind: 'chosen', readonly estimate: Estimate }
  | { readonly kind: 'late', readonly estimate: Estimate, readonly retryAfterMs: number }
  | { readonly kind: 'none' }

/** A call that no server can answer before its deadline: the nearest server, the wait, and this gateway's share of the calls a second. */
interface LateCall {
  readonly estimate: Estimate
  readonly waitMs: number
  readonly perSecond: number
}

/** The candidates of a call, and those among which its server is drawn. */
export interface RankedCandidates {
  readonly candidates: readonly Candidate[]
  readonly eligible: readonly Candidate[]
  readonly late: LateCall | undefined
}

/** Stands for services without an answer yet. */
const unknownWorkTime = new workTimes.WorkTime()

export interface Candidate {
  readonly estimate: Estimate
  /** Expected time with the cost of failures, in milliseconds. */
  readonly costMs: number
}

export class ExpectedTimeChoice {
  private readonly workTimes = new Map<string, workTimes.WorkTime>()
  private readonly returns = new returnSchedules.ReturnSchedule()
  private otherGateways = 0

  constructor (
    private readonly zone: string,
    private readonly health: healths.ServerHealth,
    private readonly loads: serverLoads.ServerLoads,
    private readonly random: host.Random,
    /** Returns the part of a server's slots that may be used now, from 0 to 1. */
    private readonly parts: capacityParts.CapacityParts = new capacityParts.FullCapacity()
  ) {}

  /** Sets the number of other gateways that choose at the same time. */
  setOtherGateways (count: number): void {
    this.otherGateways = count
  }

  /** Chooses among the servers that are not excluded; a paused one only if there is no other. */
  choose (call: PlainCall, nowMs: number): TimedVerdict {
    const { eligible, late } = this.rank(call, nowMs)
    const picked = this.spread(eligible)
    if (picked === undefined) {
      return { kind: 'none' }
    }
    if (late === undefined) {
      return { kind: 'chosen', estimate: picked.estimate }
    }
    const { estimate, waitMs, perSecond } = late
    return { kind: 'late', estimate, retryAfterMs: this.returns.schedule(estimate.server.service, waitMs, perSecond, nowMs) }
  }

  /** Returns the candidates of a call with their costs, and whether none can answer in time. With `parts` that are observed, nothing changes. */
  rank (call: PlainCall, nowMs: number, parts = this.parts): RankedCandidates {
    const listed = call.servers.filter(({ id }) => !call.excluded.has(id))
    const unpaused = listed.filter(({ id }) => !this.health.isPaused(id, nowMs))
    const candidates = this.rate(unpaused.length > 0 ? unpaused : listed, call, nowMs, parts)
    return { candidates, eligible: this.selectNear(candidates, call.goalMs), late: this.checkDeadline(candidates, call, nowMs, parts) }
  }

  /** Returns when the caller of a late call would be told to come back, without giving out a time. */
  observeReturnMs ({ estimate, waitMs, perSecond }: LateCall, nowMs: number): number {
    return this.returns.observe(estimate.server.service, waitMs, perSecond, nowMs)
  }

  /** Records an answer: updates the usual work time of the service, and what the server's answers take against what was expected. */
  recordAnswer (estimate: Estimate, elapsedMs: number, nowMs: number): void {
    const { server, usualMs, distanceMs, slowness } = estimate
    // The VM may have changed its speed during the call. Only what lies outside of both reports contradicts them.
    const after = this.loads.getSlowness(server.id, nowMs)
    const workMs = Math.max(0, elapsedMs - distanceMs)
    const leastMs = usualMs * Math.min(slowness, after)
    const greatestMs = usualMs * Math.max(slowness, after)
    const ratio = workMs < leastMs ? workMs / leastMs : Math.max(1, workMs / greatestMs)
    this.loads.recordMeasured(server.id, ratio, nowMs)
    const work = this.getWorkTime(server.service)
    const queueFactor = usualMs / work.getMs()
    work.record(workMs / (Math.max(1, queueFactor) * (slowness + after) / 2))
  }

  /** Records that a call got no answer for a time, which is the least that its answer would have taken. */
  recordSilence (estimate: Estimate, elapsedMs: number, nowMs: number): void {
    const ratio = elapsedMs / Math.max(1, estimate.distanceMs + estimate.usualMs * estimate.slowness)
    if (ratio > 1) {
      this.loads.recordMeasured(estimate.server.id, ratio, nowMs)
    }
  }

  /** Returns the expected time of a call at a server. */
  estimate (server: routing.RoutedServer, nowMs: number, parts = this.parts): Estimate {
    const slots = getSlots(server, parts, nowMs)
    const state = this.loads.read(server.id, server.slots, nowMs)
    const excess = state.queue.ahead + 1 - slots
    // Expected positive part of the excess, whose standard error is that of the queue.
    const waiting = (excess + Math.hypot(excess, queueUncertainty)) / 2
    const usualMs = this.readWorkTime(server.service).getMs() * (1 + waiting / slots)
    const distanceMs = server.zone === this.zone ? 0 : otherZoneMs
    return { ...state, server, answerMs: distanceMs + usualMs * state.slowness * state.measured, usualMs, distanceMs }
  }

  private rate (
    servers: readonly routing.RoutedServer[], { isRepeatable, goalMs }: PlainCall, nowMs: number, parts: capacityParts.CapacityParts
  ): Candidate[] {
    const rates = servers.map(({ id }) => this.health.getFailureRate(id, nowMs))
    // Some requests fail on every server.
    const leastRate = Math.min(...rates)
    const lossMs = goalMs * (isRepeatable ? repeatGoals : lossGoals)
    return servers.map((server, index) => {
      const estimate = this.estimate(server, nowMs, parts)
      return { estimate, costMs: estimate.answerMs + lossMs * ((rates[index] ?? 0) - leastRate) }
    })
  }

  /** Returns the candidates in the own zone if one of them costs little more than the best, otherwise all. */
  private selectNear (candidates: readonly Candidate[], goalMs: number): readonly Candidate[] {
    const near = candidates.filter(({ estimate }) => estimate.server.zone === this.zone)
    const leastMs = Math.min(...candidates.map(({ costMs }) => costMs))
    const isNearGood = near.some(({ costMs }) => costMs <= leastMs + goalMs * ownZonePart)
    return isNearGood ? near : candidates
  }

  /** Scale of the deviations that a candidate's cost is drawn with, in milliseconds. */
  getScaleMs ({ estimate: { server } }: Candidate): number {
    const unknown = Math.min(maximumUnknown, unknownPerGateway * this.otherGateways)
    return this.readWorkTime(server.service).getMs() / server.slots * Math.max(unknown, Number.EPSILON)
  }

  /** Draws a candidate; the less likely the more it costs, in terms of the calls that other gateways may have sent meanwhile. */
  private spread (candidates: readonly Candidate[]): Candidate | undefined {
    let best: Candidate | undefined
    let bestMs = Infinity
    for (const candidate of candidates) {
      // The least of values with these deviations is drawn with weights that fall exponentially with the cost (Gumbel distribution).
      const deviationMs = this.getScaleMs(candidate) * Math.log(-Math.log(Math.max(Number.EPSILON, this.random.nextUnit())))
      if (candidate.costMs + deviationMs < bestMs) {
        best = candidate
        bestMs = candidate.costMs + deviationMs
      }
    }
    return best
  }

  /** Returns the refusal of a call that may run only once if all servers are full and none can answer before its deadline. */
  private checkDeadline (candidates: readonly Candidate[], call: PlainCall, nowMs: number, parts: capacityParts.CapacityParts): LateCall | undefined {
    let nearest: Estimate | undefined
    let perSecond = 0
    for (const { estimate } of candidates) {
      const { server, answerMs, queue, slowness, measured } = estimate
      const slots = getSlots(server, parts, nowMs)
      const work = this.readWorkTime(server.service)
      if (call.isRepeatable || call.excluded.size > 0 || answerMs <= call.remainingMs || queue.ahead < slots || work.count < leastAnswersToRefuse) {
        return undefined
      }
      perSecond += slots * 1000 / (work.getMs() * slowness * measured)
      nearest = nearest === undefined || answerMs < nearest.answerMs ? estimate : nearest
    }
    if (nearest === undefined) {
      return undefined
    }
    const waitMs = Math.max(minimumRetryMs, nearest.answerMs - call.goalMs)
    return { estimate: nearest, waitMs, perSecond: perSecond / (this.otherGateways + 1) }
  }

  private readWorkTime (service: string): workTimes.WorkTime {
    return this.workTimes.get(service) ?? unknownWorkTime
  }

  private getWorkTime (service: string): workTimes.WorkTime {
    const found = this.workTimes.get(service)
    if (found !== undefined) {
      return found
    }
    const created = new workTimes.WorkTime()
    this.workTimes.set(service, created)
    return created
  }
}

function getSlots (server: routing.RoutedServer, parts: capacityParts.CapacityParts, nowMs: number): number {
  return server.slots * Math.min(1, Math.max(leastPart, parts.getPart(server, nowMs)))
}
