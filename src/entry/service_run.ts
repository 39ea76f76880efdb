/**
 * Runs one call of a plain service: chooses the server, makes the attempts, and handles the claim if the call carries
 * an `Idempotency-Key`.
 */
import * as attemptRuns from './attempt.js'
import * as claimSessions from './claim_session.js'
import * as documents from '../configuration/document.js'
import * as failures from '../contracts/failure.js'
import * as links from '../links/types.js'
import * as offers from './offers.js'
import * as generationRuns from './generation_run.js'
import * as planner from './planner.js'
import * as retryRules from './retry_rules.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'

/** A call to be made. */
export interface CallRequest {
  readonly request: string
  readonly workspace: string
  readonly weight: number
  readonly match: documents.RouteMatch
  readonly call: work.ServiceCall
  /** Present when the call is claimed by an `Idempotency-Key`. */
  readonly claim?: claimSessions.ClaimIdentity
}

/** An answer, possibly replayed from an earlier call with the same `Idempotency-Key`. */
export interface Outcome {
  readonly answer: work.ServiceAnswer
  readonly isReplay: boolean
}

/** The backend server of an attempt. */
interface Target {
  readonly name: string
  readonly link: links.Link
  readonly boot: string
}

/** Share of a server's slots in use below which a call is started there without requesting an offer first. */
const directStartShare = 0.5

/** What all calls of an entry share. */
export interface Dependencies extends generationRuns.Dependencies, claimSessions.Dependencies {}

export class ServiceRun {
  private readonly avoided = new Set<string>()
  private attempt: attemptRuns.Attempt | undefined
  private readonly claim: claimSessions.ClaimSession | undefined
  private tries = 0
  private joinedVerdict: verdicts.Verdict = 'not_run'
  private lastFailure: failures.Failure | undefined
  private isAborted = false

  constructor (private readonly dependencies: Dependencies, private readonly callRequest: CallRequest) {
    if (callRequest.claim !== undefined) {
      this.claim = new claimSessions.ClaimSession(dependencies, callRequest.claim, callRequest.request, callRequest.match.timeoutMs)
    }
  }

