/**
 * A generation: reservation at a decode server, prefill at a prefill server, then the stream.
 *
 * Decode capacity is reserved before the prefill, so that no prefill is wasted.
 */
import * as cutters from './event_cutter.js'
import * as exchanges from './exchange.js'
import * as failures from '../contracts/failure.js'
import * as prompts from './prompt_reader.js'
import * as relays from './stream_relay.js'
import type * as capacityQueues from './capacity_queue.js'
import * as routing from '../contracts/routing.js'
import * as stageChecks from './stage_check.js'
import * as types from './types.js'

const maximumPlacings = 3
/** Refused reservations after which a request fails. */
const maximumRefusals = 8
/** How long a server is excluded that refuses a run despite its reservation: it is changing its stage. */
const refusingMs = 1_500
/** Covers a few round trips between zones. */
const holdAnswerMs = 120
/** Validity of a reservation beyond the expected prefill. */
const holdMarginMs = 600
/** Time from the end of the prefill to the first event: transfer of the KV cache, first decode step, network back. */
const firstEventMs = 60
/** How long a late caller waits for capacity, in parts of the time after which it gives up without an event. */
const lateWaitPart = 0.85
/** Retry time without capacity: roughly how long the runs of a full server take. */
const roomRetryMs = 3_000
/** Memory that is committed for a run's output, in parts of the expected length: in a burst the peaks of runs coincide. */
const bookedOutputPart = 0.9
/** Memory that a reservation requests, in the same parts: the engine must have it at once, while the run needs it gradually. */
const reservedOutputPart = 0.5
/** Expected output without an estimate from the caller, in parts of its stated bound. */
const expectedOutputPart = 0.5

/** Least time without an event after which a stream counts as stalled; callers give up after a similar time. */
const leastStallMs = 2_000
/** The stall time-out in multiples of the route's latency goal, and of its goal for the pause between events. */
const goalsPerStall = 4
const pausesPerStall = 8

const notFoundCodes: ReadonlySet<number> = new Set([400, 404])

interface Place {
  readonly server: routing.RoutedServer
  readonly hold: string | undefined
}

type Placing = { readonly place: Place } | { readonly failure: failures.Failure }

export class GenerationExchange extends exchanges.Exchange {
  private readonly cutter = new cutters.EventCutter()
  private readonly prompt = new prompts.PromptReader(this.context, this.request, this.reply)
  private readonly stageCheck = new stageChecks.StageCheck(this.context, this.request, this.reply)
  private readonly expectedOutput = this.estimateOutput()
  private mayHaveRun = false
  private firstByteMs: number | undefined
  private bytes = 0

  private get sizes (): types.GenerationSizes {
    return prompts.getSizes(this.request.arrival)
  }

  /** Memory that the gateway commits for the run when it picks a server. */
  private get bookedTokens (): number {
    return this.countTokens(bookedOutputPart)
  }

  /** Memory that is reserved at the engine, in tokens. */
  private get reservedTokens (): number {
    return this.countTokens(reservedOutputPart)
  }

  /** When the first event is due to meet the latency goal. */
  private get goalAtMs (): number {
    return this.request.askedMs + this.request.route.goalMs
  }

  /** Time without an event after which a stream is stopped. */
  private get stallMs (): number {
    const { goalMs, pauseMs } = this.request.route
    return Math.max(leastStallMs, goalsPerStall * goalMs, pausesPerStall * (pauseMs ?? 0))
  }

  override async run (): Promise<exchanges.ExchangeEnd> {
    this.noteOffered()
    let reason = ''
    let server: string | undefined
    for (let placing = 0; placing < maximumPlacings && this.remainingMs() > 0; placing += 1) {
      const placed = await this.placeRun()
      if (this.reply.isGone) {
        this.releasePlace('place' in placed ? placed.place : undefined)
        return this.abandoned(server)
      }
      if ('failure' in placed) {
        return this.refuse(this.withHistory(placed.failure), server)
      }
      const { place } = placed
      server = place.server.id
      const end = await this.runAt(place)
      if ('outcome' in end) {
        return end
      }
      reason = end.again
    }
    if (this.mayHaveRun) {
      return this.refuse(failures.createFailure('may_have_run', 'stream_interrupted', [reason]), server)
    }
    return this.refuse(this.createNoServerFailure(prompts.noServerRetryMs), server)
  }

