/**
 * The pace of servers that have started or returned: which part of its capacity each may get until its answers show that it carries its
 * share (slow start).
 *
 * Pattern: a server returns while traffic runs and has the most free capacity. All gateways send it their next requests at once, and it
 * is overloaded while its caches are empty; or all avoid it, and it stays idle. The first requests measure it. An answer in time to a
 * request that was sent at one part doubles the part; an answer that took more than twice the usual time halves it, down to the part
 * that the measured time suggests. Growth needs answers and takes no time of its own.
 *
 * All gateways hold one state of a recovery and report it to each other: of two reports, that with more falls counts, and with as many falls that
 * with the larger part. Reports can be merged in any order and more than once. Performs no input or output.
 */
import * as answerTimes from './answer_times.js'
import * as capacityParts from './capacity_parts.js'
import * as host from '../../host/types.js'
import * as messages from '../peer_messages.js'
import type * as metrics from '../../metrics/types.js'
import type * as routing from '../../contracts/routing.js'
import * as startTurns from './start_turns.js'
import type * as types from '../types.js'

/** Why a server is recovering. */
export type ReturnReason = 'start' | 'pause' | 'back_off' | 'evacuation' | 'reported'

/** What an answer says about the pace of its server. */
export interface AnswerSignals {
  /** When the request was sent, in milliseconds. */
  readonly sentMs: number
  readonly times: answerTimes.AnswerTimes
  readonly load?: types.ReportedLoad | undefined
}

/** Servers as the gateway knows them. */
export abstract class KnownServers {
  abstract find (id: string): routing.RoutedServer | undefined
  /** Servers of a service that get requests now. */
  abstract listUsable (service: string, nowMs: number): readonly routing.RoutedServer[]
}

/**
 * Factor by which an answer in time lets the part grow: 12 slots are reached after four steps, 64 after six. With 28 gateways that share
 * five plain servers a factor of 1.5 took 1.4 to 2.8 s instead of 1.1 to 2.0 s and gave no fewer late answers.
 */
const growthFactor = 2
const fallFactor = 0.5
/** Part for a server that this gateway should not choose in this turn: it is chosen where each other server is loaded many times over. */
const heldPart = 0.01
/** Weight of the newest time in the average of a recovery: four answers forget a disturbance of four times. */
const newestTimeWeight = 0.4
/** Age from which the average is forgotten for the newest time, in milliseconds: with many gateways, each gets few answers from a server. */
const timeMemoryMs = 1_000
/** Multiples of the usual time up to which an answer is in time, and above which it is slow: the spread of work times stays below. */
const inTimeFactor = 1.5
const slowFactor = 2
/** Least usual time to an answer or a first event, in milliseconds: shorter ones vary by more than twice with the gateway's own work. */
const leastUsualMs = 10
/** Part of the capacity that a measured slowness leaves which is used; the rest is the margin of the measurement. */
const slowCapacityPart = 0.5
/** Time without an answer at any gateway after which a recovery ends, in milliseconds: nobody calls, and the server is as any other idle one. */
const unusedEndMs = 10_000
/** Longest recovery, in milliseconds: a server that is still slower than its peers is so by its nature, which the choice of a server accounts for. */
const longestRecoveryMs = 30_000
/** Time for which the end of a recovery is reported, and for which it is remembered, in milliseconds; reports of it arrive for 2 s. */
const endReportMs = 2_000
const endMemoryMs = 10_000
/** Age from which a report no longer counts, in milliseconds. */
const reportExpiryMs = 2_000
/** Difference up to which two times of return are the same, in milliseconds: gateways see a return by events of up to a second apart. */
const sameReturnMs = 1_000
/** Shortest time between two falls, and between two returns of one process, that reports of other gateways cause, in milliseconds: a gateway with false reports is outweighed by some answers. */
const reportedFallPeriodMs = 1_000
const reportedReturnPeriodMs = 3_000
/**
 * Limit on the growth by reports of one gateway: a factor, and the time until its next one in milliseconds. If it falsely reports a slow server as
 * recovered, the answers come before the server has its whole share.
 */
