/**
 * Transport of the gossip between gateways: states, zone aggregates, and copies of the store replica.
 *
 * One call exchanges the messages of both sides, by JSON-RPC over HTTP. A gateway calls another one when they have not exchanged
 * messages for a period.
 */
import * as buffer from 'node:buffer'
import * as http from 'node:http'
import * as jsonRpc from 'json-rpc-2.0'
import * as undici from 'undici'
import * as accountChecks from './caller_memory/account_check.js'
import * as accounts from './caller_memory/account.js'
import * as bodyIntakes from './caller_memory/body_intake.js'
import * as chunkTurns from './caller_memory/chunk_turns.js'
import * as callerBounds from './caller_memory/bounds.js'
import * as peerTables from './peer_table.js'
import * as eventLoop from '../host/event_loop.js'
import * as garbage from '../host/garbage_collector.js'
import * as host from '../host/types.js'
import * as httpListeners from '../daemon/http_listener.js'
import * as identities from '../contracts/identity.js'
import * as messages from './peer_messages.js'
import * as permits from './permits.js'
import * as partTrials from './part_trials.js'
import * as replicas from './store_replica.js'

/** Checks for due exchanges in each exchange period, and the shortest interval between them in milliseconds. */
const checksPerPeriod = 5
const minimumTickMs = 20
/** Time-out of an exchange, in milliseconds. */
const exchangeTimeoutMs = 400
/** Time-out of a read of another gateway's store replica, in milliseconds. */
const replicaTimeoutMs = 1_000
/** Time-out of an order for permits or a trial, in milliseconds: callers wait for it. */
const orderTimeoutMs = 80
/** Limit on a message of another gateway, and how long it may take: the other one has given up by then. Answers are longer. */
const maximumRequestBytes = 4_194_304
const requestTimeoutMs = 2_000
/** How often what others hold is checked, in milliseconds. */
const memoryCheckPeriodMs = 100
/** Limit on the text of an error in the log, in characters. */
const loggedErrorLength = 200
/** Header that tells whether the caller is in the same zone, which selects the compression of the answer. */
const sameZoneHeader = 'x-same-zone'

export class PeerExchange extends permits.PermitChannel implements partTrials.TrialChannel {
  private readonly agent = new undici.Agent({ connect: { timeout: exchangeTimeoutMs }, pipelining: 1, connections: 2, keepAliveTimeout: 5_000, maxResponseSize: messages.maximumMessageBytes })
  private readonly server: http.Server
  private readonly rpc = new jsonRpc.JSONRPCServer({
    errorListener: (message, data) => this.system.log.warn('message of another gateway not accepted', { reason: message, error: String(data).slice(0, loggedErrorLength) })
  })

  private readonly account = new accounts.CallerMemory(callerBounds.createPeerAccountLimits())
  private readonly turns: chunkTurns.ChunkTurns
  private readonly neverGone = new AbortController().signal
  private stopTick: host.Stop | undefined
  private stopCheck: host.Stop | undefined

