import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'
import * as linkContexts from '../../src/links/link_context.js'
import * as failures from '../../src/contracts/failure.js'
import * as identities from '../../src/contracts/identity.js'
import * as linkPools from '../../src/links/link_pool.js'
import * as listeners from '../../src/links/listener.js'
import * as nodeSystem from '../../src/host/node_system.js'
import * as protocol from '../../src/contracts/protocol.js'
import * as traffics from '../../src/links/traffic.js'
import * as manualClocks from '../support/manual_clock.js'
import * as types from '../../src/links/types.js'
import * as work from '../../src/contracts/work.js'

const timing: types.LinkTiming = {
  connectTimeoutMs: 10_000, heartbeatMs: 20, silenceMs: 100, sessionLeaseMs: 30_000, idleMs: 60_000, reconnectMs: 10, loadReportsPerSecond: 100
}

/** Longer than a call takes on a busy machine. */
const callTimeoutMs = 30_000

const shortLease: types.LinkTiming = { ...timing, sessionLeaseMs: 200 }

class FixedPiggyback extends types.Piggyback {
  readonly accepted: types.Stamp[] = []

  constructor (private readonly version: number) {
    super()
  }

  override stamp (): types.Stamp {
    return { tick: 1, version: this.version }
  }

  override accept (stamp: types.Stamp): void {
    this.accepted.push(stamp)
  }
}

function createContext (
  node: string, credential = 'a shared credential', version = 0, clock?: manualClocks.ManualClock
): linkContexts.LinkContext {
  const system = nodeSystem.createSilentSystem()
  return {
    system: clock === undefined ? system : { ...system, clock },
    identity: { node, boot: `${node}-boot`, role: node === 'server' ? 'agent' : 'entry', zone: 'z', region: 'r' },
    credential,
    timing,
    piggyback: new FixedPiggyback(version),
    traffic: new traffics.Traffic(),
    security: undefined
  }
}

/** Records session events and resolves `expiry` at the first expiry. */
class SessionRecorder extends types.SessionObserver {
  readonly sessions: types.Session[] = []
  expiries = 0
  private resolveExpiry: () => void = () => {}
  readonly expiry = new Promise<void>(resolve => {
    this.resolveExpiry = resolve
  })

  override opened (session: types.Session): void {
    this.sessions.push(session)
  }

  override expired (): void {
    this.expiries += 1
    this.resolveExpiry()
  }
}

/** Records link events. */
class LinkRecorder extends types.LinkObserver {
  readonly openings: boolean[] = []
  readonly loads: work.Load[] = []
  losses = 0
  private waiting: (() => void)[] = []

  override opened (_: types.Link, resumed: boolean): void {
    this.openings.push(resumed)
    this.notifyWaiting()
  }

  override lost (): void {
    this.losses += 1
    this.notifyWaiting()
  }

  override loadReported (_: types.Link, load: work.Load): void {
    this.loads.push(load)
    this.notifyWaiting()
  }

  async waitUntil (isDone: () => boolean): Promise<void> {
    while (!isDone()) {
      await new Promise<void>(resolve => this.waiting.push(resolve))
    }
  }

  private notifyWaiting (): void {
    for (const resolve of this.waiting.splice(0)) {
      resolve()
    }
  }
}

/** A TCP proxy on loopback that can drop traffic without closing connections. */
class TcpProxy {
  private readonly sockets = new Set<net.Socket>()
  private readonly clients = new Map<net.Socket, net.Socket>()
  private readonly server: net.Server

  constructor (target: identities.Address) {
    this.server = net.createServer(inner => {
      const outer = net.connect(target.port, target.host)
      this.clients.set(outer, inner)
      this.forward(inner, outer)
      this.forward(outer, inner)
    })
  }

  async listen (): Promise<identities.Address> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    return { host: '127.0.0.1', port: (this.server.address() as net.AddressInfo).port }
  }

  /** Drops further traffic of the open connections; new ones work. */
  dropTraffic (): void {
    for (const socket of this.sockets) {
      socket.removeAllListeners('data')
      socket.resume()
    }
  }

  /** Holds back the next data that the listener sends, then drops further traffic. Returns a function that delivers the data. */
  async interceptAnswer (): Promise<() => void> {
    return await new Promise(resolve => {
      for (const [outer, inner] of this.clients) {
        outer.removeAllListeners('data')
        outer.once('data', data => {
          this.dropTraffic()
          resolve(() => inner.write(data))
        })
      }
    })
  }

  disconnect (): void {
    for (const socket of this.sockets) {
      socket.destroy()
    }
  }

  close (): void {
    this.disconnect()
    this.server.close()
  }

  private forward (from: net.Socket, to: net.Socket): void {
    this.sockets.add(from)
    from.on('data', data => to.write(data))
    from.on('close', () => {
      this.sockets.delete(from)
      to.destroy()
    })
    from.on('error', () => from.destroy())
  }
}

