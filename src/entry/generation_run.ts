/**
 * Runs one generation: a prefill, the transfer of the KV cache, a decode, and retries where they are allowed.
 */
import * as attemptRuns from './attempt.js'
import * as failures from '../contracts/failure.js'
import * as offers from './offers.js'
import * as serverSelectors from './server_selector.js'
import * as planner from './planner.js'
import * as finishedPrefills from './finished_prefill.js'
import * as retryBudgets from './retry_budget.js'
import * as retryRules from './retry_rules.js'
import * as servers from './servers.js'
import * as transcripts from './transcript.js'
import * as types from './types.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'

/** What all generations of an entry share. */
export interface Dependencies extends attemptRuns.Dependencies {
  readonly servers: servers.Servers
  readonly offers: offers.Offers
  readonly retryBudget: retryBudgets.RetryBudget
}

/**
 * Share of the remaining lifetime of a finished prefill's KV cache that a decode may wait in one server's queue. The
 * rest is left for another server.
 */
const decodeWaitShare = 0.8

/** Minimum time that a decode may wait in its agent's queue, in milliseconds. */
const minimumDecodeWaitMs = 500

export class GenerationRun {
  private readonly serverSelector: serverSelectors.ServerSelector
  private readonly transcript: transcripts.Transcript
  private readonly avoided = new Set<string>()
  private attempt: attemptRuns.Attempt | undefined
  private finishedPrefill: finishedPrefills.FinishedPrefill | undefined
  private reserved: offers.ServerOffer | undefined
  private tries = 0
  private hasTextDiverged = false
  /** Whether the last try failed at a server, not while a server was chosen. */
  private hasAttemptFailed = false
  private joinedVerdict: verdicts.Verdict = 'not_run'
  private lastFailure: failures.Failure | undefined

  constructor (
    private readonly dependencies: Dependencies,
    private readonly job: types.Job,
    private readonly sink: types.Sink,
    private readonly signal: AbortSignal
  ) {
    this.serverSelector = new serverSelectors.ServerSelector(dependencies.context, dependencies.servers, dependencies.offers, job)
    this.transcript = new transcripts.Transcript(sink, job.generation.seed !== undefined)
  }

  /** Combined verdict of all tries so far. */
  get verdict (): verdicts.Verdict {
    return this.joinedVerdict
  }

  /** Output tokens received, of the attempt that got furthest. */
  get outputTokens (): number {
    return this.transcript.tokens
  }

  /** Runs to completion. An abort ends it immediately with the signal's reason, a `Failure`. */
  async run (): Promise<failures.Result<types.Completion>> {
    const aborted = new Promise<failures.Result<types.Completion>>(resolve => {
      this.signal.addEventListener('abort', () => resolve(this.abort()), { once: true })
    })
    if (this.signal.aborted) {
      return this.abort()
    }
    const result = await Promise.race([this.tryUntilDone(), aborted])
    result.ifLeft(() => this.dropPrefill())
    return result
  }

  /** Releases the KV cache of a prefill that no decode will use. */
  private dropPrefill (): void {
    this.finishedPrefill?.release(this.dependencies.cancels)
    this.finishedPrefill = undefined
  }

  private abort (): failures.Result<types.Completion> {
    const failure = this.signal.reason as failures.Failure
    this.releaseReservation()
    const current = this.attempt === undefined ? 'not_run' : 'may_have_run'
    this.attempt?.abandon(failure)
    return failures.fail(failures.withVerdict(failure, verdicts.joinVerdicts(this.joinedVerdict, current)))
  }

  private async tryUntilDone (): Promise<failures.Result<types.Completion>> {
    for (;;) {
      this.tries += 1
      this.hasAttemptFailed = false
      const result = await this.tryOnce()
      if (result.isRight() || this.signal.aborted) {
        return result
      }
      const failure = result.extract() as failures.Failure
      this.joinedVerdict = verdicts.joinVerdicts(this.joinedVerdict, failure.verdict)
      if (!this.mayRetry(failure)) {
        return failures.fail(this.createFinalFailure(retryRules.chooseReportedFailure(this.lastFailure, failure)))
      }
      this.lastFailure = failure
      this.transcript.restart()
      this.dependencies.context.meter.count('retries_total', { reason: failure.code }, 1)
    }
  }

