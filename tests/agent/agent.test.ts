import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as agents from '../../src/agent/agent.js'
import * as backends from '../../src/agent/backend.js'
import * as documents from '../../src/configuration/document.js'
import * as drivers from './gate_driver.js'
import * as host from '../../src/host/types.js'
import * as identities from '../../src/contracts/identity.js'
import * as links from '../../src/links/types.js'
import * as manualClocks from '../support/manual_clock.js'
import * as meters from '../../src/metrics/types.js'
import * as nodeSystems from '../../src/host/node_system.js'
import * as protocol from '../../src/contracts/protocol.js'
import * as seededRandoms from '../../src/host/seeded_random.js'
import * as settings from '../../src/contracts/settings.js'
import * as timelines from '../../src/timeline/types.js'
import * as types from '../../src/agent/types.js'

class FakeBackend extends backends.Service {
  readonly orders: types.Order[] = []
  readonly aborts: backends.AbortRequest[] = []
  observer: backends.BackendObserver | undefined
  isConfirming = true

  override launch (order: types.Order, observer: backends.BackendObserver): void {
    this.orders.push(order)
    this.observer = observer
  }

  override async abort (abort: backends.AbortRequest): Promise<boolean> {
    this.aborts.push(abort)
    return this.isConfirming
  }

  override async close (): Promise<void> {}
}

class FakeSession extends links.Session {
  override readonly id = 'one'
  override readonly remote: identities.Identity = { node: 'e1', boot: 'b', role: 'entry', zone: 'z', region: 'r' }
  override readonly isOpen = true
  override bufferedBytes = 0
  readonly notices: { readonly name: string, readonly notice: unknown }[] = []

  override notify<Name extends protocol.NotificationName> (name: Name, notice: protocol.Notice<Name>): void {
    this.notices.push({ name, notice })
  }

  listFrameKinds (): readonly (readonly string[])[] {
    return this.notices.flatMap(({ name, notice }) => {
      const { attempts } = notice as protocol.Notice<'work.frames'>
      return name === 'work.frames' ? [attempts.flatMap(({ frames }) => frames.map(frame => frame.kind))] : []
    })
  }
}

class Fixture {
  readonly clock = new manualClocks.ManualClock()
  readonly backend = new FakeBackend()
  readonly session = new FakeSession()
  readonly agent: agents.Agent

  constructor () {
    const system: host.System = { clock: this.clock, random: new seededRandoms.SeededRandom(1), log: new nodeSystems.SilentLog() }
    const address = { host: '127.0.0.1', port: 1 }
    const agentSettings = settings.AgentSettings.parse({
      role: 'agent',
      node: 'a1',
      zone: 'z',
      credential: 'x'.repeat(16),
      control: address,
      health: address,
      server: 's1',
      backend: { kind: 'engine', role: 'decode', url: 'http://127.0.0.1:1', slots: 2 }
    })
    this.agent = agents.createAgent({
      system,
      settings: agentSettings,
      boot: drivers.boot,
      meter: new meters.SilentMeter(),
      recorder: new timelines.SilentRecorder(),
      backend: this.backend
    })
    this.agent.opened(this.session)
  }

  async start (attempt: string): Promise<void> {
    const result = await this.agent.handlers['work.start']?.(drivers.createStart(attempt), this.session)
    assert.equal(result?.isRight(), true)
  }
}

test.describe('Agent', () => {
  test.it('sends frames of the same turn of the event loop in one notification', async () => {
    const fixture = new Fixture()
    await fixture.start('1')
    await manualClocks.settlePromises()
    fixture.backend.observer?.progress(1, 'a', 1)
    fixture.backend.observer?.progress(1, 'b', 1)
    fixture.backend.observer?.finished(1, { reason: 'stop' })
    await manualClocks.settlePromises()
    assert.deepEqual(fixture.session.listFrameKinds(), [['started'], ['text', 'text', 'finished']])
  })

  test.it('sends the frames of several attempts together, but a response of a plain service separately', async () => {
    const fixture = new Fixture()
    await fixture.start('1')
    await fixture.start('2')
    await manualClocks.settlePromises()
    fixture.session.notices.length = 0
    fixture.backend.observer?.progress(1, 'a', 1)
    fixture.backend.observer?.progress(2, 'b', 1)
    await manualClocks.settlePromises()
    fixture.backend.observer?.finished(1, { reason: 'stop' })
    fixture.backend.observer?.finished(2, { reason: 'answered', answer: { status: 200, headers: {}, body: '' } })
    await manualClocks.settlePromises()
    assert.deepEqual(fixture.session.listFrameKinds(), [['text', 'text'], ['finished'], ['finished']])
  })

  test.it('holds frames back while the connection is over its buffer limit', async () => {
    const fixture = new Fixture()
    fixture.session.bufferedBytes = 1e9
    await fixture.start('1')
    await manualClocks.settlePromises()
    assert.deepEqual(fixture.session.listFrameKinds(), [])
    fixture.session.bufferedBytes = 0
    await fixture.clock.advance(100)
    assert.deepEqual(fixture.session.listFrameKinds(), [['started']])
  })

  test.it('repeats an abort until the backend confirms it', async () => {
    const fixture = new Fixture()
    fixture.backend.isConfirming = false
    await fixture.start('1')
    const params = { request: 'r-1', attempt: '1', boot: drivers.boot, mode: 'always' } as const
    await fixture.agent.handlers['work.cancel']?.(params, fixture.session)
    await fixture.clock.advance(300)
    assert.equal(fixture.backend.aborts.length, 2)
    fixture.backend.isConfirming = true
    await fixture.clock.advance(1_000)
    assert.equal(fixture.backend.aborts.length, 3)
    assert.equal(fixture.agent.figures.holders, 0)
  })

  test.it('notifies its sessions that it is leaving, and resolves a drain once all frames are acknowledged', async () => {
    const fixture = new Fixture()
    await fixture.start('1')
    let isDrained = false
    const drained = fixture.agent.drain().then(() => { isDrained = true })
    await manualClocks.settlePromises()
    assert.equal(fixture.session.notices.some(({ name }) => name === 'server.leaving'), true)
    fixture.backend.observer?.finished(1, { reason: 'stop' })
    await manualClocks.settlePromises()
    assert.equal(isDrained, false)
    fixture.agent.notified(fixture.session, 'work.acknowledge', { request: 'r-1', attempt: '1', offset: 1 })
    await drained
    assert.equal(isDrained, true)
  })

  test.it('accepts work again when the configuration makes the server active again, but not while its process shuts down', async () => {
    const fixture = new Fixture()
    const document = new documents.Document()
    const setState = (version: number, state: 'active' | 'leaving'): void => {
      const body = { role: 'service', zone: 'z', agent: { host: '127.0.0.1', port: 1 }, services: ['bookings'], state }
      const sections = [{ name: 'servers/s1', owner: 'root', version, body }]
      document.applyChange({ version, operation: `op-${version}`, team: 'root', atMs: 0, sections })
      fixture.agent.configure(document)
    }
    setState(1, 'leaving')
    assert.equal(fixture.agent.load.draining, true)
    setState(2, 'active')
    assert.equal(fixture.agent.load.draining, false)
    await fixture.agent.drain()
    setState(3, 'active')
    assert.equal(fixture.agent.load.draining, true)
  })

  test.it('cancels the work of a session that has expired', async () => {
    const fixture = new Fixture()
    await fixture.start('1')
    fixture.agent.expired(fixture.session)
    await manualClocks.settlePromises()
    assert.equal(fixture.backend.aborts.length, 1)
    assert.equal(fixture.agent.figures.unsettled, 0)
  })
})
