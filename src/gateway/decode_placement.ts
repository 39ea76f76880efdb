/**
 * Finds the decode server of a generation: capacity by this gateway's account, a permit where the server has a limit, and a
 * reservation at the server.
 */
import type * as capacityQueues from './queueing/capacity_queue.js'
import * as contexts from './context.js'
import * as exchanges from './exchange.js'
import * as failures from '../contracts/failure.js'
import type * as fleets from './engine_fleet.js'
import type * as permits from './permits.js'
import * as promptPrefills from './prompt_prefill.js'
import type * as queueings from './queueing/queueing.js'
import * as replies from './caller_reply.js'
import * as routing from '../contracts/routing.js'
import * as types from './types.js'

/** Refused reservations after which a request fails. */
const maximumReservationRefusals = 8
/** Time-out of a reservation or release: covers a few round trips between zones. */
export const reservationTimeoutMs = 120
/** Validity of a reservation beyond the expected prefill. */
const reservationMarginMs = 600
/** Time from the end of the prefill to the first event: transfer of the KV cache, first decode step, network back. */
const firstEventDelayMs = 60
/** How long a late caller waits for capacity, in parts of the time after which it gives up without an event. */
const lateWaitPart = 0.85
/** Retry time without capacity: roughly how long the runs of a full server take. */
export const capacityRetryMs = 3_000
/** Longest wait for a permit of a cold server once the prompt has been read, in milliseconds: what was read is kept for half a second by default. */
const maximumPermitWaitMs = 400
/** Memory that is committed for a run's output, in parts of the expected length: in a burst the peaks of runs coincide. */
const committedOutputPart = 0.9
/** Memory that a reservation requests, in the same parts: the engine must have it at once, while the run needs it gradually. */
const reservedOutputPart = 0.5

/** Number of servers with the fewest runs among which a trial's is drawn: trials of other gateways must not meet there. */
const trialServerChoices = 3
/** Time before the end of a request's wait from which it may go to a recovering server beyond that server's pace, in milliseconds: two checks of the queue. */
const paceWaitMarginMs = 50
/**
 * Longest wait for the pace of recovering servers, in parts of the latency goal: it costs callers little. A wait until the request
 * is nearly late makes it late when servers are slower than expected.
 */
const longestPaceWaitPart = 1 / 8

/** Times that decide how long a generation may wait for capacity, on the monotonic clock or as a duration, in milliseconds. */
export interface WaitTimes {
  readonly arrivedMs: number
  readonly firstAttemptMs: number
  readonly goalMs: number
  /** Time without an event after which the caller gives up. */
  readonly patienceMs: number
  readonly remainingMs: number
}

export type Queueing = Pick<capacityQueues.Waiter, 'latestMs' | 'isLate'>

/** A decode server with what has been reserved there. */
export interface Placement {
  readonly server: routing.RoutedServer
  readonly reservation: string | undefined
  readonly permit: permits.PermitSource
  /** When the permit was taken, on the monotonic clock, in milliseconds. */
  readonly permitMs: number
}

export type PlacementResult = { readonly place: Placement } | { readonly failure: failures.Failure }

export class DecodePlacement extends exchanges.RequestScope {
  /** Whether the request is a trial of a suspected prompt, whose server may end. */
  private isTrial = false
  private isIsolated = false
  /** Decode servers that were to keep memory free for more urgent generations at the latest choice. */
  private headroomServers = 0
  /** Whether the request was last held back although there may be memory. */
  private isHeldBack = false
  /** Whether a log line and a counter have told that its prompt was held back. */
  private hasHeldPrompt = false
  private isRefusedEarly = false

  constructor (
    context: contexts.GatewayContext,
    request: exchanges.AdmittedRequest,
    reply: replies.CallerReply,
    private readonly expectedOutput: number,
    /** Time without an event after which the caller gives up, in milliseconds. */
    private readonly patienceMs: number
  ) {
    super(context, request, reply)
  }

  /** Number of times that a server was passed over because of its limit; undefined for none. */
  get passedOverCount (): number | undefined {
    return this.passedOver === 0 ? undefined : this.passedOver
  }

  private get sizes (): types.GenerationSizes {
    return promptPrefills.getSizes(this.request.arrival)
  }

  /** Memory that the gateway commits for the run when it picks a server. */
  private get committedTokens (): number {
    return this.countBlockTokens(committedOutputPart)
  }