const reportedGrowthFactor = 2
const reportedGrowthPeriodMs = 1_000
/** Time for which a fall keeps a part from growing by reports with fewer falls, in milliseconds: slow answers confirm it within that. */
const fallMemoryMs = 2_000
/** Limit on the falls by which a report may be ahead. */
const maximumFallsAhead = 16
/** Limits on the servers in one message, sent and received. */
const reportedServers = 16
const acceptedServers = 64
/** Time within which a service has had an answer while traffic runs, in milliseconds. */
const trafficMs = 10_000
/** Length of a turn: the age of gossip for engines, whose load is gossiped; an answer's time within these limits for plain servers, in milliseconds. */
const engineTurnMs = 250
const shortestTurnMs = 50
/** Shortest time between two log lines of one kind for one server, and of invalid reports, in milliseconds. */
const fallLogPeriodMs = 1_000
const invalidLogPeriodMs = 10_000

interface Recovery {
  readonly server: routing.RoutedServer
  readonly reason: ReturnReason
  readonly bornMs: number
  readonly returnedMs: number
  readonly turns: startTurns.StartTurns
  /** Averages of the times since the return, and the least time of each kind. */
  readonly recentTimes: Partial<Record<answerTimes.TimeKind, number>>
  readonly leastTimes: Partial<Record<answerTimes.TimeKind, number>>
  part: number
  falls: number
  answers: number
  /** Since when the part has its value; answers to earlier requests do not change it. */
  steppedMs: number
  /** Latest answer at any gateway, and at this one. */
  answeredMs: number
  timedMs: number
  /** Latest fall, here or reported, and latest reported fall. */
  fellMs: number
  reportedFallMs: number
  /** Latest growth by reports, by the gateway that reported. */
  readonly reportedGrowthMs: Map<string, number>
  fallLoggedMs: number
  end: { readonly atMs: number, readonly isFull: boolean } | undefined
}

/** Finds the recovery of a server that is in progress. */
type RecoveryFinder = (id: string, nowMs: number) => Recovery | undefined

interface ServiceTraffic {
  readonly rate: startTurns.StartRate
  answeredMs: number
}

interface ObservedPart {
  readonly part: number
  readonly isHeld: boolean
}

export class ServerPace extends capacityParts.CapacityParts {
  private readonly recoveries = new Map<string, Recovery>()
  private readonly usualTimes = new answerTimes.UsualTimes()
  private readonly traffic = new Map<string, ServiceTraffic>()
  /** When the latest request was sent that a server outside a recovery answered in time. */
  private readonly inTimeMs = new Map<string, number>()
  private gateways = 1
  private invalidLoggedMs = -Infinity

  constructor (
    private readonly servers: KnownServers,
    private readonly isPaced: (service: string) => boolean,
    private readonly random: host.Random,
    private readonly log: host.Log,
    private readonly meter: metrics.Meter
  ) {
    super()
  }

  /** Sets the number of other gateways that choose concurrently. */
  setOtherGateways (count: number): void {
    this.gateways = Math.max(0, count) + 1
  }

  /**
   * The part is relative to the largest one of the service, and tiny while the other gateways are expected to use it up. For a plain
   * server, whose load at other gateways is not known, the turns hold the pace; for the first request of a turn it is as any other idle
   * server, because it would otherwise stay idle beside peers with little load.
   */
  override getPart (server: routing.RoutedServer, nowMs: number): number {
    const recovery = this.findCurrent(server.id, nowMs)
    if (recovery === undefined) {
      return 1
    }
    const part = this.getRelativePart(recovery, nowMs)
    if (part < 1 && this.hasUsedTurn(recovery, part, nowMs)) {
      return Math.min(part, heldPart)
    }
    return server.stage === undefined && recovery.turns.isUnused ? 1 : part
  }