  private estimateOutput (): number {
    const { maximumOutputTokens, hintedOutputTokens } = this.sizes
    return hintedOutputTokens === undefined
      ? maximumOutputTokens * expectedOutputPart
      : this.context.outputs.estimate(this.request.service.name, hintedOutputTokens, maximumOutputTokens)
  }

  private noteOffered (): void {
    const { fleet } = this.context
    const { service } = this.request
    const prefillMs = fleet.estimateIdlePrefillMs(this.sizes.promptTokens)
    const stepMs = fleet.getTokenIntervalMs(service.name)
    const memoryPart = (this.sizes.promptTokens + this.expectedOutput / 2) / (service.engine?.memoryTokens ?? Infinity)
    fleet.recordOffered(service.name, prefillMs, memoryPart * (this.expectedOutput * stepMs + prefillMs), this.now())
  }

  /** Prefills the prompt and streams at a placement; `retryReason` states why another placement is to be tried. */
  private async runAt (place: Place): Promise<exchanges.ExchangeEnd | { readonly again: string }> {
    const { fleet } = this.context
    const reading = await this.prompt.read(place.server)
    if (this.reply.isGone || !('cache' in reading)) {
      this.releasePlace(place)
      if ('cache' in reading && reading.cache !== undefined) {
        this.releaseCache(reading.cache)
      }
      if (this.reply.isGone) {
        return this.abandoned(place.server.id)
      }
      if ('failure' in reading) {
        return this.refuse(this.withHistory(reading.failure), place.server.id)
      }
      return { again: 'retry' in reading ? reading.retry : '' }
    }
    if (this.context.directory.isBackingOff(place.server.id, this.now())) {
      this.releasePlace(place)
      if (reading.cache !== undefined) {
        this.releaseCache(reading.cache)
      }
      return { again: 'the server asked to back off' }
    }
    if (!this.trySend()) {
      this.releasePlace(place)
      return this.refuse(this.withHistory(this.createNoServerFailure(prompts.noServerRetryMs)))
    }
    const end = await this.stream(place, reading.cache)
    fleet.releaseDecode(this.request.serial)
    this.context.capacityQueue.dispatch(this.now())
    return this.conclude(place, end)
  }