  /** Memory that is reserved at the engine, in tokens. */
  private get reservedTokens (): number {
    return this.countBlockTokens(reservedOutputPart)
  }

  /** Whether requests for the service are ordered by urgency and workspace over all gateways. */
  private get isContested (): boolean {
    return this.request.urgency !== undefined
  }

  /** 0 is the most urgent; ranks of one service compare at all gateways. */
  private get rank (): number {
    return this.request.priority
  }

  /** Tokens that count against the workspace's limit. */
  private get chargedTokens (): number {
    return this.sizes.promptTokens + this.sizes.maximumOutputTokens
  }

  /**
   * Reserves capacity at a decode server, at once or as soon as there is some while the caller can still be served in time. A trial
   * goes to the server with the fewest runs, which gets no other work until the trial's answer has begun.
   */
  async reserve (isTrial = false): Promise<PlacementResult> {
    this.isTrial = isTrial
    let refused = 0
    while (true) {
      const server = await this.awaitCapacity()
      if (server === undefined) {
        return { failure: this.createNoCapacityFailure(refused) }
      }
      const permit = await this.takePermit(server)
      if (permit === undefined) {
        this.context.fleet.releaseDecode(this.request.serial)
        if (this.reply.isGone || this.now() >= this.planQueueing().latestMs) {
          return { failure: this.createNoCapacityFailure(refused) }
        }
        continue
      }
      if (permit !== 'none' && !this.context.permits.isCold(server)) {
        // A reservation would use up a second request of the limit. Cold servers take more than that, and a prompt is not to be read in vain.
        return { place: { server, reservation: undefined, permit, permitMs: this.now() } }
      }
      const reserved = await this.reserveAt(server)
      if (reserved.kind === 'taken') {
        return { place: { server, reservation: reserved.reservation, permit, permitMs: this.now() } }
      }
      this.context.permits.giveBack(server, permit)
      refused += 1
      this.context.fleet.releaseDecode(this.request.serial)
      if (this.reply.isGone || refused >= maximumReservationRefusals) {
        return { failure: this.createNoCapacityFailure(refused) }
      }
    }
  }

  private createNoCapacityFailure (refused: number): failures.Failure {
    const servers = this.listReady()
    if (this.areAllLimited(servers) && (this.passedOver > 0 || this.estimatePermitWaitMs(servers) > 0)) {
      return this.createLimitFailure(this.estimatePermitWaitMs(servers))
    }
    const retryAfterMs = this.isContested ? this.scheduleReturn() : capacityRetryMs
    this.log('no decode capacity', {
      ...this.describeContention(retryAfterMs),
      service: this.request.service.name,
      neededTokens: this.committedTokens,
      headroomServers: this.request.urgency === undefined ? undefined : this.headroomServers,
      refusals: refused,
      waiting: this.context.capacityQueue.length,
      askedBeforeMs: this.request.arrivedMs - this.request.firstAttemptMs,
      waitedMs: Math.round(this.now() - this.request.arrivedMs)
    })
    return servers.length > 0
      ? failures.createFailure('not_run', 'target_unreachable', [this.request.route.goalMs, this.request.route.goalMs], retryAfterMs)
      : this.createNoServerFailure(promptPrefills.noServerRetryMs)
  }

  /** Commits the load to the best server with capacity, waiting for one while the goal can still be met. */
  private awaitCapacity (): Promise<routing.RoutedServer | undefined> {
    const { capacityQueue: rooms, queueing } = this.context
    const { isContested } = this
    const plan = isContested ? this.planQueueing() : undefined
    const mustQueue = isContested && rooms.hasClaimants(this.request.service.name)
    const committed = mustQueue ? undefined : this.tryPlace(plan)
    if (committed !== undefined && isContested) {
      queueing.shares.recordGiven(this.request.workspace ?? '', this.chargedTokens, this.now())
    }
    const servers = this.listReady()
    if (committed !== undefined || this.reply.hasStarted || servers.length === 0) {
      return Promise.resolve(committed)
    }
    if (this.areAllLimited(servers) && this.now() + this.estimatePermitWaitMs(servers) > (plan ?? this.planQueueing()).latestMs) {
      return Promise.resolve(undefined)
    }
    return new Promise(resolve => {
      let server: routing.RoutedServer | undefined
      const leave = (): void => {
        rooms.remove(this.request.serial)
        resolve(undefined)
      }
      this.reply.gone.addEventListener('abort', leave, { once: true })
      rooms.add({
        id: this.request.serial,
        priority: this.rank,
        expectedOutputTokens: this.expectedOutput,
        sinceMs: this.request.firstAttemptMs,
        ...plan ?? this.planQueueing(),
        claim: plan === undefined ? undefined : this.createClaim(plan),
        tryReserve: () => {
          server = this.tryPlace(plan)
          return server !== undefined
        },
        settle: () => {
          this.reply.gone.removeEventListener('abort', leave)
          resolve(server)
        }
      })
      rooms.dispatch(this.now())
    })
  }

