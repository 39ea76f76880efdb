import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fastCheck from 'fast-check'
import * as decisions from '../../src/configuration/replica_decisions.js'
import * as identities from '../../src/contracts/identity.js'

interface Timed {
  readonly event: decisions.ReplicaEvent
  readonly nowMs: number
}

interface Claim {
  readonly peer: identities.Identity
  version: number
  retryAtMs: number
}

function createPeer (index: number): identities.Identity {
  return { node: `n${index}`, boot: 'b', role: index % 2 === 0 ? 'entry' : 'agent', zone: 'a', region: 'r' }
}

/** Reference model: computes the state of a replica from all past events. */
class History {
  constructor (private readonly role: identities.Role, private readonly past: readonly Timed[]) {}

  getVersion (): number {
    return Math.max(0, ...this.past.map(({ event }) => event.kind === 'advanced' ? event.version : 0))
  }

  getHighest (): number {
    return Math.max(0, ...this.past.map(({ event }) => event.kind === 'heard' ? event.version : 0))
  }

  has (kind: decisions.ReplicaEvent['kind']): boolean {
    return this.past.some(({ event }) => event.kind === kind)
  }

  /** Returns the peers that may be read from and have more than this replica, with the version each last reported. */
  getClaims (nowMs: number): readonly Claim[] {
    const claims = new Map<string, Claim>()
    let version = 0
    for (const { event, nowMs: atMs } of this.past) {
      if (event.kind === 'advanced') {
        version = Math.max(version, event.version)
      }
      if (event.kind === 'heard' && event.peer !== undefined && event.version > version && (this.role === 'agent' || event.peer.role === 'entry')) {
        const claim = claims.get(event.peer.node)
        claims.set(event.peer.node, { peer: event.peer, version: Math.max(event.version, claim?.version ?? 0), retryAtMs: claim?.retryAtMs ?? 0 })
      }
      const answered = event.kind === 'peer_answered' ? claims.get(event.node) : undefined
      if (answered !== undefined && event.kind === 'peer_answered') {
        answered.version = event.version
        answered.retryAtMs = atMs + 1_000
      }
      const failed = event.kind === 'peer_failed' ? claims.get(event.node) : undefined
      if (failed !== undefined) {
        failed.retryAtMs = atMs + 1_000
      }
      for (const claim of [...claims.values()]) {
        if (claim.version <= version) {
          claims.delete(claim.peer.node)
        }
      }
    }
    return [...claims.values()].filter(claim => claim.retryAtMs <= nowMs)
  }

  /** Returns since when a higher version has been known without interruption. */
  getBehindSinceMs (): number | undefined {
    let version = 0
    let highest = 0
    let sinceMs: number | undefined
    for (const { event, nowMs } of this.past) {
      version = event.kind === 'advanced' ? Math.max(version, event.version) : version
      highest = event.kind === 'heard' ? Math.max(highest, event.version) : highest
      sinceMs = highest > version ? sinceMs ?? nowMs : undefined
    }
    return sinceMs
  }
}

type Command = { readonly kind: number, readonly value: number, readonly stepMs: number }

const commands = fastCheck.array(fastCheck.record({
  kind: fastCheck.nat(8), value: fastCheck.integer({ min: 1, max: 9 }), stepMs: fastCheck.nat(400)
}), { maxLength: 40 })

/** Simulated state of the store and the peers, which results from the events and actions so far. */
interface World {
  asking: string | undefined
  isReading: boolean
  isWatching: boolean
  isProbing: boolean
}

/** Returns the event of a command, or `undefined` if it cannot occur in the current state. */
function createEvent ({ kind, value }: Command, world: World): decisions.ReplicaEvent | undefined {
  switch (kind) {
    case 0:
    case 1:
      return { kind: 'heard', version: value, peer: createPeer(value * 7 % 5) }
    case 2:
      return { kind: 'heard', version: value }
    case 3:
      return { kind: 'advanced', version: value }
    case 4:
      return world.asking === undefined ? undefined : { kind: 'peer_answered', node: world.asking, version: value }
    case 5:
      return world.asking === undefined ? undefined : { kind: 'peer_failed', node: world.asking }
    case 6:
      return world.isReading ? { kind: 'store_read' } : undefined
    case 7:
      return world.isReading || world.isWatching ? { kind: 'store_failed', jitter: 0.5 } : undefined
    default:
      return world.isProbing ? { kind: 'probed' } : { kind: 'due' }
  }
}

