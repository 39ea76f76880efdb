/**
 * One call of a plain service: choice of the server, attempts, and the claim if the call carries a key.
 */
import * as attemptRuns from './attempt.js'
import * as claimRules from './claim_rules.js'
import * as claimStores from './claims.js'
import * as documents from '../configuration/document.js'
import * as failures from '../contracts/failure.js'
import * as inquiryDesks from './inquiries.js'
import * as offers from './offers.js'
import * as passages from './passage.js'
import * as planner from './planner.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'

/** A call to be made. */
export interface Order {
  readonly request: string
  readonly workspace: string
  readonly weight: number
  readonly match: documents.RouteMatch
  readonly call: work.ServiceCall
  /** Present when the call is claimed by an `Idempotency-Key`. */
  readonly claim?: ClaimOrder
}

export interface ClaimOrder {
  readonly name: string
  readonly fingerprint: string
}

/** An answer, perhaps of an earlier call with the same key. */
export interface Outcome {
  readonly answer: work.ServiceAnswer
  readonly isReplay: boolean
}

/** What calls share besides. */
export interface Tools extends passages.Tools {
  readonly claims: claimStores.Claims
  readonly inquiries: inquiryDesks.Inquiries
}

/** Time added to a claim's term for clocks that differ between entries, in milliseconds. */
const clockMarginMs = 5000

export class ServiceRun {
  private readonly avoided = new Set<string>()
  private attempt: attemptRuns.Attempt | undefined
  private held: claimStores.Held | undefined
  private replay: work.ServiceAnswer | undefined
  private tries = 0
  private joinedVerdict: verdicts.Verdict = 'not_run'
  private lastFailure: failures.Failure | undefined
  private isAborted = false

  constructor (private readonly tools: Tools, private readonly order: Order) {}

  /** Ends the call with the failure. A claimed call goes on, so that its outcome is recorded. */
  abort (failure: failures.Failure): failures.Failure {
    const current = this.attempt === undefined ? 'not_run' : 'may_have_run'
    const verdict = verdicts.joinVerdicts(this.joinedVerdict, current)
    if (this.order.claim === undefined) {
      this.isAborted = true
      this.attempt?.abandon(failures.withVerdict(failure, verdict))
      return failures.withVerdict(failure, verdict)
    }
    return failures.withVerdict(failure, 'may_have_run')
  }

  async run (): Promise<failures.Result<Outcome>> {
    for (;;) {
      this.tries += 1
      const result = await this.tryOnce()
      if (result.isRight()) {
        return result
      }
      const failure = result.extract() as failures.Failure
      this.joinedVerdict = verdicts.joinVerdicts(this.joinedVerdict, failure.verdict)
      if (this.isAborted || !this.mayTryAgain(failure)) {
        this.settleFailure()
        const cause = passages.chooseCause(this.lastFailure, failure)
        return failures.fail(failures.withVerdict(cause, this.joinedVerdict))
      }
      this.lastFailure = failure
    }
  }

  private async tryOnce (): Promise<failures.Result<Outcome>> {
    const chosen = await this.chooseServer()
    if (chosen.isLeft() || this.isAborted) {
      return failures.fail(chosen.caseOf({ Left: failure => failure, Right: createAborted }))
    }
    const offered = chosen.extract() as offers.Offered
    const attempt = this.tools.surroundings.system.random.nextId()
    const refusal = await this.claim(offered, attempt)
    if (refusal !== undefined) {
      return failures.fail(refusal)
    }
    if (this.replay !== undefined) {
      return failures.succeed({ answer: this.replay, isReplay: true })
    }
    return await this.call(offered, attempt)
  }

  private async chooseServer (): Promise<failures.Result<offers.Offered>> {
    const { match, request, workspace } = this.order
    const { identity, system } = this.tools.surroundings
    const purpose = { role: 'service' as const, subject: match.service, region: identity.region }
    const standings = this.tools.servers.listStandings(purpose, this.avoided)
    const ranked = planner.rankServices(standings, identity)
    const picked = planner.pickTwo(ranked, () => system.random.nextUnit())
    return await this.tools.offers.choose(picked, {
      request,
      workspace,
      kind: 'call',
      model: match.service,
      promptTokens: 0,
      maximumTokens: 0,
      prefixes: [],
      expectedInMs: 0
    }, offered => offered.answer.waitMs + offered.candidate.costMs)
  }

  private async call (offered: offers.Offered, attempt: string): Promise<failures.Result<Outcome>> {
    if (this.isAborted) {
      return failures.fail(createAborted())
    }
    const { match } = this.order
    this.attempt = new attemptRuns.Attempt(this.tools, {
      server: offered.name,
      link: offered.link,
      start: this.createStart(offered, attempt),
      isRepeatable: match.route.idempotent,
      onText: () => {}
    })
    const stopTimer = this.watchTime(offered.name, this.attempt)
    const burden = { promptTokens: 0, pieces: 0 }
    this.tools.servers.picture.noteSent(offered.name, burden)
    const result = await this.attempt.run()
    stopTimer()
    this.tools.servers.picture.noteEnded(offered.name, burden)
    this.attempt = undefined
    result.ifLeft(() => this.avoided.add(offered.name))
    return result.chain(frame => this.takeAnswer(offered.name, frame))
  }

