/**
 * A generation: placement at a decode server, prefill at a prefill server, then the stream.
 *
 * Decode capacity is reserved before the prefill, so that no prefill is wasted.
 */
import type * as answerTimes from './pace/answer_times.js'
import * as splitters from './event_splitter.js'
import * as decodePlacements from './decode_placement.js'
import * as eventLoop from '../host/event_loop.js'
import * as exchanges from './exchange.js'
import * as failures from '../contracts/failure.js'
import * as promptAdmissions from './prompt_admission.js'
import * as promptPrefills from './prompt_prefill.js'
import * as routing from '../contracts/routing.js'
import * as relays from './stream_relay.js'
import * as stageChecks from './stage_check.js'
import * as streamProgress from './decode_speed/stream_progress.js'
import * as types from './types.js'

const maximumPlacements = 3
/** How long a server is excluded that refuses a run despite its reservation: it is changing its stage. */
const stageChangeExclusionMs = 1_500

/** Least time without an event after which callers leave a stream. */
const minimumPatienceMs = 2_000
/** The same time in multiples of the route's latency goal, and of its goal for the pause between events. */
const goalsPerPatience = 4
const pausesPerPatience = 8
/** How much later the gateway stops a stream without events: callers get each event after it, and leave by themselves. */
const stallMarginMs = 1_000

const evacuatedReason = 'the zone is evacuated'
const refusalStatuses: ReadonlySet<number> = new Set([400, 404])

export class GenerationExchange extends exchanges.Exchange {
  private readonly splitter = new splitters.EventSplitter()
  private readonly admission = new promptAdmissions.PromptAdmission(this.context, this.request, this.reply, () => this.request.arrival.sharedParts)
  private readonly promptPrefill = new promptPrefills.PromptPrefill(this.context, this.request, this.reply, this.admission, this.sends)
  private readonly stageCheck = new stageChecks.StageCheck(this.context, this.request, this.reply)
  private readonly expectedOutput = this.estimateOutput()
  private readonly placements = new decodePlacements.DecodePlacement(this.context, this.request, this.reply, this.expectedOutput, this.patienceMs)
  private wasLost = false
  /** Whether the answer has begun beyond doubt at the latest server. */
  private hasBegun = false
  private firstByteMs: number | undefined
  private bytes = 0
  /** Time without an event at the end of the latest run, in milliseconds. */
  private silentMs = 0

  private get sizes (): types.GenerationSizes {
    return promptPrefills.getSizes(this.request.arrival)
  }

  /** Time without an event after which the caller leaves, in milliseconds. */
  private get patienceMs (): number {
    const { goalMs, pauseMs } = this.request.route
    return Math.max(minimumPatienceMs, goalsPerPatience * goalMs, pausesPerPatience * (pauseMs ?? 0))
  }

  /** Time without an event after which a stream is stopped whose caller has not left, in milliseconds. */
  private get stallMs (): number {
    return this.patienceMs + stallMarginMs
  }

  override async run (): Promise<exchanges.ExchangeEnd> {
    this.recordOfferedLoad()
    try {
      return await this.runAtServers()
    } finally {
      this.sends.release()
      this.placements.releaseIsolation()
      this.admission.endTrial()
    }
  }

