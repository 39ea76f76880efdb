/**
 * Where a generation would go now, as `PromptAdmission`, `DecodePlacement` and `PromptPrefill` decide: admission of its prompt, decode server,
 * then the place of the prefill.
 */
import * as decodePlacements from '../decode_placement.js'
import * as explanations from './explanation.js'
import * as failures from '../../contracts/failure.js'
import type * as fleets from '../engine_fleet.js'
import * as prefillPlacements from '../prefill_placement.js'
import * as probabilities from './probabilities.js'
import * as promptAdmissions from '../prompt_admission.js'
import * as promptPrefills from '../prompt_prefill.js'
import * as routing from '../../contracts/routing.js'
import * as targets from './target_explanation.js'

const nothingTried: ReadonlySet<string> = new Set()

interface Forecast {
  readonly waitMs: number
  readonly rate: number
}

export class GenerationExplanation extends targets.TargetExplanation {
  private get expectedOutput (): number {
    return this.context.outputs.expect(this.request.service.name, this.request.sizes)
  }

  private get committedTokens (): number {
    return decodePlacements.countCommittedTokens(this.request.sizes.promptTokens, this.expectedOutput)
  }

  /** When the request could no longer start in time; it is taken for a first attempt, which is not late. */
  private get latestMs (): number {
    const { nowMs, request: { remainingMs, route: { goalMs } } } = this
    const prefill = this.listPrefill(undefined)
    const prefillMs = targets.findLikeliest(prefill)?.figures.prefillMs ?? 0
    return decodePlacements.planWait({ arrivedMs: nowMs, firstAttemptMs: nowMs, goalMs, patienceMs: Infinity, remainingMs }, prefillMs).latestMs
  }

  override explain (): targets.TargetAnswer {
    const decode = this.listDecode()
    const step: explanations.Step = {
      choice: 'decode',
      by: 'free_memory',
      neededTokens: this.committedTokens,
      candidates: [...decode, ...this.listRuledOut(({ stage }) => stage === 'decode')]
    }
    const obstacle = this.checkPrompt() ?? this.checkCapacity(decode)
    const chosen = targets.findLikeliest(decode)
    if (obstacle !== undefined || chosen === undefined) {
      return { outcome: obstacle ?? { kind: 'refused', refusal: this.createNoCapacityRefusal() }, steps: [step], notes: this.notes }
    }
    const prefill = this.listPrefill(chosen.zone)
    const prefillStep: explanations.Step = {
      choice: 'prefill', by: 'prefill_time', candidates: [...prefill, ...this.listRuledOut(({ stage }) => stage === 'prefill')]
    }
    return {
      outcome: { kind: 'sent', server: chosen.server, probability: chosen.probability, prefill: this.placePrefill(chosen, prefill) },
      steps: [step, prefillStep],
      notes: [...this.notes, 'The engine itself grants or refuses the memory; after a refusal the next server is tried.']
    }
  }

  /** Returns the outcome of a prompt that is not admitted at once. */
  private checkPrompt (): explanations.Outcome | undefined {
    const { remainingMs, route, sharedParts, workspace } = this.request
    const verdict = this.context.guard.judge({ parts: sharedParts, workspace: workspace ?? '' })
    switch (verdict.kind) {
      case 'clear':
        return undefined
      case 'blocked':
        return { kind: 'refused', refusal: targets.createRefusal(failures.createFailure('not_run', 'prompt_blocked', [verdict.part, verdict.ends], verdict.leftMs)) }
      case 'suspect': {
        const failure = failures.createFailure('not_run', 'prompt_suspected', [verdict.parts.join(', ')], promptAdmissions.suspectRetryMs)
        return {
          kind: 'waits',
          for: 'trial_of_prompt',
          longestMs: Math.min(remainingMs, route.goalMs * promptAdmissions.suspectWaitPart),
          refusal: targets.createRefusal(failure)
        }
      }
    }
  }

