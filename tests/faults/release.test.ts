import * as test from 'node:test'
import * as cuts from '../../tools/cut.js'
import * as callers from './caller.js'
import * as deployments from './deployment.js'

test.describe('Memory of callers that are gone', () => {
  let deployment: deployments.Deployment

  test.before(async () => {
    deployment = await deployments.Deployment.start({ cutsAgents: true })
  })

  test.after(() => deployment.stop())

  const getCut = (): cuts.Cut => deployment.fleet.getServer('decode-b-1').cut as cuts.Cut

  async function startStreams (entries: readonly number[]): Promise<readonly callers.Exchange[]> {
    await deployment.waitForReady()
    await deployment.waitFor('both entries serve', async () => {
      const answers = await Promise.all([0, 1].map(entry => deployment.complete({ entry, tokens: 2 }).answer))
      return answers.every(answer => answer.outcome === 'whole')
    })
    const streams = entries.map(entry => deployment.complete({ entry, tokens: 400 }))
    await Promise.all(streams.map(stream => stream.firstText))
    return streams
  }

  /** Lets the callers leave and returns when they did, on the wall clock in milliseconds. */
  function leaveAll (streams: readonly callers.Exchange[]): number {
    for (const stream of streams) {
      stream.leave()
    }
    return Date.now()
  }

  test.it('is free 2 s after their entry was killed', async () => {
    const streams = await startStreams([1, 1, 1, 1])
    const goneAtMs = Date.now()
    await deployment.fleet.getProcess('entry-b-1').kill()
    await deployment.assertReleased(goneAtMs).finally(() => deployment.fleet.restart('entry-b-1'))
    await deployment.check(streams.length)
  })

  test.it('is free 2 s after their entry froze', async () => {
    await startStreams([1, 1, 1, 1])
    const entry = deployment.fleet.getProcess('entry-b-1')
    const goneAtMs = Date.now()
    entry.freeze()
    await deployment.assertReleased(goneAtMs).finally(() => entry.resume())
    await deployment.check()
  })

  test.it('is free 2 s after they left over connections that were cut and stay so', async () => {
    const streams = await startStreams([0, 1, 0, 1])
    getCut().cut()
    const goneAtMs = leaveAll(streams)
    await deployment.assertReleased(goneAtMs).finally(() => getCut().restore())
    await deployment.check()
  })

  test.it('is free 2 s after they left over connections that fell silent', async () => {
    const streams = await startStreams([0, 1, 0, 1])
    getCut().silenceOpen()
    await deployment.assertReleased(leaveAll(streams))
    await deployment.check()
  })

  test.it('is free 2 s after they left over connections that fell silent, as do all new ones', async () => {
    const streams = await startStreams([0, 1, 0, 1])
    getCut().silence()
    const goneAtMs = leaveAll(streams)
    await deployment.assertReleased(goneAtMs).finally(() => getCut().restore())
    await deployment.check()
  })
})
