/**
 * What gateways tell each other: admitted totals, bookings at engines, and copies of the store.
 *
 * Two gateways exchange their states in one call, by JSON-RPC over HTTP; whoever has not heard the other for a
 * period calls. States of further gateways are relayed between zones. Bodies are compressed: most exchanges cross zones, whose links are paid by the byte.
 */
import * as buffer from 'node:buffer'
import * as http from 'node:http'
import * as zlib from 'node:zlib'
import * as jsonRpc from 'json-rpc-2.0'
import * as undici from 'undici'
import * as z from 'zod'
import * as exchangePlans from './exchange_plan.js'
import * as host from '../host/types.js'
import * as httpListeners from '../daemon/http_listener.js'
import * as identities from '../contracts/identity.js'
import * as members from './members.js'
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
  /** Counts the states that were told in this life. */
  sequence: z.number(),
  /** Revision of the copy of the store. */
  revision: z.number(),
  /** Units admitted in this life, by workspace. */
  admitted: z.record(z.string(), z.number()),
  /** What is under way, by server. */
  bookings: z.record(z.string(), Booking),
  /** Load that callers offer, by service, in busy engines. */
  offered: z.record(z.string(), z.object({ prefill: z.number(), decode: z.number() })),
  /** Servers that change their stage by order of this gateway. */
  switching: z.array(z.string()),
  /** Servers that have said that they leave, with the start of their life in milliseconds since the Unix epoch, or 0. */
  leaving: z.record(z.string(), z.number()).default({})
})
export type PeerState = z.infer<typeof PeerState>

/** What one gateway tells another. */
const PeerNews = z.object({
  own: PeerState,
  /** States of others, with the time since they were told, in milliseconds. */
  relayed: z.array(z.object({ ageMs: z.number(), state: PeerState }))
})
type PeerNews = z.infer<typeof PeerNews>

const Snapshot = z.object({
  revision: z.number(),
  items: z.array(z.object({ key: z.string(), value: z.string(), revision: z.number() }))
})

/** What a gateway tells, and does with what it hears. */
export abstract class PeerParty {
  abstract readonly node: string
  abstract readonly zone: string
  abstract describe (): PeerState
  /** Takes in a state that was true at the time in milliseconds, on the steady clock. */
  abstract hear (state: PeerState, heardMs: number): void
  abstract readonly mirror: mirrors.StoreMirror
}

interface Peer extends exchangePlans.Partner {
  readonly address: string
  heardMs: number
  learnedMs: number
  exchangedMs: number
  toldMs: number
  teller: exchangePlans.Teller
  state: PeerState | undefined
  isCalling: boolean
  isCopying: boolean
  wasHeard: boolean
}

export class Peers {
  private readonly peers = new Map<string, Peer>()
  private readonly agent = new undici.Agent({ connect: { timeout: exchangeTimeoutMs }, pipelining: 1, connections: 2, keepAliveTimeout: 5_000 })
  private readonly server: http.Server
  private readonly rpc = new jsonRpc.JSONRPCServer()
  private readonly plan: exchangePlans.ExchangePlan
  private stopTicks: host.Stop | undefined

  constructor (private readonly party: PeerParty, private readonly system: host.System) {
    this.plan = new exchangePlans.ExchangePlan(party.node, party.zone)
    this.rpc.addMethod('peer.exchange', message => {
      const news = PeerNews.parse(message)
      this.take(news)
      return this.tell(this.peers.get(news.own.node))
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

  /** Time without news after which a gateway counts as silent, in milliseconds. */
  get silenceMs (): number {
    return this.plan.silenceMs
  }

  /** Sets the other gateways, by name. */
  setMembers (found: ReadonlyMap<string, members.Member>): void {
    for (const [node, peer] of this.peers) {
      if (found.get(node)?.address !== peer.address) {
        this.peers.delete(node)
      }
    }
    for (const [node, { address, zone }] of found) {
      if (!this.peers.has(node)) {
        this.peers.set(node, {
          node,
          address,
          zone,
          heardMs: -Infinity,
          learnedMs: -Infinity,
          exchangedMs: -Infinity,
          state: undefined,
          teller: 'itself',
          toldMs: -Infinity,
          isCalling: false,
          isCopying: false,
          wasHeard: false
        })
      }
    }
    this.plan.setPartners([...this.peers.values()])
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

  private tick (): void {
    const nowMs = this.system.clock.monotonicMs()
    for (const peer of this.peers.values()) {
      if (!peer.isCalling && this.plan.isDue(peer, nowMs)) {
        this.exchange(peer, nowMs)
      }
    }
  }

  private exchange (peer: Peer, nowMs: number): void {
    peer.isCalling = true
    peer.exchangedMs = nowMs
    this.call(peer.address, 'peer.exchange', this.tell(peer), exchangeTimeoutMs).then(answer => {
      this.take(PeerNews.parse(answer))
    }).catch((error: unknown) => this.noteSilence(peer, error)).finally(() => {
      peer.isCalling = false
    })
  }

  /** Returns the own state, and those of others that the peer cannot have from its own zone. */
  private tell (peer: Peer | undefined): PeerNews {
    const relayed: PeerNews['relayed'] = []
    if (peer !== undefined) {
      const nowMs = this.system.clock.monotonicMs()
      for (const other of this.peers.values()) {
        if (other.state !== undefined && this.plan.isToRelay(other, peer)) {
          relayed.push({ ageMs: Math.round(nowMs - other.heardMs), state: other.state })
        }
      }
      peer.toldMs = nowMs
    }
    return { own: this.party.describe(), relayed }
  }

  private take (news: PeerNews): void {
    const nowMs = this.system.clock.monotonicMs()
    const sender = this.peers.get(news.own.node)
    for (const { ageMs, state } of news.relayed) {
      this.hear(state, nowMs - ageMs, sender?.zone === this.party.zone ? 'own_zone' : 'other_zone')
    }
    this.hear(news.own, nowMs, 'itself')
    if (sender !== undefined) {
      sender.exchangedMs = nowMs
      this.catchUp(news.own, sender)
    }
  }

  /** Takes in a state, unless a newer one of the gateway is known. */
  private hear (state: PeerState, heardMs: number, teller: exchangePlans.Teller): void {
    if (state.node === this.party.node) {
      return
    }
    const peer = this.peers.get(state.node)
    if (peer === undefined) {
      // Not listed yet, or no more: what it has used counts all the same.
      this.party.hear(state, heardMs)
      return
    }
    if (teller !== 'itself' && !this.plan.isNews(peer, peer.state, state, this.system.clock.monotonicMs())) {
      return
    }
    if (!peer.wasHeard) {
      peer.wasHeard = true
      this.system.log.info('gateway heard', { gateway: state.node, address: peer.address, teller })
    }
    peer.heardMs = Math.max(heardMs, peer.heardMs)
    peer.learnedMs = this.system.clock.monotonicMs()
    peer.state = state
    peer.teller = teller
    this.party.hear(state, heardMs)
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

  private noteSilence (peer: Peer, error: unknown): void {
    const silentMs = this.system.clock.monotonicMs() - peer.heardMs
    if (peer.wasHeard && silentMs > exchangeTimeoutMs) {
      peer.wasHeard = false
      this.system.log.warn('gateway silent', { gateway: peer.node, reason: String(error), silentMs: Math.round(silentMs) })
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
