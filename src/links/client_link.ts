/**
 * The client's end of a session. Opens a connection on demand, replaces one that is lost or unresponsive, and
 * closes one that is idle.
 */
import * as connectionAttempts from './connection_attempt.js'
import * as connections from './connection.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as linkContexts from './link_context.js'
import * as protocol from '../contracts/protocol.js'
import * as types from './types.js'

/** Heartbeats sent per session lease while the other end keeps sending and so needs no ping. */
const heartbeatsPerLease = 4
/** Heartbeat periods between two runs of the timer after which this process is taken to have been paused. */
const pauseThresholdPeriods = 2
/** Time-out of the probe of an idle connection, as a share of `silenceMs`. */
const probeTimeoutShare = 1 / 8

type Opening = Promise<failures.Result<connections.Connection>>

export class ClientLink extends types.Link {
  private readonly session: string
  private connection: connections.Connection | undefined
  private opening: Opening | undefined
  private probing: Opening | undefined
  private remoteIdentity: identities.Identity | undefined
  private retainCount = 0
  private busySinceMs = 0
  private lastHeartbeatMs = 0
  private stopped = false
  private stopHeartbeatTimer: host.Stop | undefined

  constructor (
    override readonly address: identities.Address,
    private readonly context: linkContexts.LinkContext,
    private readonly observer: types.LinkObserver
  ) {
    super()
    this.session = context.system.random.nextId()
  }

  override get remote (): identities.Identity | undefined {
    return this.remoteIdentity
  }

  override get isOpen (): boolean {
    return this.connection?.isOpen ?? false
  }

  /** Whether the link is retained and has an open connection to an agent. */
  get isBusy (): boolean {
    return this.retainCount > 0 && this.isOpen && this.remoteIdentity?.role === 'agent'
  }

  /** Requests the load of the other end's server and reports it to the observer. */
  async requestLoad (): Promise<void> {
    const result = await this.connection?.call(
      'session.heartbeat', { session: this.session }, this.context.timing.silenceMs)
    const load = result?.toMaybe().extract()?.load
    if (load !== undefined) {
      this.observer.loadReported(this, load)
    }
  }

  override async call<Method extends protocol.MethodName> (
    method: Method,
    params: protocol.Params<Method>,
    timeoutMs: number
  ): Promise<failures.Result<protocol.Answer<Method>>> {
    const release = this.retain()
    try {
      const opened = await this.open()
      if (opened.isLeft()) {
        return opened
      }
      return await opened.unsafeCoerce().call(method, params, timeoutMs)
    } finally {
      release()
    }
  }

  override notify<Name extends protocol.NotificationName> (name: Name, notice: protocol.Notice<Name>): void {
    this.connection?.notify(name, notice)
  }

  override retain (): host.Stop {
    if (this.retainCount === 0) {
      this.busySinceMs = this.context.system.clock.monotonicMs()
    }
    this.retainCount += 1
    this.startHeartbeats()
    let released = false
    return () => {
      if (released) {
        return
      }
      released = true
      this.retainCount -= 1
    }
  }

  override close (): void {
    this.stopped = true
    this.stopHeartbeats()
    this.connection?.close()
    this.connection = undefined
  }

  private open (): Opening {
    if (this.stopped) {
      return Promise.resolve(failures.fail(this.createLossFailure()))
    }
    if (this.connection?.isOpen === true) {
      return this.isFresh(this.connection) ? Promise.resolve(failures.succeed(this.connection)) : this.probe(this.connection)
    }
    this.connection?.terminate()
    return this.openConnection()
  }

  /** Whether a message arrived since the link became busy, or within one heartbeat period before. */
  private isFresh (connection: connections.Connection): boolean {
    return connection.lastReceivedMs + this.context.timing.heartbeatMs > this.busySinceMs
  }