  constructor (
    private readonly table: peerTables.PeerTable,
    private readonly zone: string,
    private readonly replica: replicas.StoreReplica,
    private readonly system: host.System,
    decidePermits: (order: messages.PermitOrder) => messages.PermitGrant,
    decideTrial: (order: messages.TrialOrder) => messages.TrialGrant,
    private readonly maximumConnections = Infinity
  ) {
    super()
    this.turns = new chunkTurns.ChunkTurns(system.clock)
    this.rpc.addMethod('peer.exchange', message => {
      const news = messages.GossipMessage.parse(message)
      this.receive(news)
      return this.table.createMessage(news.own.node)
    })
    this.rpc.addMethod('permits.order', message => decidePermits(messages.PermitOrder.parse(message)))
    this.rpc.addMethod('trials.order', message => decideTrial(messages.TrialOrder.parse(message)))
    this.rpc.addMethod('mirror.read', () => this.replica.takeSnapshot())
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch((error: unknown) => {
        this.system.log.warn('failed to answer a message of another gateway', { reason: String(error) })
        response.destroy()
      })
    })
  }

  async start (address: identities.Address): Promise<void> {
    await httpListeners.listen(this.server, address, this.maximumConnections)
    this.stopCheck = this.system.clock.every(memoryCheckPeriodMs, () => this.checkMemory())
    this.tick()
  }

  async close (): Promise<void> {
    this.stopTick?.()
    this.stopCheck?.()
    this.server.close()
    this.server.closeAllConnections()
    await this.agent.destroy()
  }

  /** Copies the store replica of the gateway at an address; used directly for seeds, before other gateways are known. */
  async copyFrom (address: string): Promise<void> {
    const { replica: ownReplica } = this
    const snapshot = messages.Snapshot.parse(await this.call(address, 'mirror.read', {}, replicaTimeoutMs, false))
    const before = ownReplica.revision
    if (ownReplica.accept(snapshot)) {
      this.system.log.info('copied the store replica of another gateway', { address, revision: snapshot.revision, before })
    }
  }

  override async ask (node: string, order: messages.PermitOrder): Promise<messages.PermitGrant> {
    return messages.PermitGrant.parse(await this.order(node, 'permits.order', order))
  }

  async askTrial (node: string, order: messages.TrialOrder): Promise<messages.TrialGrant> {
    return messages.TrialGrant.parse(await this.order(node, 'trials.order', order))
  }

  /** Exchanges gossip at once with the gateways to which this one speaks directly. */
  expedite (): void {
    this.table.expedite()
    this.exchangeDue()
  }

  private async order (node: string, method: string, message: unknown): Promise<unknown> {
    const peer = this.table.find(node)
    if (peer === undefined) {
      throw new Error('not a member')
    }
    return await this.call(peer.address, method, message, orderTimeoutMs, peer.zone === this.zone)
  }

  /** Collects buffers of earlier messages that one waits for, and ends what waits for too long. */
  private checkMemory (): void {
    accountChecks.checkAccount(this.account, this.system.clock.monotonicMs())
  }

  private exchangeDue (): void {
    for (const peer of this.table.listDue()) {
      this.exchange(peer)
    }
  }

  private tick (): void {
    this.exchangeDue()
    const tickMs = Math.max(minimumTickMs, this.table.periodMs / checksPerPeriod)
    this.stopTick = this.system.clock.after(tickMs, () => this.tick())
  }

  private exchange (peer: peerTables.Peer): void {
    peer.isCalling = true
    peer.lastExchangeMs = this.system.clock.monotonicMs()
    const isSameZone = peer.zone === this.zone
    this.call(peer.address, 'peer.exchange', this.table.createMessage(peer.node), exchangeTimeoutMs, isSameZone).then(answer => {
      this.receive(messages.GossipMessage.parse(answer))
    }).catch((error: unknown) => this.table.recordFailure(peer, error)).finally(() => {
      peer.isCalling = false
    })
  }

  private receive (message: messages.GossipMessage): void {
    const sender = this.table.receive(message)
    if (sender !== undefined) {
      this.catchUp(message.own, sender)
    }
  }

  /** Copies a newer store replica from another gateway when the own watch has stalled. */
  private catchUp (state: messages.PeerState, peer: peerTables.Peer): void {
    if (!this.replica.isLagging(state.revision) || peer.isCopying) {
      return
    }
    peer.isCopying = true
    this.copyFrom(peer.address).catch((error: unknown) => {
      this.system.log.warn('failed to copy the store replica of another gateway', { gateway: state.node, reason: String(error) })
    }).finally(() => {
      peer.isCopying = false
    })
  }

  private async call (address: string, method: string, message: unknown, timeoutMs: number, isSameZone: boolean): Promise<unknown> {
    const client = new jsonRpc.JSONRPCClient(async request => {
      const controller = new AbortController()
      const stopTimer = eventLoop.afterTimeout(this.system.clock, timeoutMs, () => controller.abort())
      try {
        const encoded = messages.encode(request, isSameZone)
        const { headers, body } = await this.agent.request({
          origin: `http://${address}`,
          path: '/',
          method: 'POST',
          body: encoded.body,
          signal: controller.signal,
          headers: { ...encoded.headers, [sameZoneHeader]: isSameZone ? '1' : '0' }
        })
        const answer = messages.decode(buffer.Buffer.from(await body.arrayBuffer()), headers['content-encoding'] as string | undefined)
        client.receive(answer as jsonRpc.JSONRPCResponse)
      } finally {
        stopTimer()
      }
    })
    return await client.request(method, message)
  }

  private async serve (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { clock, log } = this.system
    const intake = new bodyIntakes.BodyIntake(request, {
      clock,
      account: this.account,
      stallMs: requestTimeoutMs,
      turns: this.turns,
      collect: () => garbage.collectGarbage('minor'),
      ended: (_request, reason, bytes) => log.info('message of another gateway ended for lack of memory', { reason, bytes })
    })
    let message: unknown
    try {
      const body = await intake.read(maximumRequestBytes, requestTimeoutMs, this.neverGone)
      if (body.isLeft()) {
        response.writeHead(413, { connection: 'close' }).end()
        return
      }
      message = messages.decode(body.unsafeCoerce() ?? buffer.Buffer.alloc(0), request.headers['content-encoding'])
    } finally {
      // Also for a message that cannot be read: its memory would be counted for as long as the process lives.
      intake.release()
    }
    const encoded = messages.encode(await this.rpc.receive(message as jsonRpc.JSONRPCRequest), request.headers[sameZoneHeader] === '1')
    response.sendDate = false
    response.writeHead(200, { ...encoded.headers, 'content-length': encoded.body.length }).end(encoded.body)
  }
}
