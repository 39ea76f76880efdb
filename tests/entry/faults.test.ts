import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fastCheck from 'fast-check'
import * as generationRunners from '../../src/entry/generation_runner.js'
import * as entries from '../../src/entry/entry.js'
import * as failures from '../../src/contracts/failure.js'
import * as fakes from './fake_agents.js'
import * as fixtures from './fixture.js'
import * as host from '../../src/host/types.js'
import * as random from '../../src/host/seeded_random.js'
import * as settings from '../../src/contracts/settings.js'
import * as serviceRuns from '../../src/entry/service_run.js'
import * as sinks from '../../src/entry/sinks.js'
import * as types from '../../src/entry/types.js'
import * as work from '../../src/contracts/work.js'
import * as worlds from './world.js'

const words = ['a', 'b', 'c', 'd', 'e']
const sessionLeaseMs = settings.Timing.parse({}).sessionLeaseMs

/** Upper bound of the time between two frames, in milliseconds. */
const maximumFrameGapMs = 600

/** Number of values skipped because the generator's first values are all small for small seeds. */
const skippedValues = 64

/** Treats text as delivered as soon as it is written, as in a stream. */
class CommittedSink extends sinks.BufferedSink {
  override get isCommitted (): boolean {
    return this.text !== ''
  }
}

/** An entry with agents that respond after random times, whose requests run while faults are injected. */
class FaultScenario {
  readonly world = new worlds.World()
  readonly allowances = new fixtures.FakeAllowances()
  /** Number of runs of each service call, by request. */
  readonly runs = new Map<string, number>()
  readonly outcomes: string[] = []
  readonly violations: string[] = []
  private readonly dependencies: serviceRuns.Dependencies
  private readonly delays: random.SeededRandom
  private readonly leases = new Map<fakes.FakeAgent, host.Stop>()
  private requestCount = 0

  constructor (seed: number) {
    this.delays = new random.SeededRandom(seed)
    for (let skipped = 0; skipped < skippedValues; skipped += 1) {
      this.delays.nextUnit()
    }
    const options = { allowances: this.allowances, log: new fixtures.ErrorLog(), limits: {}, seed }
    this.dependencies = entries.createDependencies(fixtures.createContext(this.world, options))
    this.world.pool.observe(this.dependencies.attempts)
    this.world.pool.observe(this.dependencies.servers)
    this.world.setScript('', (agent, start) => this.runAttempt(agent, start))
  }

  get requests (): number {
    return this.requestCount
  }

  /** Starts a generation. Returns a function that aborts it. */
  generate (seed: number | undefined): () => void {
    const { clock, document } = this.world
    const sink = new CommittedSink()
    const controller = new AbortController()
    const common = { model: 'm', prompt: 'Hi', promptTokens: 1, maximumTokens: 10 }
    const job: types.Job = {
      request: this.createRequest(),
      workspace: 'a',
      weight: 1,
      model: document.getModel('m') as types.Job['model'],
      generation: seed === undefined ? common : { ...common, seed },
      prefixes: [],
      receivedAtMs: clock.monotonicMs()
    }
    const conductor = new generationRunners.GenerationRunner(this.dependencies)
    conductor.run(job, sink, controller.signal).then(result => {
      this.outcomes.push(job.request)
      const whole = words.join('')
      this.expect(result.isRight() ? sink.text === whole : whole.startsWith(sink.text), `text ${sink.text}`)
    })
    return () => controller.abort(failures.createFailure('may_have_run', 'caller_gone'))
  }

  /** Starts a call that may not be repeated. Returns a function that aborts it. */
  call (): () => void {
    const request = this.createRequest()
    const match = { service: 'booking', timeoutMs: 5000, route: { prefix: '/b', methods: ['POST' as const], open: false, idempotent: false } }
    const call = { service: 'booking', method: 'POST', target: '/b', headers: {}, body: '', timeoutMs: 5000 }
    const run = new serviceRuns.ServiceRun(this.dependencies, { request, workspace: 'a', weight: 1, match, call })
    run.run().then(result => {
      this.outcomes.push(request)
      const runs = this.runs.get(request) ?? 0
      this.expect(runs <= 1, 'a call ran twice')
      const verdict = result.caseOf({ Left: failure => failure.verdict, Right: () => 'ran' })
      this.expect(verdict !== 'not_run' || runs === 0, 'a call that ran is reported as not run')
      this.expect(result.isLeft() || runs === 1, 'an answer without a run')
    })
    return () => run.abort(failures.createFailure('may_have_run', 'caller_gone'))
  }

  /** Disconnects a link. If it stays disconnected for the session lease, the agent ends the entry's work. */
  cut (agent: fakes.FakeAgent): void {
    agent.link.cut()
    this.leases.get(agent)?.()
    this.leases.set(agent, this.world.clock.after(sessionLeaseMs, () => agent.expire()))
  }

  reopen (agent: fakes.FakeAgent): void {
    this.leases.get(agent)?.()
    agent.link.reopen()
  }

  private expect (holds: boolean, violation: string): void {
    if (!holds) {
      this.violations.push(violation)
    }
  }

  private createRequest (): string {
    this.requestCount += 1
    return `r${this.requestCount}`
  }

  /** Emits a frame. Randomly, the frame is lost or all frames so far are sent again after it. */
  private send (agent: fakes.FakeAgent, start: work.Start, frame: work.Frame): void {
    const { link } = agent
    const chance = this.delays.nextInteger(10)
    const wasOpen = link.isOpen
    link.isOpen = wasOpen && chance > 0
    agent.emit(start.attempt, frame)
    link.isOpen = wasOpen
    if (chance === 1) {
      agent.send(start, [...agent.attempts.get(start.attempt)?.frames ?? []])
    }
  }

