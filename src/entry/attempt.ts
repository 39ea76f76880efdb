/**
 * One attempt at a task with one agent: starts it, delivers its frames in order, requests missing frames again,
 * and determines whether the task has run when the agent stops responding.
 */
import * as attempts from './attempts.js'
import * as cancels from './cancels.js'
import * as failures from '../contracts/failure.js'
import * as frameWindows from './frame_window.js'
import * as host from '../host/types.js'
import * as judgement from './judgement.js'
import * as links from '../links/types.js'
import * as quietWatches from './quiet_watch.js'
import * as types from './types.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'

export type FinishedFrame = Extract<work.Frame, { kind: 'finished' }>
export type TextFrame = Extract<work.Frame, { kind: 'text' }>

/** Options of one attempt. */
export interface Course {
  /** Name of the server, for error messages. */
  readonly server: string
  readonly link: links.Link
  readonly start: work.Start
  /** Whether another attempt may be made while this one may have run. */
  readonly isRepeatable: boolean
  readonly onText: (frame: TextFrame) => void
}

/** Dependencies shared by all attempts of an entry. */
export interface Tools {
  readonly surroundings: types.Surroundings
  readonly attempts: attempts.Attempts
  readonly cancels: cancels.Cancels
}

/** Number of frames between acknowledgements. */
const acknowledgePeriodFrames = 32

/** Time without frames after which the agent is asked to resend, in milliseconds. */
const quietLimitMs = 3_000

/** How long a repeatable attempt without output waits for its link to reopen, in milliseconds. */
const reopenGraceMs = 300

export class Attempt extends attempts.Listener {
  override readonly key: work.AttemptKey
  override readonly link: links.Link
  private readonly window = new frameWindows.FrameWindow()
  private readonly stops: host.Stop[] = []
  private stopLostTimer: host.Stop | undefined
  /** Requests frames after a period without any, so that the loss of the last frame is noticed. */
  private readonly quiet: quietWatches.QuietWatch
  private resolve: ((result: failures.Result<FinishedFrame>) => void) | undefined
  private isAccepted = false
  private isResuming = false
  private hasText = false

  constructor (private readonly tools: Tools, private readonly course: Course) {
    super()
    this.key = { request: course.start.request, attempt: course.start.attempt }
    this.link = course.link
    this.quiet = new quietWatches.QuietWatch(this.clock, quietLimitMs, () => this.resume())
  }

  /** Runs the attempt to its end. A failure has the verdict `not_run` only if the agent has reported it. */
  run (): Promise<failures.Result<FinishedFrame>> {
    return new Promise(resolve => {
      this.resolve = resolve
      this.tools.attempts.add(this)
      this.stops.push(() => this.tools.attempts.remove(this), this.link.hold())
      this.record('attempt.sent')
      this.start()
    })
  }

  /** Ends the attempt immediately with the failure. Cancellation is retried until the agent confirms it. */
  abandon (failure: failures.Failure): void {
    if (this.resolve === undefined) {
      return
    }
    this.tools.cancels.add(this.link, this.key, this.course.start.boot)
    this.end(failures.fail(failure))
  }

  override take (frames: readonly work.Frame[]): void {
    if (this.resolve === undefined) {
      return
    }
    const intake = this.window.accept(frames)
    this.quiet.heard()
    for (const frame of intake.frames) {
      this.takeFrame(frame)
    }
    if (intake.hasGap) {
      this.resume()
    }
  }

  override lost (): void {
    if (this.resolve === undefined || !this.isAccepted || this.stopLostTimer !== undefined) {
      return
    }
    const isPatient = this.hasText || !this.course.isRepeatable
    const graceMs = isPatient ? this.timing.sessionLeaseMs : reopenGraceMs
    this.stopLostTimer = this.clock.after(graceMs, () => this.giveUp(this.createLinkLost()))
  }

  override opened (): void {
    this.stopLostTimer?.()
    this.stopLostTimer = undefined
    if (this.isAccepted) {
      this.resume()
    }
  }

  private get clock (): host.Clock {
    return this.tools.surroundings.system.clock
  }

  private get timing (): types.Surroundings['timing'] {
    return this.tools.surroundings.timing
  }

