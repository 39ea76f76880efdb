/**
 * Selects the prefill and the decode server of a request. Both pools are asked for offers in parallel: the decode
 * server reserves capacity for the time when the prefill and its transfer are expected to end.
 */
import * as configuration from '../contracts/configuration.js'
import * as failures from '../contracts/failure.js'
import * as offerCosts from './offer_costs.js'
import * as offers from './offers.js'
import * as clusterViews from './cluster_view.js'
import * as planner from './planner.js'
import * as policies from './policy.js'
import * as servers from './servers.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

/** The selected prefill server and the reserved decode slot. */
export interface ServerPair {
  readonly prefill: offers.ServerOffer
  /** Absent if the decode server is selected after the prefill. */
  readonly decode: offers.ServerOffer | undefined
  readonly transferMs: number
  /** Delay before the prefill, so that its KV cache is not evicted while it waits for the decode slot. */
  readonly startDelayMs: number
}

/** A pair whose decode slot was requested before the prefill. */
interface ReservedPair extends ServerPair {
  readonly decode: offers.ServerOffer
}

/** A finished prefill whose KV cache is still in its engine. */
export interface KvCacheSource {
  readonly name: string
  readonly region: string
  /** How long a decode may wait for capacity, in milliseconds. */
  readonly decodeWaitMs: number
}

/** How long before the reserved time of the decode slot the KV cache should be ready, in milliseconds. */
const readyLeadMs = 500

/** Maximum time that a prefill is delayed, or its KV cache waits, for a decode slot, in milliseconds. */
const maximumSlotWaitMs = 1_000

/** Safety margin before the first-token deadline, in milliseconds, because predictions tend to be too low. */
const firstTokenMarginMs = 200

/** Minimum shift of the expected time for which a decode server that made no reservation is asked again, in milliseconds. */
const minimumShiftMs = 20

/** Minimum time that capacity stays reserved after the expected start, in milliseconds. */
const minimumHoldMs = 500

/** Fraction of the expected time that is added to the reservation, to allow for a late start. */
const holdShare = 0.5

const standardPolicy = policies.createPolicy('mulberryflow')

export class ServerSelector {
  private readonly requirements: planner.PromptRequirements

  constructor (
    private readonly context: types.EntryContext,
    private readonly servers: servers.Servers,
    private readonly offers: offers.Offers,
    private readonly job: types.Job
  ) {
    this.requirements = createRequirements(job)
  }

  /**
   * Selects both servers and admits the request. Servers in `avoid` are used only if there is no other. Failures have
   * the verdict `not_run`.
   */
  async choosePair (avoid: ReadonlySet<string>): Promise<failures.Result<ServerPair>> {
    const snapshots = this.listSnapshots('prefill', this.location.region, avoid)
    const ranked = planner.rankPrefills(this.servers.clusterView, snapshots, this.requirements, this.location)
    const picked = this.policy.pick(ranked, snapshots, this.nextUnit)
    const best = picked[0]
    if (best === undefined) {
      return failures.fail(offers.createNoServerFailure(this.job.generation.model))
    }
    const source = snapshots.get(best.name)
    const expectedMs = best.waitMs + best.serviceMs
    const prefillOffer = this.offers.choose(picked, this.createOffer('prefill', 0, undefined), offerCosts.getPrefillCostMs)
    if (this.policy.slotTime === 'after_prefill') {
      return this.admitPrefill(await prefillOffer)
    }
    const decodeOffer = this.requestDecodeSlot(source, best.server.region, expectedMs, this.getSlackMs(best.server, expectedMs), avoid)
    const [prefill, decode] = await Promise.all([prefillOffer, decodeOffer])
    return await this.admitPair(prefill, decode, avoid)
  }

  /** Selects a decode server for a finished prefill. */
  async chooseDecode (source: KvCacheSource, avoid: ReadonlySet<string>): Promise<failures.Result<offers.ServerOffer>> {
    const server = this.context.configuration.getServer(source.name)
    const snapshot = server === undefined ? undefined : this.servers.clusterView.getSnapshot(source.name, server, this.nowMs)
    return await this.requestDecodeSlot(snapshot, source.region, 0, source.decodeWaitMs, avoid)
  }

  /** Admits a request based on its prefill offer alone. */
  private admitPrefill (prefill: failures.Result<offers.ServerOffer>): failures.Result<ServerPair> {
    return prefill.chain(offered => {
      const pair = { prefill: offered, decode: undefined, transferMs: 0, startDelayMs: 0 }
      const refusal = this.checkAdmission(pair)
      return refusal === undefined ? failures.succeed<ServerPair>(pair) : failures.fail<ServerPair>(refusal)
    })
  }

