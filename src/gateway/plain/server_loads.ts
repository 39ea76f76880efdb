/**
 * What all gateways know of the load of the servers: calls in flight, the newest load report of each server, and how its answer times
 * compare with those expected.
 *
 * Pattern: 20 to 28 gateways share 4 or 5 servers, so that each gateway gets about one answer a second from a server whose queue and speed
 * change several times a second. Each gateway reports what it has seen itself; the newest report of any gateway counts. A server may
 * report falsely, so the calls in flight are a lower bound of its queue, and measured answer times correct what it claims.
 *
 * Performs no input or output.
 */
import * as host from '../../host/types.js'
import * as messages from '../peer_messages.js'
import * as routing from '../../contracts/routing.js'
import * as types from '../types.js'

/** Time after which the state of another gateway no longer counts, in milliseconds. */
const peerExpiryMs = 2_000
/** Age after which a reported queue is ignored, in milliseconds: the calls in it have been answered since. */
const reportExpiryMs = 500
/** Time constant with which the influence of a reported slowness decays, in milliseconds: VMs are slow for some 600 ms at a time. */
const slownessDecayMs = 400
/** Age after which a reported slowness is ignored, in milliseconds. */
const slownessExpiryMs = 1_000
/** Range in which a reported slowness is believed, wide enough for VMs that are 2.5 times slower; answer times correct it beyond. */
const leastSlowness = 0.5
const greatestSlowness = 3
/** Time for which a service counts as reporting slowness after the last report, in milliseconds: longer than pauses between its calls. */
const activeMs = 10_000
/** Figures of a load report above this are absurd: no server holds as many calls. */
const greatestCount = 10_000
/**
 * Calls that a report may show beyond those that the gateways have in flight, as a multiple of the slots. A server that falsely claims to be
 * full and slow still gets a few calls, whose times disprove it.
 */
const unexplainedPart = 2
/** Time constant of the decay of measured answer times, in milliseconds: two slow phases of a VM. */
const measureDecayMs = 1_200
/** Answers assumed to have come as expected, so that a single slow answer has little effect. */
const assumedAnswers = 3
/** Range of one answer's time relative to the expected one: one call that hangs has a bounded effect. */
const leastRatio = 0.25
const greatestRatio = 8
/** Least deviation from the usual speed that is reported of a server without calls in flight. */
const notableSlowness = 0.1
/** Weight of measured answers below which they are not reported. */
const leastReportedWeight = 0.3
/** Limit on the servers in one message to another gateway, and in one that is read. */
export const maximumReportedServers = 64
/** Shortest time between two log lines on ignored figures of a server, and the most servers that are remembered for it. */
const ignoredLogPeriodMs = 60_000
const maximumIgnoredServers = 256

/** A load report of a server, as of a time on the monotonic clock in milliseconds. */
interface Report {
  readonly running: number
  readonly waiting: number
  /** Undefined if the report has no valid fourth figure. */
  readonly slowness: number | undefined
  readonly atMs: number
}

/** Sums over the measured answers, which decay exponentially: their number, and that of their times relative to the expected ones. */
type Measured = readonly [answers: number, ratios: number]

const noneMeasured: Measured = [0, 0]

interface OwnLoad {
  /** When each call in flight was sent. */
  readonly starts: number[]
  report: Report | undefined
  measured: Measured
  measuredMs: number
  isEngine: boolean
}

interface PeerLoad {
  readonly inFlight: number
  readonly report: Report | undefined
  readonly measured: Measured
}

interface Peer {
  readonly asOfMs: number
  readonly loads: ReadonlyMap<string, PeerLoad>
}

/** The estimated queue of a server. */
export interface QueueState {
  /** Calls at the server, running and waiting. */
  readonly ahead: number
  /** Age of the report that was used, in milliseconds; undefined if there is none. */
  readonly reportAgeMs: number | undefined
}

/** What is known of a server. */
export interface ServerState {
  readonly queue: QueueState
  /** Factor by which work takes longer than usual, by the server's reports. */
  readonly slowness: number
  /** Factor by which its answers take longer than expected from its reports, as all gateways measured it. */
  readonly measured: number
}