  private async tryOnce (): Promise<failures.Result<types.Completion>> {
    const decode = this.finishedPrefill?.isUsable(this.nowMs) === true ? await this.reserveDecode() : await this.reserveAndPrefill()
    if (decode.isLeft()) {
      return failures.fail(decode.extract() as failures.Failure)
    }
    return await this.decode(decode.extract() as offers.ServerOffer)
  }

  private async reserveDecode (): Promise<failures.Result<offers.ServerOffer>> {
    const source = this.finishedPrefill as finishedPrefills.FinishedPrefill
    this.releaseReservation()
    const decodeWaitMs = source.getRemainingMs(this.nowMs) * decodeWaitShare
    return this.storeReservation(await this.serverSelector.chooseDecode({ name: source.name, region: source.region, decodeWaitMs }, this.avoided))
  }

  private async reserveAndPrefill (): Promise<failures.Result<offers.ServerOffer>> {
    this.dropPrefill()
    const chosen = await this.serverSelector.choosePair(this.avoided)
    if (chosen.isLeft()) {
      return failures.fail(chosen.extract() as failures.Failure)
    }
    const pair = chosen.extract() as serverSelectors.ServerPair
    const reserved = pair.decode === undefined ? undefined : this.storeReservation(failures.succeed(pair.decode))
    if (reserved?.isLeft() === true) {
      return reserved
    }
    if (pair.startDelayMs > 0) {
      await this.dependencies.context.system.clock.sleep(pair.startDelayMs)
    }
    const prefill = await this.prefill(pair)
    if (prefill.isLeft()) {
      this.releaseReservation()
      return failures.fail(prefill.extract() as failures.Failure)
    }
    return reserved !== undefined && this.isReservationValid() ? reserved : await this.reserveDecode()
  }

  /** Stores a reservation, which is released if the request ends before using it. */
  private storeReservation (chosen: failures.Result<offers.ServerOffer>): failures.Result<offers.ServerOffer> {
    chosen.ifRight(offered => {
      this.reserved = offered
      this.record('reservation.made', offered.name)
    })
    if (this.signal.aborted) {
      this.releaseReservation()
      return failures.fail(this.signal.reason as failures.Failure)
    }
    return chosen
  }

  /** Whether the reservation is still valid. It may have expired during a prefill that took longer than expected. */
  private isReservationValid (): boolean {
    return this.reserved !== undefined && this.nowMs < this.reserved.reservedUntilMs
  }

  private releaseReservation (): void {
    if (this.reserved !== undefined) {
      this.dependencies.offers.release(this.reserved)
      this.reserved = undefined
    }
  }

  private async prefill (pair: serverSelectors.ServerPair): Promise<failures.Result<finishedPrefills.FinishedPrefill>> {
    const { prefill: offered } = pair
    const { generation } = this.job
    const load = { promptTokens: generation.promptTokens, pieces: 0 }
    const start = this.createStart(offered, { kind: 'prefill', generation }, this.getPrefillWaitMs(pair))
    const result = await this.runAttempt(offered, start, load, () => {})
    return result.map(frame => this.recordPrefill(offered, start, frame))
  }

  private recordPrefill (
    offered: offers.ServerOffer, start: work.Start, frame: attemptRuns.FinishedFrame
  ): finishedPrefills.FinishedPrefill {
    this.joinedVerdict = 'ran'
    this.dependencies.servers.clusterView.recordPrefixes(offered.name, this.job.prefixes)
    this.finishedPrefill = new finishedPrefills.FinishedPrefill(offered, start, frame.transfer, this.nowMs)
    return this.finishedPrefill
  }

  private async decode (offered: offers.ServerOffer): Promise<failures.Result<types.Completion>> {
    const source = this.finishedPrefill as finishedPrefills.FinishedPrefill
    const { generation } = this.job
    const start = this.createStart(offered, source.createDecode(generation), this.getDecodeWaitMs(offered, source))
    const load = { promptTokens: 0, pieces: planner.countPieces(serverSelectors.createRequirements(this.job)) }
    const endTransfer = this.dependencies.servers.startTransfer(source.name, offered.name)
    this.reserved = undefined
    this.record('reservation.used', offered.name)
    const result = await this.runAttempt(offered, start, load, frame => {
      endTransfer()
      this.handleText(frame)
    })
    endTransfer()
    return result.map(frame => this.createCompletion(frame))
  }