  override isHeld (server: routing.RoutedServer, nowMs: number): boolean {
    const recovery = this.findCurrent(server.id, nowMs)
    if (recovery === undefined) {
      return false
    }
    const part = this.getRelativePart(recovery, nowMs)
    return part < 1 && this.hasUsedTurn(recovery, part, nowMs)
  }

  override observe (): capacityParts.CapacityParts {
    const observe = (server: routing.RoutedServer, nowMs: number): ObservedPart => this.observePart(server, nowMs)
    return new class extends capacityParts.CapacityParts {
      override getPart (server: routing.RoutedServer, nowMs: number): number {
        return observe(server, nowMs).part
      }

      override isHeld (server: routing.RoutedServer, nowMs: number): boolean {
        return observe(server, nowMs).isHeld
      }

      override recordStart (): void {}

      override observe (): capacityParts.CapacityParts {
        return this
      }
    }()
  }

  override recordStart (id: string): void {
    const server = this.servers.find(id)
    if (server !== undefined && this.isPaced(server.service)) {
      this.getTraffic(server).rate.add()
      this.recoveries.get(id)?.turns.add()
    }
  }

  /** Records that a server has returned, or will at a time that is yet to come. A start counts while the service has traffic only. */
  recordReturn (server: routing.RoutedServer, reason: ReturnReason, atMs: number, nowMs = atMs): void {
    if (!this.isPaced(server.service) || (reason === 'start' && !this.hasTraffic(server.service, nowMs))) {
      return
    }
    const known = this.recoveries.get(server.id)
    const bornMs = server.bornMs ?? 0
    const isKnownStart = reason === 'start' && known !== undefined && bornMs !== 0 && known.bornMs === bornMs
    if (!isKnownStart && (known === undefined || bornMs > known.bornMs || (bornMs === known.bornMs && atMs > known.returnedMs))) {
      this.begin(server, reason, bornMs, atMs, nowMs, getLeastPart(server), 0)
    }
  }

  /** Records an answer of any server of a paced service. */
  recordAnswer (server: routing.RoutedServer, signals: AnswerSignals, nowMs: number): void {
    if (!this.isPaced(server.service)) {
      return
    }
    const traffic = this.getTraffic(server)
    traffic.answeredMs = nowMs
    traffic.rate.read(nowMs)
    const recovery = this.findCurrent(server.id, nowMs)
    if (recovery === undefined) {
      if (this.isAsUsual(server.id, signals.times)) {
        this.inTimeMs.set(server.id, Math.max(this.inTimeMs.get(server.id) ?? 0, signals.sentMs))
      }
      this.usualTimes.record(server.id, signals.times)
      return
    }
    if (signals.sentMs < recovery.returnedMs || recovery.bornMs !== (server.bornMs ?? 0)) {
      return
    }
    const weight = Math.min(1, Math.max(newestTimeWeight, (nowMs - recovery.timedMs) / timeMemoryMs))
    recovery.answeredMs = nowMs
    recovery.timedMs = nowMs
    recovery.answers += 1
    for (const [kind, value] of answerTimes.listUsable(signals.times)) {
      const recent = recovery.recentTimes[kind] ?? value
      recovery.recentTimes[kind] = recent + (value - recent) * weight
      recovery.leastTimes[kind] = Math.min(recovery.leastTimes[kind] ?? value, value)
    }
    const slowness = this.measureSlowness(server, recovery.recentTimes, recovery, nowMs)
    if (signals.sentMs < recovery.steppedMs) {
      return
    }
    if (slowness <= inTimeFactor) {
      this.grow(recovery, 1, nowMs)
    } else if (slowness > (isOverloaded(signals.load) ? inTimeFactor : slowFactor)) {
      this.approach(recovery, slowCapacityPart / slowness, slowness, nowMs)
    }
  }

