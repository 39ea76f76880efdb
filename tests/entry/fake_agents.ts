/**
 * In-memory agents and links with fault injection: lost links, lost messages and restarts.
 */
import * as failures from '../../src/contracts/failure.js'
import * as host from '../../src/host/types.js'
import * as identities from '../../src/contracts/identity.js'
import * as links from '../../src/links/types.js'
import * as protocol from '../../src/contracts/protocol.js'
import * as work from '../../src/contracts/work.js'

type Script = (agent: FakeAgent, start: work.Start) => void

interface HeldAttempt {
  readonly start: work.Start
  state: work.CancelAnswer['state']
  readonly frames: work.Frame[]
}

const linkLostFailure = failures.createFailure('may_have_run', 'link_lost', ['fake'])

/** Emits a normal outcome immediately: a prefill, a decode of two text frames, or the answer to a call. */
export function runAtOnce (agent: FakeAgent, start: work.Start): void {
  const { attempt, task } = start
  agent.emit(attempt, { kind: 'started', offset: 0 })
  switch (task.kind) {
    case 'prefill':
      agent.emit(attempt, { kind: 'finished', offset: 1, reason: 'prefilled', transfer: { from: agent.name } })
      return
    case 'decode':
      agent.emit(attempt, { kind: 'text', offset: 1, text: 'Hello', tokens: 1 })
      agent.emit(attempt, { kind: 'text', offset: 2, text: ' there', tokens: 1 })
      agent.emit(attempt, createStop(3))
      return
    case 'call':
      agent.emit(attempt, createAnswered(1, `answer of ${agent.name}`))
  }
}

export function createStop (offset: number): work.Frame {
  return { kind: 'finished', offset, reason: 'stop', usage: { promptTokens: 3, outputTokens: 2, cachedTokens: 0 } }
}

export function createAnswered (offset: number, text: string): work.Frame {
  const answer = { status: 200, headers: { 'content-type': 'text/plain' }, body: Buffer.from(text).toString('base64') }
  return { kind: 'finished', offset, reason: 'answered', answer }
}

export class FakeAgent {
  boot = 'boot1'
  script: Script = runAtOnce
  waitMs = 0
  serviceMs = 1
  /** Whether all slots are in use, so that a start with a `maximumWaitMs` of 0 is refused. */
  isFull = false
  /** Makes no reservations, like a server whose wait is longer than the reservation would last. */
  refusesReservations = false
  retryAfterMs: number | undefined
  isAboveShare: boolean | undefined
  readonly calls: { readonly method: protocol.MethodName, readonly params: unknown }[] = []
  readonly notices: { readonly name: string, readonly notice: unknown }[] = []
  readonly attempts = new Map<string, HeldAttempt>()
  readonly tombstones = new Set<string>()
  readonly reservations = new Set<string>()
  link!: FakeLink
  private reserved = 0

  constructor (readonly name: string) {}

  /** Number of attempts that are running or queued. */
  get busy (): number {
    return [...this.attempts.values()].filter(held => held.state === 'running' || held.state === 'queued').length
  }

  listParams<Method extends protocol.MethodName> (method: Method): protocol.Params<Method>[] {
    return this.calls.filter(call => call.method === method).map(call => call.params as protocol.Params<Method>)
  }

  /** Adds a frame to an attempt's output and sends it. */
  emit (attempt: string, frame: work.Frame): void {
    const held = this.attempts.get(attempt)
    if (held === undefined || held.state === 'cancelled') {
      return
    }
    held.frames.push(frame)
    held.state = frame.kind === 'finished' || frame.kind === 'failed' ? 'finished' : 'running'
    this.send(held.start, [frame])
  }

  send (key: work.AttemptKey, frames: work.Frame[]): void {
    this.link.deliver('work.frames', { attempts: [{ request: key.request, attempt: key.attempt, frames }] })
  }

  /** Cancels all attempts, as when the session lease of the entry has expired. Their records stay. */
  expire (): void {
    for (const held of this.attempts.values()) {
      held.state = held.state === 'finished' ? 'finished' : 'cancelled'
    }
    this.reservations.clear()
  }

  restart (boot: string): void {
    this.boot = boot
    this.attempts.clear()
    this.tombstones.clear()
    this.reservations.clear()
  }

  handle (method: protocol.MethodName, params: unknown): failures.Result<unknown> {
    switch (method) {
      case 'work.offer':
        return failures.succeed(this.offer(params as work.Offer))
      case 'work.release':
        this.reservations.delete((params as { reservation: string }).reservation)
        return failures.succeed({})
      case 'work.start':
        return this.start(params as work.Start)
      case 'work.cancel':
        return this.checkBoot(params as work.Cancel) ?? failures.succeed(this.cancel(params as work.Cancel))
      case 'work.resume':
        return this.checkBoot(params as work.Resume) ?? failures.succeed(this.resume(params as work.Resume))
      default:
        return failures.fail(failures.createFailure('not_run', 'internal', [method]))
    }
  }

  private offer (offer: work.Offer): work.OfferAnswer {
    const { boot, serviceMs, waitMs } = this
    const answer = { boot, waitMs, serviceMs, cachedTokens: 0, load: createLoad() }
    if (offer.holdMs === undefined || this.refusesReservations) {
      return { ...answer, retryAfterMs: this.retryAfterMs, isAboveShare: this.isAboveShare }
    }
    this.reserved += 1
    const reservation = `${this.name}-${this.reserved}`
    this.reservations.add(reservation)
    return { ...answer, reservation }
  }