  /** Ends the call with the failure. A claimed call continues, so that its outcome is recorded. */
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
      if (this.isAborted || !this.mayRetry(failure)) {
        this.claim?.recordFailure(this.joinedVerdict)
        const cause = retryRules.chooseReportedFailure(this.lastFailure, failure)
        return failures.fail(failures.withVerdict(cause, this.joinedVerdict))
      }
      this.lastFailure = failure
    }
  }

  private async tryOnce (): Promise<failures.Result<Outcome>> {
    const direct = await this.tryDirectly()
    if (direct !== undefined) {
      return direct
    }
    const chosen = await this.chooseServer()
    if (chosen.isLeft() || this.isAborted) {
      return failures.fail(chosen.caseOf({ Left: failure => failure, Right: createAbortedFailure }))
    }
    const { match } = this.callRequest
    const offered = chosen.extract() as offers.ServerOffer
    const attempt = this.dependencies.context.system.random.nextId()
    const refusal = await this.claim?.acquire(offered, attempt)
    if (refusal !== undefined) {
      return failures.fail(refusal)
    }
    const replay = this.claim?.replay
    if (replay !== undefined) {
      return failures.succeed({ answer: replay, isReplay: true })
    }
    const target = { name: offered.name, link: offered.link, boot: offered.answer.boot }
    return await this.call(target, attempt, match.timeoutMs)
  }

  /**
   * Starts the call without an offer at a server that seems to have capacity; the server refuses a call that it cannot
   * run immediately. Returns `undefined` when there is no such server or the server refused. In both cases nothing has
   * run, and offers are requested next.
   */
  private async tryDirectly (): Promise<failures.Result<Outcome> | undefined> {
    const target = this.tries === 1 && this.claim === undefined ? this.findDirectTarget() : undefined
    if (target === undefined) {
      return undefined
    }
    const result = await this.call(target, this.dependencies.context.system.random.nextId(), 0)
    return result.caseOf({
      Left: failure => failure.verdict === 'not_run' ? undefined : result,
      Right: () => result
    })
  }

  /** Returns a connected server whose last known load is below `directStartShare`. */
  private findDirectTarget (): Target | undefined {
    const [candidate] = this.pickCandidates()
    if (candidate === undefined || candidate.occupancy >= directStartShare) {
      return undefined
    }
    const link = this.dependencies.servers.getLink(candidate.server)
    const boot = link.remote?.boot
    return boot === undefined || !link.isOpen ? undefined : { name: candidate.name, link, boot }
  }

  private pickCandidates (): planner.ServiceCandidate[] {
    const { identity, system } = this.dependencies.context
    const purpose = { role: 'service' as const, subject: this.callRequest.match.service, region: identity.region }
    const standings = this.dependencies.servers.listSnapshots(purpose, this.avoided)
    return planner.pickTwo(planner.rankServices(standings, identity), () => system.random.nextUnit())
  }

  private async chooseServer (): Promise<failures.Result<offers.ServerOffer>> {
    const { match, request, workspace } = this.callRequest
    return await this.dependencies.offers.choose(this.pickCandidates(), {
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

  /** Makes an attempt that waits at most `maximumWaitMs` milliseconds in its agent's queue. */
  private async call (target: Target, attempt: string, maximumWaitMs: number): Promise<failures.Result<Outcome>> {
    if (this.isAborted) {
      return failures.fail(createAbortedFailure())
    }
    const { match } = this.callRequest
    const { name: server, link } = target
    this.attempt = new attemptRuns.Attempt(this.dependencies, {
      server,
      link,
      start: this.createStart(target.boot, attempt, maximumWaitMs),
      isRepeatable: match.route.idempotent,
      onText: () => {}
    })
    const stopTimer = this.startTimeout(server, this.attempt)
    const load = { promptTokens: 0, pieces: 0 }
    this.dependencies.servers.clusterView.recordSent(server, load)
    const result = await this.attempt.run()
    stopTimer()
    this.dependencies.servers.clusterView.recordEnded(server, load)
    this.attempt = undefined
    result.ifLeft(() => this.avoided.add(server))
    return result.chain(frame => this.handleAnswer(server, frame))
  }

  private handleAnswer (server: string, frame: attemptRuns.FinishedFrame): failures.Result<Outcome> {
    if (frame.answer === undefined) {
      return failures.fail(failures.createFailure('ran', 'server_failed', [server, 'the last frame contains no answer']))
    }
    this.claim?.recordAnswer(frame.answer)
    return failures.succeed({ answer: frame.answer, isReplay: false })
  }

  /** Abandons the attempt if the agent does not end the call within its time-out. */
  private startTimeout (server: string, attempt: attemptRuns.Attempt): () => void {
    const { system, timing } = this.dependencies.context
    const limitMs = this.callRequest.match.timeoutMs + timing.callTimeoutMs
    return system.clock.after(limitMs, () => {
      attempt.abandon(failures.createFailure('may_have_run', 'link_timeout', [server, limitMs]))
    })
  }

  private createStart (boot: string, attempt: string, maximumWaitMs: number): work.Start {
    const { call, request, weight, workspace } = this.callRequest
    return {
      request,
      attempt,
      boot,
      workspace,
      weight,
      maximumWaitMs,
      task: { kind: 'call', call }
    }
  }

  private mayRetry (failure: failures.Failure): boolean {
    if (!retryRules.isRetryable(failure, false) || this.tries >= this.dependencies.context.configuration.policy.attemptLimit) {
      return false
    }
    if (!verdicts.isSafeToRepeat(failure.verdict) && !this.callRequest.match.route.idempotent) {
      return false
    }
    return this.dependencies.retryBudget.trySpend()
  }
}

function createAbortedFailure (): failures.Failure {
  return failures.createFailure('not_run', 'caller_gone')
}