  /** Returns the outcome of a request that gets no decode server at once. */
  private checkCapacity (decode: readonly explanations.Candidate[]): explanations.Outcome | undefined {
    const { nowMs, ready, request: { route, urgency } } = this
    if (this.request.remainingMs <= 0 || ready.length === 0) {
      return { kind: 'refused', refusal: this.createNoServerRefusal(promptPrefills.noServerRetryMs) }
    }
    const reason = this.findReasonToWait(decode)
    if (reason === undefined) {
      return undefined
    }
    const { latestMs } = this
    const permitWaitMs = this.estimatePermitWaitMs()
    if (permitWaitMs !== undefined && nowMs + permitWaitMs > latestMs) {
      return { kind: 'refused', refusal: this.createLimitRefusal(permitWaitMs) }
    }
    const expectedMs = urgency === undefined ? permitWaitMs : this.forecast()?.waitMs
    const { prefills } = this.context.queueing
    const isUnservable = urgency !== undefined && reason !== 'more_urgent_elsewhere' &&
      prefills.isUnservable({ arrivedMs: nowMs, goalMs: route.goalMs, latestMs, waitMs: expectedMs }, nowMs)
    const refusal = this.createNoCapacityRefusal()
    return latestMs <= nowMs || isUnservable
      ? { kind: 'refused', refusal }
      : { kind: 'waits', for: reason, expectedMs: expectedMs === undefined ? undefined : targets.round(expectedMs), longestMs: targets.round(latestMs - nowMs), refusal }
  }

  private findReasonToWait (decode: readonly explanations.Candidate[]): (explanations.Outcome & { readonly kind: 'waits' })['for'] | undefined {
    const { capacityQueue, queueing } = this.context
    const { priority, service, urgency } = this.request
    if (urgency !== undefined && this.aheadTokens > 0) {
      return 'requests_ahead'
    }
    const candidate = { id: undefined, service: service.name, rank: priority, countPlaces: (tokens: number) => this.countPlaces(tokens) }
    if (urgency !== undefined && queueing.deferral.observe(candidate, this.nowMs)) {
      return 'more_urgent_elsewhere'
    }
    if (urgency === undefined && capacityQueue.length > 0) {
      this.notes.push(`${capacityQueue.length} requests wait at this gateway.`)
    }
    return targets.findLikeliest(decode) === undefined ? 'capacity' : undefined
  }

  /** Returns the decode servers that may get the request, with the probability of each. */
  private listDecode (): readonly explanations.Candidate[] {
    const { fleet, pace } = this.context
    const { service, urgency } = this.request
    const profile = service.engine as routing.EngineProfile
    const servers = this.available.filter(({ stage }) => stage === 'decode')
    const headroom = decodePlacements.selectHeadroom(this.context, service.name, urgency, this.available, this.nowMs)
    let inspected = fleet.inspectDecode(servers, profile, this.committedTokens, this.nowMs, { headroom })
    const parts = pace.observe()
    const isPaced = inspected.every(({ rating }) => typeof rating !== 'number') && servers.some(server => parts.getPart(server, this.nowMs) < 1)
    if (isPaced && this.nowMs >= decodePlacements.getPaceWaitEnd(this.nowMs, this.request.route.goalMs, this.latestMs)) {
      inspected = fleet.inspectDecode(servers, profile, this.committedTokens, this.nowMs, { headroom, mayExceedPace: true })
    }
    const rated = inspected.filter(({ rating }) => typeof rating === 'number')
    const costs = rated.map(({ rating }) => -(rating as number))
    const jitter = fleet.getJitter()
    const chances = jitter > 0
      ? probabilities.computeLeast(costs.map(cost => new probabilities.UniformCost(cost - jitter, jitter)))
      : probabilities.selectLeast(costs)
    return inspected.map(entry => this.createDecodeCandidate(entry, chances[rated.indexOf(entry)] ?? 0))
  }

  private createDecodeCandidate ({ server, rating, room }: fleets.InspectedDecode, probability: number): explanations.Candidate {
    const figures = {
      runs: room?.runs,
      slots: room?.slots,
      usedTokens: room?.usedTokens,
      freeTokens: room?.freeTokens,
      headroomTokens: room?.headroomTokens,
      slowness: room?.slowness,
      loadAgeMs: this.context.fleet.getLoadAgeMs(server.id, this.nowMs)
    }
    return typeof rating === 'number'
      ? this.createCandidate(server, [], probability, { rating, ...figures })
      : this.createCandidate(server, [rating], 0, figures)
  }

