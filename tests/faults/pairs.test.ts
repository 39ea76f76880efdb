import * as assert from 'node:assert/strict'
import * as crypto from 'node:crypto'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'
import * as cuts from '../../tools/cut.js'
import * as callers from './caller.js'
import * as deployments from './deployment.js'

/** Longer than a session lease and a keeper's lease, in milliseconds. */
const faultMs = 3_500
/** Entries of the streams that are under way when the faults strike. */
const entries = [0, 1, 0, 1]
const tokens = 200

interface Fault {
  readonly strike: (streams: readonly callers.Exchange[]) => Promise<void>
  readonly mend: () => Promise<void>
}

interface Pair {
  readonly name: string
  readonly faults: readonly [Fault, Fault]
  /** What becomes of the streams, in the order of `entries`. */
  readonly outcomes: readonly callers.Outcome[]
}

test.describe('Two faults at once', () => {
  let deployment: deployments.Deployment

  test.before(async () => {
    deployment = await deployments.Deployment.start({ cutsAgents: true })
  })

  test.after(() => deployment.stop())

  const nothing = async (): Promise<void> => {}

  const createStoreFault = (faults: object, mended: object): Fault => ({
    strike: () => deployment.fleet.store.setFaults(faults),
    mend: () => deployment.fleet.store.setFaults(mended)
  })

  const createFreeze = (name: string): Fault => ({
    strike: async () => deployment.fleet.getProcess(name).freeze(),
    mend: async () => deployment.fleet.getProcess(name).resume()
  })

  const storeDown = createStoreFault({ outage: 'refuse' }, { outage: 'none' })
  const lostAnswers = createStoreFault({ lostAnswers: 3 }, { lostAnswers: 0 })

  const entryKilled: Fault = {
    strike: () => deployment.fleet.getProcess('entry-b-1').kill(),
    mend: () => deployment.fleet.restart('entry-b-1')
  }

  const prefillKilled: Fault = {
    strike: () => deployment.fleet.killServerVm('prefill-a-1'),
    mend: async () => {
      await deployment.fleet.restart('prefill-a-1.server')
      await deployment.fleet.restart('prefill-a-1.agent')
    }
  }

  const connectionsSilent: Fault = {
    strike: async () => (deployment.fleet.getServer('decode-b-1').cut as cuts.Cut).silenceOpen(),
    mend: nothing
  }

  const callersLeave: Fault = {
    strike: async streams => {
      for (const stream of streams.slice(0, 2)) {
        stream.leave()
      }
    },
    mend: nothing
  }

  const racingOperators: Fault = { strike: () => race('workspaces/race'), mend: nothing }

  const pairs: readonly Pair[] = [
    { name: 'the store down and an entry killed', faults: [storeDown, entryKilled], outcomes: ['whole', 'broken', 'whole', 'broken'] },
    { name: 'silent connections and callers that leave', faults: [connectionsSilent, callersLeave], outcomes: ['left', 'left', 'whole', 'whole'] },
    { name: 'a prefill server killed and the store down', faults: [prefillKilled, storeDown], outcomes: ['whole', 'whole', 'whole', 'whole'] },
    {
      name: 'one entry frozen after the other',
      faults: [createFreeze('entry-a-1'), createFreeze('entry-b-1')],
      outcomes: ['failed', 'failed', 'failed', 'failed']
    },
    { name: 'lost answers of the store and racing operators', faults: [lostAnswers, racingOperators], outcomes: ['whole', 'whole', 'whole', 'whole'] }
  ]

  for (const { name, faults: [first, second], outcomes } of pairs) {
    test.it(`${name} break nothing that must hold`, async () => {
      await waitForService()
      const streams = entries.map(entry => deployment.complete({ entry, tokens }))
      await Promise.all(streams.map(stream => stream.firstText))
      try {
        await first.strike(streams)
        await second.strike(streams)
        await timers.setTimeout(faultMs)
        await Promise.all(streams.filter((_, index) => outcomes[index] === 'whole').map(stream => stream.answer))
      } finally {
        await first.mend()
        await second.mend()
      }
      const answers = await Promise.all(streams.map(stream => stream.answer))
      assert.deepEqual(answers.map(answer => answer.outcome), outcomes)
      await waitForService()
      await deployment.check(outcomes.filter(outcome => outcome === 'broken').length)
    })
  }

  /** Waits until requests through both entries are answered whole. */
  async function waitForService (): Promise<void> {
    await deployment.waitForReady()
    await deployment.waitFor('both entries serve', async () => {
      const answers = await Promise.all([0, 1].map(entry => deployment.complete({ entry, tokens: 2 }).answer))
      return answers.every(answer => answer.outcome === 'whole')
    })
  }

  /** Creates a section through both entries at once, repeating what got no answer; one operation may win. */
  async function race (name: string): Promise<void> {
    const statuses = await Promise.all([0, 1, 2, 3, 4, 5].map(async number => {
      const body = { title: `By ${number}`, allowance: { tokensPerSecond: 1, burstTokens: 1 } }
      const operation = crypto.randomUUID()
      let status = 0
      await deployment.waitFor('the change is decided', async () => {
        status = (await deployment.change([{ name, expectedVersion: 0, body }], { entry: number % 2, operation })).status
        return status === 200 || status === 409
      })
      return status
    }))
    assert.deepEqual(statuses.sort(), [200, 409, 409, 409, 409, 409])
  }
})