export class ServerLoads {
  private readonly own = new Map<string, OwnLoad>()
  private readonly peers = new Map<string, Peer>()
  /** When the fourth figure was last reported, by server. */
  private readonly slownessSeen = new Map<string, number>()
  private readonly ignoredLogged = new Map<string, number>()

  constructor (private readonly log: host.Log) {}

  /** Records that a call is sent to a server. */
  start (server: string, nowMs: number): void {
    this.getOwn(server).starts.push(nowMs)
  }

  /** Records the end of a call that was sent at a time. */
  finish (server: string, startedMs: number): void {
    const starts = this.own.get(server)?.starts ?? []
    const index = starts.indexOf(startedMs)
    if (index >= 0) {
      starts.splice(index, 1)
    }
  }

  /** Records the load report of an answer. Returns false if figures of it are ignored. */
  recordReport (server: routing.RoutedServer, load: types.ReportedLoad, nowMs: number): boolean {
    const isValid = isCount(load.running) && isCount(load.waiting)
    if (!isValid || load.hasInvalidSlowness === true) {
      this.logIgnored(server.id, load, nowMs)
    }
    if (isValid) {
      const own = this.getOwn(server.id)
      own.isEngine = server.stage !== undefined
      own.report = { running: load.running, waiting: load.waiting, slowness: load.slowness, atMs: nowMs }
      this.noteSlowness(server.id, own.report)
    }
    return isValid && load.hasInvalidSlowness !== true
  }

  /** Records the time of an answer relative to the expected time. */
  recordMeasured (server: string, ratio: number, nowMs: number): void {
    const own = this.own.get(server)
    if (own === undefined) {
      return
    }
    const [answers, ratios] = decay(own.measured, nowMs - own.measuredMs)
    own.measured = [answers + 1, ratios + Math.min(greatestRatio, Math.max(leastRatio, ratio))]
    own.measuredMs = nowMs
  }

  /** Tells whether a server of the list has lately reported its slowness, to any gateway. */
  isActive (servers: readonly routing.RoutedServer[], nowMs: number): boolean {
    return this.slownessSeen.size > 0 && servers.some(({ id }) => this.hasSlowness(id, nowMs))
  }

  /** Returns what is known of a server with a number of slots, from all gateways. */
  read (server: string, slots: number, nowMs: number): ServerState {
    const load = this.sumLoads(server, nowMs)
    return {
      queue: estimateQueue(load, this.own.get(server)?.starts ?? [], slots, nowMs),
      slowness: estimateSlowness(load.report, nowMs),
      measured: (assumedAnswers + load.measured[1]) / (assumedAnswers + load.measured[0])
    }
  }

  /**
   * Factor by which work takes longer at a server than usual, from its newest report to any gateway; 1 if none is known or it is old.
   * The deviation from 1 decays with the age of the report. The factor is the server's own claim.
   */
  getSlowness (server: string, nowMs: number): number {
    return estimateSlowness(this.sumLoads(server, nowMs).report, nowMs)
  }

  /** Number of servers whose slowness by their reports is notable now. */
  countSlow (nowMs: number): number {
    let count = 0
    for (const server of this.slownessSeen.keys()) {
      count += this.getSlowness(server, nowMs) >= 1 + notableSlowness ? 1 : 0
    }
    return count
  }

  /** Returns what this gateway has seen of servers that report slowness; undefined if there is nothing to report. */
  listReported (nowMs: number): Record<string, messages.PlainStatement> | undefined {
    return createStatements(this.collectOwn(nowMs), nowMs)
  }

  /** Returns what this gateway and the named ones have seen; undefined if there is nothing to report. */
  aggregate (names: readonly string[], nowMs: number): Record<string, messages.PlainStatement> | undefined {
    const sums = this.collectOwn(nowMs)
    for (const name of names) {
      const peer = this.getPeer(name, nowMs)
      for (const [server, load] of peer?.loads ?? []) {
        sums.set(server, addLoads(sums.get(server), age(load, nowMs - (peer?.asOfMs ?? nowMs))))
      }
    }
    return createStatements(sums, nowMs)
  }

