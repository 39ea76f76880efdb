/**
 * Chooses the prefill and the decode server of a request, asking both pools at once: the decode server keeps
 * room for the instant when the prefill and its transfer are expected to end.
 */
import * as configuration from '../contracts/configuration.js'
import * as failures from '../contracts/failure.js'
import * as offerCosts from './offer_costs.js'
import * as offers from './offers.js'
import * as pictures from './picture.js'
import * as planner from './planner.js'
import * as policies from './policy.js'
import * as servers from './servers.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

/** A chosen prefill and a promised decode slot. */
export interface Pair {
  readonly prefill: offers.Offered
  /** Absent when the decode server is chosen after the prefill. */
  readonly decode: offers.Offered | undefined
  readonly transferMs: number
  /** Pause before the prefill, so that its KV cache does not wait longer for the decode slot than it lasts. */
  readonly startDelayMs: number
}

/** A pair whose decode slot was asked for before the prefill. */
interface PromisedPair extends Pair {
  readonly decode: offers.Offered
}

/** A finished prefill whose KV cache waits in its engine. */
export interface Source {
  readonly name: string
  readonly region: string
  /** How long a decode may wait for room, in milliseconds. */
  readonly decodeWaitMs: number
}

/** How long before the instant of its decode slot a KV cache is meant to be ready, in milliseconds. */
const readyAheadMs = 500

/** Longest that a prefill is put off, or its KV cache waits, for a decode slot, in milliseconds. */
const longestSlotWaitMs = 1_000

/** Time before the first token is due that no wait is planned into, in milliseconds: predictions fall short. */
const reserveMs = 200

/** Change of the expected instant for which a decode server that has refused room is asked again, in milliseconds. */
const leastMovedMs = 20

/** Shortest time that room is kept beyond the expected instant, in milliseconds. */
const minimumHoldMs = 500

/** Share of the expected time by which the instant may be missed. */
const holdShare = 0.5

const standardPolicy = policies.createPolicy('mulberryflow')

export class Pairing {
  private readonly need: planner.Need

  constructor (
    private readonly surroundings: types.Surroundings,
    private readonly servers: servers.Servers,
    private readonly offers: offers.Offers,
    private readonly job: types.Job
  ) {
    this.need = createNeed(job)
  }

  /** Chooses both servers, none of them in `avoid`, and admits the request; every failure is `not_run`. */
  async choosePair (avoid: ReadonlySet<string>): Promise<failures.Result<Pair>> {
    const standings = this.listStandings('prefill', this.place.region, avoid)
    const ranked = planner.rankPrefills(this.servers.picture, standings, this.need, this.place)
    const picked = this.policy.pick(ranked, standings, this.nextUnit)
    const best = picked[0]
    if (best === undefined) {
      return failures.fail(offers.createNoServer(this.job.generation.model))
    }
    const source = standings.get(best.name)
    const expectedMs = best.waitMs + best.serviceMs
    const asked = this.offers.choose(picked, this.createOffer('prefill', 0, undefined), offerCosts.getPrefillCost)
    if (this.policy.slotTime === 'after_prefill') {
      return this.joinPrefill(await asked)
    }
    const promise = this.promise(source, best.server.region, expectedMs, this.getSlackMs(best.server, expectedMs), avoid)
    const [prefill, decode] = await Promise.all([asked, promise])
    return await this.join(prefill, decode, avoid)
  }

  /** Chooses a decode server for a prefill that has ended. */
  async chooseDecode (source: Source, avoid: ReadonlySet<string>): Promise<failures.Result<offers.Offered>> {
    const server = this.surroundings.configuration.getServer(source.name)
    const standing = server === undefined ? undefined : this.servers.picture.getStanding(source.name, server, this.nowMs)
    return await this.promise(standing, source.region, 0, source.decodeWaitMs, avoid)
  }

  /** Admits a request by its prefill alone. */
  private joinPrefill (prefill: failures.Result<offers.Offered>): failures.Result<Pair> {
    return prefill.chain(offered => {
      const pair = { prefill: offered, decode: undefined, transferMs: 0, startDelayMs: 0 }
      const refusal = this.checkAdmission(pair)
      return refusal === undefined ? failures.succeed<Pair>(pair) : failures.fail<Pair>(refusal)
    })
  }

  private async join (
    prefill: failures.Result<offers.Offered>,
    decode: failures.Result<offers.Offered>,
    avoid: ReadonlySet<string>
  ): Promise<failures.Result<Pair>> {
    if (prefill.isLeft()) {
      decode.ifRight(offered => this.offers.release(offered))
      return failures.fail(prefill.extract() as failures.Failure)
    }
    if (decode.isLeft()) {
      return failures.fail(decode.extract() as failures.Failure)
    }
    const pair = this.createPair(prefill.extract() as offers.Offered, decode.extract() as offers.Offered)
    const refusal = this.checkAdmission(pair)
    if (refusal !== undefined) {
      this.offers.release(pair.decode)
      return failures.fail(refusal)
    }
    const renewed = await this.renewPromise(pair, avoid)
    return renewed.chain(promised => this.checkPromise(promised)).map(promised => this.planStart(promised))
  }

  /** Delays the prefill of a request whose decode slot is promised for later than the prefill would end. */
  private planStart (pair: PromisedPair): Pair {
    if (this.policy.slotTime !== 'promised') {
      return pair
    }
    return { ...pair, startDelayMs: Math.max(0, pair.decode.readyInMs - getArrivalMs(pair) - readyAheadMs) }
  }