  /** Tells whether each server that can decode has a limit. */
  private areAllLimited (servers: readonly routing.RoutedServer[]): boolean {
    const nowMs = this.now()
    const decodeServers = servers.filter(({ stage }) => stage === 'decode')
    return decodeServers.length > 0 && decodeServers.every(server => this.context.limits.getLimit(server, nowMs) !== undefined)
  }

  /** Estimates the time until the limits of the servers allow this request after those that are queued, in milliseconds. */
  private estimatePermitWaitMs (servers: readonly routing.RoutedServer[]): number {
    const { capacityQueue, permits: permitBook } = this.context
    const decodeServers = servers.filter(({ stage }) => stage === 'decode')
    const nextMs = Math.min(...decodeServers.map(server => permitBook.getWaitMs(server)))
    return nextMs + capacityQueue.length * 1000 / Math.max(permitBook.getSharePerSecond(decodeServers), Number.EPSILON)
  }

  /** Returns until when the request may be queued. A retry that is late in any case is not refused again while its caller still waits for the first event. */
  private planQueueing (): Queueing {
    const { arrivedMs, firstAttemptMs, route: { goalMs } } = this.request
    const prefillMs = this.estimatePrefillMs()
    return planWait({ arrivedMs, firstAttemptMs, goalMs, patienceMs: this.patienceMs, remainingMs: this.remainingMs() }, prefillMs)
  }

  /** Commits the load to the best server with capacity, unless the request is to let others go first; `plan` is for contested services. */
  private tryPlace (plan: Queueing | undefined): routing.RoutedServer | undefined {
    if (plan === undefined || this.isTrial) {
      return this.tryCommit()
    }
    this.isHeldBack = this.mustHoldPrompt(plan) || this.mustDefer()
    const server = this.isHeldBack ? undefined : this.tryCommit()
    if (server !== undefined) {
      const { fleet, queueing } = this.context
      const service = this.request.service.name
      queueing.forecast.recordRun(service, fleet.estimateIdlePrefillMs(this.sizes.promptTokens) + this.expectedOutput * fleet.getTokenIntervalMs(service))
    }
    return server
  }

  /** Tells whether the prompt of a request that is late in any case would be read ahead of others. */
  private mustHoldPrompt ({ isLate }: Queueing): boolean {
    if (!isLate) {
      return false
    }
    const { fleet, meter, permits: permitBook, queueing } = this.context
    const { promptTokens } = this.sizes
    const nowMs = this.now()
    const servers = permitBook.selectAvailable(this.listReady())
    const choice = fleet.choosePrefill(servers, promptTokens, new Set(), nowMs, undefined)
    const backlogTokens = choice === undefined ? 0 : fleet.getLoad(choice.server.id, nowMs).unread
    if (queueing.prefills.mayRead(isLate, promptTokens, backlogTokens)) {
      return false
    }
    if (!this.hasHeldPrompt) {
      this.hasHeldPrompt = true
      meter.count('gateway_prompts_held_total', {})
      this.log('late prompt held back', { service: this.request.service.name, server: choice?.server.id, backlogTokens, promptTokens })
    }
    return true
  }

  /** Tells whether free memory is left to a more urgent request that waits at another gateway. */
  private mustDefer (): boolean {
    const { queueing } = this.context
    return queueing.deferral.shouldDefer({
      id: this.request.arrival.id,
      service: this.request.service.name,
      rank: this.rank,
      countPlaces: tokens => this.countPlaces(tokens)
    }, queueing.gossipPeriodMs, this.now())
  }

  /** Returns how many requests that need so many tokens fit into the free memory. */
  private countPlaces (tokens: number): number {
    return countPlaces(this.listRooms(), tokens)
  }

  private listRooms (): readonly fleets.DecodeRoom[] {
    const { fleet, permits: permitBook } = this.context
    const { engine } = this.request.service
    return engine === undefined ? [] : fleet.listDecodeRooms(permitBook.selectAvailable(this.listReady()), engine, this.now())
  }

