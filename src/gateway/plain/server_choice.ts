/**
 * The choice of a server for a call of a plain service: by the expected time until the answer where the servers of the service have
 * lately reported their slowness, otherwise by load as `plain_choice.ts` does.
 */
import * as capacityParts from '../pace/capacity_parts.js'
import * as healths from '../server_health.js'
import * as host from '../../host/types.js'
import * as plainChoices from './plain_choice.js'
import * as routing from '../../contracts/routing.js'
import * as serverLoads from './server_loads.js'
import * as timedChoices from './expected_time_choice.js'
import * as types from '../types.js'

/** Time for which a service stays chosen by expected time while none of the servers that can take a call has reported its slowness, in milliseconds. */
const holdMs = 5_000

/** A chosen server, with the expected time at it if the choice was made by that. */
export interface ChosenServer {
  readonly kind: 'chosen'
  readonly server: routing.RoutedServer
  readonly estimate: timedChoices.Estimate | undefined
}

export type ServerVerdict = ChosenServer | Exclude<timedChoices.TimedVerdict, { readonly kind: 'chosen' }>

/** How the server of a call would be chosen: by load, the lowest score first, or drawn by the expected time. */
export type InspectedChoice =
  | { readonly by: 'load', readonly rated: plainChoices.RatedServers }
  | {
    readonly by: 'expected_time'
    readonly ranked: timedChoices.RankedCandidates
    readonly getScaleMs: (candidate: timedChoices.Candidate) => number
    /** When the caller of a call that is late at each server would be told to come back, in milliseconds. */
    readonly lateReturnMs: number | undefined
  }

/** How a call at a server ended, as far as the choice of servers is concerned. */
export interface CallEnd {
  readonly startedMs: number
  /** Load that the answer reports. */
  readonly load: types.ReportedLoad | undefined
  /** `refused`: by the server itself, as not run; `other`: an error or a lost connection. Their times say nothing about the server's speed. */
  readonly kind: 'answered' | 'silent' | 'refused' | 'other'
}

export class ServerChoice {
  private readonly byLoad: plainChoices.PlainChoice
  private readonly byTime: timedChoices.ExpectedTimeChoice
  /** Services whose servers are chosen by expected time, with the time when one of the servers was last known to report its slowness. */
  private readonly timedServices = new Map<string, number>()

  constructor (
    private readonly zone: string,
    health: healths.ServerHealth,
    private readonly loads: serverLoads.ServerLoads,
    random: host.Random,
    private readonly log: host.Log,
    private readonly parts: capacityParts.CapacityParts = new capacityParts.FullCapacity()
  ) {
    this.byLoad = new plainChoices.PlainChoice(zone, health, parts)
    this.byTime = new timedChoices.ExpectedTimeChoice(zone, health, loads, random, parts)
  }

  /** Number of services whose servers are chosen by expected time. */
  get timedCount (): number {
    return this.timedServices.size
  }

  setOtherGateways (count: number): void {
    this.byTime.setOtherGateways(count)
  }

  /** Chooses a server for a call; `tieBreaker` is from 0 to 1. */
  choose (call: timedChoices.PlainCall, nowMs: number, tieBreaker: number): ServerVerdict {
    if (this.updateActivity(call.servers, nowMs)) {
      const verdict = this.byTime.choose(call, nowMs)
      return verdict.kind === 'chosen' ? { kind: 'chosen', server: verdict.estimate.server, estimate: verdict.estimate } : verdict
    }
    const server = this.byLoad.choose(call.servers, call.excluded, call.isRepeatable, nowMs, tieBreaker)
    return server === undefined ? { kind: 'none' } : { kind: 'chosen', server, estimate: undefined }
  }

  /** Returns how the server of a call would be chosen now. Changes nothing and draws no random number. */
  inspect (call: timedChoices.PlainCall, nowMs: number): InspectedChoice {
    const parts = this.parts.observe()
    const service = call.servers[0]?.service
    if (service !== undefined && this.isTimed(service, this.loads.isActive(call.servers, nowMs), nowMs)) {
      const ranked = this.byTime.rank(call, nowMs, parts)
      return {
        by: 'expected_time',
        ranked,
        getScaleMs: candidate => this.byTime.getScaleMs(candidate),
        lateReturnMs: ranked.late === undefined ? undefined : this.byTime.observeReturnMs(ranked.late, nowMs)
      }
    }
    return { by: 'load', rated: this.byLoad.rate(call.servers, call.excluded, call.isRepeatable, nowMs, parts) }
  }

  /** Returns the calls ahead at a server as the choice by load counts them. */
  getQueue (server: string, nowMs: number): serverLoads.QueueState {
    return this.byLoad.getQueue(server, nowMs)
  }

  isInOwnZone (server: routing.RoutedServer): boolean {
    return server.zone === this.zone
  }

  /** Records that a call is sent to a server. */
  start (server: string, nowMs: number): void {
    this.byLoad.start(server)
    this.loads.start(server, nowMs)
  }

  /**
   * Records the end of a call. The load that a signed answer reports has been recorded with that of the server's other answers; a
   * refusal may be unsigned, and is the first sign of a full server.
   */
  finish ({ server, estimate }: ChosenServer, { startedMs, load, kind }: CallEnd, nowMs: number): void {
    this.byLoad.finish(server.id, load, nowMs)
    this.loads.finish(server.id, startedMs)
    if (kind === 'refused' && load !== undefined) {
      this.loads.recordReport(server, load, nowMs)
    } else if (estimate !== undefined && kind === 'answered') {
      this.byTime.recordAnswer(estimate, nowMs - startedMs, nowMs)
    } else if (estimate !== undefined && kind === 'silent') {
      this.byTime.recordSilence(estimate, nowMs - startedMs, nowMs)
    }
  }

  forget (server: string): void {
    this.byLoad.forget(server)
    this.loads.forget(server)
  }

  /** Tells whether the servers are chosen by expected time; a change is logged. */
  private updateActivity (servers: readonly routing.RoutedServer[], nowMs: number): boolean {
    const service = servers[0]?.service
    if (service === undefined) {
      return false
    }
    const before = this.timedServices.get(service)
    const isActive = this.loads.isActive(servers, nowMs)
    const isTimed = this.isTimed(service, isActive, nowMs)
    if (isActive) {
      this.timedServices.set(service, nowMs)
    } else if (!isTimed && before !== undefined) {
      this.timedServices.delete(service)
    }
    if (isTimed !== (before !== undefined)) {
      this.log.info('choice of plain servers changed', { service, by: isTimed ? 'expected_time' : 'load', servers: servers.length })
    }
    return isTimed
  }

  private isTimed (service: string, isActive: boolean, nowMs: number): boolean {
    const before = this.timedServices.get(service)
    return isActive || (before !== undefined && nowMs - before <= holdMs)
  }
}
