/**
 * The agent next to one backend server: turns calls over links and reports of the backend into events of the gate, and
 * runs the actions that the gate returns.
 */
import * as agentOptions from './agent_options.js'
import * as backends from './backend.js'
import * as configuration from '../contracts/configuration.js'
import * as documents from '../configuration/document.js'
import * as engineMonitors from './engine_monitor.js'
import * as failures from '../contracts/failure.js'
import * as frameSenders from './frame_sender.js'
import * as gates from './gate.js'
import * as host from '../host/types.js'
import * as links from '../links/types.js'
import * as meters from '../metrics/types.js'
import * as protocol from '../contracts/protocol.js'
import * as eventReporters from './event_reporter.js'
import * as settings from '../contracts/settings.js'
import * as timelines from '../timeline/types.js'
import * as types from './types.js'
import * as verdicts from '../contracts/verdict.js'
import * as work from '../contracts/work.js'

export interface AgentContext {
  readonly system: host.System
  readonly settings: settings.AgentSettings
  /** Boot identifier of this process, as in its identity. */
  readonly boot: string
  readonly meter: meters.Meter
  readonly recorder: timelines.Recorder
  /** The backend server; created from the settings if omitted. */
  readonly backend?: backends.Backend
}

type CallResolver = (result: failures.Result<never>) => void

export class Agent extends links.SessionObserver {
  /** Handlers for the calls of entries. */
  readonly handlers: links.Handlers = {
    'work.offer': (params, session) => this.call('work.offer', params, session),
    'work.release': (params, session) => this.call('work.release', params, session),
    'work.start': (params, session) => this.call('work.start', params, session),
    'work.cancel': (params, session) => this.call('work.cancel', params, session),
    'work.resume': (params, session) => this.call('work.resume', params, session),
    'session.heartbeat': async () => failures.succeed({ load: this.gate.load })
  }

  private readonly gate: gates.Gate
  private readonly backend: backends.Backend
  private readonly sender: frameSenders.FrameSender
  private readonly report: eventReporters.EventReporter
  private readonly engineWatch: engineMonitors.EngineMonitor | undefined
  private readonly fence: number
  private readonly observer: backends.BackendObserver
  private readonly sessions = new Map<string, links.Session>()
  private readonly calls = new Map<number, CallResolver>()
  private readonly idleWaiters: (() => void)[] = []
  private lastCall = 0
  private stopTick: host.Stop = () => {}
  private tickAtMs = Number.POSITIVE_INFINITY
  private isIdle = false
  private isStopping = false

  constructor (private readonly context: AgentContext) {
    super()
    const { system, boot, settings: agent } = context
    const options = agentOptions.createGateOptions(agent, boot, system.clock.wallMs())
    this.fence = options.fence
    this.gate = new gates.Gate(options)
    this.backend = context.backend ?? agentOptions.createBackend(agent, system.clock)
    this.sender = new frameSenders.FrameSender(system.clock, id => this.sessions.get(id), agent.limits.stalledCallerBytes)
    this.report = new eventReporters.EventReporter(context.meter, context.recorder)
    this.observer = new GateBackendObserver(event => this.decide(event), () => this.nowMs)
    this.engineWatch = this.createWatch()
  }

  get load (): work.Load {
    return this.gate.load
  }

  /** State of the gate, for the status page and tests. */
  get figures (): types.GateFigures {
    return this.gate.figures
  }

  /** Takes over the server with this boot's fencing token and subscribes to its reports. */
  async start (): Promise<void> {
    await this.engineWatch?.start()
  }

  /** Applies a new version of the configuration. */
  configure (view: documents.ConfigurationView): void {
    const { settings: agent } = this.context
    this.decide({ kind: 'configure', nowMs: this.nowMs, capacity: agentOptions.createCapacity(agent, view) })
    this.applyServerState(view.getServer(agent.server)?.state)
  }

  /** Starts or reverts a drain as configured. A drain that was started by `drain` is never reverted. */
  private applyServerState (state: configuration.Server['state'] | undefined): void {
    if (state === 'leaving') {
      this.beginDrain()
      return
    }
    if (state === 'active' && this.gate.load.draining && !this.isStopping) {
      this.isIdle = false
      this.decide({ kind: 'undrain', nowMs: this.nowMs })
    }
  }

  /** Refuses new work; resolves once the running work has ended and its frames are acknowledged. */
  async drain (): Promise<void> {
    this.isStopping = true
    this.beginDrain()
    if (this.isIdle) {
      return
    }
    await new Promise<void>(resolve => this.idleWaiters.push(resolve))
  }

  async close (): Promise<void> {
    this.stopTick()
    this.engineWatch?.stop()
    await this.backend.close()
  }

