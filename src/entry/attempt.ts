/**
 * One attempt at a task with one agent: starts it, delivers its frames in order, requests missing frames again,
 * and determines whether the task has run when the agent stops responding.
 */
import * as attempts from './attempts.js'
import * as cancels from './cancels.js'
import * as failures from '../contracts/failure.js'
import * as frameWindows from './frame_window.js'
import * as host from '../host/types.js'
import * as verdictRules from './verdict_rules.js'
import * as links from '../links/types.js'
import * as idleWatchdogs from './idle_watchdog.js'
import * as types from './types.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'

export type FinishedFrame = Extract<work.Frame, { kind: 'finished' }>
export type TextFrame = Extract<work.Frame, { kind: 'text' }>

/** Options of one attempt. */
export interface AttemptOptions {
  /** Name of the server, for error messages. */
  readonly server: string
  readonly link: links.Link
  readonly start: work.Start
  /** Whether another attempt may be made while this one may have run. */
  readonly isRepeatable: boolean
  readonly onText: (frame: TextFrame) => void
}

/** Dependencies shared by all attempts of an entry. */
export interface Dependencies {
  readonly context: types.EntryContext
  readonly attempts: attempts.Attempts
  readonly cancels: cancels.Cancels
}

/** Number of frames between acknowledgements. */
const acknowledgeIntervalFrames = 32

/** Time without frames after which the agent is asked to resend, in milliseconds. */
const frameTimeoutMs = 3_000

/** How long a repeatable attempt without output waits for its link to reopen, in milliseconds. */
const linkReopenTimeoutMs = 300

export class Attempt extends attempts.AttemptListener {
  override readonly key: work.AttemptKey
  override readonly link: links.Link
  private readonly window = new frameWindows.FrameWindow()
  private readonly stops: host.Stop[] = []
  private stopLostTimer: host.Stop | undefined
  /** Requests frames after a period without any, so that the loss of the last frame is noticed. */
  private readonly idleWatchdog: idleWatchdogs.IdleWatchdog
  private resolve: ((result: failures.Result<FinishedFrame>) => void) | undefined
  private isAccepted = false
  private isResuming = false
  private hasText = false

  constructor (private readonly dependencies: Dependencies, private readonly options: AttemptOptions) {
    super()
    this.key = { request: options.start.request, attempt: options.start.attempt }
    this.link = options.link
    this.idleWatchdog = new idleWatchdogs.IdleWatchdog(this.clock, frameTimeoutMs, () => this.resume())
  }

  /** Runs the attempt to its end. A failure has the verdict `not_run` only if the agent has reported it. */
  run (): Promise<failures.Result<FinishedFrame>> {
    return new Promise(resolve => {
      this.resolve = resolve
      this.dependencies.attempts.add(this)
      this.stops.push(() => this.dependencies.attempts.remove(this), this.link.retain())
      this.record('attempt.sent')
      this.start()
    })
  }

  /** Ends the attempt immediately with the failure. Cancellation is retried until the agent confirms it. */
  abandon (failure: failures.Failure): void {
    if (this.resolve === undefined) {
      return
    }
    this.dependencies.cancels.add(this.link, this.key, this.options.start.boot)
    this.end(failures.fail(failure))
  }

  override handleFrames (frames: readonly work.Frame[]): void {
    if (this.resolve === undefined) {
      return
    }
    const accepted = this.window.accept(frames)
    this.idleWatchdog.recordActivity()
    for (const frame of accepted.frames) {
      this.handleFrame(frame)
    }
    if (accepted.hasGap) {
      this.resume()
    }
  }

  override handleLinkLost (): void {
    if (this.resolve === undefined || !this.isAccepted || this.stopLostTimer !== undefined) {
      return
    }
    const waitsForLease = this.hasText || !this.options.isRepeatable
    const graceMs = waitsForLease ? this.timing.sessionLeaseMs : linkReopenTimeoutMs
    this.stopLostTimer = this.clock.after(graceMs, () => this.abandonWithVerdict(this.createLinkLostFailure()))
  }

  override handleLinkOpened (): void {
    this.stopLostTimer?.()
    this.stopLostTimer = undefined
    if (this.isAccepted) {
      this.resume()
    }
  }

  private get clock (): host.Clock {
    return this.dependencies.context.system.clock
  }

  private get timing (): types.EntryContext['timing'] {
    return this.dependencies.context.timing
  }

  private get progress (): verdictRules.AttemptProgress {
    return { isAccepted: this.isAccepted, hasStarted: this.window.next > 0 }
  }

  private async start (): Promise<void> {
    const answer = await this.link.call('work.start', this.options.start, this.timing.callTimeoutMs)
    if (this.resolve === undefined || this.progress.hasStarted) {
      return
    }
    answer.caseOf({ Left: failure => this.handleStartFailure(failure), Right: () => this.markAccepted() })
  }

  private markAccepted (): void {
    this.isAccepted = true
    this.idleWatchdog.recordActivity()
    if (!this.link.isOpen) {
      this.handleLinkLost()
    }
  }