  private start (start: work.Start): failures.Result<work.StartAnswer> {
    const refusal = this.checkBoot(start)
    if (refusal !== undefined) {
      return refusal
    }
    if (this.tombstones.has(start.attempt)) {
      return failures.fail(failures.createFailure('not_run', 'attempt_cancelled'))
    }
    if (this.isFull && start.maximumWaitMs === 0) {
      this.tombstones.add(start.attempt)
      return failures.fail(failures.createFailure('not_run', 'target_unreachable', [0, 1]))
    }
    this.reservations.delete(start.reservation ?? '')
    this.attempts.set(start.attempt, { start, state: 'queued', frames: [] })
    queueMicrotask(() => this.script(this, start))
    return failures.succeed({ state: 'queued', waitMs: 0 })
  }

  private cancel (cancel: work.Cancel): work.CancelAnswer {
    const held = this.attempts.get(cancel.attempt)
    if (held === undefined) {
      this.tombstones.add(cancel.attempt)
      return { verdict: 'not_run', state: 'unknown' }
    }
    if (held.state === 'queued') {
      held.state = 'cancelled'
      return { verdict: 'not_run', state: 'cancelled' }
    }
    if (held.state === 'running' && cancel.mode === 'always') {
      held.state = 'cancelled'
    }
    return { verdict: 'ran', state: held.state }
  }

  private resume (resume: work.Resume): work.ResumeAnswer {
    const held = this.attempts.get(resume.attempt)
    if (held === undefined) {
      return { state: 'unknown', frames: [] }
    }
    return { state: held.state, frames: held.frames.filter(frame => frame.offset >= resume.offset) }
  }

  private checkBoot (params: { readonly boot: string }): failures.Result<never> | undefined {
    return params.boot === this.boot
      ? undefined
      : failures.fail(failures.createFailure('not_run', 'server_boot_changed', [this.name]))
  }
}

export class FakeLink extends links.Link {
  /** Identity of the agent process to which the connection was opened; set by `introduce`. */
  override remote: identities.Identity | undefined
  override isOpen = true
  holds = 0

  constructor (override readonly address: identities.Address, readonly agent: FakeAgent, readonly pool: FakeLinkPool) {
    super()
    agent.link = this
  }

  /** Sets the identity of the agent, as an opened connection does. */
  introduce (): void {
    const { name: node, boot } = this.agent
    this.remote = { node, boot, role: 'agent', zone: 'z', region: 'r' }
  }

  override async call<Method extends protocol.MethodName> (
    method: Method, params: protocol.Params<Method>
  ): Promise<failures.Result<protocol.Answer<Method>>> {
    await Promise.resolve()
    if (!this.isOpen) {
      return failures.fail(failures.withVerdict(linkLostFailure, 'not_run'))
    }
    this.agent.calls.push({ method, params })
    if (this.pool.isLost(this.agent, method, 'call')) {
      return failures.fail(linkLostFailure)
    }
    const answer = this.agent.handle(method, params) as failures.Result<protocol.Answer<Method>>
    return this.pool.isLost(this.agent, method, 'answer') ? failures.fail(linkLostFailure) : answer
  }

  override notify<Name extends protocol.NotificationName> (name: Name, notice: protocol.Notice<Name>): void {
    this.agent.notices.push({ name, notice })
  }

  override retain (): host.Stop {
    this.holds += 1
    return () => {
      this.holds -= 1
    }
  }

  override close (): void {}

  deliver<Name extends protocol.NotificationName> (name: Name, notice: protocol.Notice<Name>): void {
    if (!this.isOpen) {
      return
    }
    for (const observer of this.pool.observers) {
      observer.notified(this, name, notice)
    }
  }

  cut (): void {
    this.isOpen = false
    for (const observer of this.pool.observers) {
      observer.lost(this)
    }
  }

  reopen (): void {
    this.isOpen = true
    for (const observer of this.pool.observers) {
      observer.opened(this, true)
    }
  }
}

/** Loss of calls, or of their answers, at agents whose names start with the prefix. */
export interface Loss {
  readonly prefix: string
  readonly method: protocol.MethodName
  readonly part: 'call' | 'answer'
  left: number
}

export class FakeLinkPool extends links.LinkPool {
  readonly observers = new Set<links.LinkObserver>()
  readonly losses: Loss[] = []
  private readonly known = new Map<string, FakeLink>()

  add (address: identities.Address, agent: FakeAgent): void {
    this.known.set(identities.formatAddress(address), new FakeLink(address, agent, this))
  }

  isLost (agent: FakeAgent, method: protocol.MethodName, part: Loss['part']): boolean {
    for (const loss of this.losses) {
      if (loss.left > 0 && loss.method === method && loss.part === part && agent.name.startsWith(loss.prefix)) {
        loss.left -= 1
        return true
      }
    }
    return false
  }

  override get (address: identities.Address): links.Link {
    return this.known.get(identities.formatAddress(address)) as FakeLink
  }

  override list (): readonly FakeLink[] {
    return [...this.known.values()]
  }

  override observe (observer: links.LinkObserver): host.Stop {
    this.observers.add(observer)
    return () => this.observers.delete(observer)
  }

  override close (): void {}
}

export function createLoad (): work.Load {
  return {
    running: 0,
    queued: 0,
    pendingPromptTokens: 0,
    freePieces: 100,
    totalPieces: 100,
    promisedPieces: 0,
    slots: 20,
    draining: false
  }
}