  private createClaim ({ latestMs }: Queueing): capacityQueues.Claim {
    const { arrivedMs, route, service, workspace } = this.request
    const memoryTokens = this.committedTokens
    return {
      service: service.name,
      workspace: workspace ?? '',
      tokens: this.chargedTokens,
      memoryTokens,
      arrivedMs,
      isUnservable: (aheadTokens, nowMs) => {
        if (this.isHeldBack) {
          return false
        }
        const waitMs = this.forecast(aheadTokens)?.waitMs
        this.isRefusedEarly = this.context.queueing.prefills.isUnservable({ arrivedMs, goalMs: route.goalMs, latestMs, waitMs }, nowMs)
        return this.isRefusedEarly
      }
    }
  }

  /** Returns the expected time until there is memory for the request behind others at this gateway, and the memory that becomes free in a millisecond, in tokens. */
  private forecast (aheadTokens: number): { readonly waitMs: number, readonly rate: number } | undefined {
    const { forecast } = this.context.queueing
    const { rank } = this
    const { name } = this.request.service
    const nowMs = this.now()
    const rate = forecast.getRate(name, () => this.listRooms().reduce((sum, { usedTokens }) => sum + usedTokens, 0), nowMs)
    if (rate === undefined) {
      return undefined
    }
    return { waitMs: forecastWait(this.context.queueing, name, rank, { neededTokens: this.committedTokens, aheadTokens }, rate, nowMs), rate }
  }

  /** Returns when the caller is to come back, by the memory that is expected to become free. */
  private scheduleReturn (): number {
    const { capacityQueue, meter, queueing } = this.context
    const { rank } = this
    const { name } = this.request.service
    let aheadTokens = 0
    for (const { claim, priority } of capacityQueue.listClaimants()) {
      aheadTokens += claim.service === name && priority <= rank ? claim.memoryTokens : 0
    }
    const expected = this.forecast(aheadTokens)
    const gateways = queueing.otherGateways + 1
    const retryAfterMs = queueing.returns.schedule({
      service: name,
      rank,
      waitMs: expected?.waitMs ?? Infinity,
      intervalMs: expected === undefined ? 0 : this.committedTokens * gateways / expected.rate,
      remainingMs: this.remainingMs()
    }, this.now())
    meter.observe('gateway_capacity_return_ms', {}, retryAfterMs)
    if (this.isRefusedEarly) {
      meter.count('gateway_refused_early_total', {})
    }
    return retryAfterMs
  }

  /** Returns the fields of a refusal that only contested services have. */
  private describeContention (retryAfterMs: number): Readonly<Record<string, string | number | boolean | undefined>> {
    if (!this.isContested) {
      return {}
    }
    const { demand, shares } = this.context.queueing
    const { rank } = this
    const { service: { name }, workspace } = this.request
    const elsewhere = demand.getElsewhere(name, rank, this.now())
    return {
      rank,
      isRefusedEarly: this.isRefusedEarly,
      retryAfterMs,
      waitingElsewhere: elsewhere.count,
      newsMs: Math.round(elsewhere.newsMs),
      workspace,
      workspaceUse: workspace === undefined ? undefined : Number(shares.getUse(workspace, this.now()).toFixed(3))
    }
  }

  private tryCommit (): routing.RoutedServer | undefined {
    const { fleet, pace, permits: permitBook } = this.context
    const profile = this.request.service.engine
    if (profile === undefined) {
      return undefined
    }
    const servers = permitBook.selectAvailable(this.listReady())
    const headroom = this.selectHeadroom(servers)
    let ranked = fleet.rankDecode(servers, profile, this.committedTokens, this.now(), { headroom })
    const isPaced = ranked.length === 0 && servers.some(server => pace.getPart(server, this.now()) < 1)
    if (isPaced && this.isLastChance()) {
      ranked = fleet.rankDecode(servers, profile, this.committedTokens, this.now(), { headroom, mayExceedPace: true })
    }
    if (this.isTrial) {
      return this.commitTrial(ranked, profile)
    }
    const [best] = ranked
    if (best !== undefined) {
      fleet.bookDecode(this.request.serial, best.id, this.committedTokens)
    }
    return best
  }

