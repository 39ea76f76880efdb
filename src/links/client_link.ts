/**
 * The client's end of a session: opens a connection when there is something to say, replaces one that was
 * lost or has gone silent, and closes one that is idle.
 */
import * as ws from 'ws'
import * as connections from './connection.js'
import * as credentials from './credential.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as protocol from '../contracts/protocol.js'
import * as traffics from './traffic.js'
import * as types from './types.js'

/** What the links of a process share. */
export interface LinkContext {
  readonly system: host.System
  readonly identity: identities.Identity
  readonly credential: string
  readonly timing: types.LinkTiming
  readonly piggyback: types.Piggyback
  readonly traffic: traffics.Traffic
  readonly security: types.Security | undefined
}

/** Heartbeats sent during a session lease on a connection on which the other end talks. */
const beatsPerLease = 4
/** Periods of heartbeats after which a late one shows that this process itself was paused. */
const pausedBeats = 2
/** Share of the silence limit within which a connection that was idle must answer before it is replaced. */
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
    private readonly context: LinkContext,
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

  /** Whether work of an agent is under way over an open connection. */
  get isBusy (): boolean {
    return this.holds > 0 && this.isOpen && this.remoteIdentity?.role === 'agent'
  }

  /** Asks the other end for the load of its server and reports it to the observers. */
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

  /** Whether something was heard since the link was last idle, or shortly before its work began. */
  private isFresh (connection: connections.Connection): boolean {
    return connection.lastHeardMs + this.context.timing.heartbeatMs > this.busySinceMs
  }

  /** Uses a connection that was idle once it has answered; replaces it if it does not. */
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
    const attempt = new ConnectionAttempt(this.address, this.context, this.session, {
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
    // After a pause of this process, what has arrived meanwhile is read before the next heartbeat.
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

interface Opened {
  readonly connection: connections.Connection
  readonly identity: identities.Identity
  readonly resumed: boolean
}

/** One try to connect and to open the session. */
class ConnectionAttempt {
  private readonly peer: string

  constructor (
    address: identities.Address,
    private readonly context: LinkContext,
    private readonly session: string,
    private readonly events: connections.ConnectionEvents
  ) {
    this.peer = identities.formatAddress(address)
  }

  open (): Promise<failures.Result<Opened>> {
    return new Promise(resolve => {
      const stopTimer = this.context.system.clock.after(this.context.timing.connectTimeoutMs, () => {
        connection.terminate()
      })
      const settle = (result: failures.Result<Opened>): void => {
        stopTimer()
        resolve(result)
      }
      const socket = this.createSocket()
      let isOpened = false
      const connection = new connections.Connection(
        socket, createConnectionContext(this.context), this.peer, {
          ...this.events,
          noticed: (name, notice) => {
            if (name !== 'session.challenge') {
              this.events.noticed(name, notice)
              return
            }
            const { challenge } = notice as protocol.Notice<'session.challenge'>
            this.introduce(connection, challenge).then(result => {
              settle(result)
              isOpened = result.isRight()
              if (!isOpened) {
                connection.terminate()
              }
            })
          },
          closed: () => {
            settle(failures.fail(this.createLoss()))
            if (isOpened) {
              this.events.closed()
            }
          }
        })
      socket.once('upgrade', response => connection.joinWrites(response.socket))
    })
  }

  private createSocket (): ws.WebSocket {
    const { security } = this.context
    const scheme = security === undefined ? 'ws' : 'wss'
    const options: ws.ClientOptions = {
      perMessageDeflate: false,
      maxPayload: connections.maximumMessageBytes,
      handshakeTimeout: this.context.timing.connectTimeoutMs
    }
    if (security !== undefined) {
      Object.assign(options, { ca: security.authority, cert: security.certificate, key: security.key })
      // Certificates are issued to the deployment, not to host names: VMs are replaced and have IP addresses only.
      options.checkServerIdentity = (() => undefined) as unknown as ws.ClientOptions['checkServerIdentity']
    }
    return new ws.WebSocket(`${scheme}://${this.peer}/`, options)
  }

  private async introduce (
    connection: connections.Connection, challenge: string
  ): Promise<failures.Result<Opened>> {
    const { identity, credential, system, timing } = this.context
    const ownChallenge = system.random.nextId()
    const proof = credentials.createProof(credential, { side: 'client', challenge, session: this.session, identity })
    const params = { session: this.session, identity, challenge: ownChallenge, proof }
    const result = await connection.call('session.open', params, timing.connectTimeoutMs)
    return result
      .chain(answer => this.check(connection, answer, ownChallenge))
      .mapLeft(failure => failures.withVerdict(failure, 'not_run'))
  }

  private check (
    connection: connections.Connection, answer: protocol.Answer<'session.open'>, challenge: string
  ): failures.Result<Opened> {
    const claim: credentials.Claim = {
      side: 'listener', challenge, session: this.session, identity: answer.identity
    }
    if (!credentials.isValidProof(this.context.credential, claim, answer.proof)) {
      return failures.fail(failures.createFailure('not_run', 'credential_invalid', [this.peer]))
    }
    return failures.succeed({ connection, identity: answer.identity, resumed: answer.resumed })
  }

  private createLoss (): failures.Failure {
    return failures.createFailure('not_run', 'link_lost', [this.peer])
  }
}

/** Returns the part of a link context that connections need. */
export function createConnectionContext (context: LinkContext): connections.ConnectionContext {
  return { clock: context.system.clock, piggyback: context.piggyback, traffic: context.traffic }
}