  /** Records that a server refused a request, or did not answer one. */
  recordRefusal (server: routing.RoutedServer, nowMs: number, sentMs = nowMs): void {
    const recovery = this.findCurrent(server.id, nowMs)
    if (recovery !== undefined && sentMs >= Math.max(recovery.returnedMs, recovery.steppedMs)) {
      this.fall(recovery, 0, 'refusal', undefined, nowMs)
    }
  }

  /** Drops what is known of a server that has been removed. */
  forget (server: string): void {
    const recovery = this.recoveries.get(server)
    if (recovery !== undefined && recovery.end === undefined) {
      this.log.info('server recovery ended', { server, reason: 'the server was removed' })
    }
    this.recoveries.delete(server)
    this.usualTimes.forget(server)
    this.inTimeMs.delete(server)
  }

  /** Number of servers that may not use their whole capacity yet. */
  count (nowMs: number): number {
    let count = 0
    for (const id of [...this.recoveries.keys()]) {
      count += (this.findCurrent(id, nowMs)?.part ?? 1) < 1 ? 1 : 0
    }
    return count
  }

  /** Returns the recoveries for a message to another gateway, which are those of the zone as well; undefined if there are none. */
  describe (nowMs: number): Record<string, messages.PaceStatement> | undefined {
    const listed: [string, Recovery][] = []
    for (const [id, recovery] of [...this.recoveries]) {
      const isCurrent = this.findCurrent(id, nowMs) !== undefined
      const { end, returnedMs } = recovery
      if (returnedMs <= nowMs && (isCurrent || (end?.isFull === true && nowMs - end.atMs <= endReportMs))) {
        listed.push([id, recovery])
      }
    }
    if (listed.length === 0) {
      return undefined
    }
    listed.sort(([, a], [, b]) => b.returnedMs - a.returnedMs)
    const statements: Record<string, messages.PaceStatement> = {}
    for (const [id, { bornMs, returnedMs, falls, part, answeredMs }] of listed.slice(0, reportedServers)) {
      statements[id] = [bornMs, Math.round(nowMs - returnedMs), falls, Number(part.toFixed(3)), Math.round(nowMs - answeredMs)]
    }
    return statements
  }

  /** Merges the recoveries that another gateway reported as of a time on the monotonic clock. */
  merge (reported: Readonly<Record<string, messages.PaceStatement>>, teller: string, asOfMs: number, nowMs: number): void {
    if (nowMs - asOfMs > reportExpiryMs) {
      return
    }
    for (const [id, statement] of Object.entries(reported).slice(0, acceptedServers)) {
      const server = this.servers.find(id)
      if (server === undefined || !this.isPaced(server.service)) {
        continue
      }
      if (isValid(statement)) {
        this.mergeOne(server, statement, teller, asOfMs, nowMs)
      } else if (nowMs - this.invalidLoggedMs >= invalidLogPeriodMs) {
        this.invalidLoggedMs = nowMs
        this.log.warn('reported pace of a server ignored', { server: id, teller, statement: statement.join(',') })
      }
    }
  }