  private conclude (place: Place, end: relays.RelayEnd): exchanges.ExchangeEnd | { readonly again: string } {
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
      firstEventMs: this.firstByteMs === undefined ? undefined : Math.round(this.firstByteMs - this.request.arrivedMs),
      elapsedMs: Math.round(this.now() - this.request.arrivedMs)
    })
    if (this.reply.isGone) {
      return this.abandoned(server)
    }
    switch (end.kind) {
      case 'completed':
        health.record(server, 'good', this.now())
        if (this.firstByteMs !== undefined && this.request.arrival.resumeAfter === undefined) {
          fleet.recordAnswer(this.request.service.name, this.expectedOutput, this.now() - this.firstByteMs)
          this.context.outputs.observe(this.request.service.name, this.sizes.hintedOutputTokens ?? 0, this.cutter.events)
        }
        this.reply.end()
        return { outcome: 'answered', status: 200, server }
      case 'answered':
        health.record(server, end.status < 500 ? 'good' : 'error', this.now())
        if (this.reply.hasStarted) {
          return this.refuse(failures.createFailure('ran', 'stream_interrupted', [`status ${end.status}`]), server)
        }
        this.reply.answer(end.status, end.rawHeaders, end.body)
        return { outcome: notFoundCodes.has(end.status) ? 'refused' : 'failed', status: end.status, server }
      case 'not_run':
        if (end.status === undefined) {
          health.record(server, 'unreachable', this.now())
        } else if (end.status === relays.misdirected) {
          directory.recordMisdirected(server)
        } else if (place.hold !== undefined) {
          fleet.recordRefusal(server, refusingMs, this.now())
          this.stageCheck.run(place.server, refusingMs).catch((error: unknown) => this.log('engine report not read', { server, reason: String(error) }))
        }
        return { again: end.reason }
      case 'lost':
        health.record(server, 'silent', this.now())
        this.mayHaveRun = true
        if (!this.request.route.isResumable || this.remainingMs() <= 0) {
          return this.refuse(this.remainingMs() <= 0
            ? failures.createFailure('may_have_run', 'request_timeout', [Math.round(this.now() - this.request.arrivedMs)])
            : failures.createFailure('may_have_run', 'server_failed', [server, end.reason]), server)
        }
        return { again: end.reason }
    }
  }

  /** Reserves capacity at a decode server, at once or as soon as there is some while the caller can still be served in time. */
  private async placeRun (): Promise<Placing> {
    let refused = 0
    while (true) {
      const server = await this.awaitRoom()
      if (server === undefined) {
        return { failure: this.createNoRoomFailure(refused) }
      }
      const taken = await this.takeHold(server)
      if (taken.kind === 'taken') {
        return { place: { server, hold: taken.hold } }
      }
      refused += 1
      this.context.fleet.releaseDecode(this.request.serial)
      if (this.reply.isGone || refused >= maximumRefusals) {
        return { failure: this.createNoRoomFailure(refused) }
      }
    }
  }

  private createNoRoomFailure (refused: number): failures.Failure {
    const { directory } = this.context
    const hasServers = directory.listReady(this.request.service.name).length > 0
    this.log('no decode capacity', {
      service: this.request.service.name,
      neededTokens: this.bookedTokens,
      refusals: refused,
      waiting: this.context.capacityQueue.length,
      askedBeforeMs: this.request.arrivedMs - this.request.askedMs,
      waitedMs: Math.round(this.now() - this.request.arrivedMs)
    })
    return hasServers
      ? failures.createFailure('not_run', 'target_unreachable', [this.request.route.goalMs, this.request.route.goalMs], roomRetryMs)
      : this.createNoServerFailure(prompts.noServerRetryMs)
  }

  /** Commits the load to the best server with capacity, waiting for one while the goal can still be met. */
  private awaitRoom (): Promise<routing.RoutedServer | undefined> {
    const { capacityQueue: rooms } = this.context
    const booked = this.tryBook()
    const hasServers = this.context.directory.listReady(this.request.service.name).length > 0
    if (booked !== undefined || this.reply.hasStarted || !hasServers) {
      return Promise.resolve(booked)
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
        sinceMs: this.request.askedMs,
        ...this.planStart(),
        tryReserve: () => {
          server = this.tryBook()
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

  /** Returns until when the request may be queued. A retry that is late in any case is not refused again while its caller still waits for the first event. */
  private planStart (): Pick<capacityQueues.Waiter, 'latestMs' | 'isLate'> {
    const { arrivedMs } = this.request
    const neededMs = firstEventMs + this.estimateReadingMs()
    const inTimeMs = this.goalAtMs - neededMs
    return inTimeMs > arrivedMs || this.request.askedMs === arrivedMs
      ? { latestMs: inTimeMs, isLate: false }
      : { latestMs: arrivedMs + Math.min(this.stallMs, this.remainingMs()) * lateWaitPart - neededMs, isLate: true }
  }

  private tryBook (): routing.RoutedServer | undefined {
    const { directory, fleet } = this.context
    const profile = this.request.service.engine
    if (profile === undefined) {
      return undefined
    }
    const servers = directory.listReady(this.request.service.name)
    const [best] = fleet.rankDecode(servers, profile, this.bookedTokens, this.now())
    if (best !== undefined) {
      fleet.bookDecode(this.request.serial, best.id, this.bookedTokens)
    }
    return best
  }

  private estimateReadingMs (): number {
    const { directory, fleet } = this.context
    const servers = directory.listReady(this.request.service.name)
    return fleet.choosePrefill(servers, this.sizes.promptTokens, new Set(), this.now(), undefined)?.readyMs ?? 0
  }

  private async takeHold (server: routing.RoutedServer): Promise<{ readonly kind: 'taken', readonly hold: string } | { readonly kind: 'refused' }> {
    const { dialect, health, pool } = this.context
    const ttlMs = Math.min(this.request.service.engine?.maximumHoldMs ?? holdMarginMs, this.estimateReadingMs() * 2 + holdMarginMs)
    const outcome = await pool.call(server, dialect.writeReservationRequest(server, this.reservedTokens, ttlMs), holdAnswerMs)
    if (outcome.kind !== 'answered') {
      const isPaused = health.record(server.id, outcome.kind === 'unsent' ? 'unreachable' : 'silent', this.now())
      this.log('reservation refused', { server: server.id, reason: outcome.reason, leftOut: isPaused })
      return { kind: 'refused' }
    }
    const hold = outcome.status === 200 ? dialect.readReservation(outcome.body) : undefined
    if (hold?.isRight() === true) {
      return { kind: 'taken', hold: hold.unsafeCoerce() }
    }
    this.context.fleet.recordRefusal(server.id, prompts.fullMs, this.now())
    this.context.meter.count('gateway_room_refused_total', {})
    this.log('reservation refused', { server: server.id, status: outcome.status, neededTokens: this.reservedTokens })
    return { kind: 'refused' }
  }

  private stream (place: Place, cache: types.CacheSource | undefined): Promise<relays.RelayEnd> {
    const { dialect, pool, system } = this.context
    const { isResumable } = this.request.route
    return new Promise(resolve => {
      const relay = new relays.StreamRelay(
        dialect, this.reply, this.cutter, isResumable, () => this.now(), end => {
          stopTimer()
          stopStallTimer()
          this.reply.gone.signal.removeEventListener('abort', leave)
          this.firstByteMs ??= relay.firstByteMs
          this.bytes += relay.bytes
          resolve(end)
        })
      const leave = (): void => relay.stop('caller disconnected')
      const checkStall = (): void => {
        const stalledMs = relay.isPaused ? 0 : this.now() - relay.progressMs
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
        reservation: place.hold,
        resumeAfter: isResumable ? this.cutter.lastId : undefined
      })
      relay.attach(pool.send(place.server, outgoing, !isResumable, relay))
      this.reply.gone.signal.addEventListener('abort', leave, { once: true })
    })
  }

  /** Returns the memory for the prompt and a part of the expected output, in tokens of whole blocks. */
  private countTokens (outputPart: number): number {
    return Math.ceil((this.sizes.promptTokens + this.expectedOutput * outputPart) / prompts.blockTokens + 1) * prompts.blockTokens
  }

  private releasePlace (place: Place | undefined): void {
    this.context.fleet.releaseDecode(this.request.serial)
    if (place?.hold !== undefined) {
      const { dialect, pool } = this.context
      pool.call(place.server, dialect.writeReservationRelease(place.server, place.hold), holdAnswerMs)
        .catch((error: unknown) => this.log('reservation not released', { server: place.server.id, reason: String(error) }))
    }
    this.context.capacityQueue.dispatch(this.now())
  }

  private releaseCache (cache: types.CacheSource): void {
    const { dialect, directory, pool } = this.context
    const server = directory.listAll().find(candidate => candidate.address === cache.address)
    if (server !== undefined) {
      pool.call(server, dialect.writeCacheRelease(server, cache.handle), holdAnswerMs)
        .catch((error: unknown) => this.log('KV cache not released', { server: server.id, reason: String(error) }))
    }
  }

  /** Weakens the verdict of a failure if an earlier placement may have run the request. */
  private withHistory (failure: failures.Failure): failures.Failure {
    return this.mayHaveRun ? failures.withVerdict(failure, 'may_have_run') : failure
  }
}
