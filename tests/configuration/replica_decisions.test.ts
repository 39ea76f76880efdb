import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fastCheck from 'fast-check'
import * as decisions from '../../src/configuration/replica_decisions.js'
import * as identities from '../../src/contracts/identity.js'

interface TimedEvent {
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
class ReferenceModel {
  constructor (private readonly role: identities.Role, private readonly past: readonly TimedEvent[]) {}

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
interface Environment {
  asking: string | undefined
  isReading: boolean
  isWatching: boolean
  isProbing: boolean
}

/** Returns the event of a command, or `undefined` if it cannot occur in the current state. */
function createEvent ({ kind, value }: Command, environment: Environment): decisions.ReplicaEvent | undefined {
  switch (kind) {
    case 0:
    case 1:
      return { kind: 'heard', version: value, peer: createPeer(value * 7 % 5) }
    case 2:
      return { kind: 'heard', version: value }
    case 3:
      return { kind: 'advanced', version: value }
    case 4:
      return environment.asking === undefined ? undefined : { kind: 'peer_answered', node: environment.asking, version: value }
    case 5:
      return environment.asking === undefined ? undefined : { kind: 'peer_failed', node: environment.asking }
    case 6:
      return environment.isReading ? { kind: 'store_read' } : undefined
    case 7:
      return environment.isReading || environment.isWatching ? { kind: 'store_failed', jitter: 0.5 } : undefined
    default:
      return environment.isProbing ? { kind: 'probed' } : { kind: 'due' }
  }
}

function updateEnvironment (environment: Environment, event: decisions.ReplicaEvent, actions: readonly decisions.ReplicaAction[]): void {
  environment.asking = event.kind === 'peer_answered' || event.kind === 'peer_failed' ? undefined : environment.asking
  environment.isReading = environment.isReading && event.kind !== 'store_read' && event.kind !== 'store_failed'
  environment.isWatching = event.kind === 'store_read' || (environment.isWatching && event.kind !== 'store_failed')
  environment.isProbing = environment.isProbing && event.kind !== 'probed'
  for (const action of actions) {
    if (action.kind === 'read_store') {
      assert.equal(environment.isReading, false, 'one read at a time')
      environment.isReading = true
      environment.isWatching = false
    }
    if (action.kind === 'ask_peer') {
      assert.equal(environment.asking, undefined, 'one peer read at a time')
      environment.asking = action.peer.node
    }
    if (action.kind === 'probe_entries') {
      assert.equal(environment.isProbing, false, 'one probe at a time')
      environment.isProbing = true
    }
  }
}

function checkPeerRead (model: ReferenceModel, actions: readonly decisions.ReplicaAction[], wasAsking: boolean, nowMs: number): void {
  const ask = actions.find(action => action.kind === 'ask_peer')
  const behindSinceMs = model.getBehindSinceMs()
  const isDue = behindSinceMs !== undefined && nowMs >= behindSinceMs + 150 && !wasAsking
  const claims = isDue ? model.getClaims(nowMs) : []
  const best = Math.max(0, ...claims.map(claim => claim.version))
  assert.equal(ask !== undefined, claims.length > 0)
  if (ask?.kind === 'ask_peer') {
    assert.equal(claims.find(claim => claim.peer.node === ask.peer.node)?.version, best)
    assert.equal(ask.since, model.getVersion())
  }
}

function isComplete (role: identities.Role, model: ReferenceModel): boolean {
  if (model.getVersion() < model.getHighest()) {
    return false
  }
  return role === 'agent'
    ? model.getVersion() > 0
    : model.has('probed') && (model.has('store_read') || model.getVersion() > 0)
}

function runCommands (role: identities.Role, list: readonly Command[]): void {
  const subject = new decisions.ReplicaDecisions(role)
  const environment: Environment = { asking: undefined, isReading: false, isWatching: false, isProbing: false }
  const past: TimedEvent[] = []
  let nowMs = 0
  let wasReady = false
  const step = (event: decisions.ReplicaEvent): void => {
    past.push({ event, nowMs })
    const model = new ReferenceModel(role, past)
    const wasAsking = environment.asking !== undefined && event.kind !== 'peer_answered' && event.kind !== 'peer_failed'
    const actions = subject.decide(event, nowMs)
    updateEnvironment(environment, event, actions)
    checkPeerRead(model, actions, wasAsking, nowMs)
    const isReady = wasReady || isComplete(role, model)
    assert.equal(subject.isReady, isReady)
    assert.equal(actions.some(action => action.kind === 'become_ready'), isReady && !wasReady)
    wasReady = isReady
  }
  step({ kind: 'started' })
  for (const command of list) {
    nowMs += command.stepMs
    const event = createEvent(command, environment)
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