  private mergeOne (
    server: routing.RoutedServer, [bornMs, returnAgeMs, falls, part, answerAgeMs]: messages.PaceStatement, teller: string, asOfMs: number, nowMs: number
  ): void {
    const returnedMs = asOfMs - returnAgeMs
    const known = this.recoveries.get(server.id)
    if (bornMs < Math.max(server.bornMs ?? 0, known?.bornMs ?? 0) || nowMs - returnedMs > longestRecoveryMs) {
      return
    }
    if (known === undefined || bornMs > known.bornMs || returnedMs > known.returnedMs + sameReturnMs) {
      if (part < 1 && this.isCredible(server, bornMs, returnedMs, known)) {
        const recovery = this.begin(server, 'reported', bornMs, returnedMs, nowMs, Math.max(getLeastPart(server), part), falls, teller)
        recovery.answeredMs = Math.max(returnedMs, asOfMs - answerAgeMs)
      }
      return
    }
    if (known.end !== undefined || returnedMs < known.returnedMs - sameReturnMs) {
      return
    }
    known.answeredMs = Math.max(known.answeredMs, asOfMs - answerAgeMs)
    if (falls > known.falls && nowMs - known.reportedFallMs >= reportedFallPeriodMs) {
      known.falls = Math.min(falls, known.falls + maximumFallsAhead)
      known.part = Math.max(getLeastPart(server), Math.min(known.part, part))
      known.reportedFallMs = nowMs
      known.fellMs = nowMs
      known.steppedMs = nowMs
    } else if (part > known.part && (falls === known.falls || nowMs - known.fellMs >= fallMemoryMs) &&
      nowMs - (known.reportedGrowthMs.get(teller) ?? -Infinity) >= reportedGrowthPeriodMs) {
      // Ends only with an answer in time here: a false claim of the whole capacity is found out by the next answers.
      known.part = Math.min(part, known.part * reportedGrowthFactor)
      known.reportedGrowthMs.set(teller, nowMs)
      known.steppedMs = nowMs
    }
  }

  /** Whether a reported return is to be believed: a server whose answers here are in time since then has its pace already. */
  private isCredible (server: routing.RoutedServer, bornMs: number, returnedMs: number, known: Recovery | undefined): boolean {
    if (bornMs > Math.max(server.bornMs ?? 0, known?.bornMs ?? 0)) {
      return true
    }
    return (this.inTimeMs.get(server.id) ?? -Infinity) < returnedMs &&
      (known === undefined || returnedMs - known.returnedMs >= reportedReturnPeriodMs)
  }

  private begin (
    server: routing.RoutedServer, reason: ReturnReason, bornMs: number, returnedMs: number, nowMs: number, part: number, falls: number, teller?: string
  ): Recovery {
    const before = this.recoveries.get(server.id)
    const recovery: Recovery = {
      server,
      reason,
      bornMs,
      returnedMs,
      turns: new startTurns.StartTurns(this.random),
      recentTimes: {},
      leastTimes: {},
      part,
      falls,
      answers: 0,
      steppedMs: returnedMs,
      answeredMs: returnedMs,
      timedMs: returnedMs,
      fellMs: -Infinity,
      reportedFallMs: -Infinity,
      reportedGrowthMs: new Map(),
      fallLoggedMs: before?.fallLoggedMs ?? -Infinity,
      end: undefined
    }
    this.recoveries.set(server.id, recovery)
    if (nowMs - recovery.fallLoggedMs >= fallLogPeriodMs) {
      recovery.fallLoggedMs = nowMs
      this.log.info('server recovery began', {
        server: server.id,
        service: server.service,
        reason,
        bornMs: bornMs === 0 ? undefined : bornMs,
        inMs: Math.round(returnedMs - nowMs),
        part: Number(part.toFixed(3)),
        again: before !== undefined && before.end === undefined,
        teller
      })
    }
    return recovery
  }

  private grow (recovery: Recovery, limit: number, nowMs: number): void {
    recovery.part = Math.max(recovery.part, Math.min(limit, recovery.part * growthFactor))
    recovery.steppedMs = nowMs
    if (recovery.part >= 1) {
      this.finish(recovery, 'full', nowMs)
      this.meter.observe('gateway_recovery_ms', {}, Math.max(0, nowMs - recovery.returnedMs))
    }
  }

  /** Moves the part of a slow server towards what its slowness leaves: a server that is slower by nature gets a steady part. */
  private approach (recovery: Recovery, limit: number, slowness: number, nowMs: number): void {
    if (recovery.part >= limit) {
      this.fall(recovery, limit, 'slow answers', slowness, nowMs)
    } else {
      this.grow(recovery, limit, nowMs)
    }
  }