  private takeAnswer (server: string, frame: attemptRuns.FinishedFrame): failures.Result<Outcome> {
    if (frame.answer === undefined) {
      return failures.fail(failures.createFailure('ran', 'server_failed', [server, 'no answer in the last frame']))
    }
    if (this.held !== undefined) {
      this.tools.claims.settle(this.held, claimRules.recordAnswer(this.held.claim, frame.answer))
    }
    return failures.succeed({ answer: frame.answer, isReplay: false })
  }

  /** Gives up on an agent that does not end the call within its time. */
  private watchTime (server: string, attempt: attemptRuns.Attempt): () => void {
    const { system, timing } = this.tools.surroundings
    const limitMs = this.order.match.timeoutMs + timing.callTimeoutMs
    const failure = failures.createFailure('may_have_run', 'link_timeout', [server, limitMs])
    return system.clock.after(limitMs, () => attempt.abandon(failure))
  }

  private createStart (offered: offers.Offered, attempt: string): work.Start {
    const { call, match, request, weight, workspace } = this.order
    return {
      request,
      attempt,
      boot: offered.answer.boot,
      workspace,
      weight,
      maximumWaitMs: match.timeoutMs,
      task: { kind: 'call', call }
    }
  }

  /** Claims the call before an attempt; returns why it must not be made, or `undefined`. */
  private async claim (offered: offers.Offered, attempt: string): Promise<failures.Failure | undefined> {
    const { claim: order } = this.order
    if (order === undefined) {
      return undefined
    }
    const claim = this.createClaim(order, offered, attempt)
    const taken = this.held === undefined
      ? await this.tools.claims.take(order.name, claim)
      : await this.tools.claims.replace(this.held, claim)
    return await taken.caseOf({
      Left: async failure => failure,
      Right: async found => await this.useTaken(found, claim, order)
    })
  }

  private async useTaken (
    taken: claimStores.Taken, claim: claimRules.Claim, order: ClaimOrder
  ): Promise<failures.Failure | undefined> {
    if (taken.kind === 'own') {
      this.held = taken.held
      return undefined
    }
    const wallMs = this.tools.surroundings.system.clock.wallMs()
    const decision = claimRules.decide(taken.held.claim, order.fingerprint, wallMs)
    if (decision.kind !== 'ask_agent') {
      return this.applyDecision(decision)
    }
    return await this.takeOver(taken.held, claim)
  }

  private applyDecision (decision: claimRules.Decision): failures.Failure | undefined {
    switch (decision.kind) {
      case 'refuse':
        return decision.failure
      case 'replay':
        this.replay = decision.answer
        return undefined
      case 'ask_agent':
        return createAborted()
      default:
        return verdicts.assertNever(decision)
    }
  }

  /** Asks the agent what became of a call whose entry is gone, and takes the claim over if it has not run. */
  private async takeOver (found: claimStores.Held, claim: claimRules.Claim): Promise<failures.Failure | undefined> {
    const decision = await this.tools.inquiries.ask(found)
    if (decision.kind !== 'ask_agent') {
      return this.applyDecision(decision)
    }
    const taken = await this.tools.claims.replace(found, claim)
    return taken.caseOf({
      Left: failure => failure,
      Right: result => {
        if (result.kind === 'own') {
          this.held = result.held
          return undefined
        }
        return this.applyDecision(claimRules.refuseRunning(0))
      }
    })
  }

  private createClaim (order: ClaimOrder, offered: offers.Offered, attempt: string): claimRules.Claim {
    const { system, timing } = this.tools.surroundings
    const termMs = this.order.match.timeoutMs + 2 * timing.callTimeoutMs + clockMarginMs
    return {
      fingerprint: order.fingerprint,
      request: this.order.request,
      attempt,
      server: offered.name,
      boot: offered.answer.boot,
      state: 'running',
      settledByMs: system.clock.wallMs() + termMs
    }
  }

  /** Frees the claim if nothing has run; otherwise records that the outcome is not known. */
  private settleFailure (): void {
    if (this.held === undefined) {
      return
    }
    if (verdicts.isSafeToRepeat(this.joinedVerdict)) {
      this.tools.claims.free(this.held)
      return
    }
    this.tools.claims.settle(this.held, { ...this.held.claim, state: 'unknown' })
  }

  private mayTryAgain (failure: failures.Failure): boolean {
    if (!passages.isRetryable(failure) || this.tries >= this.tools.surroundings.configuration.policy.attemptLimit) {
      return false
    }
    if (!verdicts.isSafeToRepeat(failure.verdict) && !this.order.match.route.idempotent) {
      return false
    }
    return this.tools.retryBudget.trySpend()
  }
}

function createAborted (): failures.Failure {
  return failures.createFailure('not_run', 'caller_gone')
}