const statusAnswer: protocol.Answer<'status.read'> = {
  identity: { node: 'server', boot: 'b', role: 'agent', zone: 'z', region: 'r' },
  configurationVersion: 7,
  state: 'ready',
  uptimeMs: 1,
  figures: {}
}

const load: work.Load = {
  running: 1, queued: 0, pendingPromptTokens: 0, freePieces: 2, totalPieces: 3, promisedPieces: 0, slots: 4, draining: false
}

const handlers: types.Handlers = {
  'session.heartbeat': async () => failures.succeed({ load }),
  'status.read': async () => failures.succeed(statusAnswer),
  'work.release': async () => failures.fail(failures.createFailure('not_run', 'no_server', ['m'], 250)),
  'timeline.read': () => new Promise(() => {})
}

/** Both ends of a link, with a proxy between them. */
interface Ends {
  readonly link: types.Link
  readonly linkRecorder: LinkRecorder
  readonly sessionRecorder: SessionRecorder
  readonly proxy: TcpProxy
  readonly close: () => void
}

async function connect (client = createContext('client'), server = createContext('server')): Promise<Ends> {
  const sessionRecorder = new SessionRecorder()
  const listener = new listeners.Listener(server, handlers, sessionRecorder)
  const proxy = new TcpProxy(await listener.listen({ host: '127.0.0.1', port: 0 }))
  const pool = linkPools.createLinkPool(client)
  const linkRecorder = new LinkRecorder()
  pool.observe(linkRecorder)
  const close = (): void => {
    pool.close()
    proxy.close()
    listener.close()
  }
  return { link: pool.get(await proxy.listen()), linkRecorder, sessionRecorder, proxy, close }
}

/** Breaks a connection in use and checks that another one replaces it and that the session continues. */
async function checkReplacement (breakConnection: (proxy: TcpProxy) => void): Promise<void> {
  const ends = await connect()
  ends.link.retain()
  await ends.link.call('status.read', {}, callTimeoutMs)
  breakConnection(ends.proxy)
  await ends.linkRecorder.waitUntil(() => ends.linkRecorder.openings.length === 2)
  ends.close()
  assert.deepEqual(ends.linkRecorder.openings, [false, true])
  assert.equal(ends.sessionRecorder.sessions.length, 1)
}

