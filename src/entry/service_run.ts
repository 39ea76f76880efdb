/**
 * One call of a plain service: choice of the server, attempts, and the claim if the call carries a key.
 */
import * as attemptRuns from './attempt.js'
import * as claimSessions from './claim_session.js'
import * as documents from '../configuration/document.js'
import * as failures from '../contracts/failure.js'
import * as offers from './offers.js'
import * as passages from './passage.js'
import * as planner from './planner.js'
import * as retryRules from './retry_rules.js'
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
  readonly claim?: claimSessions.ClaimOrder
}

/** An answer, perhaps of an earlier call with the same key. */
export interface Outcome {
  readonly answer: work.ServiceAnswer
  readonly isReplay: boolean
}

/** What calls share besides. */
export interface Tools extends passages.Tools, claimSessions.Tools {}

export class ServiceRun {
  private readonly avoided = new Set<string>()
  private attempt: attemptRuns.Attempt | undefined
  private readonly claim: claimSessions.ClaimSession | undefined
  private tries = 0
  private joinedVerdict: verdicts.Verdict = 'not_run'
  private lastFailure: failures.Failure | undefined
  private isAborted = false

  constructor (private readonly tools: Tools, private readonly order: Order) {
    if (order.claim !== undefined) {
      this.claim = new claimSessions.ClaimSession(tools, order.claim, order.request, order.match.timeoutMs)
    }
  }

  /** Ends the call with the failure. A claimed call goes on, so that its outcome is recorded. */
  abort (failure: failures.Failure): failures.Failure {
    const current = this.attempt === undefined ? 'not_run' : 'may_have_run'
    const verdict = verdicts.joinVerdicts(this.joinedVerdict, current)
    if (this.claim === undefined) {
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
        this.claim?.recordFailure(this.joinedVerdict)
        const cause = retryRules.chooseCause(this.lastFailure, failure)
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
    const refusal = await this.claim?.take(offered, attempt)
    if (refusal !== undefined) {
      return failures.fail(refusal)
    }
    const replay = this.claim?.replay
    if (replay !== undefined) {
      return failures.succeed({ answer: replay, isReplay: true })
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
    this.claim?.recordAnswer(frame.answer)
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

  private mayTryAgain (failure: failures.Failure): boolean {
    if (!retryRules.isRetryable(failure, false) || this.tries >= this.tools.surroundings.configuration.policy.attemptLimit) {
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
