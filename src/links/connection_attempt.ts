/**
 * Opens a connection to another process and a session on it, with mutual authentication.
 */
import * as ws from 'ws'
import * as connections from './connection.js'
import * as credentials from './credential.js'
import * as failures from '../contracts/failure.js'
import * as identities from '../contracts/identity.js'
import * as linkContexts from './link_context.js'
import * as protocol from '../contracts/protocol.js'

/** A connection with an open session. */
export interface OpenedConnection {
  readonly connection: connections.Connection
  readonly identity: identities.Identity
  /** Whether the other end still had the session. */
  readonly resumed: boolean
}

/** One attempt to connect and open the session. */
export class ConnectionAttempt {
  private readonly peer: string

  constructor (
    address: identities.Address,
    private readonly context: linkContexts.LinkContext,
    private readonly session: string,
    private readonly events: connections.ConnectionEvents
  ) {
    this.peer = identities.formatAddress(address)
  }

  /** Opens the connection and the session. The verdict of a failure is `not_run`. */
  open (): Promise<failures.Result<OpenedConnection>> {
    return new Promise(resolve => {
      const stopTimer = this.context.system.clock.after(this.context.timing.connectTimeoutMs, () => {
        connection.terminate()
      })
      const settle = (result: failures.Result<OpenedConnection>): void => {
        stopTimer()
        resolve(result)
      }
      const socket = this.createSocket()
      let isOpened = false
      const connection = new connections.Connection(
        socket, linkContexts.createConnectionContext(this.context), this.peer, {
          ...this.events,
          notified: (name, notice) => {
            if (name !== 'session.challenge') {
              this.events.notified(name, notice)
              return
            }
            const { challenge } = notice as protocol.Notice<'session.challenge'>
            this.openSession(connection, challenge).then(result => {
              settle(result)
              isOpened = result.isRight()
              if (!isOpened) {
                connection.terminate()
              }
            })
          },
          closed: () => {
            settle(failures.fail(this.createLossFailure()))
            if (isOpened) {
              this.events.closed()
            }
          }
        })
      socket.once('upgrade', response => connection.batchWrites(response.socket))
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
      // Certificates are issued to the deployment and not to host names: VMs are replaced and have IP addresses only.
      options.checkServerIdentity = (() => undefined) as unknown as ws.ClientOptions['checkServerIdentity']
    }
    return new ws.WebSocket(`${scheme}://${this.peer}/`, options)
  }

  private async openSession (
    connection: connections.Connection, challenge: string
  ): Promise<failures.Result<OpenedConnection>> {
    const { identity, credential, system, timing } = this.context
    const ownChallenge = system.random.nextId()
    const proof = credentials.createProof(credential, { side: 'client', challenge, session: this.session, identity })
    const params = { session: this.session, identity, challenge: ownChallenge, proof }
    const result = await connection.call('session.open', params, timing.connectTimeoutMs)
    return result
      .chain(answer => this.checkProof(connection, answer, ownChallenge))
      .mapLeft(failure => failures.withVerdict(failure, 'not_run'))
  }

  private checkProof (
    connection: connections.Connection, answer: protocol.Answer<'session.open'>, challenge: string
  ): failures.Result<OpenedConnection> {
    const claim: credentials.Claim = {
      side: 'listener', challenge, session: this.session, identity: answer.identity
    }
    if (!credentials.isValidProof(this.context.credential, claim, answer.proof)) {
      return failures.fail(failures.createFailure('not_run', 'credential_invalid', [this.peer]))
    }
    return failures.succeed({ connection, identity: answer.identity, resumed: answer.resumed })
  }

  private createLossFailure (): failures.Failure {
    return failures.createFailure('not_run', 'link_lost', [this.peer])
  }
}
