/**
 * A generation: reservation at a decode server, prefill at a prefill server, then the stream.
 *
 * Decode capacity is reserved before the prefill, so that no prefill is wasted.
 */
import * as splitters from './event_splitter.js'
import * as exchanges from './exchange.js'
import * as failures from '../contracts/failure.js'
import * as promptPrefills from './prompt_prefill.js'
import * as relays from './stream_relay.js'
import type * as capacityQueues from './capacity_queue.js'
import type * as permits from './permits.js'
import * as routing from '../contracts/routing.js'
import * as stageChecks from './stage_check.js'
import * as types from './types.js'

const maximumPlacements = 3
/** Refused reservations after which a request fails. */
const maximumReservationRefusals = 8
/** How long a server is excluded that refuses a run despite its reservation: it is changing its stage. */
const stageChangeExclusionMs = 1_500
/** Covers a few round trips between zones. */
const reservationTimeoutMs = 120
/** Validity of a reservation beyond the expected prefill. */
const reservationMarginMs = 600
/** Time from the end of the prefill to the first event: transfer of the KV cache, first decode step, network back. */
const firstEventDelayMs = 60
/** How long a late caller waits for capacity, in parts of the time after which it gives up without an event. */
const lateWaitPart = 0.85
/** Retry time without capacity: roughly how long the runs of a full server take. */
const capacityRetryMs = 3_000
/** Memory that is committed for a run's output, in parts of the expected length: in a burst the peaks of runs coincide. */
const committedOutputPart = 0.9
/** Memory that a reservation requests, in the same parts: the engine must have it at once, while the run needs it gradually. */
const reservedOutputPart = 0.5
/** Expected output without an estimate from the caller, in parts of its stated bound. */
const expectedOutputPart = 0.5

/** Least time without an event after which a stream counts as stalled; callers give up after a similar time. */
const minimumStallMs = 2_000
/** The stall time-out in multiples of the route's latency goal, and of its goal for the pause between events. */
const goalsPerStall = 4
const pausesPerStall = 8

const refusalStatuses: ReadonlySet<number> = new Set([400, 404])

interface Placement {
  readonly server: routing.RoutedServer
  readonly reservation: string | undefined
  readonly permit: permits.PermitSource
}

type PlacementResult = { readonly place: Placement } | { readonly failure: failures.Failure }

export class GenerationExchange extends exchanges.Exchange {
  private readonly splitter = new splitters.EventSplitter()
  private readonly promptPrefill = new promptPrefills.PromptPrefill(this.context, this.request, this.reply)
  private readonly stageCheck = new stageChecks.StageCheck(this.context, this.request, this.reply)
  private readonly expectedOutput = this.estimateOutput()
  private mayHaveRun = false
  private firstByteMs: number | undefined
  private bytes = 0

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

  /** When the first event is due to meet the latency goal. */
  private get goalDeadlineMs (): number {
    return this.request.firstAttemptMs + this.request.route.goalMs
  }

  /** Time without an event after which a stream is stopped. */
  private get stallMs (): number {
    const { goalMs, pauseMs } = this.request.route
    return Math.max(minimumStallMs, goalsPerStall * goalMs, pausesPerStall * (pauseMs ?? 0))
  }

  override async run (): Promise<exchanges.ExchangeEnd> {
    this.recordOfferedLoad()
    let reason = ''
    let server: string | undefined
    for (let attempt = 0; attempt < maximumPlacements && this.remainingMs() > 0; attempt += 1) {
      const result = await this.reservePlacement()
      if (this.reply.isGone) {
        this.releasePlacement('place' in result ? result.place : undefined)
        return this.createAbandonedEnd(server)
      }
      if ('failure' in result) {
        return this.refuse(this.weakenVerdict(result.failure), server)
      }
      const { place } = result
      server = place.server.id
      const end = await this.runAtPlacement(place)
      if ('outcome' in end) {
        return end
      }
      reason = end.retryReason
    }
    if (this.mayHaveRun) {
      return this.refuse(failures.createFailure('may_have_run', 'stream_interrupted', [reason]), server)
    }
    return this.refuse(this.createNoServerFailure(promptPrefills.noServerRetryMs), server)
  }

  private estimateOutput (): number {
    const { maximumOutputTokens, hintedOutputTokens } = this.sizes
    return hintedOutputTokens === undefined
      ? maximumOutputTokens * expectedOutputPart
      : this.context.outputs.estimate(this.request.service.name, hintedOutputTokens, maximumOutputTokens)
  }

