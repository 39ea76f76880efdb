/**
 * What gateways tell each other: admitted totals, bookings at engines, and copies of the store.
 *
 * Two gateways exchange their states in one call, by JSON-RPC over HTTP; whoever has not heard the other for a
 * period calls. Bodies are compressed: most exchanges cross zones, whose links are paid by the byte.
 */
import * as buffer from 'node:buffer'
import * as http from 'node:http'
import * as zlib from 'node:zlib'
import * as jsonRpc from 'json-rpc-2.0'
import * as undici from 'undici'
import * as z from 'zod'
import * as exchangePeriods from './exchange_period.js'
import * as host from '../host/types.js'
import * as httpListeners from '../daemon/http_listener.js'
import * as identities from '../contracts/identity.js'
import * as mirrors from './mirror.js'

/** How often it is looked which exchanges are due, in milliseconds. */
const tickMs = 20
/** Longest wait for an exchange, in milliseconds. */
const exchangeTimeoutMs = 400
/** Longest wait for a copy of the store, in milliseconds. */
const copyTimeoutMs = 1_000
/** Largest message before compression, in bytes; a copy of the store with a large configuration stays below. */
const messageBytes = 16_777_216
const messageHeaders = { 'content-type': 'application/json', 'content-encoding': 'deflate' }

const Booking = z.object({ runs: z.number(), tokens: z.number(), unread: z.number() })

export const PeerState = z.object({
  node: z.string(),
  boot: z.string(),
  /** Revision of the copy of the store. */
  revision: z.number(),
  /** Units admitted in this life, by workspace. */
  admitted: z.record(z.string(), z.number()),
  /** What is under way, by server. */
  bookings: z.record(z.string(), Booking),
  /** Load that callers offer, by service, in busy engines. */
  offered: z.record(z.string(), z.object({ prefill: z.number(), decode: z.number() })),
  /** Servers that change their stage by order of this gateway. */
  switching: z.array(z.string())
})
export type PeerState = z.infer<typeof PeerState>

const Snapshot = z.object({
  revision: z.number(),
  items: z.array(z.object({ key: z.string(), value: z.string(), revision: z.number() }))
})

/** What a gateway tells, and does with what it hears. */
export abstract class PeerParty {
  abstract describe (): PeerState
  abstract hear (state: PeerState): void
  abstract readonly mirror: mirrors.StoreMirror
}

interface Peer {
  readonly address: string
  heardMs: number
  askedMs: number
  isCalling: boolean
  isCopying: boolean
  wasHeard: boolean
}

export class Peers {
  private readonly peers = new Map<string, Peer>()
  private readonly agent = new undici.Agent({ connect: { timeout: exchangeTimeoutMs }, pipelining: 1, connections: 2, keepAliveTimeout: 5_000 })
  private readonly server: http.Server
  private readonly rpc = new jsonRpc.JSONRPCServer()
  private stopTicks: host.Stop | undefined

