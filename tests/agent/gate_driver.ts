/**
 * Drives a gate in tests: keeps a manual clock, and collects the gate's actions by kind.
 */
import * as failures from '../../src/contracts/failure.js'
import * as gates from '../../src/agent/gate.js'
import * as protocol from '../../src/contracts/protocol.js'
import * as types from '../../src/agent/types.js'
import * as work from '../../src/contracts/work.js'

export const boot = 'boot-1'

export const options: types.GateOptions = {
  server: 's1',
  boot,
  fence: 7,
  capacity: {
    role: 'decode',
    slots: 2,
    memoryPieces: 16,
    pieceTokens: 100,
    prefillTokensPerSecond: 1000,
    stepMs: 10,
    betweenTokensTargetMs: 28,
    queueLimit: 8,
    transferKeptMs: 500
  },
  retention: { attemptsKept: 1000, attemptsKeptMs: 60_000, lateArrivalMs: 5_000 },
  abortRetryMs: 100
}

export type StartChange = Partial<Omit<work.Start, 'task'>> & {
  readonly promptTokens?: number
  readonly maximumTokens?: number
  readonly kind?: work.TaskKind
}

export function createStart (attempt: string, change: StartChange = {}): work.Start {
  const { promptTokens = 100, maximumTokens = 100, kind = 'decode', ...rest } = change
  const generation = { model: 'm', prompt: 'text', promptTokens, maximumTokens }
  const call = { service: 's', method: 'POST', target: '/', headers: {}, body: '', timeoutMs: 1000 }
  const task: work.Task = kind === 'call' ? { kind, call } : kind === 'prefill' ? { kind, generation } : { kind, generation, transfer: {} }
  return { request: `r-${attempt}`, attempt, boot, workspace: 'a', weight: 1, maximumWaitMs: 60_000, task, ...rest }
}

export class GateDriver {
  readonly gate: gates.Gate
  readonly launched: types.Order[] = []
  readonly aborted: number[] = []
  readonly frames = new Map<string, work.Frame[]>()
  isIdle = false
  isLeaving = false
  nowMs = 0
  private calls = 0

  constructor (change: Partial<types.GateOptions> = {}, capacity: Partial<types.Capacity> = {}) {
    this.gate = new gates.Gate({ ...options, ...change, capacity: { ...options.capacity, ...capacity } })
    this.apply({ kind: 'session.opened', nowMs: 0, session: 'one' })
  }

  call<Method extends types.GateMethod> (
    kind: Method, params: protocol.Params<Method>, session = 'one'
  ): failures.Result<protocol.Answer<Method>> {
    this.calls += 1
    const event = { kind, nowMs: this.nowMs, call: this.calls, session, params } as types.CallOf<Method>
    const answers = this.apply(event).flatMap(action => action.kind === 'answer' ? [action.result] : [])
    if (answers.length !== 1) {
      throw new Error(`${kind} was answered ${answers.length} times`)
    }
    return answers[0] as unknown as failures.Result<protocol.Answer<Method>>
  }

  start (attempt: string, change: StartChange = {}, session = 'one'): failures.Result<work.StartAnswer> {
    return this.call('work.start', createStart(attempt, change), session)
  }

  cancel (attempt: string, mode: work.Cancel['mode'] = 'always'): work.CancelAnswer | undefined {
    const params = { request: `r-${attempt}`, attempt, boot, mode }
    return this.call('work.cancel', params).toMaybe().extract()
  }

  offer (request: string, change: Partial<work.Offer> = {}): work.OfferAnswer {
    const params: work.Offer = {
      request, workspace: 'a', kind: 'decode', model: 'm', promptTokens: 100, maximumTokens: 100, prefixes: [], expectedInMs: 0, ...change
    }
    return this.call('work.offer', params).unsafeCoerce()
  }

  progress (attempt: string, text = 'x', tokens = 1): void {
    this.apply({ kind: 'backend.progress', nowMs: this.nowMs, order: this.getOrder(attempt), text, tokens })
  }

  /** Lets attempts 1 and 2 generate one token each in every step. */
  runSteps (steps: number, stepMs: number): void {
    for (let step = 0; step < steps; step += 1) {
      this.nowMs += stepMs
      this.progress('1')
      this.progress('2')
    }
  }

  finish (attempt: string, completion: types.Completion = { reason: 'stop' }): void {
    this.apply({ kind: 'backend.finished', nowMs: this.nowMs, order: this.getOrder(attempt), completion })
  }

  confirm (attempt: string): void {
    this.apply({ kind: 'backend.released', nowMs: this.nowMs, order: this.getOrder(attempt) })
  }

  /** Advances the clock, with a tick whenever the gate requests one. */
  advance (byMs: number): void {
    const untilMs = this.nowMs + byMs
    for (let next = this.gate.nextTickMs; next !== undefined && next <= untilMs; next = this.gate.nextTickMs) {
      this.nowMs = Math.max(this.nowMs, next)
      this.apply({ kind: 'tick', nowMs: this.nowMs })
      if ((this.gate.nextTickMs ?? Number.POSITIVE_INFINITY) <= this.nowMs) {
        throw new Error(`the gate requests a tick again at ${next}`)
      }
    }
    this.nowMs = untilMs
  }

  isLaunched (attempt: string): boolean {
    return this.launched.some(order => order.id.attempt === attempt)
  }

  getOrder (attempt: string): number {
    return this.launched.find(order => order.id.attempt === attempt)?.order ?? 0
  }

  getFrames (attempt: string): readonly work.Frame[] {
    return this.frames.get(attempt) ?? []
  }

  apply (event: types.GateEvent): readonly types.GateAction[] {
    const actions = this.gate.decide(event)
    for (const action of actions) {
      this.collect(action)
    }
    return actions
  }

  private collect (action: types.GateAction): void {
    switch (action.kind) {
      case 'launch':
        this.launched.push(action.order)
        return
      case 'abort':
        this.aborted.push(action.order)
        return
      case 'send':
        this.frames.set(action.id.attempt, [...this.getFrames(action.id.attempt), action.frame])
        return
      case 'idle':
        this.isIdle = true
        return
      case 'leaving':
        this.isLeaving = true
    }
  }
}

/** Returns the failure of a call; throws if it succeeded. */
export function getFailure<Value> (result: failures.Result<Value>): failures.Failure {
  return result.swap().unsafeCoerce()
}