  /** Promises the room anew when the prefill's own answer moved its end beyond the time that room is kept. */
  private async renewPromise (
    pair: PromisedPair, avoid: ReadonlySet<string>
  ): Promise<failures.Result<PromisedPair>> {
    const { waitMs, serviceMs } = pair.prefill.answer
    const foundMs = waitMs + serviceMs
    if (!this.isMistimed(pair)) {
      return failures.succeed(pair)
    }
    this.offers.release(pair.decode)
    const slackMs = this.getSlackMs(pair.prefill.candidate.server, foundMs)
    const offer = this.createDecodeOffer(foundMs, pair.transferMs, slackMs)
    const renewed = await this.offers.choose([pair.decode.candidate], offer, offerCosts.getDecodeCost)
    const isKept = renewed.map(({ answer }) => answer.reservation !== undefined).orDefault(false)
    const { server } = pair.prefill.candidate
    const decode = isKept ? renewed : await this.promise(this.getStanding(pair.prefill), server.region, foundMs, slackMs, avoid)
    return decode.map(promised => ({ ...pair, decode: promised }))
  }

  /**
   * Whether the KV cache will come too late for the promised room, or early enough for earlier room, or later than the
   * server was told that has refused room.
   */
  private isMistimed (pair: PromisedPair): boolean {
    const { readyInMs, answer } = pair.decode
    const lateMs = getArrivalMs(pair) - readyInMs
    if (answer.reservation === undefined) {
      return lateMs + answer.waitMs > leastMovedMs
    }
    const toleranceMs = getHoldMs(readyInMs) / 2
    return lateMs > toleranceMs || (lateMs < -toleranceMs && answer.waitMs === 0)
  }

  /** Returns how much later than expected the decode may start for the first token to be in time. */
  private getSlackMs (server: configuration.Server, expectedMs: number): number {
    const unloadedMs = planner.getUnloadedMs(server, this.need.promptTokens)
    const dueMs = planner.getFirstTokenDeadlineMs(this.job.model.firstTokenTargetMs, unloadedMs)
    const elapsedMs = this.nowMs - this.job.receivedAtMs
    const leftMs = dueMs - elapsedMs - expectedMs - this.job.model.betweenTokensTargetMs - reserveMs
    return Math.min(longestSlotWaitMs, Math.max(0, leftMs))
  }

  /** Refuses a request for which no decode server keeps room: its prefill would be lost. */
  private checkPromise (pair: PromisedPair): failures.Result<PromisedPair> {
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

  private async promise (
    source: pictures.Standing | undefined, region: string, expectedMs: number, slackMs: number, avoid: ReadonlySet<string>
  ): Promise<failures.Result<offers.Offered>> {
    const standings = this.listStandings('decode', region, avoid)
    const ranked = planner.rankDecodes(standings, this.need, source, this.place)
    const picked = this.policy.pick(ranked, standings, this.nextUnit)
    const target = standings.get(picked[0]?.name ?? '')
    if (target === undefined) {
      return failures.fail(offers.createNoServer(this.job.generation.model))
    }
    const transferMs = planner.estimateTransferMs(this.need, source, target)
    const offer = this.createDecodeOffer(expectedMs, transferMs, slackMs)
    return await this.offers.choose(picked, offer, offerCosts.getDecodeCost)
  }

  /** Asks for room from the expected instant on, or from now on if the policy keeps it through the prefill. */
  private createDecodeOffer (expectedMs: number, transferMs: number, slackMs: number): work.Offer {
    const holdMs = getHoldMs(expectedMs)
    if (this.policy.slotTime === 'through_prefill') {
      return this.createOffer('decode', 0, expectedMs + transferMs + holdMs)
    }
    const offer = this.createOffer('decode', expectedMs + transferMs, holdMs)
    return { ...offer, maximumWaitMs: Math.max(0, slackMs - transferMs) }
  }

  private createPair (prefill: offers.Offered, decode: offers.Offered): PromisedPair {
    const source = this.getStanding(prefill)
    const target = this.getStanding(decode)
    return { prefill, decode, transferMs: planner.estimateTransferMs(this.need, source, target), startDelayMs: 0 }
  }

  private checkAdmission (pair: Pair): failures.Failure | undefined {
    const { prefill, decode, transferMs } = pair
    if (!this.policy.refusesLate) {
      return undefined
    }
    const unloadedMs = planner.getUnloadedMs(prefill.candidate.server, this.need.promptTokens) + transferMs
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
      promptTokens: this.need.promptTokens,
      maximumTokens: this.need.maximumTokens,
      prefixes: kind === 'prefill' ? [...this.need.prefixes] : [],
      expectedInMs
    }
    return holdMs === undefined ? offer : { ...offer, holdMs }
  }

  private listStandings (role: 'prefill' | 'decode', region: string, avoid: ReadonlySet<string>): policies.Standings {
    return this.servers.listStandings({ role, subject: this.job.generation.model, region }, avoid)
  }

  private getStanding (offered: offers.Offered): pictures.Standing {
    return this.servers.picture.getStanding(offered.name, offered.candidate.server, this.nowMs)
  }

  private readonly nextUnit = (): number => this.surroundings.system.random.nextUnit()

  private get nowMs (): number {
    return this.surroundings.system.clock.monotonicMs()
  }

  private get policy (): policies.Policy {
    return this.surroundings.policy ?? standardPolicy
  }

  private get place (): planner.Place {
    return this.surroundings.identity
  }
}

export function createNeed (job: types.Job): planner.Need {
  return {
    model: job.model,
    promptTokens: job.generation.promptTokens,
    maximumTokens: job.generation.maximumTokens,
    prefixes: job.prefixes
  }
}

/** Returns the time from now until the KV cache is expected at the decode server, in milliseconds. */
function getArrivalMs ({ prefill, transferMs }: Pair): number {
  return prefill.answer.waitMs + prefill.answer.serviceMs + transferMs
}

function getHoldMs (expectedMs: number): number {
  return minimumHoldMs + expectedMs * holdShare
}
