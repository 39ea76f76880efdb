import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as test from 'node:test'
import * as drivers from './gate_driver.js'
import * as gates from '../../src/agent/gate.js'
import * as referenceGates from './reference_gate.js'
import * as types from '../../src/agent/types.js'
import * as work from '../../src/contracts/work.js'

const runs = 1_000
const seed = 20_261_204
const taskCount = 50
const longestOutput = 300

/** Seeds whose schedules have failed before, kept as regression tests. */
const failedSeeds: readonly number[] = [1]

const Attempt = fc.integer({ min: 0, max: 9 })
const Session = fc.constantFrom('one', 'two')

const Step = fc.oneof(
  {
    weight: 24,
    arbitrary: fc.record({
      kind: fc.constant('start' as const),
      attempt: Attempt,
      session: Session,
      workspace: fc.constantFrom('a', 'b', 'c'),
      boot: fc.constantFrom(drivers.boot, drivers.boot, drivers.boot, 'boot-0'),
      prompt: fc.integer({ min: 1, max: 300 }),
      maximum: fc.integer({ min: 1, max: 900 }),
      waitMs: fc.constantFrom(0, 300, 1e6, 1e6),
      usesReservation: fc.boolean()
    })
  },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('cancel' as const), attempt: Attempt, session: Session, mode: fc.constantFrom('always' as const, 'unless_started' as const) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('resume' as const), attempt: Attempt, session: Session, offset: fc.integer({ min: 0, max: 4 }) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('offer' as const), attempt: Attempt, session: Session, workspace: fc.constantFrom('a', 'b', 'c'), inMs: fc.constantFrom(0, 100, 700), holdMs: fc.constantFrom(undefined, 100, 400), maximumWaitMs: fc.constantFrom(undefined, 300, 2_000, 9_000), others: fc.constantFrom(0, 0, 6) }) },
  { weight: 24, arbitrary: fc.record({ kind: fc.constant('progress' as const), order: fc.integer({ min: 1, max: 12 }), tokens: fc.integer({ min: 1, max: 40 }) }) },
  { weight: 16, arbitrary: fc.record({ kind: fc.constantFrom('finish' as const, 'fail' as const, 'lose' as const, 'confirm' as const), order: fc.integer({ min: 1, max: 12 }) }) },
  { weight: 12, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.constantFrom(0, 1, 99, 500, 2_000) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('open' as const, 'expire' as const), session: Session }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('drain' as const) }) }
)
type Step = typeof Step extends fc.Arbitrary<infer Value> ? Value : never

class Comparison {
  readonly gate: gates.Gate
  readonly reference: referenceGates.ReferenceGate
  private readonly orders = new Set<number>()
  private reservation: string | undefined
  private nowMs = 0
  private calls = 0

  constructor (private readonly role: 'prefill' | 'decode') {
    const capacity = { ...drivers.options.capacity, role, betweenTokensTargetMs: 1e9, prefillTokensPerSecond: 1e6, queueLimit: 3 }
    const options = { ...drivers.options, capacity }
    this.gate = new gates.Gate(options)
    this.reference = new referenceGates.ReferenceGate(options)
    this.apply({ kind: 'session.opened', nowMs: 0, session: 'one' })
  }

  run (steps: readonly Step[]): void {
    for (const step of steps) {
      this.runStep(step)
    }
    this.checkEnd()
  }

  private runStep (step: Step): void {
    const { nowMs } = this
    switch (step.kind) {
      case 'start':
        return this.call('work.start', this.createStart(step), step.session)
      case 'cancel':
        return this.call('work.cancel', { ...this.createId(step.attempt), boot: drivers.boot, mode: step.mode }, step.session)
      case 'resume':
        return this.call('work.resume', { ...this.createId(step.attempt), boot: drivers.boot, offset: step.offset }, step.session)
      case 'offer':
        return this.offer(step)
      case 'progress':
        return this.apply({ kind: 'backend.progress', nowMs, order: step.order, text: 'x', tokens: step.tokens })
      case 'finish': {
        const completion: types.Completion = this.role === 'prefill' ? { reason: 'prefilled', transfer: {} } : { reason: 'stop' }
        return this.apply({ kind: 'backend.finished', nowMs, order: step.order, completion })
      }
      case 'fail':
      case 'lose': {
        const failure = { verdict: 'may_have_run', code: 'server_failed', message: '' } as const
        return this.apply({ kind: 'backend.failed', nowMs, order: step.order, failure, released: step.kind === 'fail' })
      }
      case 'confirm':
        return this.apply({ kind: 'backend.released', nowMs, order: step.order })
      case 'advance':
        return this.advance(step.ms)
      case 'open':
        return this.apply({ kind: 'session.opened', nowMs, session: step.session })
      case 'expire':
        return this.apply({ kind: 'session.expired', nowMs, session: step.session })
      case 'drain':
        return this.apply({ kind: 'drain', nowMs })
    }
  }

  /** Checks that nothing is held once all sessions have expired and the server has confirmed all aborts. */
  private checkEnd (): void {
    for (const session of ['one', 'two']) {
      this.apply({ kind: 'session.expired', nowMs: this.nowMs, session })
    }
    for (const order of this.orders) {
      this.apply({ kind: 'backend.released', nowMs: this.nowMs, order })
    }
    const { held, expected, holders, reservations, live, unsettled } = this.gate.figures
    assert.deepEqual({ held, expected, holders, reservations, live, unsettled }, { held: 0, expected: 0, holders: 0, reservations: 0, live: 0, unsettled: 0 })
  }