  private async runAttempt (
    offered: offers.ServerOffer,
    start: work.Start,
    load: { readonly promptTokens: number, readonly pieces: number },
    onText: (frame: attemptRuns.TextFrame) => void
  ): Promise<failures.Result<attemptRuns.FinishedFrame>> {
    if (this.signal.aborted) {
      return failures.fail(this.signal.reason as failures.Failure)
    }
    const { clusterView } = this.dependencies.servers
    const { name: server, link } = offered
    this.attempt = new attemptRuns.Attempt(this.dependencies, { server, link, start, isRepeatable: true, onText })
    clusterView.recordSent(server, load)
    const result = await this.attempt.run()
    clusterView.recordEnded(server, load)
    this.attempt = undefined
    result.ifLeft(failure => this.recordFailure(server, failure))
    return result
  }

  private recordFailure (server: string, failure: failures.Failure): void {
    this.avoided.add(server)
    this.hasAttemptFailed = true
    if (failure.code === 'transfer_failed') {
      this.dropPrefill()
    }
    if (failure.code === 'server_leaving') {
      this.dependencies.servers.clusterView.recordLeaving(server, this.nowMs)
    }
  }

  private handleText (frame: attemptRuns.TextFrame): void {
    if (this.signal.aborted) {
      return
    }
    if (!this.transcript.append(frame.text, frame.tokens)) {
      this.hasTextDiverged = true
      this.attempt?.abandon(failures.createFailure('ran', 'stream_interrupted', ['a new attempt generated different text']))
    }
  }

  private createCompletion (frame: attemptRuns.FinishedFrame): types.Completion {
    const reason = frame.reason === 'length' ? 'length' : 'stop'
    const counted = { promptTokens: this.job.generation.promptTokens, outputTokens: this.outputTokens, cachedTokens: 0 }
    return { reason, usage: frame.usage ?? counted }
  }

  private createStart (offered: offers.ServerOffer, task: work.Task, maximumWaitMs: number): work.Start {
    const start = {
      request: this.job.request,
      attempt: this.dependencies.context.system.random.nextId(),
      boot: offered.answer.boot,
      workspace: this.job.workspace,
      weight: this.job.weight,
      maximumWaitMs,
      task
    }
    const { reservation } = offered.answer
    return reservation === undefined ? start : { ...start, reservation }
  }

  private mayRetry (failure: failures.Failure): boolean {
    const { configuration } = this.dependencies.context
    if (this.hasTextDiverged || this.tries >= configuration.policy.attemptLimit) {
      return false
    }
    if (!retryRules.isRetryable(failure, this.hasAttemptFailed)) {
      return false
    }
    if (this.sink.isCommitted && !this.transcript.isRepeatable) {
      return false
    }
    return this.dependencies.retryBudget.trySpend()
  }

  private createFinalFailure (failure: failures.Failure): failures.Failure {
    if (this.sink.isCommitted) {
      return failures.createFailure('ran', 'stream_interrupted', [failure.message], failure.retryAfterMs)
    }
    return failures.withVerdict(failure, this.joinedVerdict)
  }

  private getPrefillWaitMs (pair: serverSelectors.ServerPair): number {
    const { answer, candidate } = pair.prefill
    const unloadedMs = planner.getUnloadedMs(candidate.server, this.job.generation.promptTokens) + pair.transferMs
    const deadlineMs = planner.getFirstTokenDeadlineMs(this.job.model.firstTokenTargetMs, unloadedMs)
    const remainingMs = deadlineMs - (this.nowMs - this.job.receivedAtMs)
    return Math.max(answer.waitMs, remainingMs - answer.serviceMs - pair.transferMs)
  }

  private getDecodeWaitMs (offered: offers.ServerOffer, source: finishedPrefills.FinishedPrefill): number {
    const remainingMs = this.job.model.firstTokenTargetMs - (this.nowMs - this.job.receivedAtMs)
    const waitMs = Math.max(minimumDecodeWaitMs, offered.answer.waitMs, remainingMs)
    return Math.min(waitMs, source.getRemainingMs(this.nowMs) * decodeWaitShare)
  }

  private get nowMs (): number {
    return this.dependencies.context.system.clock.monotonicMs()
  }

  private record (kind: 'reservation.made' | 'reservation.used', server: string): void {
    const { request, workspace } = this.job
    this.dependencies.context.recorder.record({ kind, request, workspace, details: { server } })
  }
}