  private fall (recovery: Recovery, limit: number, reason: string, slowness: number | undefined, nowMs: number): void {
    const { part: before, server } = recovery
    const part = Math.min(before, Math.max(getLeastPart(server), limit, before * fallFactor))
    recovery.part = part
    // Counted at the least part as well: it tells the other gateways that the server is still slow.
    recovery.falls += 1
    recovery.fellMs = nowMs
    recovery.steppedMs = nowMs
    if (part === before) {
      return
    }
    this.meter.count('gateway_pace_falls_total', {})
    if (nowMs - recovery.fallLoggedMs >= fallLogPeriodMs) {
      recovery.fallLoggedMs = nowMs
      this.log.info('server pace reduced', {
        server: server.id,
        reason,
        part: Number(part.toFixed(3)),
        before: Number(before.toFixed(3)),
        slowness: slowness === undefined ? undefined : Number(slowness.toFixed(2)),
        falls: recovery.falls,
        sinceMs: Math.round(nowMs - recovery.returnedMs)
      })
    }
  }

  private finish (recovery: Recovery, reason: string, nowMs: number): void {
    recovery.end = { atMs: nowMs, isFull: reason === 'full' }
    this.usualTimes.replace(recovery.server.id, recovery.recentTimes)
    this.log.info('server recovery ended', {
      server: recovery.server.id,
      reason,
      part: Number(recovery.part.toFixed(3)),
      answers: recovery.answers,
      falls: recovery.falls,
      sinceMs: Math.round(nowMs - recovery.returnedMs)
    })
  }

  /** Returns what `getPart` and `isHeld` would, without a change of state. */
  private observePart (server: routing.RoutedServer, nowMs: number): ObservedPart {
    const find: RecoveryFinder = (id, atMs) => this.observeCurrent(id, atMs)
    const recovery = find(server.id, nowMs)
    if (recovery === undefined) {
      return { part: 1, isHeld: false }
    }
    const part = this.getRelativePart(recovery, nowMs, find)
    if (part < 1 && recovery.turns.isKnownUsedUp(this.getTurnMs(recovery, nowMs, find), nowMs)) {
      return { part: Math.min(part, heldPart), isHeld: true }
    }
    return { part: server.stage === undefined && recovery.turns.isUnused ? 1 : part, isHeld: false }
  }

  private observeCurrent (id: string, nowMs: number): Recovery | undefined {
    const recovery = this.recoveries.get(id)
    return recovery === undefined || recovery.end !== undefined || nowMs - recovery.returnedMs > longestRecoveryMs ||
      nowMs - recovery.answeredMs > unusedEndMs
      ? undefined
      : recovery
  }

  /** Returns the recovery of a server that is under way, after ending one that has lasted too long or is not used. */
  private findCurrent (id: string, nowMs: number): Recovery | undefined {
    const recovery = this.recoveries.get(id)
    if (recovery === undefined) {
      return undefined
    }
    if (recovery.end === undefined && nowMs - recovery.returnedMs > longestRecoveryMs) {
      this.finish(recovery, 'time limit', nowMs)
    } else if (recovery.end === undefined && nowMs - recovery.answeredMs > unusedEndMs) {
      this.finish(recovery, recovery.part < 1 ? 'no requests' : 'reported', nowMs)
    }
    if (recovery.end !== undefined && nowMs - recovery.end.atMs > endMemoryMs) {
      this.recoveries.delete(id)
    }
    return recovery.end === undefined ? recovery : undefined
  }

  /** Part relative to the server of the service with the largest one: where all have returned, they share the load as usual. */
  private getRelativePart (recovery: Recovery, nowMs: number, find: RecoveryFinder = (id, atMs) => this.findCurrent(id, atMs)): number {
    let largest = recovery.part
    for (const server of this.servers.listUsable(recovery.server.service, nowMs)) {
      if (server.stage === recovery.server.stage) {
        const part = find(server.id, nowMs)?.part
        if (part === undefined) {
          return recovery.part
        }
        largest = Math.max(largest, part)
      }
    }
    return recovery.part / largest
  }

