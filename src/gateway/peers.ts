/**
 * The exchanges between gateways: states, sums of zones, and copies of the store.
 *
 * Two gateways exchange what they have to tell in one call, by JSON-RPC over HTTP; whoever has not heard the other for a
 * period calls.
 */
import * as buffer from 'node:buffer'
import * as http from 'node:http'
import * as jsonRpc from 'json-rpc-2.0'
import * as undici from 'undici'
import * as peerTables from './peer_table.js'
import * as host from '../host/types.js'
import * as httpListeners from '../daemon/http_listener.js'
import * as identities from '../contracts/identity.js'
import * as messages from './peer_messages.js'
import * as mirrors from './mirror.js'

/** How often it is looked which exchanges are due, in parts of the period between them, and in milliseconds at least. */
const ticksPerPeriod = 5
const shortestTickMs = 20
/** Longest wait for an exchange, in milliseconds. */
const exchangeTimeoutMs = 400
/** Longest wait for a copy of the store, in milliseconds. */
const copyTimeoutMs = 1_000
/** Header that says whether the caller is of the same zone, so that the answer is compressed accordingly. */
const nearHeader = 'x-same-zone'

export class Peers {
  private readonly agent = new undici.Agent({ connect: { timeout: exchangeTimeoutMs }, pipelining: 1, connections: 2, keepAliveTimeout: 5_000 })
  private readonly server: http.Server
  private readonly rpc = new jsonRpc.JSONRPCServer()
  private stopTick: host.Stop | undefined

  constructor (
    private readonly table: peerTables.PeerTable,
    private readonly zone: string,
    private readonly mirror: mirrors.StoreMirror,
    private readonly system: host.System
  ) {
    this.rpc.addMethod('peer.exchange', message => {
      const news = messages.PeerNews.parse(message)
      this.take(news)
      return this.table.tell(news.own.node)
    })
    this.rpc.addMethod('mirror.read', () => this.mirror.takeSnapshot())
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch((error: unknown) => {
        this.system.log.warn('message of another gateway not answered', { reason: String(error) })
        response.destroy()
      })
    })
  }

  async start (address: identities.Address): Promise<void> {
    await httpListeners.listen(this.server, address)
    this.tick()
  }

  async close (): Promise<void> {
    this.stopTick?.()
    this.server.close()
    this.server.closeAllConnections()
    await this.agent.destroy()
  }

  /** Takes the copy of the store from an address, for a gateway that knows no other yet. */
  async copyFrom (address: string): Promise<void> {
    const { mirror } = this
    const snapshot = messages.Snapshot.parse(await this.call(address, 'mirror.read', {}, copyTimeoutMs, false))
    const before = mirror.revision
    if (mirror.accept(snapshot)) {
      this.system.log.info('copy of the store taken from another gateway', { address, revision: snapshot.revision, before })
    }
  }

  private tick (): void {
    for (const peer of this.table.listDue()) {
      this.exchange(peer)
    }
    const tickMs = Math.max(shortestTickMs, this.table.periodMs / ticksPerPeriod)
    this.stopTick = this.system.clock.after(tickMs, () => this.tick())
  }

  private exchange (peer: peerTables.Peer): void {
    peer.isCalling = true
    peer.exchangedMs = this.system.clock.monotonicMs()
    const isNear = peer.zone === this.zone
    this.call(peer.address, 'peer.exchange', this.table.tell(peer.node), exchangeTimeoutMs, isNear).then(answer => {
      this.take(messages.PeerNews.parse(answer))
    }).catch((error: unknown) => this.table.noteSilence(peer, error)).finally(() => {
      peer.isCalling = false
    })
  }

  private take (news: messages.PeerNews): void {
    const sender = this.table.take(news)
    if (sender !== undefined) {
      this.catchUp(news.own, sender)
    }
  }

  /** Takes a newer copy of the store where the store itself has been silent. */
  private catchUp (state: messages.PeerState, peer: peerTables.Peer): void {
    if (!this.mirror.isLeftBehind(state.revision) || peer.isCopying) {
      return
    }
    peer.isCopying = true
    this.copyFrom(peer.address).catch((error: unknown) => {
      this.system.log.warn('copy of the store not taken', { gateway: state.node, reason: String(error) })
    }).finally(() => {
      peer.isCopying = false
    })
  }

  private async call (address: string, method: string, message: unknown, timeoutMs: number, isNear: boolean): Promise<unknown> {
    const client = new jsonRpc.JSONRPCClient(async request => {
      const controller = new AbortController()
      const stopTimer = this.system.clock.after(timeoutMs, () => controller.abort())
      try {
        const encoded = messages.encode(request, isNear)
        const { headers, body } = await this.agent.request({
          origin: `http://${address}`,
          path: '/',
          method: 'POST',
          body: encoded.body,
          signal: controller.signal,
          headers: { ...encoded.headers, [nearHeader]: isNear ? '1' : '0' }
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
    const chunks: buffer.Buffer[] = []
    let bytes = 0
    for await (const chunk of request) {
      bytes += (chunk as buffer.Buffer).length
      if (bytes > messages.longestMessageBytes) {
        response.writeHead(413, { connection: 'close' }).end()
        return
      }
      chunks.push(chunk as buffer.Buffer)
    }
    const message = messages.decode(buffer.Buffer.concat(chunks), request.headers['content-encoding'])
    const encoded = messages.encode(await this.rpc.receive(message as jsonRpc.JSONRPCRequest), request.headers[nearHeader] === '1')
    response.sendDate = false
    response.writeHead(200, { ...encoded.headers, 'content-length': encoded.body.length }).end(encoded.body)
  }
}