  /** Replaces the state of another gateway, or the aggregate of another zone, as of a time. A gateway of the previous version reports none. */
  updatePeer (name: string, reported: Readonly<Record<string, messages.PlainStatement>> | undefined, asOfMs: number, nowMs: number): void {
    const loads = new Map<string, PeerLoad>()
    for (const [server, statement] of Object.entries(reported ?? {}).slice(0, maximumReportedServers)) {
      const load = readStatement(statement, Math.min(asOfMs, nowMs))
      if (load === undefined) {
        this.logIgnored(server, { teller: name }, nowMs)
        continue
      }
      loads.set(server, load)
      if (load.report !== undefined) {
        this.noteSlowness(server, load.report)
      }
    }
    if (loads.size === 0) {
      this.peers.delete(name)
    } else {
      this.peers.set(name, { asOfMs: Math.min(asOfMs, nowMs), loads })
    }
  }

  /** Drops the state of gateways that are no longer members; zones and members stay. */
  retainPeers (isKept: (name: string) => boolean): void {
    for (const name of this.peers.keys()) {
      if (!isKept(name)) {
        this.peers.delete(name)
      }
    }
  }

  /** Drops the state received under a name. */
  forgetPeer (name: string): void {
    this.peers.delete(name)
  }

  /** Drops a server that has been removed. Calls that are still in flight there end without effect. */
  forget (server: string): void {
    this.own.delete(server)
    this.slownessSeen.delete(server)
    this.ignoredLogged.delete(server)
  }

  private getOwn (server: string): OwnLoad {
    const found = this.own.get(server)
    if (found !== undefined) {
      return found
    }
    const created: OwnLoad = { starts: [], report: undefined, measured: noneMeasured, measuredMs: 0, isEngine: false }
    this.own.set(server, created)
    return created
  }

  private getPeer (name: string, nowMs: number): Peer | undefined {
    const peer = this.peers.get(name)
    return peer === undefined || nowMs - peer.asOfMs > peerExpiryMs ? undefined : peer
  }

  /** Returns the sum of what this and all other gateways know of a server, aged to the current time. */
  private sumLoads (server: string, nowMs: number): PeerLoad {
    const own = this.own.get(server)
    let inFlight = own?.starts.length ?? 0
    let report = own?.report
    let [answers, ratios] = own === undefined ? noneMeasured : decay(own.measured, nowMs - own.measuredMs)
    for (const { asOfMs, loads } of this.peers.values()) {
      const load = nowMs - asOfMs > peerExpiryMs ? undefined : loads.get(server)
      if (load !== undefined) {
        inFlight += load.inFlight
        report = pickNewer(report, load.report)
        const factor = load.measured[0] === 0 ? 0 : getDecayFactor(nowMs - asOfMs)
        answers += load.measured[0] * factor
        ratios += load.measured[1] * factor
      }
    }
    return { inFlight, report, measured: [answers, ratios] }
  }

  private noteSlowness (server: string, { slowness, atMs }: Report): void {
    if (slowness !== undefined) {
      this.slownessSeen.set(server, Math.max(atMs, this.slownessSeen.get(server) ?? -Infinity))
    }
  }

  private hasSlowness (server: string, nowMs: number): boolean {
    return nowMs - (this.slownessSeen.get(server) ?? -Infinity) <= activeMs
  }

  /** Returns what this gateway has seen of servers that report slowness, without idle servers and engines at their usual speed. */
  private collectOwn (nowMs: number): Map<string, PeerLoad> {
    const collected = new Map<string, PeerLoad>()
    for (const server of this.slownessSeen.keys()) {
      if (!this.hasSlowness(server, nowMs)) {
        this.slownessSeen.delete(server)
      }
    }
    if (this.slownessSeen.size === 0) {
      return collected
    }
    for (const [server, { starts, report, measured, measuredMs, isEngine }] of this.own) {
      if (!this.slownessSeen.has(server)) {
        continue
      }
      const load: PeerLoad = {
        inFlight: starts.length,
        report: report === undefined || nowMs - report.atMs > slownessExpiryMs ? undefined : report,
        measured: decay(measured, nowMs - measuredMs)
      }
      const isNotable = Math.abs((load.report?.slowness ?? 1) - 1) >= notableSlowness
      const isBusy = load.inFlight > 0 || load.measured[0] >= leastReportedWeight || load.report !== undefined
      if (isNotable || (isBusy && !isEngine)) {
        collected.set(server, load)
      }
    }
    return collected
  }