test.describe('Link', () => {
  test.describe('call', () => {
    test.it('returns the answer of the other end', async () => {
      const ends = await connect()
      const result = await ends.link.call('status.read', {}, callTimeoutMs)
      ends.close()
      assert.deepEqual(result.extract(), statusAnswer)
      assert.equal(ends.link.remote?.node, 'server')
    })

    test.it('returns a failure with its verdict and the time to retry after', async () => {
      const ends = await connect()
      const result = await ends.link.call('work.release', { reservation: 'r' }, callTimeoutMs)
      ends.close()
      const failure = result.extract() as failures.Failure
      assert.deepEqual([failure.code, failure.verdict, failure.retryAfterMs], ['no_server', 'not_run', 250])
    })

    test.it('is not_run when nobody listens', async () => {
      const pool = linkPools.createLinkPool(createContext('client'))
      const result = await pool.get({ host: '127.0.0.1', port: 1 }).call('status.read', {}, callTimeoutMs)
      pool.close()
      assert.equal((result.extract() as failures.Failure).verdict, 'not_run')
    })

    test.it('is may_have_run when the connection is cut before the answer', async () => {
      const ends = await connect()
      await ends.link.call('status.read', {}, callTimeoutMs)
      const pending = ends.link.call('timeline.read', { limit: 1 }, 60_000)
      await ends.link.call('status.read', {}, callTimeoutMs)
      ends.proxy.disconnect()
      const failure = (await pending).extract() as failures.Failure
      ends.close()
      assert.deepEqual([failure.code, failure.verdict], ['link_lost', 'may_have_run'])
    })
  })

  test.describe('a wrong credential', () => {
    test.it('is refused by the listener', async () => {
      const ends = await connect(createContext('client', 'another credential'))
      const result = await ends.link.call('status.read', {}, callTimeoutMs)
      ends.close()
      assert.equal((result.extract() as failures.Failure).code, 'credential_invalid')
      assert.deepEqual(ends.sessionRecorder.sessions, [])
    })
  })

  test.describe('a cut connection', () => {
    test.it('is replaced while in use, and the session continues', async () => {
      await checkReplacement(proxy => proxy.disconnect())
    })
  })

  test.describe('an unresponsive connection', () => {
    test.it('is replaced while in use, and the session continues', async () => {
      await checkReplacement(proxy => proxy.dropTraffic())
    })
  })

  test.describe('a client that was paused for longer than silenceMs', () => {
    test.it('keeps a connection with unread messages', async () => {
      const clock = new manualClocks.ManualClock()
      const ends = await connect(createContext('client', undefined, undefined, clock))
      ends.link.retain()
      await ends.link.call('status.read', {}, callTimeoutMs)
      clock.pause(2 * timing.silenceMs)
      await clock.advance(0)
      await ends.link.call('status.read', {}, callTimeoutMs)
      await clock.advance(timing.heartbeatMs)
      const { openings, losses } = ends.linkRecorder
      ends.close()
      assert.deepEqual([openings, losses], [[false], 0])
    })
  })

  test.describe('a connection that became unresponsive while idle', () => {
    test.it('is replaced before it is used', async () => {
      const clock = new manualClocks.ManualClock()
      const ends = await connect(createContext('client', undefined, undefined, clock))
      await ends.link.call('status.read', {}, callTimeoutMs)
      await clock.advance(2 * timing.heartbeatMs)
      ends.proxy.dropTraffic()
      const pending = ends.link.call('status.read', {}, callTimeoutMs)
      await clock.advance(timing.silenceMs)
      const answer = await pending
      const { openings, losses } = ends.linkRecorder
      ends.close()
      assert.equal(answer.isRight(), true)
      assert.deepEqual([openings, losses], [[false, true], 0])
    })

    test.it('is replaced before it is used even if an earlier answer arrives late', { timeout: callTimeoutMs }, async () => {
      const clock = new manualClocks.ManualClock()
      const ends = await connect(createContext('client', undefined, undefined, clock))
      const release = ends.link.retain()
      await ends.link.call('status.read', {}, callTimeoutMs)
      const intercepted = ends.proxy.interceptAnswer()
      await clock.advance(timing.heartbeatMs)
      const deliver = await intercepted
      release()
      await clock.advance(2 * timing.heartbeatMs)
      const pending = ends.link.call('status.read', {}, callTimeoutMs)
      deliver()
      await timers.setImmediate()
      await clock.advance(timing.silenceMs)
      const answer = await pending
      const { openings, losses } = ends.linkRecorder
      ends.close()
      assert.equal(answer.isRight(), true)
      assert.deepEqual([openings, losses], [[false, true], 0])
    })
  })

  test.describe('the session of a closed client', () => {
    test.it('expires after the session lease', async () => {
      const ends = await connect(createContext('client'), { ...createContext('server'), timing: shortLease })
      await ends.link.call('status.read', {}, callTimeoutMs)
      ends.link.close()
      await ends.sessionRecorder.expiry
      ends.close()
    })
  })

  test.describe('a listener that was paused for longer than the session lease', () => {
    test.it('keeps a session with unread messages', async () => {
      const clock = new manualClocks.ManualClock()
      const client = createContext('client', undefined, undefined, new manualClocks.ManualClock())
      const ends = await connect(client, createContext('server', undefined, undefined, clock))
      await ends.link.call('status.read', {}, callTimeoutMs)
      clock.pause(timing.sessionLeaseMs)
      await clock.advance(0)
      await ends.link.call('status.read', {}, callTimeoutMs)
      await clock.advance(timing.sessionLeaseMs / 2)
      ends.close()
      assert.equal(ends.sessionRecorder.expiries, 0)
    })

    test.it('expires a session that receives nothing', async () => {
      const clock = new manualClocks.ManualClock()
      const client = createContext('client', undefined, undefined, new manualClocks.ManualClock())
      const ends = await connect(client, createContext('server', undefined, undefined, clock))
      await ends.link.call('status.read', {}, callTimeoutMs)
      clock.pause(timing.sessionLeaseMs)
      await clock.advance(timing.sessionLeaseMs / 2)
      ends.close()
      assert.equal(ends.sessionRecorder.expiries, 1)
    })
  })

  test.describe('loads', () => {
    test.it('are requested on links in use', async () => {
      const ends = await connect()
      ends.link.retain()
      await ends.link.call('status.read', {}, callTimeoutMs)
      await ends.linkRecorder.waitUntil(() => ends.linkRecorder.loads.length > 0)
      ends.close()
      assert.deepEqual(ends.linkRecorder.loads[0], load)
    })
  })

  test.describe('stamps', () => {
    test.it('carry the configuration version both ways', async () => {
      const client = createContext('client', 'a shared credential', 3)
      const server = createContext('server', 'a shared credential', 5)
      const ends = await connect(client, server)
      await ends.link.call('status.read', {}, callTimeoutMs)
      ends.close()
      assert.equal((client.piggyback as FixedPiggyback).accepted.at(-1)?.version, 5)
      assert.equal((server.piggyback as FixedPiggyback).accepted.at(-1)?.version, 3)
    })
  })
})