  /** Returns the idle connection if it answers a probe, otherwise a new one. Concurrent callers share the probe. */
  private probe (connection: connections.Connection): Opening {
    this.probing ??= this.probeOrReplace(connection).finally(() => {
      this.probing = undefined
    })
    return this.probing
  }

  private async probeOrReplace (connection: connections.Connection): Opening {
    if (await connection.probe(this.context.timing.silenceMs * probeTimeoutShare)) {
      return failures.succeed(connection)
    }
    if (this.connection === connection) {
      this.connection = undefined
    }
    connection.terminate()
    return await this.open()
  }

  private openConnection (): Opening {
    this.opening ??= this.connect().finally(() => {
      this.opening = undefined
    })
    return this.opening
  }

  private async connect (): Opening {
    const attempt = new connectionAttempts.ConnectionAttempt(this.address, this.context, this.session, {
      requested: () => {},
      received: () => {},
      notified: (name, notice) => this.observer.notified(this, name, notice as never),
      stampReceived: stamp => this.context.piggyback.accept(stamp, this.remoteIdentity),
      closed: () => this.handleLoss()
    })
    const result = await attempt.open()
    if (result.isLeft()) {
      return failures.fail(result.extract() as failures.Failure)
    }
    const opened = result.unsafeCoerce()
    if (this.stopped || !opened.connection.isOpen) {
      opened.connection.close()
      return failures.fail(this.createLossFailure())
    }
    this.connection = opened.connection
    this.remoteIdentity = opened.identity
    this.startHeartbeats()
    this.observer.opened(this, opened.resumed)
    return failures.succeed(opened.connection)
  }

  private handleLoss (): void {
    if (this.connection === undefined) {
      return
    }
    this.connection = undefined
    this.observer.lost(this)
    if (this.retainCount > 0) {
      this.context.system.clock.after(this.context.timing.reconnectMs, () => this.open())
    }
  }

  private startHeartbeats (): void {
    if (this.stopped || this.stopHeartbeatTimer !== undefined) {
      return
    }
    this.lastHeartbeatMs = this.context.system.clock.monotonicMs()
    this.stopHeartbeatTimer = this.context.system.clock.every(this.context.timing.heartbeatMs, () => this.runHeartbeat())
  }

  private stopHeartbeats (): void {
    this.stopHeartbeatTimer?.()
    this.stopHeartbeatTimer = undefined
  }

  private runHeartbeat (): void {
    const now = this.context.system.clock.monotonicMs()
    const wasPaused = now - this.lastHeartbeatMs > pauseThresholdPeriods * this.context.timing.heartbeatMs
    this.lastHeartbeatMs = now
    const connection = this.connection
    if (connection === undefined || !connection.isOpen) {
      this.runHeartbeatWithoutConnection()
      return
    }
    if (this.retainCount === 0) {
      this.closeIfIdle(connection, now)
      return
    }
    const waitingSinceMs = Math.max(connection.lastReceivedMs, this.busySinceMs)
    // After a pause of this process, messages that arrived meanwhile are read before the time-out is checked again.
    if (!wasPaused && now - waitingSinceMs > this.context.timing.silenceMs) {
      connection.terminate()
      this.open()
      return
    }
    if (now - connection.lastReceivedMs >= this.context.timing.heartbeatMs) {
      connection.ping()
      return
    }
    if (now - connection.lastSentMs >= this.context.timing.sessionLeaseMs / heartbeatsPerLease) {
      connection.pong()
    }
  }

  private runHeartbeatWithoutConnection (): void {
    if (this.retainCount === 0) {
      this.stopHeartbeats()
      return
    }
    this.open()
  }

  private closeIfIdle (connection: connections.Connection, nowMs: number): void {
    if (nowMs - connection.lastUsedMs < this.context.timing.idleMs) {
      return
    }
    this.stopHeartbeats()
    this.connection = undefined
    connection.close()
  }

  private createLossFailure (): failures.Failure {
    return failures.createFailure('not_run', 'link_lost', [identities.formatAddress(this.address)])
  }
}