  /** Returns the memory to be left free for more urgent generations, by server. */
  private selectHeadroom (servers: readonly routing.RoutedServer[]): ReadonlyMap<string, number> | undefined {
    const { urgency, service } = this.request
    const selected = selectHeadroom(this.context, service.name, urgency, servers, this.now())
    if (urgency === undefined || selected === undefined) {
      return undefined
    }
    this.context.meter.gauge('gateway_headroom_servers', { service: service.name, level: String(urgency.level) }, selected.size)
    this.headroomServers = selected.size
    return selected
  }

  /** Whether the request may use recovering servers beyond their pace, which is no reason to refuse it or to make it late. */
  private isLastChance (): boolean {
    const { arrivedMs, route: { goalMs } } = this.request
    return this.reply.hasStarted || this.now() >= getPaceWaitEnd(arrivedMs, goalMs, this.planQueueing().latestMs)
  }

  /** Commits the whole memory of the server, which keeps other work away from it at all gateways; of one server at a time. */
  private commitTrial (servers: readonly routing.RoutedServer[], profile: routing.EngineProfile): routing.RoutedServer | undefined {
    const { fleet, guard, system } = this.context
    const nowMs = this.now()
    const emptiest = [...servers]
      .sort((a, b) => fleet.getLoad(a.id, nowMs).runs - fleet.getLoad(b.id, nowMs).runs)
      .slice(0, trialServerChoices)
    const server = emptiest[system.random.nextInteger(Math.max(1, emptiest.length))]
    if (server !== undefined) {
      this.isIsolated ||= guard.tryIsolate()
      fleet.bookDecode(this.request.serial, server.id, this.isIsolated ? profile.memoryTokens : this.committedTokens)
    }
    return server
  }

  /** Ends the isolation of a trial whose answer has begun at a server. */
  endIsolation (server: string): void {
    if (this.isIsolated) {
      this.releaseIsolation()
      this.context.fleet.bookDecode(this.request.serial, server, this.committedTokens)
      this.context.capacityQueue.dispatch(this.now())
    }
  }

  /** Lets other trials of this gateway be isolated. */
  releaseIsolation (): void {
    if (this.isIsolated) {
      this.isIsolated = false
      this.context.guard.endIsolation()
    }
  }

  private estimatePrefillMs (): number {
    const { fleet, permits: permitBook } = this.context
    const servers = permitBook.selectAvailable(this.listReady())
    return fleet.choosePrefill(servers, this.sizes.promptTokens, new Set(), this.now(), undefined)?.readyMs ?? 0
  }

  private async reserveAt (server: routing.RoutedServer): Promise<{ readonly kind: 'taken', readonly reservation: string } | { readonly kind: 'refused' }> {
    const { dialect, health, pool } = this.context
    const ttlMs = Math.min(this.request.service.engine?.maximumHoldMs ?? reservationMarginMs, this.estimatePrefillMs() * 2 + reservationMarginMs)
    const outcome = await pool.call(server, dialect.writeReservationRequest(server, this.reservedTokens, ttlMs), reservationTimeoutMs)
    if (outcome.kind !== 'answered') {
      const isPaused = health.record(server.id, outcome.kind === 'unsent' ? 'unreachable' : 'silent', this.now())
      this.log('reservation refused', { server: server.id, reason: outcome.reason, leftOut: isPaused })
      return { kind: 'refused' }
    }
    const hold = outcome.status === 200 ? dialect.readReservation(outcome.body) : undefined
    if (hold?.isRight() === true) {
      return { kind: 'taken', reservation: hold.unsafeCoerce() }
    }
    this.context.fleet.recordRefusal(server.id, promptPrefills.fullServerExclusionMs, this.now())
    this.context.pace.recordRefusal(server, this.now())
    this.context.meter.count('gateway_room_refused_total', {})
    this.log('reservation refused', { server: server.id, status: outcome.status, neededTokens: this.reservedTokens })
    return { kind: 'refused' }
  }

  /**
   * Returns the placement with a permit that may be used now; undefined if none is to be had soon. Only cold servers need another permit
   * than that of the placement: it is older than the prefill took, or the server has turned cold meanwhile.
   */
  async renewPermit (place: Placement): Promise<Placement | undefined> {
    const { directory, permits: permitBook, system } = this.context
    const untilMs = Math.min(this.now() + maximumPermitWaitMs, this.request.deadlineMs)
    if (permitBook.isUsable(place.server, place.permit, place.permitMs)) {
      return place
    }
    permitBook.giveBack(place.server, place.permit)
    for (;;) {
      const verdict = await permitBook.take(place.server)
      if (verdict.kind === 'granted') {
        return { ...place, permit: verdict.source, permitMs: this.now() }
      }
      if (this.reply.isGone || directory.isEvacuated(place.server) || this.now() + verdict.waitMs > untilMs) {
        return undefined
      }
      await system.clock.sleep(Math.max(1, verdict.waitMs))
    }
  }