  private async runAtServers (): Promise<exchanges.ExchangeEnd> {
    let reason = ''
    let server: string | undefined
    for (let attempt = 0; attempt < maximumPlacements && this.remainingMs() > 0; attempt += 1) {
      if (!this.reserveSend(this.sends)) {
        return this.refuse(this.weakenVerdict(this.createBudgetFailure()), server)
      }
      const admitted = await this.admission.admit()
      if (this.reply.isGone) {
        return this.createAbandonedEnd(server)
      }
      if ('failure' in admitted) {
        return this.refuse(this.weakenVerdict(admitted.failure), server)
      }
      const result = await this.placements.reserve(admitted.isTrial)
      if (this.reply.isGone) {
        this.placements.release('place' in result ? result.place : undefined)
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
    if (this.wasLost) {
      return this.refuse(failures.createFailure('may_have_run', 'stream_interrupted', [reason]), server)
    }
    return this.refuse(this.createNoServerFailure(promptPrefills.noServerRetryMs), server)
  }

  private estimateOutput (): number {
    return this.context.outputs.expect(this.request.service.name, this.sizes)
  }

  private recordOfferedLoad (): void {
    const { fleet } = this.context
    const { service } = this.request
    const prefillMs = fleet.estimateIdlePrefillMs(this.sizes.promptTokens)
    const stepMs = fleet.getTokenIntervalMs(service.name)
    const memoryPart = (this.sizes.promptTokens + this.expectedOutput / 2) / (service.engine?.memoryTokens ?? Infinity)
    fleet.recordOffered(service.name, prefillMs, memoryPart * (this.expectedOutput * stepMs + prefillMs), this.now())
    if (this.request.urgency !== undefined) {
      fleet.recordArrival(service.name, this.request.urgency.level, this.sizes.promptTokens + this.expectedOutput, this.now())
    }
  }

  /** Prefills the prompt and streams at a placement; `retryReason` states why another placement is to be tried. */
  private async runAtPlacement (placement: decodePlacements.Placement): Promise<exchanges.ExchangeEnd | { readonly retryReason: string }> {
    const { fleet } = this.context
    let place = placement
    if (this.context.directory.isEvacuated(place.server)) {
      return this.leavePlacement(place, undefined, evacuatedReason)
    }
    const prefill = await this.promptPrefill.run(place.server)
    if (this.reply.isGone || !('cache' in prefill)) {
      this.placements.release(place)
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
    const renewed = this.context.permits.isCold(place.server) ? await this.placements.renewPermit(place) : place
    if (renewed === undefined || this.reply.isGone) {
      const left = this.leavePlacement(renewed ?? { ...place, permit: 'none' }, prefill.cache, 'no permit for the cold server')
      return this.reply.isGone ? this.createAbandonedEnd(place.server.id) : left
    }
    place = renewed
    const obstacle = this.findObstacle(place.server)
    if (obstacle !== undefined) {
      return this.leavePlacement(place, prefill.cache, obstacle)
    }
    if (!this.reserveSend(this.sends)) {
      this.placements.release(place)
      return this.refuse(this.weakenVerdict(this.createBudgetFailure()), place.server.id)
    }
    // The end of a process that has been restarted since the placement must not count as an end of the one before it.
    place = { ...place, server: this.context.directory.findCurrent(place.server) }
    this.recordSend(this.sends, 'run')
    const end = await this.stream(place, prefill.cache)
    fleet.releaseDecode(this.request.serial)
    this.context.capacityQueue.dispatch(this.now())
    return await this.conclude(place, end)
  }

  /** Releases what a placement holds, so that another one is tried. */
  private leavePlacement (place: decodePlacements.Placement, cache: types.CacheSource | undefined, retryReason: string): { readonly retryReason: string } {
    this.placements.release(place)
    if (cache !== undefined) {
      this.releaseCache(cache)
    }
    return { retryReason }
  }

  /** Returns why the run must not be sent to a server that was fit for it before the prefill. */
  private findObstacle (server: routing.RoutedServer): string | undefined {
    if (this.context.directory.isEvacuated(server)) {
      return evacuatedReason
    }
    if (this.context.directory.isBackingOff(server.id, this.now())) {
      return 'the server asked to back off'
    }
    return this.admission.isAdmitted ? undefined : 'the prompt has come under suspicion'
  }

  /** Reports a run whose connection broke. Waits for the result if the run may be repeated, and ends a trial only afterwards. */
  private async reportBrokenRun (server: routing.RoutedServer): Promise<void> {
    const { guard } = this.context
    if (this.hasBegun) {
      guard.recordLoss(server)
      return
    }
    const reported = guard.recordLostPrompt(server, this.admission.prompt, this.admission.isTrial)
    if (this.request.route.isResumable || this.admission.isTrial) {
      await reported
    } else {
      reported.catch((error: unknown) => this.log('lost prompt not reported', { server: server.id, reason: String(error) }))
    }
  }

  private async conclude (place: decodePlacements.Placement, end: relays.RelayEnd): Promise<exchanges.ExchangeEnd | { readonly retryReason: string }> {
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
      rank: this.request.urgency?.rank,
      promptTokens: this.sizes.promptTokens,
      maximumOutputTokens: this.sizes.maximumOutputTokens,
      hintedOutputTokens: this.sizes.hintedOutputTokens,
      resumedAfter: this.request.arrival.resumeAfter,
      sharedParts: this.request.arrival.sharedParts.join(',') || undefined,
      bytes: this.bytes,
      limitPerSecond: this.context.limits.getLimit(place.server, this.now()),
      permit: place.permit === 'none' ? undefined : place.permit,
      passedOver: this.placements.passedOverCount,
      slowness: this.getSlowness(place.server),
      firstEventMs: this.firstByteMs === undefined ? undefined : Math.round(this.firstByteMs - this.request.arrivedMs),
      elapsedMs: Math.round(this.now() - this.request.arrivedMs)
    })
    if (end.kind === 'lost' && end.isBroken) {
      await this.reportBrokenRun(place.server)
    }
    if (this.reply.isGone) {
      if (this.silentMs >= this.patienceMs) {
        health.record(server, 'silent', this.now())
      }
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
          this.sends.recordUnsent()
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
        this.wasLost = true
        if (!this.request.route.isResumable || this.remainingMs() <= 0) {
          return this.refuse(this.remainingMs() <= 0
            ? failures.createFailure('may_have_run', 'request_timeout', [Math.round(this.now() - this.request.arrivedMs)])
            : failures.createFailure('may_have_run', 'server_failed', [server, end.reason]), server)
        }
        return { retryReason: end.reason }
    }
  }

  private stream (place: decodePlacements.Placement, cache: types.CacheSource | undefined): Promise<relays.RelayEnd> {
    const { dialect, pool, system } = this.context
    const { isResumable } = this.request.route
    const sentMs = this.now()
    const { eventCount: earlierEvents } = this.splitter
    this.hasBegun = false
    return new Promise(resolve => {
      const relay = new relays.StreamRelay(
        dialect, this.reply, this.splitter, isResumable, () => this.now(), end => {
          stopTimer()
          stopStallTimer()
          stopWatching()
          this.reply.gone.removeEventListener('abort', leave)
          this.firstByteMs ??= relay.firstByteMs
          this.silentMs = getSilentMs()
          this.bytes += relay.bytes
          this.recordPaceAtEnd(place.server, end, sentMs, relay.firstByteMs, this.splitter.eventCount - earlierEvents)
          resolve(end)
        }, () => {
          stopWatching()
          this.recordBegin(place.server)
          if (cache !== undefined) {
            this.recordPaceTime(place.server, sentMs, { first_event: (relay.firstByteMs ?? sentMs) - sentMs })
          }
        }, new streamProgress.StreamProgress((events, elapsedMs) => this.recordSpeed(place.server, events, elapsedMs)))
      const stopWatching = this.context.guard.watch({ ...this.admission.prompt, isTrial: this.admission.isTrial, stop: reason => relay.stop(reason) })
      const leave = (): void => relay.stop(`cancelled: ${String(this.reply.gone.reason)}`)
      const getSilentMs = (): number => relay.isPaused ? 0 : this.now() - relay.lastProgressMs
      const checkStall = (): void => {
        const stalledMs = getSilentMs()
        if (stalledMs >= this.stallMs) {
          relay.stop(`no event for ${Math.round(stalledMs)} ms`)
          return
        }
        stopStallTimer = eventLoop.afterTimeout(system.clock, this.stallMs - stalledMs, checkStall)
      }
      let stopStallTimer = eventLoop.afterTimeout(system.clock, this.stallMs, checkStall)
      const stopTimer = eventLoop.afterTimeout(system.clock, Math.max(0, this.remainingMs()), () => relay.stop('request deadline exceeded'))
      const outgoing = dialect.writeRequest(this.request.arrival, this.request.body, {
        server: place.server,
        remainingMs: this.remainingMs(),
        workspace: this.request.workspace,
        purpose: 'run',
        cache,
        reservation: place.reservation,
        resumeAfter: isResumable ? this.splitter.lastId : undefined,
        rank: this.request.urgency?.rank
      })
      relay.attach(pool.send(place.server, outgoing, !isResumable, relay))
      this.reply.gone.addEventListener('abort', leave, { once: true })
    })
  }

  /** Records that a server has begun to answer, which clears the prompt and ends its trial. */
  private recordBegin (server: routing.RoutedServer): void {
    this.hasBegun = true
    this.context.guard.recordAnswer(this.admission.prompt)
    this.placements.endIsolation(server.id)
    this.admission.endTrial()
  }

  /** Records the speed of a decode server, where servers report how long work takes: those differ from each other. */
  private recordSpeed (server: routing.RoutedServer, events: number, elapsedMs: number): void {
    const { directory, fleet, loads } = this.context
    const nowMs = this.now()
    if (loads.isActive(directory.listReady(this.request.service.name), nowMs)) {
      fleet.speeds.record(server.id, events, elapsedMs, nowMs)
    }
  }

  /** Returns the time between events at a server relative to the usual one; undefined where it is not measured. */
  private getSlowness (server: routing.RoutedServer): number | undefined {
    const slowness = this.context.fleet.speeds.getSlowness(this.listReady(), this.now()).get(server.id)
    return slowness === undefined ? undefined : Number(slowness.toFixed(2))
  }

  private recordPaceTime (server: routing.RoutedServer, sentMs: number, times: answerTimes.AnswerTimes): void {
    this.context.pace.recordAnswer(server, { sentMs, times }, this.now())
  }

  private recordPaceAtEnd (server: routing.RoutedServer, end: relays.RelayEnd, sentMs: number, firstMs: number | undefined, events: number): void {
    if (end.kind === 'completed' && firstMs !== undefined && events > 1) {
      this.recordPaceTime(server, sentMs, { event_gap: (this.now() - firstMs) / (events - 1) })
    } else if (!this.reply.isGone && (end.kind === 'not_run' || end.kind === 'lost')) {
      this.context.pace.recordRefusal(server, this.now(), sentMs)
    }
  }

  private releaseCache (cache: types.CacheSource): void {
    const { dialect, directory } = this.context
    const server = directory.listAll().find(candidate => candidate.address === cache.address)
    if (server !== undefined) {
      this.releaseAt(server, dialect.writeCacheRelease(server, cache.handle), decodePlacements.reservationTimeoutMs)
        .catch((error: unknown) => this.log('KV cache not released', { server: server.id, reason: String(error) }))
    }
  }

  /** Weakens the verdict of a failure if an earlier placement may have run the request. */
  private weakenVerdict (failure: failures.Failure): failures.Failure {
    return this.wasLost ? failures.withVerdict(failure, 'may_have_run') : failure
  }
}