function updateWorld (world: World, event: decisions.ReplicaEvent, actions: readonly decisions.ReplicaAction[]): void {
  world.asking = event.kind === 'peer_answered' || event.kind === 'peer_failed' ? undefined : world.asking
  world.isReading = world.isReading && event.kind !== 'store_read' && event.kind !== 'store_failed'
  world.isWatching = event.kind === 'store_read' || (world.isWatching && event.kind !== 'store_failed')
  world.isProbing = world.isProbing && event.kind !== 'probed'
  for (const action of actions) {
    if (action.kind === 'read_store') {
      assert.equal(world.isReading, false, 'one read at a time')
      world.isReading = true
      world.isWatching = false
    }
    if (action.kind === 'ask_peer') {
      assert.equal(world.asking, undefined, 'one peer read at a time')
      world.asking = action.peer.node
    }
    if (action.kind === 'probe_entries') {
      assert.equal(world.isProbing, false, 'one probe at a time')
      world.isProbing = true
    }
  }
}

function checkAsking (history: History, actions: readonly decisions.ReplicaAction[], wasAsking: boolean, nowMs: number): void {
  const ask = actions.find(action => action.kind === 'ask_peer')
  const behindSinceMs = history.getBehindSinceMs()
  const isDue = behindSinceMs !== undefined && nowMs >= behindSinceMs + 150 && !wasAsking
  const claims = isDue ? history.getClaims(nowMs) : []
  const best = Math.max(0, ...claims.map(claim => claim.version))
  assert.equal(ask !== undefined, claims.length > 0)
  if (ask?.kind === 'ask_peer') {
    assert.equal(claims.find(claim => claim.peer.node === ask.peer.node)?.version, best)
    assert.equal(ask.since, history.getVersion())
  }
}

function isComplete (role: identities.Role, history: History): boolean {
  if (history.getVersion() < history.getHighest()) {
    return false
  }
  return role === 'agent'
    ? history.getVersion() > 0
    : history.has('probed') && (history.has('store_read') || history.getVersion() > 0)
}

function runCommands (role: identities.Role, list: readonly Command[]): void {
  const subject = new decisions.ReplicaDecisions(role)
  const world: World = { asking: undefined, isReading: false, isWatching: false, isProbing: false }
  const past: Timed[] = []
  let nowMs = 0
  let wasReady = false
  const step = (event: decisions.ReplicaEvent): void => {
    past.push({ event, nowMs })
    const history = new History(role, past)
    const wasAsking = world.asking !== undefined && event.kind !== 'peer_answered' && event.kind !== 'peer_failed'
    const actions = subject.decide(event, nowMs)
    updateWorld(world, event, actions)
    checkAsking(history, actions, wasAsking, nowMs)
    const isReady = wasReady || isComplete(role, history)
    assert.equal(subject.isReady, isReady)
    assert.equal(actions.some(action => action.kind === 'become_ready'), isReady && !wasReady)
    wasReady = isReady
  }
  step({ kind: 'started' })
  for (const command of list) {
    nowMs += command.stepMs
    const event = createEvent(command, world)
    if (event !== undefined) {
      step(event)
    }
  }
}

test.describe('ReplicaDecisions', () => {
  for (const role of ['entry', 'agent'] as const) {
    test.it(`agrees with the reference model as ${role}`, () => {
      fastCheck.assert(fastCheck.property(commands, list => runCommands(role, list)), { seed: 20, numRuns: 2_000 })
    })
  }

  test.it('returns a due time while a source has to be read later', () => {
    const subject = new decisions.ReplicaDecisions('agent')
    subject.decide({ kind: 'started' }, 0)
    subject.decide({ kind: 'heard', version: 3, peer: createPeer(0) }, 10)
    assert.equal(subject.getDueMs(), 160)
    assert.equal(subject.decide({ kind: 'due' }, 160)[0]?.kind, 'ask_peer')
    assert.equal(subject.getDueMs(), undefined)
    subject.decide({ kind: 'peer_failed', node: 'n0' }, 200)
    assert.equal(subject.getDueMs(), 1200)
  })

  test.it('searches for a source when only agents report a version', () => {
    const subject = new decisions.ReplicaDecisions('entry')
    subject.decide({ kind: 'started' }, 0)
    subject.decide({ kind: 'store_read' }, 0)
    subject.decide({ kind: 'probed' }, 0)
    subject.decide({ kind: 'heard', version: 3, peer: createPeer(1) }, 0)
    const kinds = subject.decide({ kind: 'due' }, 150).map(action => action.kind)
    assert.deepEqual(kinds, ['read_store', 'probe_entries'])
  })
})