  private hasUsedTurn (recovery: Recovery, part: number, nowMs: number): boolean {
    const { server, turns } = recovery
    const runs = Math.max(1, part * server.slots)
    return turns.isUsedUp(runs, this.gateways, this.getTraffic(server).rate.read(nowMs), this.getTurnMs(recovery, nowMs), nowMs)
  }

  private getTurnMs ({ server, recentTimes: { answer: recentMs } }: Recovery, nowMs: number, find?: RecoveryFinder): number {
    if (server.stage !== undefined) {
      return engineTurnMs
    }
    const usualMs = this.getUsualTime(server, 'answer', undefined, nowMs, find) ?? engineTurnMs
    return Math.min(engineTurnMs, Math.max(shortestTurnMs, usualMs, recentMs ?? 0))
  }

  /** Returns the worst of the times as a multiple of the usual one; 1 where nothing is known to compare with. */
  private measureSlowness (server: routing.RoutedServer, times: answerTimes.AnswerTimes, recovery: Recovery, nowMs: number): number {
    let worst = 0
    for (const [kind, value] of answerTimes.listUsable(times)) {
      const leastMs = kind === 'answer' || kind === 'first_event' ? leastUsualMs : 0
      worst = Math.max(worst, value / Math.max(leastMs, this.getUsualTime(server, kind, recovery, nowMs) ?? value))
    }
    return worst === 0 ? 1 : worst
  }

  /** Usual time of a server: the peers' or its own before, whichever is longer; otherwise the least time of the recovery. */
  private getUsualTime (
    server: routing.RoutedServer, kind: answerTimes.TimeKind, recovery: Recovery | undefined, nowMs: number,
    find: RecoveryFinder = (id, atMs) => this.findCurrent(id, atMs)
  ): number | undefined {
    const peers = this.servers.listUsable(server.service, nowMs)
      .filter(peer => peer.id !== server.id && find(peer.id, nowMs) === undefined)
    const peerMs = this.usualTimes.getPeerMedian(peers, kind)
    const ownMs = this.usualTimes.get(server.id, kind)
    if (peerMs !== undefined && ownMs !== undefined) {
      return Math.max(peerMs, ownMs)
    }
    return peerMs ?? ownMs ?? recovery?.leastTimes[kind]
  }

  /** Whether a server's times are in time by its own usual ones. */
  private isAsUsual (server: string, times: answerTimes.AnswerTimes): boolean {
    for (const [kind, value] of answerTimes.listUsable(times)) {
      if (value > inTimeFactor * (this.usualTimes.get(server, kind) ?? value)) {
        return false
      }
    }
    return true
  }

  private hasTraffic (service: string, nowMs: number): boolean {
    for (const [key, { answeredMs }] of this.traffic) {
      if (key.startsWith(`${service} `) && nowMs - answeredMs <= trafficMs) {
        return true
      }
    }
    return false
  }

  private getTraffic ({ service, stage }: routing.RoutedServer): ServiceTraffic {
    const key = `${service} ${stage ?? ''}`
    const found = this.traffic.get(key)
    if (found !== undefined) {
      return found
    }
    const created = { rate: new startTurns.StartRate(), answeredMs: -Infinity }
    this.traffic.set(key, created)
    return created
  }
}

/** The least part of a server: one run at all gateways together. */
function getLeastPart ({ slots }: routing.RoutedServer): number {
  return 1 / slots
}

/** Whether a load report says that the server has more work than it can take. */
function isOverloaded (load: types.ReportedLoad | undefined): boolean {
  return load !== undefined && load.waiting > 0 && load.running >= load.slots
}

function isValid ([bornMs, returnAgeMs, falls, part, answerAgeMs]: messages.PaceStatement): boolean {
  return bornMs >= 0 && returnAgeMs >= 0 && Number.isSafeInteger(falls) && falls >= 0 && part > 0 && part <= 1 && answerAgeMs >= 0
}
