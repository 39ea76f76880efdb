/**
 * Test environment shared by several entries in front of the same agents: configuration, links, store and clock.
 */
import * as crypto from 'node:crypto'
import * as clocks from '../support/manual_clock.js'
import * as directStores from '../support/direct_store.js'
import * as documents from '../../src/configuration/document.js'
import * as fakes from './fake_agents.js'
import * as storeCores from '../../standins/store_core.js'
import * as work from '../../src/contracts/work.js'

export const key = 'key-of-workspace-a'
export const otherKey = 'key-of-workspace-b'

/** A start that an agent has received. */
export interface Received {
  readonly agent: fakes.FakeAgent
  readonly start: work.Start
}

export class World {
  readonly clock = new clocks.ManualClock()
  readonly document = new documents.Document()
  readonly pool = new fakes.FakeLinkPool()
  readonly store = new directStores.DirectStore(new storeCores.StoreCore(this.clock))
  readonly agents = new Map<string, fakes.FakeAgent>()

  constructor () {
    this.change('workspaces/a', { allowance: { tokensPerSecond: 1000, burstTokens: 10_000 } })
    this.change('workspaces/b', { allowance: { tokensPerSecond: 10, burstTokens: 1000 }, models: [], services: [] })
    this.change('keys/a', createKeys(key))
    this.change('keys/b', createKeys(otherKey))
    this.change('models/m', { pieceTokens: 16 })
    this.change('services/booking', {
      routes: [
        { prefix: '/bookings', methods: ['POST'], idempotent: false },
        { prefix: '/sessions', methods: ['GET', 'PUT'], idempotent: true },
        { prefix: '/about', methods: ['GET'], idempotent: true, open: true }
      ]
    })
    for (const role of ['prefill', 'decode', 'service']) {
      this.addServer(`${role}1`, role)
      this.addServer(`${role}2`, role)
    }
  }

  change (name: string, body: unknown): void {
    const version = this.document.version + 1
    const section = { name, owner: 'root', version, body }
    this.document.applyChange({ version, operation: `o${version}`, team: 'root', atMs: 0, sections: [section] })
  }

  /** Sets the script of all agents whose names start with the prefix. */
  setScript (prefix: string, script: fakes.FakeAgent['script']): void {
    for (const agent of this.listAgents(prefix)) {
      agent.script = script
    }
  }

  /** Drops the next `left` calls of a method, or the answers to them. */
  loseMessages (prefix: string, method: fakes.Loss['method'], part: fakes.Loss['part'], left = Number.POSITIVE_INFINITY): void {
    this.pool.losses.push({ prefix, method, part, left })
  }

  stopLosses (): void {
    this.pool.losses.length = 0
  }

  listAgents (prefix: string): fakes.FakeAgent[] {
    return [...this.agents.values()].filter(agent => agent.name.startsWith(prefix))
  }

  listStarts (prefix: string): Received[] {
    return this.listAgents(prefix)
      .flatMap(agent => agent.listParams('work.start').map(start => ({ agent, start })))
  }

  /** Counts the attempts, reservations and link holds that have not been released. */
  countHeld (): number {
    let held = 0
    for (const agent of this.agents.values()) {
      held += agent.busy + agent.reservations.size
    }
    for (const link of this.pool.list()) {
      held += link.holds
    }
    return held
  }

  private addServer (name: string, role: string): void {
    const address = { host: '127.0.0.1', port: 1000 + this.agents.size }
    const agent = new fakes.FakeAgent(name)
    this.agents.set(name, agent)
    this.pool.add(address, agent)
    const memoryPieces = role === 'decode' ? 100 : 0
    this.change(`servers/${name}`, { role, zone: 'z', agent: address, models: ['m'], services: ['booking'], memoryPieces })
  }
}

export function createKeys (...keys: string[]): unknown {
  return {
    keys: keys.map((text, index) => ({
      id: `k${index}`, hash: crypto.createHash('sha256').update(text).digest('hex'), createdAtMs: 0
    }))
  }
}