  private async admitPair (
    prefill: failures.Result<offers.ServerOffer>,
    decode: failures.Result<offers.ServerOffer>,
    avoid: ReadonlySet<string>
  ): Promise<failures.Result<ServerPair>> {
    if (prefill.isLeft()) {
      decode.ifRight(offered => this.offers.release(offered))
      return failures.fail(prefill.extract() as failures.Failure)
    }
    if (decode.isLeft()) {
      return failures.fail(decode.extract() as failures.Failure)
    }
    const pair = this.createPair(prefill.extract() as offers.ServerOffer, decode.extract() as offers.ServerOffer)
    const refusal = this.checkAdmission(pair)
    if (refusal !== undefined) {
      this.offers.release(pair.decode)
      return failures.fail(refusal)
    }
    const renewed = await this.renewReservation(pair, avoid)
    return renewed.chain(promised => this.checkReservation(promised)).map(promised => this.delayStart(promised))
  }

  /** Delays the prefill if its decode slot is reserved for a later time than the prefill would end. */
  private delayStart (pair: ReservedPair): ServerPair {
    if (this.policy.slotTime !== 'promised') {
      return pair
    }
    return { ...pair, startDelayMs: Math.max(0, pair.decode.readyInMs - getArrivalMs(pair) - readyLeadMs) }
  }

  /** Renews the reservation if the end of the prefill, by the prefill server's answer, no longer matches it. */
  private async renewReservation (
    pair: ReservedPair, avoid: ReadonlySet<string>
  ): Promise<failures.Result<ReservedPair>> {
    const { waitMs, serviceMs } = pair.prefill.answer
    const prefillEndMs = waitMs + serviceMs
    if (!this.isMistimed(pair)) {
      return failures.succeed(pair)
    }
    this.offers.release(pair.decode)
    const slackMs = this.getSlackMs(pair.prefill.candidate.server, prefillEndMs)
    const offer = this.createDecodeOffer(prefillEndMs, pair.transferMs, slackMs)
    const renewed = await this.offers.choose([pair.decode.candidate], offer, offerCosts.getDecodeCostMs)
    const isReserved = renewed.map(({ answer }) => answer.reservation !== undefined).orDefault(false)
    const { server } = pair.prefill.candidate
    const decode = isReserved ? renewed : await this.requestDecodeSlot(this.getSnapshot(pair.prefill), server.region, prefillEndMs, slackMs, avoid)
    return decode.map(promised => ({ ...pair, decode: promised }))
  }

  /**
   * Returns whether the KV cache will arrive too late for the reservation, or early enough for an earlier one, or, if
   * the server made no reservation, later than the offer request stated.
   */
  private isMistimed (pair: ReservedPair): boolean {
    const { readyInMs, answer } = pair.decode
    const lateMs = getArrivalMs(pair) - readyInMs
    if (answer.reservation === undefined) {
      return lateMs + answer.waitMs > minimumShiftMs
    }
    const toleranceMs = getHoldMs(readyInMs) / 2
    return lateMs > toleranceMs || (lateMs < -toleranceMs && answer.waitMs === 0)
  }

  /** Returns how much later than expected the decode may start without missing the first-token deadline. */
  private getSlackMs (server: configuration.Server, expectedMs: number): number {
    const unloadedMs = planner.getUnloadedMs(server, this.requirements.promptTokens)
    const dueMs = planner.getFirstTokenDeadlineMs(this.job.model.firstTokenTargetMs, unloadedMs)
    const elapsedMs = this.nowMs - this.job.receivedAtMs
    const leftMs = dueMs - elapsedMs - expectedMs - this.job.model.betweenTokensTargetMs - firstTokenMarginMs
    return Math.min(maximumSlotWaitMs, Math.max(0, leftMs))
  }

  /** Refuses a request without a reserved decode slot, because its prefill would be wasted. */
  private checkReservation (pair: ReservedPair): failures.Result<ReservedPair> {
    const { answer, readyInMs } = pair.decode
    if (answer.reservation !== undefined) {
      return failures.succeed(pair)
    }
    const retryAfterMs = answer.retryAfterMs ?? Math.max(1, answer.waitMs)
    if (answer.isAboveShare === true) {
      const details = [this.job.workspace, Math.round(answer.waitMs)]
      return failures.fail(failures.createFailure('not_run', 'share_exceeded', details, retryAfterMs))
    }
    const arrivalMs = this.nowMs - this.job.receivedAtMs + getArrivalMs(pair) + answer.serviceMs
    const limitMs = arrivalMs + this.getSlackMs(pair.prefill.candidate.server, getArrivalMs(pair))
    const predictedMs = arrivalMs + Math.max(0, readyInMs - getArrivalMs(pair))
    const details = [Math.floor(limitMs), Math.ceil(predictedMs)]
    return failures.fail(failures.createFailure('not_run', 'target_unreachable', details, retryAfterMs))
  }