  constructor (private readonly party: PeerParty, private readonly system: host.System) {
    this.rpc.addMethod('peer.exchange', message => {
      this.take(PeerState.parse(message))
      return this.party.describe()
    })
    this.rpc.addMethod('mirror.read', () => this.party.mirror.takeSnapshot())
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch((error: unknown) => {
        this.system.log.warn('message of another gateway not answered', { reason: String(error) })
        response.destroy()
      })
    })
  }

  async start (address: identities.Address): Promise<void> {
    await httpListeners.listen(this.server, address)
    this.stopTicks = this.system.clock.every(tickMs, () => this.tick())
  }

  async close (): Promise<void> {
    this.stopTicks?.()
    this.server.close()
    this.server.closeAllConnections()
    await this.agent.destroy()
  }

  /** Names of the gateways that were heard within the time in milliseconds. */
  listHeard (withinMs: number): readonly string[] {
    const nowMs = this.system.clock.monotonicMs()
    const heard: string[] = []
    for (const [node, peer] of this.peers) {
      if (peer.wasHeard && nowMs - peer.heardMs <= withinMs) {
        heard.push(node)
      }
    }
    return heard
  }

  /** Sets the other gateways, by name, with their addresses. */
  setAddresses (addresses: ReadonlyMap<string, string>): void {
    for (const [node, peer] of this.peers) {
      if (addresses.get(node) !== peer.address) {
        this.peers.delete(node)
      }
    }
    for (const [node, address] of addresses) {
      if (!this.peers.has(node)) {
        this.peers.set(node, { address, heardMs: 0, askedMs: 0, isCalling: false, isCopying: false, wasHeard: false })
      }
    }
  }

  /** Takes the copy of the store from an address, for a gateway that knows no other yet. */
  async copyFrom (address: string): Promise<void> {
    const { mirror } = this.party
    const snapshot = Snapshot.parse(await this.call(address, 'mirror.read', {}, copyTimeoutMs))
    const before = mirror.revision
    if (mirror.accept(snapshot)) {
      this.system.log.info('copy of the store taken from another gateway', { address, revision: snapshot.revision, before })
    }
  }

  private get periodMs (): number {
    return exchangePeriods.getExchangePeriodMs(this.peers.size + 1)
  }

  private tick (): void {
    const nowMs = this.system.clock.monotonicMs()
    for (const [node, peer] of this.peers) {
      const quietMs = nowMs - Math.max(peer.heardMs, peer.askedMs)
      if (!peer.isCalling && quietMs >= this.periodMs) {
        this.exchange(node, peer, nowMs)
      }
    }
  }

  private exchange (node: string, peer: Peer, nowMs: number): void {
    peer.isCalling = true
    peer.askedMs = nowMs
    this.call(peer.address, 'peer.exchange', this.party.describe(), exchangeTimeoutMs).then(answer => {
      this.take(PeerState.parse(answer))
    }).catch((error: unknown) => this.noteSilence(node, peer, error)).finally(() => {
      peer.isCalling = false
    })
  }

  private take (state: PeerState): void {
    const peer = this.peers.get(state.node)
    if (peer !== undefined) {
      if (!peer.wasHeard) {
        peer.wasHeard = true
        this.system.log.info('gateway heard', { gateway: state.node, address: peer.address })
      }
      peer.heardMs = this.system.clock.monotonicMs()
    }
    this.party.hear(state)
    if (peer !== undefined) {
      this.catchUp(state, peer)
    }
  }

  /** Takes a newer copy of the store where the store itself has been silent. */
  private catchUp (state: PeerState, peer: Peer): void {
    if (!this.party.mirror.isLeftBehind(state.revision) || peer.isCopying) {
      return
    }
    peer.isCopying = true
    this.copyFrom(peer.address).catch((error: unknown) => {
      this.system.log.warn('copy of the store not taken', { gateway: state.node, reason: String(error) })
    }).finally(() => {
      peer.isCopying = false
    })
  }

  private noteSilence (node: string, peer: Peer, error: unknown): void {
    const silentMs = this.system.clock.monotonicMs() - peer.heardMs
    if (peer.wasHeard && silentMs > exchangeTimeoutMs) {
      peer.wasHeard = false
      this.system.log.warn('gateway silent', { gateway: node, reason: String(error), silentMs: Math.round(silentMs) })
    }
  }

  private async call (address: string, method: string, message: unknown, timeoutMs: number): Promise<unknown> {
    const client = new jsonRpc.JSONRPCClient(async request => {
      const controller = new AbortController()
      const stopTimer = this.system.clock.after(timeoutMs, () => controller.abort())
      try {
        const { body } = await this.agent.request({
          origin: `http://${address}`,
          path: '/',
          method: 'POST',
          body: encode(request),
          signal: controller.signal,
          headers: messageHeaders
        })
        client.receive(decode(buffer.Buffer.from(await body.arrayBuffer())) as jsonRpc.JSONRPCResponse)
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
      if (bytes > messageBytes) {
        response.writeHead(413, { connection: 'close' }).end()
        return
      }
      chunks.push(chunk as buffer.Buffer)
    }
    const answer = encode(await this.rpc.receive(decode(buffer.Buffer.concat(chunks)) as jsonRpc.JSONRPCRequest))
    response.sendDate = false
    response.writeHead(200, { ...messageHeaders, 'content-length': answer.length }).end(answer)
  }
}

function encode (message: unknown): buffer.Buffer {
  return zlib.deflateSync(JSON.stringify(message))
}

/** Throws if the bytes are no compressed JSON, or too much of it. */
function decode (bytes: buffer.Buffer): unknown {
  return JSON.parse(zlib.inflateSync(bytes, { maxOutputLength: messageBytes }).toString('utf8'))
}