  override opened (session: links.Session): void {
    this.sessions.set(session.id, session)
    this.decide({ kind: 'session.opened', nowMs: this.nowMs, session: session.id })
  }

  override expired (session: links.Session): void {
    this.decide({ kind: 'session.expired', nowMs: this.nowMs, session: session.id })
    this.sender.flush()
    this.sessions.delete(session.id)
  }

  override notified<Name extends protocol.NotificationName> (
    _session: links.Session, name: Name, notice: protocol.Notice<Name>
  ): void {
    if (name === 'work.acknowledge') {
      const acknowledgement = notice as protocol.Notice<'work.acknowledge'>
      this.decide({ kind: 'work.acknowledge', nowMs: this.nowMs, notice: acknowledgement })
    }
  }

  private get nowMs (): number {
    return this.context.system.clock.monotonicMs()
  }

  private call<Method extends types.GateMethod> (
    kind: Method, params: protocol.Params<Method>, session: links.Session
  ): Promise<failures.Result<protocol.Answer<Method>>> {
    this.lastCall += 1
    const call = this.lastCall
    const event = { kind, nowMs: this.nowMs, call, session: session.id, params } as types.GateCall
    return new Promise(resolve => {
      this.calls.set(call, resolve)
      this.decide(event)
    })
  }

  private decide (event: types.GateEvent): void {
    for (const action of this.gate.decide(event)) {
      this.runAction(action)
    }
    this.scheduleTick()
  }

  private runAction (action: types.GateAction): void {
    switch (action.kind) {
      case 'answer':
        return this.answer(action.call, action.result)
      case 'launch':
        return this.backend.launch(action.order, this.observer)
      case 'abort':
        return this.abort(action)
      case 'send':
        return this.sender.add(action.session, action.id, action.frame)
      case 'leaving':
        return this.announceLeaving(action.load)
      case 'idle':
        return this.reportIdle()
      case 'record':
        return this.report.record(action.draft)
      default:
        verdicts.assertNever(action)
    }
  }

  private answer (call: number, result: failures.Result<types.CallAnswer>): void {
    const settle = this.calls.get(call)
    this.calls.delete(call)
    settle?.(result as failures.Result<never>)
  }

  private abort (abort: backends.AbortRequest): void {
    this.backend.abort(abort).then(isReleased => {
      if (isReleased) {
        this.decide({ kind: 'backend.released', nowMs: this.nowMs, order: abort.order })
      }
    })
  }

  private beginDrain (): void {
    this.decide({ kind: 'drain', nowMs: this.nowMs })
  }

  private announceLeaving (load: work.Load): void {
    for (const session of this.sessions.values()) {
      session.notify('server.leaving', { load })
    }
  }

  private reportIdle (): void {
    this.isIdle = true
    for (const resolve of this.idleWaiters.splice(0)) {
      resolve()
    }
  }

  /** Keeps a single timer, set to the gate's next tick. */
  private scheduleTick (): void {
    const next = this.gate.nextTickMs ?? Number.POSITIVE_INFINITY
    if (next >= this.tickAtMs || !Number.isFinite(next)) {
      return
    }
    this.stopTick()
    this.tickAtMs = next
    this.stopTick = this.context.system.clock.after(Math.max(0, next - this.nowMs), () => {
      this.tickAtMs = Number.POSITIVE_INFINITY
      this.decide({ kind: 'tick', nowMs: this.nowMs })
    })
  }

  private createWatch (): engineMonitors.EngineMonitor | undefined {
    const { backend } = this
    if (!(backend instanceof backends.Engine)) {
      return undefined
    }
    return new engineMonitors.EngineMonitor({
      engine: backend,
      fence: this.fence,
      server: this.context.settings.backend,
      system: this.context.system,
      meter: this.context.meter,
      getLoad: () => this.gate.load,
      cacheChanged: change => this.decide({ kind: 'cache.changed', nowMs: this.nowMs, change })
    })
  }
}

/** Converts reports of the backend into events of the gate. */
class GateBackendObserver extends backends.BackendObserver {
  constructor (
    private readonly decide: (event: types.GateEvent) => void,
    private readonly getNowMs: () => number
  ) {
    super()
  }

  override progress (order: number, text: string, tokens: number): void {
    this.decide({ kind: 'backend.progress', nowMs: this.getNowMs(), order, text, tokens })
  }

  override finished (order: number, completion: types.Completion): void {
    this.decide({ kind: 'backend.finished', nowMs: this.getNowMs(), order, completion })
  }

  override failed (order: number, failure: failures.Failure, released: boolean): void {
    this.decide({ kind: 'backend.failed', nowMs: this.getNowMs(), order, failure, released })
  }
}

export function createAgent (context: AgentContext): Agent {
  return new Agent(context)
}