  private get knowledge (): judgement.Knowledge {
    return { isAccepted: this.isAccepted, hasStarted: this.window.next > 0 }
  }

  private async start (): Promise<void> {
    const answer = await this.link.call('work.start', this.course.start, this.timing.callTimeoutMs)
    if (this.resolve === undefined || this.knowledge.hasStarted) {
      return
    }
    answer.caseOf({ Left: failure => this.startFailed(failure), Right: () => this.accept() })
  }

  private accept (): void {
    this.isAccepted = true
    this.quiet.heard()
    if (!this.link.isOpen) {
      this.lost()
    }
  }

  private startFailed (failure: failures.Failure): void {
    if (failure.verdict === 'not_run') {
      this.end(failures.fail(failure))
      return
    }
    if (this.course.isRepeatable) {
      this.giveUp(failure)
      return
    }
    this.decide(failure)
  }

  /** Asks the agent to cancel the attempt unless started. Retries until it answers or the call time-out passes. */
  private async decide (cause: failures.Failure): Promise<void> {
    const deadlineMs = this.clock.monotonicMs() + this.timing.callTimeoutMs
    const cancel: work.Cancel = { ...this.key, boot: this.course.start.boot, mode: 'unless_started' }
    while (this.resolve !== undefined) {
      const answer = await this.link.call('work.cancel', cancel, this.timing.callTimeoutMs)
      if (answer.isRight()) {
        this.applyDecision(answer.extract() as work.CancelAnswer, cause)
        return
      }
      const isBootGone = judgement.isBootGone(answer.extract() as failures.Failure)
      if (isBootGone || this.clock.monotonicMs() >= deadlineMs) {
        this.giveUp(cause)
        return
      }
      await this.clock.sleep(this.timing.reconnectMs)
    }
  }

  private applyDecision (answer: work.CancelAnswer, cause: failures.Failure): void {
    if (this.resolve === undefined) {
      return
    }
    const decision = judgement.judgeCancel(answer, this.knowledge)
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
    answer.caseOf({ Left: failure => this.resumeFailed(failure), Right: found => this.resumed(found) })
  }

  private resumeFailed (failure: failures.Failure): void {
    if (judgement.isBootGone(failure)) {
      this.giveUp(failure)
      return
    }
    if (!this.link.isOpen) {
      this.lost()
      return
    }
    this.stops.push(this.clock.after(this.timing.reconnectMs, () => this.resume()))
  }

  private resumed (answer: work.ResumeAnswer): void {
    this.take(answer.frames)
    if (answer.state !== 'unknown' && answer.state !== 'cancelled') {
      return
    }
    if (this.resolve !== undefined) {
      this.decide(failures.createFailure('may_have_run', 'server_failed', [this.course.server, answer.state]))
    }
  }

  private takeFrame (frame: work.Frame): void {
    switch (frame.kind) {
      case 'started':
        this.isAccepted = true
        this.record('attempt.started')
        return
      case 'text':
        this.hasText = true
        this.acknowledgeNowAndThen()
        this.course.onText(frame)
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

  private acknowledgeNowAndThen (): void {
    if (this.window.next % acknowledgePeriodFrames === 0) {
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

  private giveUp (cause: failures.Failure): void {
    this.abandon(failures.withVerdict(cause, judgement.judgeLost(this.knowledge)))
  }

  private createLinkLost (): failures.Failure {
    return failures.createFailure('may_have_run', 'link_lost', [this.course.server], this.timing.sessionLeaseMs)
  }

  private createResume (): work.Resume {
    return { ...this.key, boot: this.course.start.boot, offset: this.window.next }
  }

  private end (result: failures.Result<FinishedFrame>): void {
    const resolve = this.resolve
    this.resolve = undefined
    for (const stop of this.stops) {
      stop()
    }
    this.stopLostTimer?.()
    this.quiet.stop()
    this.record(result.isRight() ? 'attempt.finished' : 'attempt.failed')
    resolve?.(result)
  }

  private record (kind: 'attempt.sent' | 'attempt.started' | 'attempt.finished' | 'attempt.failed'): void {
    const { start, server } = this.course
    this.tools.surroundings.recorder.record({
      kind, ...this.key, workspace: start.workspace, details: { server, task: start.task.kind }
    })
  }
}