  /** Releases what was reserved at a server and not used. */
  release (place: Placement | undefined): void {
    this.context.fleet.releaseDecode(this.request.serial)
    if (place !== undefined) {
      this.context.permits.giveBack(place.server, place.permit)
    }
    if (place?.reservation !== undefined) {
      this.releaseAt(place.server, this.context.dialect.writeReservationRelease(place.server, place.reservation), reservationTimeoutMs)
        .catch((error: unknown) => this.log('reservation not released', { server: place.server.id, reason: String(error) }))
    }
    this.context.capacityQueue.dispatch(this.now())
  }

  /** Returns the memory for the prompt and a part of the expected output, in tokens of whole blocks. */
  private countBlockTokens (outputPart: number): number {
    return countBlockTokens(this.sizes.promptTokens, this.expectedOutput, outputPart)
  }
}

function countBlockTokens (promptTokens: number, expectedOutput: number, outputPart: number): number {
  return Math.ceil((promptTokens + expectedOutput * outputPart) / promptPrefills.blockTokens + 1) * promptPrefills.blockTokens
}

/** Returns the memory that a gateway commits for a run when it picks a server, in tokens. */
export function countCommittedTokens (promptTokens: number, expectedOutput: number): number {
  return countBlockTokens(promptTokens, expectedOutput, committedOutputPart)
}

/** Returns how many requests that need so many tokens fit into the free memory. */
export function countPlaces (rooms: readonly fleets.DecodeRoom[], tokens: number): number {
  let places = 0
  for (const { freeTokens, freeSlots } of rooms) {
    places += Math.max(0, Math.min(freeSlots, Math.floor(freeTokens / tokens)))
  }
  return places
}

/** Returns the expected time until there is memory for a request behind others, in milliseconds, where `rate` tokens become free in a millisecond. */
export function forecastWait (
  { demand, forecast }: Pick<queueings.Queueing, 'demand' | 'forecast'>, service: string, rank: number,
  { neededTokens, aheadTokens }: { readonly neededTokens: number, readonly aheadTokens: number }, rate: number, nowMs: number
): number {
  const urgentTokens = demand.getElsewhere(service, rank - 1, nowMs).tokens
  const equalTokens = demand.getElsewhere(service, rank, nowMs).tokens - urgentTokens
  return forecast.estimateWaitMs(neededTokens, { ownTokens: aheadTokens, urgentTokens, equalTokens }, rate)
}

/** Returns until when a request may be queued, with the estimated time of its prefill in milliseconds. */
export function planWait ({ arrivedMs, firstAttemptMs, goalMs, patienceMs, remainingMs }: WaitTimes, prefillMs: number): Queueing {
  const startMarginMs = firstEventDelayMs + prefillMs
  const inTimeMs = firstAttemptMs + goalMs - startMarginMs
  return inTimeMs > arrivedMs || firstAttemptMs === arrivedMs
    ? { latestMs: inTimeMs, isLate: false }
    : { latestMs: arrivedMs + Math.min(patienceMs, remainingMs) * lateWaitPart - startMarginMs, isLate: true }
}

/** Returns when a request that waits for the pace of recovering servers may use them beyond it, on the monotonic clock, in milliseconds. */
export function getPaceWaitEnd (arrivedMs: number, goalMs: number, latestMs: number): number {
  return Math.min(arrivedMs + goalMs * longestPaceWaitPart, latestMs - paceWaitMarginMs)
}

/** Returns the memory that a generation leaves free for more urgent ones, by server; undefined if there are none. */
export function selectHeadroom (
  { fleet, headroom }: Pick<contexts.GatewayContext, 'fleet' | 'headroom'>, service: string, urgency: exchanges.AdmittedRequest['urgency'],
  servers: readonly routing.RoutedServer[], nowMs: number
): ReadonlyMap<string, number> | undefined {
  if (urgency === undefined || urgency.level === 0) {
    return undefined
  }
  const decodeServers = servers.filter(({ stage }) => stage === 'decode').map(({ id }) => id)
  return headroom.select(decodeServers, urgency.level, fleet.getArrivals(service, nowMs), urgency.urgentGoalMs)
}