  /** Returns the prefill servers that may read the prompt, with the probability of each. */
  private listPrefill (decodeZone: string | undefined): readonly explanations.Candidate[] {
    const { fleet } = this.context
    const servers = this.available.filter(({ stage }) => stage === 'prefill')
    const inspected = fleet.inspectPrefill(servers, this.request.sizes.promptTokens, nothingTried, this.nowMs, decodeZone)
    const usable = inspected.filter(({ obstacle }) => obstacle === undefined)
    const costs = usable.map(({ time, paceMs }) => time.readyMs + time.distanceMs + paceMs)
    const jitter = fleet.getJitter()
    const chances = usable.some(({ time }) => jitter * time.readyMs > 0)
      ? probabilities.computeLeast(usable.map(({ time }, index) => new probabilities.UniformCost(costs[index] ?? 0, jitter * time.readyMs)))
      : probabilities.selectLeast(costs)
    return inspected.map(entry => {
      const { server, time, paceMs, unreadTokens, obstacle } = entry
      const index = usable.indexOf(entry)
      return this.createCandidate(server, obstacle === undefined ? [] : [obstacle], chances[index] ?? 0, {
        rating: time.readyMs + time.distanceMs + paceMs,
        prefillMs: time.readyMs,
        distanceMs: time.distanceMs,
        unreadTokens,
        loadAgeMs: fleet.getLoadAgeMs(server.id, this.nowMs)
      })
    })
  }

  private placePrefill (
    decode: explanations.Candidate, prefill: readonly explanations.Candidate[]
  ): (explanations.Outcome & { readonly kind: 'sent' })['prefill'] {
    const { fleet } = this.context
    const chosen = targets.findLikeliest(prefill)
    const unloadedMs = fleet.estimatePrefillMs('', this.request.sizes.promptTokens, this.nowMs)
    const { runs } = fleet.getLoad(decode.server, this.nowMs)
    return chosen === undefined || prefillPlacements.shouldPrefillAtDecode(chosen.figures.prefillMs ?? 0, unloadedMs, runs)
      ? { by: 'decode_server', server: decode.server, probability: 1 }
      : { by: 'prefill_server', server: chosen.server, probability: chosen.probability }
  }

  /** Memory of the requests of this service that wait before this one at this gateway, in tokens. */
  private get aheadTokens (): number {
    const { priority, service } = this.request
    let tokens = 0
    for (const { claim, priority: rank } of this.context.capacityQueue.listClaimants()) {
      tokens += claim.service === service.name && rank <= priority ? claim.memoryTokens : 0
    }
    return tokens
  }

  private listRooms (): readonly fleets.DecodeRoom[] {
    const { engine } = this.request.service
    return engine === undefined ? [] : this.context.fleet.observeDecodeRooms(this.available, engine, this.nowMs)
  }

  private countPlaces (tokens: number): number {
    return decodePlacements.countPlaces(this.listRooms(), tokens)
  }

  private forecast (): Forecast | undefined {
    const { queueing } = this.context
    const { priority, service: { name } } = this.request
    const rate = queueing.forecast.observeRate(name, () => this.listRooms().reduce((sum, { usedTokens }) => sum + usedTokens, 0), this.nowMs)
    return rate === undefined
      ? undefined
      : { waitMs: decodePlacements.forecastWait(queueing, name, priority, { neededTokens: this.committedTokens, aheadTokens: this.aheadTokens }, rate, this.nowMs), rate }
  }

  /** Estimated wait for a permit, in milliseconds; undefined unless each decode server has a limit. */
  private estimatePermitWaitMs (): number | undefined {
    const { capacityQueue, permits } = this.context
    const servers = this.ready.filter(({ stage }) => stage === 'decode')
    if (servers.length === 0 || !servers.every(server => this.hasLimit(server))) {
      return undefined
    }
    const nextMs = Math.min(...servers.map(server => permits.observeWaitMs(server)))
    return nextMs + capacityQueue.length * 1000 / Math.max(permits.getSharePerSecond(servers), Number.EPSILON)
  }

  private createNoCapacityRefusal (): explanations.Refusal {
    const { queueing } = this.context
    const { priority, remainingMs, route: { goalMs }, service: { name }, urgency } = this.request
    if (this.ready.length === 0) {
      return this.createNoServerRefusal(promptPrefills.noServerRetryMs)
    }
    const failure = failures.createFailure('not_run', 'target_unreachable', [goalMs, goalMs], decodePlacements.capacityRetryMs)
    if (urgency === undefined) {
      return targets.createRefusal(failure)
    }
    const expected = this.forecast()
    return targets.createRefusal(failure, queueing.returns.observe({
      service: name,
      rank: priority,
      waitMs: expected?.waitMs ?? Infinity,
      intervalMs: expected === undefined ? 0 : this.committedTokens * (queueing.otherGateways + 1) / expected.rate,
      remainingMs
    }, this.nowMs))
  }
}