  private recordOfferedLoad (): void {
    const { fleet } = this.context
    const { service } = this.request
    const prefillMs = fleet.estimateIdlePrefillMs(this.sizes.promptTokens)
    const stepMs = fleet.getTokenIntervalMs(service.name)
    const memoryPart = (this.sizes.promptTokens + this.expectedOutput / 2) / (service.engine?.memoryTokens ?? Infinity)
    fleet.recordOffered(service.name, prefillMs, memoryPart * (this.expectedOutput * stepMs + prefillMs), this.now())
  }

  /** Prefills the prompt and streams at a placement; `retryReason` states why another placement is to be tried. */
  private async runAtPlacement (place: Placement): Promise<exchanges.ExchangeEnd | { readonly retryReason: string }> {
    const { fleet } = this.context
    const prefill = await this.promptPrefill.run(place.server)
    if (this.reply.isGone || !('cache' in prefill)) {
      this.releasePlacement(place)
      if ('cache' in prefill && prefill.cache !== undefined) {
        this.releaseCache(prefill.cache)
      }
      if (this.reply.isGone) {
        return this.createAbandonedEnd(place.server.id)
      }
      if ('failure' in prefill) {
        return this.refuse(this.weakenVerdict(prefill.failure), place.server.id)
      }
      return { retryReason: 'retry' in prefill ? prefill.retry : '' }
    }
    if (this.context.directory.isBackingOff(place.server.id, this.now())) {
      this.releasePlacement(place)
      if (prefill.cache !== undefined) {
        this.releaseCache(prefill.cache)
      }
      return { retryReason: 'the server asked to back off' }
    }
    if (!this.trySend()) {
      this.releasePlacement(place)
      return this.refuse(this.weakenVerdict(this.createNoServerFailure(promptPrefills.noServerRetryMs)))
    }
    const end = await this.stream(place, prefill.cache)
    fleet.releaseDecode(this.request.serial)
    this.context.capacityQueue.dispatch(this.now())
    return this.conclude(place, end)
  }

  private conclude (place: Placement, end: relays.RelayEnd): exchanges.ExchangeEnd | { readonly retryReason: string } {
    const { directory, fleet, health } = this.context
    const server = place.server.id
    this.context.meter.count('gateway_sends_total', { outcome: end.kind })
    if (this.firstByteMs !== undefined) {
      this.context.meter.observe('gateway_first_event_ms', {}, this.firstByteMs - this.request.arrivedMs)
    }
    this.log('stream ended', {
      server,
      outcome: end.kind,
      reason: 'reason' in end ? end.reason : undefined,
      promptTokens: this.sizes.promptTokens,
      maximumOutputTokens: this.sizes.maximumOutputTokens,
      hintedOutputTokens: this.sizes.hintedOutputTokens,
      resumedAfter: this.request.arrival.resumeAfter,
      bytes: this.bytes,
      limitPerSecond: this.context.limits.getLimit(place.server, this.now()),
      permit: place.permit === 'none' ? undefined : place.permit,
      passedOver: this.passedOver === 0 ? undefined : this.passedOver,
      firstEventMs: this.firstByteMs === undefined ? undefined : Math.round(this.firstByteMs - this.request.arrivedMs),
      elapsedMs: Math.round(this.now() - this.request.arrivedMs)
    })
    if (this.reply.isGone) {
      return this.createAbandonedEnd(server)
    }
    switch (end.kind) {
      case 'completed':
        health.record(server, 'good', this.now())
        if (this.firstByteMs !== undefined && this.request.arrival.resumeAfter === undefined) {
          fleet.recordAnswer(this.request.service.name, this.expectedOutput, this.now() - this.firstByteMs)
          this.context.outputs.observe(this.request.service.name, this.sizes.hintedOutputTokens ?? 0, this.splitter.eventCount)
        }
        this.reply.end()
        return { outcome: 'answered', status: 200, server }
      case 'answered':
        health.record(server, end.status < 500 ? 'good' : 'error', this.now())
        if (this.reply.hasStarted) {
          return this.refuse(failures.createFailure('ran', 'stream_interrupted', [`status ${end.status}`]), server)
        }
        this.reply.answer(end.status, end.rawHeaders, end.body)
        return { outcome: refusalStatuses.has(end.status) ? 'refused' : 'failed', status: end.status, server }
      case 'not_run':
        if (end.status === undefined) {
          health.record(server, 'unreachable', this.now())
        } else if (end.status === relays.misdirected) {
          directory.recordMisdirected(server)
        } else if (place.reservation !== undefined) {
          fleet.recordRefusal(server, stageChangeExclusionMs, this.now())
          this.stageCheck.run(place.server, stageChangeExclusionMs).catch((error: unknown) => this.log('engine report not read', { server, reason: String(error) }))
        } else {
          fleet.recordRefusal(server, promptPrefills.fullServerExclusionMs, this.now())
        }
        return { retryReason: end.reason }
      case 'lost':
        health.record(server, 'silent', this.now())
        this.mayHaveRun = true
        if (!this.request.route.isResumable || this.remainingMs() <= 0) {
          return this.refuse(this.remainingMs() <= 0
            ? failures.createFailure('may_have_run', 'request_timeout', [Math.round(this.now() - this.request.arrivedMs)])
            : failures.createFailure('may_have_run', 'server_failed', [server, end.reason]), server)
        }
        return { retryReason: end.reason }
    }
  }