  private handleStartFailure (failure: failures.Failure): void {
    if (failure.verdict === 'not_run') {
      this.end(failures.fail(failure))
      return
    }
    if (this.options.isRepeatable) {
      this.abandonWithVerdict(failure)
      return
    }
    this.cancelUnlessStarted(failure)
  }

  /** Asks the agent to cancel the attempt unless started. Retries until it answers or the call time-out passes. */
  private async cancelUnlessStarted (cause: failures.Failure): Promise<void> {
    const deadlineMs = this.clock.monotonicMs() + this.timing.callTimeoutMs
    const cancel: work.Cancel = { ...this.key, boot: this.options.start.boot, mode: 'unless_started' }
    while (this.resolve !== undefined) {
      const answer = await this.link.call('work.cancel', cancel, this.timing.callTimeoutMs)
      if (answer.isRight()) {
        this.applyCancelAnswer(answer.extract() as work.CancelAnswer, cause)
        return
      }
      const isBootChanged = verdictRules.isBootChanged(answer.extract() as failures.Failure)
      if (isBootChanged || this.clock.monotonicMs() >= deadlineMs) {
        this.abandonWithVerdict(cause)
        return
      }
      await this.clock.sleep(this.timing.reconnectMs)
    }
  }

  private applyCancelAnswer (answer: work.CancelAnswer, cause: failures.Failure): void {
    if (this.resolve === undefined) {
      return
    }
    const decision = verdictRules.decideAfterCancel(answer, this.progress)
    switch (decision.kind) {
      case 'resume':
        this.isAccepted = true
        this.resume()
        return
      case 'end':
        cancels.acknowledgeAll(this.link, this.key)
        this.end(failures.fail(failures.withVerdict(cause, decision.verdict)))
        return
      default:
        verdicts.assertNever(decision)
    }
  }

  private async resume (): Promise<void> {
    if (this.isResuming) {
      return
    }
    this.isResuming = true
    const answer = await this.link.call('work.resume', this.createResume(), this.timing.callTimeoutMs)
    this.isResuming = false
    if (this.resolve === undefined) {
      return
    }
    answer.caseOf({ Left: failure => this.handleResumeFailure(failure), Right: found => this.handleResumeAnswer(found) })
  }

  private handleResumeFailure (failure: failures.Failure): void {
    if (verdictRules.isBootChanged(failure)) {
      this.abandonWithVerdict(failure)
      return
    }
    if (!this.link.isOpen) {
      this.handleLinkLost()
      return
    }
    this.stops.push(this.clock.after(this.timing.reconnectMs, () => this.resume()))
  }

  private handleResumeAnswer (answer: work.ResumeAnswer): void {
    this.handleFrames(answer.frames)
    if (answer.state !== 'unknown' && answer.state !== 'cancelled') {
      return
    }
    if (this.resolve !== undefined) {
      this.cancelUnlessStarted(failures.createFailure('may_have_run', 'server_failed', [this.options.server, answer.state]))
    }
  }

  private handleFrame (frame: work.Frame): void {
    switch (frame.kind) {
      case 'started':
        this.isAccepted = true
        this.record('attempt.started')
        return
      case 'text':
        this.hasText = true
        this.acknowledgePeriodically()
        this.options.onText(frame)
        return
      case 'finished':
        this.acknowledgeLast()
        this.end(failures.succeed(frame))
        return
      case 'failed':
        this.acknowledgeLast()
        this.end(failures.fail(frame.failure))
        return
      default:
        verdicts.assertNever(frame)
    }
  }

  private acknowledgePeriodically (): void {
    if (this.window.next % acknowledgeIntervalFrames === 0) {
      this.acknowledge()
    }
  }

  /** Acknowledges all frames before the next expected offset. */
  private acknowledge (): void {
    this.link.notify('work.acknowledge', { ...this.key, offset: this.window.next })
  }

  /** Acknowledges the last frame in a later event loop turn, so that the next step of the request is not delayed. */
  private acknowledgeLast (): void {
    this.clock.after(0, () => this.acknowledge())
  }

  private abandonWithVerdict (cause: failures.Failure): void {
    this.abandon(failures.withVerdict(cause, verdictRules.getUnreachableVerdict(this.progress)))
  }

  private createLinkLostFailure (): failures.Failure {
    return failures.createFailure('may_have_run', 'link_lost', [this.options.server], this.timing.sessionLeaseMs)
  }

  private createResume (): work.Resume {
    return { ...this.key, boot: this.options.start.boot, offset: this.window.next }
  }

  private end (result: failures.Result<FinishedFrame>): void {
    const resolve = this.resolve
    this.resolve = undefined
    for (const stop of this.stops) {
      stop()
    }
    this.stopLostTimer?.()
    this.idleWatchdog.stop()
    this.record(result.isRight() ? 'attempt.finished' : 'attempt.failed')
    resolve?.(result)
  }

  private record (kind: 'attempt.sent' | 'attempt.started' | 'attempt.finished' | 'attempt.failed'): void {
    const { start, server } = this.options
    this.dependencies.context.recorder.record({
      kind, ...this.key, workspace: start.workspace, details: { server, task: start.task.kind }
    })
  }
}