  private logIgnored (server: string, fields: host.LogFields | types.ReportedLoad, nowMs: number): void {
    const isLogged = nowMs - (this.ignoredLogged.get(server) ?? -Infinity) < ignoredLogPeriodMs
    if (isLogged || (this.ignoredLogged.size >= maximumIgnoredServers && !this.ignoredLogged.has(server))) {
      return
    }
    this.ignoredLogged.set(server, nowMs)
    this.log.warn('load report ignored', { server, ...fields })
  }
}

function isCount (value: number): boolean {
  return value >= 0 && value <= greatestCount
}

function estimateQueue ({ inFlight, report }: PeerLoad, starts: readonly number[], slots: number, nowMs: number): QueueState {
  if (report === undefined || nowMs - report.atMs > reportExpiryMs) {
    return { ahead: inFlight, reportAgeMs: undefined }
  }
  let sentSince = 0
  for (const startedMs of starts) {
    sentSince += startedMs > report.atMs ? 1 : 0
  }
  const unexplained = Math.min(unexplainedPart * slots, report.running + report.waiting + sentSince - inFlight)
  return { ahead: inFlight + Math.max(0, unexplained), reportAgeMs: nowMs - report.atMs }
}

function estimateSlowness (report: Report | undefined, nowMs: number): number {
  const ageMs = Math.max(0, nowMs - (report?.atMs ?? -Infinity))
  if (report?.slowness === undefined || ageMs > slownessExpiryMs) {
    return 1
  }
  const claimed = Math.min(greatestSlowness, Math.max(leastSlowness, report.slowness))
  return 1 + (claimed - 1) * Math.exp(-ageMs / slownessDecayMs)
}

function getDecayFactor (elapsedMs: number): number {
  return Math.exp(-Math.max(0, elapsedMs) / measureDecayMs)
}

function decay ([answers, ratios]: Measured, elapsedMs: number): Measured {
  const factor = getDecayFactor(elapsedMs)
  return [answers * factor, ratios * factor]
}

function age (load: PeerLoad, elapsedMs: number): PeerLoad {
  return { ...load, measured: decay(load.measured, elapsedMs) }
}

function pickNewer (a: Report | undefined, b: Report | undefined): Report | undefined {
  return a === undefined || (b !== undefined && b.atMs > a.atMs) ? b : a
}

function addLoads (a: PeerLoad | undefined, b: PeerLoad): PeerLoad {
  return a === undefined
    ? b
    : {
        inFlight: a.inFlight + b.inFlight,
        report: pickNewer(a.report, b.report),
        measured: [a.measured[0] + b.measured[0], a.measured[1] + b.measured[1]]
      }
}

/** Encodes the loads for a message; those with the most calls in flight if there are too many. */
function createStatements (loads: ReadonlyMap<string, PeerLoad>, nowMs: number): Record<string, messages.PlainStatement> | undefined {
  const listed = [...loads]
  if (listed.length > maximumReportedServers) {
    listed.sort(([, a], [, b]) => b.inFlight - a.inFlight)
  }
  const statements: Record<string, messages.PlainStatement> = {}
  for (const [server, { inFlight, report, measured: [answers, ratios] }] of listed.slice(0, maximumReportedServers)) {
    const sums = [inFlight, round(answers), round(ratios)] as const
    statements[server] = report === undefined
      ? [...sums]
      : [...sums, Math.round(nowMs - report.atMs), report.running, report.waiting, Math.round((report.slowness ?? 0) * 100)]
  }
  return listed.length === 0 ? undefined : statements
}

/** Decodes what another gateway reports of a server; undefined if a figure is absurd. */
function readStatement (statement: messages.PlainStatement, asOfMs: number): PeerLoad | undefined {
  const [inFlight = 0, answers = 0, ratios = 0, ageMs, running = 0, waiting = 0, slownessPercent = 0] = statement
  if (![inFlight, answers, ratios, ageMs ?? 0, running, waiting, slownessPercent].every(value => value >= 0) ||
    !isCount(inFlight) || !isCount(running) || !isCount(waiting) || !isCount(answers) || ratios > answers * greatestRatio + 1) {
    return undefined
  }
  const report = ageMs === undefined
    ? undefined
    : { running, waiting, slowness: slownessPercent === 0 ? undefined : slownessPercent / 100, atMs: asOfMs - ageMs }
  return { inFlight, report, measured: [answers, ratios] }
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}