  private async requestDecodeSlot (
    source: clusterViews.ServerSnapshot | undefined, region: string, expectedMs: number, slackMs: number, avoid: ReadonlySet<string>
  ): Promise<failures.Result<offers.ServerOffer>> {
    const snapshots = this.listSnapshots('decode', region, avoid)
    const ranked = planner.rankDecodes(snapshots, this.requirements, source, this.location)
    const picked = this.policy.pick(ranked, snapshots, this.nextUnit)
    const target = snapshots.get(picked[0]?.name ?? '')
    if (target === undefined) {
      return failures.fail(offers.createNoServerFailure(this.job.generation.model))
    }
    const transferMs = planner.estimateTransferMs(this.requirements, source, target)
    const offer = this.createDecodeOffer(expectedMs, transferMs, slackMs)
    return await this.offers.choose(picked, offer, offerCosts.getDecodeCostMs)
  }

  /** Requests capacity from the expected start on, or from now on if the policy reserves it through the prefill. */
  private createDecodeOffer (expectedMs: number, transferMs: number, slackMs: number): work.Offer {
    const holdMs = getHoldMs(expectedMs)
    if (this.policy.slotTime === 'through_prefill') {
      return this.createOffer('decode', 0, expectedMs + transferMs + holdMs)
    }
    const offer = this.createOffer('decode', expectedMs + transferMs, holdMs)
    return { ...offer, maximumWaitMs: Math.max(0, slackMs - transferMs) }
  }

  private createPair (prefill: offers.ServerOffer, decode: offers.ServerOffer): ReservedPair {
    const source = this.getSnapshot(prefill)
    const target = this.getSnapshot(decode)
    return { prefill, decode, transferMs: planner.estimateTransferMs(this.requirements, source, target), startDelayMs: 0 }
  }

  private checkAdmission (pair: ServerPair): failures.Failure | undefined {
    const { prefill, decode, transferMs } = pair
    if (!this.policy.refusesLate) {
      return undefined
    }
    const unloadedMs = planner.getUnloadedMs(prefill.candidate.server, this.requirements.promptTokens) + transferMs
    return planner.checkAdmission({
      prefillWaitMs: prefill.answer.waitMs,
      prefillServiceMs: prefill.answer.serviceMs,
      transferMs,
      decodeWaitMs: decode === undefined ? 0 : Math.max(0, decode.readyInMs - getArrivalMs(pair)),
      stepMs: decode?.answer.serviceMs ?? 0,
      unloadedMs
    }, this.job.model.firstTokenTargetMs)
  }

  private createOffer (kind: 'prefill' | 'decode', expectedInMs: number, holdMs: number | undefined): work.Offer {
    const offer = {
      request: this.job.request,
      workspace: this.job.workspace,
      weight: this.job.weight,
      kind,
      model: this.job.generation.model,
      promptTokens: this.requirements.promptTokens,
      maximumTokens: this.requirements.maximumTokens,
      prefixes: kind === 'prefill' ? [...this.requirements.prefixes] : [],
      expectedInMs
    }
    return holdMs === undefined ? offer : { ...offer, holdMs }
  }

  private listSnapshots (role: 'prefill' | 'decode', region: string, avoid: ReadonlySet<string>): policies.ServerSnapshots {
    return this.servers.listSnapshots({ role, subject: this.job.generation.model, region }, avoid)
  }

  private getSnapshot (offered: offers.ServerOffer): clusterViews.ServerSnapshot {
    return this.servers.clusterView.getSnapshot(offered.name, offered.candidate.server, this.nowMs)
  }

  private readonly nextUnit = (): number => this.context.system.random.nextUnit()

  private get nowMs (): number {
    return this.context.system.clock.monotonicMs()
  }

  private get policy (): policies.Policy {
    return this.context.policy ?? standardPolicy
  }

  private get location (): planner.Location {
    return this.context.identity
  }
}

export function createRequirements (job: types.Job): planner.PromptRequirements {
  return {
    model: job.model,
    promptTokens: job.generation.promptTokens,
    maximumTokens: job.generation.maximumTokens,
    prefixes: job.prefixes
  }
}

/** Returns the time until the KV cache is expected at the decode server, in milliseconds. */
function getArrivalMs ({ prefill, transferMs }: ServerPair): number {
  return prefill.answer.waitMs + prefill.answer.serviceMs + transferMs
}

function getHoldMs (expectedMs: number): number {
  return minimumHoldMs + expectedMs * holdShare
}
