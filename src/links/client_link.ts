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
const beatsPerLease = 4
/** Heartbeat periods between two runs of the timer after which this process is taken to have been paused. */
const pausedBeats = 2
/** Time-out of the probe of an idle connection, as a share of `silenceMs`. */
const probeShare = 1 / 8

type Opening = Promise<failures.Result<connections.Connection>>

export class ClientLink extends types.Link {
  private readonly session: string
  private connection: connections.Connection | undefined
  private opening: Opening | undefined
  private probing: Opening | undefined
  private remoteIdentity: identities.Identity | undefined
  private holds = 0
  private busySinceMs = 0
  private beatAtMs = 0
  private stopped = false
  private stopBeat: host.Stop | undefined

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
    return this.holds > 0 && this.isOpen && this.remoteIdentity?.role === 'agent'
  }

  /** Requests the load of the other end's server and reports it to the observer. */
  async askLoad (): Promise<void> {
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
    const release = this.hold()
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

  override hold (): host.Stop {
    if (this.holds === 0) {
      this.busySinceMs = this.context.system.clock.monotonicMs()
    }
    this.holds += 1
    this.startBeat()
    let released = false
    return () => {
      if (released) {
        return
      }
      released = true
      this.holds -= 1
    }
  }

  override close (): void {
    this.stopped = true
    this.endBeat()
    this.connection?.close()
    this.connection = undefined
  }

  private open (): Opening {
    if (this.stopped) {
      return Promise.resolve(failures.fail(this.createLoss()))
    }
    if (this.connection?.isOpen === true) {
      return this.isFresh(this.connection) ? Promise.resolve(failures.succeed(this.connection)) : this.probe(this.connection)
    }
    this.connection?.terminate()
    return this.openAnew()
  }

  /** Whether a message arrived since the link became busy, or within one heartbeat period before. */
  private isFresh (connection: connections.Connection): boolean {
    return connection.lastHeardMs + this.context.timing.heartbeatMs > this.busySinceMs
  }

  /** Returns the idle connection if it answers a probe, otherwise a new one. Concurrent callers share the probe. */
  private probe (connection: connections.Connection): Opening {
    this.probing ??= this.probeOrReplace(connection).finally(() => {
      this.probing = undefined
    })
    return this.probing
  }

  private async probeOrReplace (connection: connections.Connection): Opening {
    if (await connection.probe(this.context.timing.silenceMs * probeShare)) {
      return failures.succeed(connection)
    }
    if (this.connection === connection) {
      this.connection = undefined
    }
    connection.terminate()
    return await this.open()
  }

  private openAnew (): Opening {
    this.opening ??= this.connect().finally(() => {
      this.opening = undefined
    })
    return this.opening
  }

  private async connect (): Opening {
    const attempt = new connectionAttempts.ConnectionAttempt(this.address, this.context, this.session, {
      requested: () => {},
      heard: () => {},
      noticed: (name, notice) => this.observer.noticed(this, name, notice as never),
      stamped: stamp => this.context.piggyback.accept(stamp, this.remoteIdentity),
      closed: () => this.lose()
    })
    const result = await attempt.open()
    if (result.isLeft()) {
      return failures.fail(result.extract() as failures.Failure)
    }
    const opened = result.unsafeCoerce()
    if (this.stopped || !opened.connection.isOpen) {
      opened.connection.close()
      return failures.fail(this.createLoss())
    }
    this.connection = opened.connection
    this.remoteIdentity = opened.identity
    this.startBeat()
    this.observer.opened(this, opened.resumed)
    return failures.succeed(opened.connection)
  }

  private lose (): void {
    if (this.connection === undefined) {
      return
    }
    this.connection = undefined
    this.observer.lost(this)
    if (this.holds > 0) {
      this.context.system.clock.after(this.context.timing.reconnectMs, () => this.open())
    }
  }

  private startBeat (): void {
    if (this.stopped || this.stopBeat !== undefined) {
      return
    }
    this.beatAtMs = this.context.system.clock.monotonicMs()
    this.stopBeat = this.context.system.clock.every(this.context.timing.heartbeatMs, () => this.beat())
  }

  private endBeat (): void {
    this.stopBeat?.()
    this.stopBeat = undefined
  }

  private beat (): void {
    const now = this.context.system.clock.monotonicMs()
    const wasPaused = now - this.beatAtMs > pausedBeats * this.context.timing.heartbeatMs
    this.beatAtMs = now
    const connection = this.connection
    if (connection === undefined || !connection.isOpen) {
      this.beatWithoutConnection()
      return
    }
    if (this.holds === 0) {
      this.closeIfIdle(connection, now)
      return
    }
    const silentSinceMs = Math.max(connection.lastHeardMs, this.busySinceMs)
    // After a pause of this process, messages that arrived meanwhile are read before the time-out is checked again.
    if (!wasPaused && now - silentSinceMs > this.context.timing.silenceMs) {
      connection.terminate()
      this.open()
      return
    }
    if (now - connection.lastHeardMs >= this.context.timing.heartbeatMs) {
      connection.ping()
      return
    }
    if (now - connection.lastSentMs >= this.context.timing.sessionLeaseMs / beatsPerLease) {
      connection.pong()
    }
  }

  private beatWithoutConnection (): void {
    if (this.holds === 0) {
      this.endBeat()
      return
    }
    this.open()
  }

  private closeIfIdle (connection: connections.Connection, nowMs: number): void {
    if (nowMs - connection.lastUsedMs < this.context.timing.idleMs) {
      return
    }
    this.endBeat()
    this.connection = undefined
    connection.close()
  }

  private createLoss (): failures.Failure {
    return failures.createFailure('not_run', 'link_lost', [identities.formatAddress(this.address)])
  }
}