  /** Reserves capacity at a decode server, at once or as soon as there is some while the caller can still be served in time. */
  private async reservePlacement (): Promise<PlacementResult> {
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
      if (permit !== 'none') {
        // A reservation would use up a second request of the limit.
        return { place: { server, reservation: undefined, permit } }
      }
      const reserved = await this.reserve(server)
      if (reserved.kind === 'taken') {
        return { place: { server, reservation: reserved.reservation, permit } }
      }
      refused += 1
      this.context.fleet.releaseDecode(this.request.serial)
      if (this.reply.isGone || refused >= maximumReservationRefusals) {
        return { failure: this.createNoCapacityFailure(refused) }
      }
    }
  }

  private createNoCapacityFailure (refused: number): failures.Failure {
    const { directory } = this.context
    const servers = directory.listReady(this.request.service.name)
    if (this.areAllLimited(servers)) {
      return this.createLimitFailure(this.estimatePermitWaitMs(servers))
    }
    this.log('no decode capacity', {
      service: this.request.service.name,
      neededTokens: this.committedTokens,
      refusals: refused,
      waiting: this.context.capacityQueue.length,
      askedBeforeMs: this.request.arrivedMs - this.request.firstAttemptMs,
      waitedMs: Math.round(this.now() - this.request.arrivedMs)
    })
    return servers.length > 0
      ? failures.createFailure('not_run', 'target_unreachable', [this.request.route.goalMs, this.request.route.goalMs], capacityRetryMs)
      : this.createNoServerFailure(promptPrefills.noServerRetryMs)
  }

  /** Commits the load to the best server with capacity, waiting for one while the goal can still be met. */
  private awaitCapacity (): Promise<routing.RoutedServer | undefined> {
    const { capacityQueue: rooms } = this.context
    const committed = this.tryCommit()
    const servers = this.context.directory.listReady(this.request.service.name)
    if (committed !== undefined || this.reply.hasStarted || servers.length === 0) {
      return Promise.resolve(committed)
    }
    if (this.areAllLimited(servers) && this.now() + this.estimatePermitWaitMs(servers) > this.planQueueing().latestMs) {
      return Promise.resolve(undefined)
    }
    return new Promise(resolve => {
      let server: routing.RoutedServer | undefined
      const leave = (): void => {
        rooms.remove(this.request.serial)
        resolve(undefined)
      }
      this.reply.gone.signal.addEventListener('abort', leave, { once: true })
      rooms.add({
        id: this.request.serial,
        priority: this.request.priority,
        expectedOutputTokens: this.expectedOutput,
        sinceMs: this.request.firstAttemptMs,
        ...this.planQueueing(),
        tryReserve: () => {
          server = this.tryCommit()
          return server !== undefined
        },
        settle: () => {
          this.reply.gone.signal.removeEventListener('abort', leave)
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
  private planQueueing (): Pick<capacityQueues.Waiter, 'latestMs' | 'isLate'> {
    const { arrivedMs } = this.request
    const startMarginMs = firstEventDelayMs + this.estimatePrefillMs()
    const inTimeMs = this.goalDeadlineMs - startMarginMs
    return inTimeMs > arrivedMs || this.request.firstAttemptMs === arrivedMs
      ? { latestMs: inTimeMs, isLate: false }
      : { latestMs: arrivedMs + Math.min(this.stallMs, this.remainingMs()) * lateWaitPart - startMarginMs, isLate: true }
  }

  private tryCommit (): routing.RoutedServer | undefined {
    const { directory, fleet, permits: permitBook } = this.context
    const profile = this.request.service.engine
    if (profile === undefined) {
      return undefined
    }
    const servers = permitBook.selectAvailable(directory.listReady(this.request.service.name))
    const [best] = fleet.rankDecode(servers, profile, this.committedTokens, this.now())
    if (best !== undefined) {
      fleet.bookDecode(this.request.serial, best.id, this.committedTokens)
    }
    return best
  }

  private estimatePrefillMs (): number {
    const { directory, fleet, permits: permitBook } = this.context
    const servers = permitBook.selectAvailable(directory.listReady(this.request.service.name))
    return fleet.choosePrefill(servers, this.sizes.promptTokens, new Set(), this.now(), undefined)?.readyMs ?? 0
  }

  private async reserve (server: routing.RoutedServer): Promise<{ readonly kind: 'taken', readonly reservation: string } | { readonly kind: 'refused' }> {
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
    this.context.meter.count('gateway_room_refused_total', {})
    this.log('reservation refused', { server: server.id, status: outcome.status, neededTokens: this.reservedTokens })
    return { kind: 'refused' }
  }

  private stream (place: Placement, cache: types.CacheSource | undefined): Promise<relays.RelayEnd> {
    const { dialect, pool, system } = this.context
    const { isResumable } = this.request.route
    return new Promise(resolve => {
      const relay = new relays.StreamRelay(
        dialect, this.reply, this.splitter, isResumable, () => this.now(), end => {
          stopTimer()
          stopStallTimer()
          this.reply.gone.signal.removeEventListener('abort', leave)
          this.firstByteMs ??= relay.firstByteMs
          this.bytes += relay.bytes
          resolve(end)
        })
      const leave = (): void => relay.stop('caller disconnected')
      const checkStall = (): void => {
        const stalledMs = relay.isPaused ? 0 : this.now() - relay.lastProgressMs
        if (stalledMs >= this.stallMs) {
          relay.stop(`no event for ${Math.round(stalledMs)} ms`)
          return
        }
        stopStallTimer = system.clock.after(this.stallMs - stalledMs, checkStall)
      }
      let stopStallTimer = system.clock.after(this.stallMs, checkStall)
      const stopTimer = system.clock.after(Math.max(0, this.remainingMs()), () => relay.stop('request deadline exceeded'))
      const outgoing = dialect.writeRequest(this.request.arrival, this.request.body, {
        server: place.server,
        remainingMs: this.remainingMs(),
        workspace: this.request.workspace,
        purpose: 'run',
        cache,
        reservation: place.reservation,
        resumeAfter: isResumable ? this.splitter.lastId : undefined
      })
      relay.attach(pool.send(place.server, outgoing, !isResumable, relay))
      this.reply.gone.signal.addEventListener('abort', leave, { once: true })
    })
  }

  /** Returns the memory for the prompt and a part of the expected output, in tokens of whole blocks. */
  private countBlockTokens (outputPart: number): number {
    return Math.ceil((this.sizes.promptTokens + this.expectedOutput * outputPart) / promptPrefills.blockTokens + 1) * promptPrefills.blockTokens
  }

  private releasePlacement (place: Placement | undefined): void {
    this.context.fleet.releaseDecode(this.request.serial)
    if (place !== undefined && place.permit !== 'none') {
      this.context.permits.giveBack(place.server)
    }
    if (place?.reservation !== undefined) {
      const { dialect, pool } = this.context
      pool.call(place.server, dialect.writeReservationRelease(place.server, place.reservation), reservationTimeoutMs)
        .catch((error: unknown) => this.log('reservation not released', { server: place.server.id, reason: String(error) }))
    }
    this.context.capacityQueue.dispatch(this.now())
  }

  private releaseCache (cache: types.CacheSource): void {
    const { dialect, directory, pool } = this.context
    const server = directory.listAll().find(candidate => candidate.address === cache.address)
    if (server !== undefined) {
      pool.call(server, dialect.writeCacheRelease(server, cache.handle), reservationTimeoutMs)
        .catch((error: unknown) => this.log('KV cache not released', { server: server.id, reason: String(error) }))
    }
  }

  /** Weakens the verdict of a failure if an earlier placement may have run the request. */
  private weakenVerdict (failure: failures.Failure): failures.Failure {
    return this.mayHaveRun ? failures.withVerdict(failure, 'may_have_run') : failure
  }
}
