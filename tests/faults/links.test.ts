import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'
import * as cuts from '../../tools/cut.js'
import * as callers from './caller.js'
import * as deployments from './deployment.js'

/** Longer than the period of heartbeats, in milliseconds. */
const idleMs = 1_000

test.describe('Connections between entries and agents', () => {
  let deployment: deployments.Deployment

  test.before(async () => {
    deployment = await deployments.Deployment.start({ cutsAgents: true })
  })

  test.after(() => deployment.stop())

  const getCut = (name: string): cuts.Cut => deployment.fleet.getServer(name).cut as cuts.Cut

  /** Waits until both entries have connections to both engines that work. */
  const waitForService = (): Promise<void> => deployment.waitFor('both entries serve', async () => {
    const answers = await Promise.all([0, 1].map(entry => deployment.complete({ entry, tokens: 2 }).answer))
    return answers.every(answer => answer.outcome === 'whole')
  })

  async function startStreams (tokens: number): Promise<readonly callers.Exchange[]> {
    await waitForService()
    const streams = [0, 1, 0, 1].map(entry => deployment.complete({ entry, tokens }))
    await Promise.all(streams.map(stream => stream.firstText))
    return streams
  }

  async function assertOutcomes (streams: readonly callers.Exchange[], outcome: callers.Outcome): Promise<void> {
    const answers = await Promise.all(streams.map(stream => stream.answer))
    assert.deepEqual(answers.map(answer => answer.outcome), streams.map(() => outcome))
  }

  test.it('that are reset in the middle of streams lose and repeat nothing', async () => {
    const streams = await startStreams(100)
    getCut('decode-b-1').resetOpen()
    await assertOutcomes(streams, 'whole')
    await deployment.check()
  })

  test.it('that fall silent for good in the middle of streams lose and repeat nothing', async () => {
    const streams = await startStreams(100)
    getCut('decode-b-1').silenceOpen()
    await assertOutcomes(streams, 'whole')
    await deployment.check()
  })

  test.it('that fall silent twice, at both servers, lose and repeat nothing', async () => {
    const streams = await startStreams(200)
    getCut('decode-b-1').silenceOpen()
    getCut('prefill-a-1').silenceOpen()
    await deployment.waitFor('new connections are open', () => getCut('decode-b-1').openCount > 2)
    getCut('decode-b-1').silenceOpen()
    await assertOutcomes(streams, 'whole')
    await deployment.check()
  })

  test.it('that fell silent while idle refuse nobody', async () => {
    await waitForService()
    await timers.setTimeout(idleMs)
    getCut('prefill-a-1').silenceOpen()
    getCut('decode-b-1').silenceOpen()
    const answers = await Promise.all([0, 1].map(entry => deployment.complete({ entry }).answer))
    assert.deepEqual(answers.map(({ outcome, code }) => code ?? outcome), ['whole', 'whole'])
    await deployment.check()
  })

  test.it('that fell silent just after their use refuse nobody', async () => {
    await waitForService()
    getCut('prefill-a-1').silenceOpen()
    getCut('decode-b-1').silenceOpen()
    const answers = await Promise.all([0, 1].map(entry => deployment.complete({ entry }).answer))
    assert.deepEqual(answers.map(({ outcome, code }) => code ?? outcome), ['whole', 'whole'])
    await deployment.check()
  })

  test.it('that stay cut past the session lease leave nothing held, and tell every caller', async () => {
    const streams = await startStreams(400)
    getCut('decode-b-1').cut()
    await deployment.waitFor('engines hold nothing', async () => await deployment.countHeldPieces() === 0)
    getCut('decode-b-1').restore()
    await assertOutcomes(streams, 'failed')
    await waitForService()
    await deployment.check()
  })

  test.it('that are silent for callers who leave hold nothing', async () => {
    const streams = await startStreams(400)
    getCut('decode-b-1').silenceOpen()
    for (const stream of streams) {
      stream.leave()
    }
    await deployment.waitFor('engines hold nothing', async () => await deployment.countHeldPieces() === 0)
    await deployment.check()
  })

  test.it('that are cut in the middle of a call that may not be repeated run it once and claim nothing false', async () => {
    const service = deployment.fleet.getServer('service-a-1').standin
    await service.setFaults({ delayMs: 400 })
    const { received } = await service.readState()
    const calls = [0, 1, 0, 1].map(entry => deployment.call({ cut: deployment.createPrompt() }, { entry }))
    await deployment.waitFor('the calls have arrived', async () => (await service.readState()).received >= received + calls.length)
    getCut('service-a-1').resetOpen()
    await Promise.all(calls.map(call => call.answer))
    await service.setFaults({ delayMs: 0 })
    await deployment.check()
  })

  test.it('that fall silent while the agent drains cut no stream', async () => {
    const streams = await startStreams(150)
    const agent = deployment.fleet.getProcess('decode-b-1.agent')
    const drained = agent.drain(30_000)
    getCut('decode-b-1').silenceOpen()
    await assertOutcomes(streams, 'whole')
    assert.equal(await drained, true)
    await deployment.check()
  })
})
