/**
 * The claim of one call with an `Idempotency-Key`: acquired before an attempt, settled after the last one.
 */
import * as claimRules from './claim_rules.js'
import * as claimStores from './claim_store.js'
import * as failures from '../contracts/failure.js'
import * as claimResolvers from './claim_resolver.js'
import * as offers from './offers.js'
import * as types from './types.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'

/** Identifies the claim of a call. */
export interface ClaimIdentity {
  readonly name: string
  readonly fingerprint: string
}

/** Dependencies shared by all claim sessions of an entry. */
export interface Dependencies {
  readonly context: types.EntryContext
  readonly claims: claimStores.ClaimStore
  readonly claimResolver: claimResolvers.ClaimResolver
}

/** Time added to a claim's term to allow for clock differences between entries, in milliseconds. */
const clockMarginMs = 5000

export class ClaimSession {
  private held: claimStores.StoredClaim | undefined
  private earlierAnswer: work.ServiceAnswer | undefined

  /** `timeoutMs` is the maximum duration of one attempt. */
  constructor (
    private readonly dependencies: Dependencies,
    private readonly identity: ClaimIdentity,
    private readonly request: string,
    private readonly timeoutMs: number
  ) {}

  /** The answer of an earlier call with the same key, if `acquire` has found one. */
  get replay (): work.ServiceAnswer | undefined {
    return this.earlierAnswer
  }

  /** Claims the call for an attempt. Returns the reason why the attempt must not be made, or `undefined`. */
  async acquire (offered: offers.ServerOffer, attempt: string): Promise<failures.Failure | undefined> {
    const claim = this.createClaim(offered, attempt)
    const taken = this.held === undefined
      ? await this.dependencies.claims.acquire(this.identity.name, claim)
      : await this.dependencies.claims.replace(this.held, claim)
    return await taken.caseOf({
      Left: async failure => failure,
      Right: async found => await this.applyResult(found, claim)
    })
  }

  /** Records the answer, for calls with the same key. */
  recordAnswer (answer: work.ServiceAnswer): void {
    if (this.held !== undefined) {
      this.dependencies.claims.settle(this.held, claimRules.recordAnswer(this.held.claim, answer))
    }
  }

  /** Releases the claim if nothing has run; otherwise records that the outcome is unknown. */
  recordFailure (verdict: verdicts.Verdict): void {
    if (this.held === undefined) {
      return
    }
    if (verdicts.isSafeToRepeat(verdict)) {
      this.dependencies.claims.release(this.held)
      return
    }
    this.dependencies.claims.settle(this.held, { ...this.held.claim, state: 'unknown' })
  }

  private async applyResult (taken: claimStores.ClaimResult, claim: claimRules.Claim): Promise<failures.Failure | undefined> {
    if (taken.kind === 'own') {
      this.held = taken.held
      return undefined
    }
    const wallMs = this.dependencies.context.system.clock.wallMs()
    const decision = claimRules.decide(taken.held.claim, this.identity.fingerprint, wallMs)
    return await this.applyDecision(decision, taken.held, claim)
  }

  private async applyDecision (
    decision: claimRules.Decision, found: claimStores.StoredClaim, claim: claimRules.Claim
  ): Promise<failures.Failure | undefined> {
    switch (decision.kind) {
      case 'refuse':
        return decision.failure
      case 'replay':
        this.earlierAnswer = decision.answer
        return undefined
      case 'ask_agent':
        return await this.applyDecision(await this.dependencies.claimResolver.resolve(found), found, claim)
      case 'take_over':
        return await this.takeOver(found, claim)
      default:
        return verdicts.assertNever(decision)
    }
  }

  private async takeOver (found: claimStores.StoredClaim, claim: claimRules.Claim): Promise<failures.Failure | undefined> {
    const taken = await this.dependencies.claims.replace(found, claim)
    return taken.caseOf({
      Left: failure => failure,
      Right: result => {
        if (result.kind === 'found') {
          return claimRules.createInProgressFailure(0)
        }
        this.held = result.held
        return undefined
      }
    })
  }

  private createClaim (offered: offers.ServerOffer, attempt: string): claimRules.Claim {
    const { system, timing } = this.dependencies.context
    const termMs = this.timeoutMs + 2 * timing.callTimeoutMs + clockMarginMs
    return {
      fingerprint: this.identity.fingerprint,
      request: this.request,
      attempt,
      server: offered.name,
      boot: offered.answer.boot,
      state: 'running',
      settledByMs: system.clock.wallMs() + termMs
    }
  }
}