  private advance (byMs: number): void {
    const untilMs = this.nowMs + byMs
    for (let next = this.gate.nextTickMs; next !== undefined && next <= untilMs; next = this.gate.nextTickMs) {
      this.nowMs = Math.max(this.nowMs, next)
      this.apply({ kind: 'tick', nowMs: this.nowMs })
    }
    this.nowMs = untilMs
  }

  private call<Method extends types.GateMethod> (kind: Method, params: types.CallOf<Method>['params'], session: string): void {
    this.calls += 1
    this.apply({ kind, nowMs: this.nowMs, call: this.calls, session, params } as types.GateCall)
  }

  private apply (event: types.GateEvent): void {
    const actions = this.gate.decide(event)
    this.reference.checkDecision(event, actions, this.gate.figures)
    for (const action of actions) {
      if (action.kind === 'launch') {
        this.orders.add(action.order.order)
      }
      if (action.kind === 'answer' && event.kind === 'work.offer') {
        this.reservation = action.result.map(answer => (answer as work.OfferAnswer).reservation).orDefault(undefined)
      }
    }
  }

  private createId (attempt: number): work.AttemptKey {
    return { request: `r${attempt % 5}`, attempt: `a${attempt}` }
  }

  private createStart (step: Extract<Step, { readonly kind: 'start' }>): work.Start {
    const { attempt, workspace, boot, prompt, maximum, waitMs, usesReservation } = step
    const change = { ...this.createId(attempt), workspace, weight: getWeight(workspace), boot, maximumWaitMs: waitMs }
    const reservation = usesReservation ? this.reservation : undefined
    return drivers.createStart('', { ...change, promptTokens: prompt, maximumTokens: maximum, kind: this.role, reservation })
  }

  /** Sends an offer for one request, after offers for other requests of the same workspace. */
  private offer (step: Extract<Step, { readonly kind: 'offer' }>): void {
    const offer = this.createOffer(step)
    for (let other = 0; other < step.others; other += 1) {
      this.call('work.offer', { ...offer, request: `${step.workspace}${other}` }, step.session)
    }
    this.call('work.offer', offer, step.session)
  }

  private createOffer (step: Extract<Step, { readonly kind: 'offer' }>): work.Offer {
    const { request } = this.createId(step.attempt)
    return {
      request,
      workspace: step.workspace,
      weight: getWeight(step.workspace),
      kind: this.role,
      model: 'm',
      promptTokens: 150,
      maximumTokens: 100,
      prefixes: [],
      expectedInMs: step.inMs,
      holdMs: step.holdMs,
      maximumWaitMs: step.maximumWaitMs
    }
  }
}

function getWeight (workspace: string): number {
  return workspace === 'a' ? 2 : 1
}

function compare (role: 'prefill' | 'decode', parameters: fc.Parameters<[Step[]]>): void {
  const steps = fc.array(Step, { minLength: 1, maxLength: 60, size: 'max' })
  fc.assert(fc.property(steps, generated => new Comparison(role).run(generated)), { ...parameters, includeErrorInReport: true })
}

test.describe('Gate against a reference model', () => {
  for (const role of ['decode', 'prefill'] as const) {
    test.it(`agrees under generated schedules of a ${role} server`, () => compare(role, { seed, numRuns: runs }))

    for (const failed of failedSeeds) {
      test.it(`agrees under the schedules of seed ${failed} of a ${role} server`, () => compare(role, { seed: failed, numRuns: runs }))
    }
  }
})

test.describe('Gate with two workspaces that always have work', () => {
  test.it('keeps the difference of their served tokens per weight within a bound', () => {
    const Task = fc.record({ prompt: fc.integer({ min: 1, max: 100 }), maximum: fc.integer({ min: 1, max: longestOutput }) })
    const Tasks = fc.record({ tasks: fc.array(Task, { minLength: taskCount, maxLength: taskCount, size: 'max' }), share: fc.constantFrom(0, 0.1, 1) })
    const Weight = fc.integer({ min: 1, max: 4 })
    fc.assert(fc.property(Tasks, Tasks, Weight, (first, second, weight) => {
      const driver = new drivers.GateDriver({}, { slots: 3, queueLimit: 2 * taskCount })
      const outputs = new Map<string, number>()
      for (const [workspace, { tasks, share }] of [['a', first], ['b', second]] as const) {
        for (const [index, { prompt, maximum }] of tasks.entries()) {
          const name = `${workspace}${index}`
          outputs.set(name, Math.ceil(maximum * share))
          driver.start(name, { workspace, weight: workspace === 'a' ? weight : 1, promptTokens: prompt, maximumTokens: maximum, maximumWaitMs: 1e9 })
        }
      }
      // The most that running attempts can still add, on both sides of the difference.
      const bound = 2 * driver.gate.load.slots * (1 + longestOutput)
      for (let index = 0; !driver.isLaunched(`a${taskCount - 1}`) && !driver.isLaunched(`b${taskCount - 1}`); index += 1) {
        const name = driver.launched[index]?.id.attempt ?? ''
        driver.progress(name, 'x', outputs.get(name))
        driver.finish(name)
        const difference = (driver.gate.getServedTokens('a') ?? 0) - (driver.gate.getServedTokens('b') ?? 0)
        assert.ok(Math.abs(difference) <= bound)
      }
    }), { seed, numRuns: 100 })
  })
})