  private runAttempt (agent: fakes.FakeAgent, start: work.Start): void {
    const frames = createFrames(start.task.kind)
    const step = (): void => {
      const held = agent.attempts.get(start.attempt)
      const frame = frames.shift()
      if (held?.start !== start || held.state === 'cancelled' || frame === undefined) {
        return
      }
      if (frame.kind === 'started' && start.task.kind === 'call') {
        this.runs.set(start.request, (this.runs.get(start.request) ?? 0) + 1)
      }
      this.send(agent, start, frame)
      this.world.clock.after(this.delays.nextInteger(maximumFrameGapMs), step)
    }
    this.world.clock.after(this.delays.nextInteger(maximumFrameGapMs), step)
  }
}

function createFrames (kind: work.TaskKind): work.Frame[] {
  const started: work.Frame = { kind: 'started', offset: 0 }
  if (kind === 'call') {
    return [started, fakes.createAnswered(1, 'done')]
  }
  if (kind === 'prefill') {
    return [started, { kind: 'finished', offset: 1, reason: 'prefilled' }]
  }
  const texts = words.map((text, index): work.Frame => ({ kind: 'text', offset: index + 1, text, tokens: 1 }))
  return [started, ...texts, fakes.createStop(words.length + 1)]
}

type Step =
  | { readonly kind: 'generate', readonly seeded: boolean }
  | { readonly kind: 'call' | 'abort' }
  | { readonly kind: 'cut' | 'reopen' | 'restart', readonly agent: number }
  | { readonly kind: 'lose', readonly method: fakes.Loss['method'], readonly part: fakes.Loss['part'] }

const agent = fastCheck.nat(5)
const method = fastCheck.constantFrom('work.offer', 'work.start', 'work.cancel', 'work.resume' as const)
const fault = fastCheck.constantFrom('cut' as const, 'reopen' as const, 'reopen' as const, 'restart' as const)
const part = fastCheck.constantFrom('call' as const, 'answer' as const)
const step: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  { weight: 4, arbitrary: fastCheck.record({ kind: fastCheck.constant('generate' as const), seeded: fastCheck.boolean() }) },
  { weight: 4, arbitrary: fastCheck.record({ kind: fastCheck.constant('call' as const) }) },
  { weight: 1, arbitrary: fastCheck.record({ kind: fastCheck.constant('abort' as const) }) },
  { weight: 8, arbitrary: fastCheck.record({ kind: fault, agent }) },
  { weight: 3, arbitrary: fastCheck.record({ kind: fastCheck.constant('lose' as const), method, part }) }
)
const schedule = fastCheck.array(fastCheck.tuple(step, fastCheck.nat(400)), { minLength: 15, maxLength: 50, size: 'max' })

/** Runs a schedule of steps. With `callersDisconnect`, all callers disconnect at its end. */
async function runSchedule (steps: readonly (readonly [Step, number])[], seed: number, callersDisconnect: boolean): Promise<void> {
  const scenario = new FaultScenario(seed)
  const { world } = scenario
  const agents = world.listAgents('')
  const aborts: (() => void)[] = []
  let boots = 1
  for (const [next, pauseMs] of steps) {
    switch (next.kind) {
      case 'generate':
        aborts.push(scenario.generate(next.seeded ? 1 : undefined))
        break
      case 'call':
        aborts.push(scenario.call())
        break
      case 'abort':
        aborts.shift()?.()
        break
      case 'lose':
        world.loseMessages('', next.method, next.part, 1)
        break
      default:
        boots += 1
        injectFault(scenario, next.kind, agents[next.agent] as fakes.FakeAgent, `boot${boots}`)
    }
    await world.clock.advance(pauseMs)
  }
  if (!callersDisconnect) {
    await world.clock.advance(sessionLeaseMs)
  }
  world.stopLosses()
  for (const each of agents) {
    scenario.reopen(each)
  }
  if (callersDisconnect) {
    await world.clock.advance(100)
    for (const abort of aborts) {
      abort()
    }
    await world.clock.advance(2000)
    assert.equal(countBusy(world), 0, 'nothing runs 2 s after all callers have disconnected')
  }
  await world.clock.advance(30_000)
  assert.deepEqual(scenario.violations, [])
  assert.ok([...scenario.runs.values()].every(runs => runs <= 1), 'calls run at most once')
  assert.equal(scenario.outcomes.length, scenario.requests, 'each request ends')
  assert.equal(new Set(scenario.outcomes).size, scenario.requests, 'each request ends once')
  assert.equal(scenario.allowances.settled.length, scenario.allowances.charged.length, 'each charge is settled once')
  assert.equal(countBusy(world), 0, 'no work is left')
  assert.equal(world.pool.list().reduce((holds, link) => holds + link.holds, 0), 0, 'no link is held')
}

function countBusy (world: worlds.World): number {
  return world.listAgents('').reduce((busy, each) => busy + each.busy, 0)
}

function injectFault (scenario: FaultScenario, kind: 'cut' | 'reopen' | 'restart', target: fakes.FakeAgent, boot: string): void {
  switch (kind) {
    case 'cut':
      scenario.cut(target)
      return
    case 'reopen':
      scenario.reopen(target)
      return
    case 'restart':
      target.link.cut()
      target.restart(boot)
      scenario.reopen(target)
  }
}

test.describe('requests during generated faults', { timeout: 120_000 }, () => {
  test.it('end once, with the complete text or a prefix of it, calls that are not idempotent run at most once, and no work or link stays held', async () => {
    await fastCheck.assert(fastCheck.asyncProperty(schedule, fastCheck.nat(1_000_000), fastCheck.boolean(), runSchedule), { seed: 7, numRuns: 300 })
  })
})
