/**
 * The claim of one call with an `Idempotency-Key`: acquired before an attempt, settled after the last one.
 */
import * as claimRules from './claim_rules.js'
import * as claimStores from './claims.js'
import * as failures from '../contracts/failure.js'
import * as inquiryDesks from './inquiries.js'
import * as offers from './offers.js'
import * as types from './types.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'

/** Identifies the claim of a call. */
export interface ClaimOrder {
  readonly name: string
  readonly fingerprint: string
}

/** Dependencies shared by all claim sessions of an entry. */
export interface Tools {
  readonly surroundings: types.Surroundings
  readonly claims: claimStores.Claims
  readonly inquiries: inquiryDesks.Inquiries
}

/** Time added to a claim's term to allow for clock differences between entries, in milliseconds. */
const clockMarginMs = 5000

export class ClaimSession {
  private held: claimStores.Held | undefined
  private earlierAnswer: work.ServiceAnswer | undefined

  /** `timeoutMs` is the maximum duration of one attempt. */
  constructor (
    private readonly tools: Tools,
    private readonly order: ClaimOrder,
    private readonly request: string,
    private readonly timeoutMs: number
  ) {}

  /** The answer of an earlier call with the same key, if `acquire` has found one. */
  get replay (): work.ServiceAnswer | undefined {
    return this.earlierAnswer
  }

  /** Claims the call for an attempt. Returns the reason why the attempt must not be made, or `undefined`. */
  async take (offered: offers.Offered, attempt: string): Promise<failures.Failure | undefined> {
    const claim = this.createClaim(offered, attempt)
    const taken = this.held === undefined
      ? await this.tools.claims.take(this.order.name, claim)
      : await this.tools.claims.replace(this.held, claim)
    return await taken.caseOf({
      Left: async failure => failure,
      Right: async found => await this.useTaken(found, claim)
    })
  }

  /** Records the answer, for calls with the same key. */
  recordAnswer (answer: work.ServiceAnswer): void {
    if (this.held !== undefined) {
      this.tools.claims.settle(this.held, claimRules.recordAnswer(this.held.claim, answer))
    }
  }

  /** Releases the claim if nothing has run; otherwise records that the outcome is unknown. */
  recordFailure (verdict: verdicts.Verdict): void {
    if (this.held === undefined) {
      return
    }
    if (verdicts.isSafeToRepeat(verdict)) {
      this.tools.claims.free(this.held)
      return
    }
    this.tools.claims.settle(this.held, { ...this.held.claim, state: 'unknown' })
  }

  private async useTaken (taken: claimStores.Taken, claim: claimRules.Claim): Promise<failures.Failure | undefined> {
    if (taken.kind === 'own') {
      this.held = taken.held
      return undefined
    }
    const wallMs = this.tools.surroundings.system.clock.wallMs()
    const decision = claimRules.decide(taken.held.claim, this.order.fingerprint, wallMs)
    return await this.apply(decision, taken.held, claim)
  }

  private async apply (
    decision: claimRules.Decision, found: claimStores.Held, claim: claimRules.Claim
  ): Promise<failures.Failure | undefined> {
    switch (decision.kind) {
      case 'refuse':
        return decision.failure
      case 'replay':
        this.earlierAnswer = decision.answer
        return undefined
      case 'ask_agent':
        return await this.apply(await this.tools.inquiries.ask(found), found, claim)
      case 'take_over':
        return await this.takeOver(found, claim)
      default:
        return verdicts.assertNever(decision)
    }
  }

  private async takeOver (found: claimStores.Held, claim: claimRules.Claim): Promise<failures.Failure | undefined> {
    const taken = await this.tools.claims.replace(found, claim)
    return taken.caseOf({
      Left: failure => failure,
      Right: result => {
        if (result.kind === 'found') {
          return claimRules.createInProgress(0)
        }
        this.held = result.held
        return undefined
      }
    })
  }

  private createClaim (offered: offers.Offered, attempt: string): claimRules.Claim {
    const { system, timing } = this.tools.surroundings
    const termMs = this.timeoutMs + 2 * timing.callTimeoutMs + clockMarginMs
    return {
      fingerprint: this.order.fingerprint,
      request: this.request,
      attempt,
      server: offered.name,
      boot: offered.answer.boot,
      state: 'running',
      settledByMs: system.clock.wallMs() + termMs
    }
  }
}
