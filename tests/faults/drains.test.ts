import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as deployments from './deployment.js'

/** Longest drain that a test waits for, in milliseconds. */
const drainLimitMs = 30_000

test.describe('Graceful shutdown', () => {
  let deployment: deployments.Deployment

  test.before(async () => {
    deployment = await deployments.Deployment.start({
      zones: [{ zone: 'a', entries: 1, prefill: 1, decode: 1 }, { zone: 'b', entries: 1, prefill: 1, decode: 1 }],
      machineListFaults: { lagMs: 0 }
    })
  })

  test.after(() => deployment.stop())

  const countReceived = async (name: string): Promise<number> => {
    return Object.keys((await deployment.fleet.getServer(name).standin.readState()).requests).length
  }

  for (const name of ['decode-b-1', 'prefill-b-1']) {
    test.it(`of the agent of ${name} under traffic cuts no request, and the server gets no new work`, async () => {
      await deployment.fleet.machines.setFaults({ lagMs: 60_000 })
      const streams = [0, 1, 0, 1, 0, 1].map(entry => deployment.complete({ entry, tokens: 120 }))
      await Promise.all(streams.map(stream => stream.firstText))
      const drained = deployment.fleet.getProcess(`${name}.agent`).drain(drainLimitMs)
      const during = [0, 1, 0, 1].map(entry => deployment.complete({ entry }))
      const answers = await Promise.all([...streams, ...during].map(stream => stream.answer))
      assert.deepEqual(answers.map(({ outcome, code }) => code ?? outcome), answers.map(() => 'whole'))
      assert.equal(await drained, true)
      const received = await countReceived(name)
      const after = await Promise.all([0, 1, 0, 1].map(entry => deployment.complete({ entry, tokens: 2 }).answer))
      assert.deepEqual(after.map(({ outcome, code }) => code ?? outcome), after.map(() => 'whole'))
      assert.equal(await countReceived(name), received)
      await deployment.fleet.restart(`${name}.agent`)
      await deployment.fleet.machines.setFaults({ lagMs: 0 })
      await deployment.waitForReady()
      await deployment.check()
    })
  }

  test.it('announced by the configuration alone gives the server no new work', async () => {
    const name = 'servers/decode-b-1'
    const { body } = await deployment.operate(0, 'GET', `/admin/v1/sections/${name}`)
    await deployment.change([{ name, expectedVersion: body.version, body: { ...body.body, state: 'leaving' } }])
    await deployment.waitFor('both entries know', async () => {
      const read = (entry: number): Promise<any> => deployment.operate(entry, 'GET', `/admin/v1/sections/${name}`)
      return (await Promise.all([read(0), read(1)])).every(section => section.body.body.state === 'leaving')
    }, deployments.forceLimitMs)
    const received = await countReceived('decode-b-1')
    const answers = await Promise.all([0, 1, 0, 1].map(entry => deployment.complete({ entry, tokens: 2 }).answer))
    assert.deepEqual(answers.map(({ outcome, code }) => code ?? outcome), answers.map(() => 'whole'))
    assert.equal(await countReceived('decode-b-1'), received)
    await deployment.change([{ name, expectedVersion: body.version + 1, body: body.body }])
    await deployment.check()
  })

  test.it('of an entry under traffic cuts no request', async () => {
    const streams = deployment.completeAll(6, { entry: 1, tokens: 120 })
    deployment.complete({ entry: 1, tokens: 60, isStreamed: false })
    await Promise.all(streams.map(stream => stream.firstText))
    assert.equal(await deployment.fleet.getProcess('entry-b-1').drain(drainLimitMs), true)
    const counts = await deployment.check()
    assert.equal(counts.answeredOnce, counts.asked)
    await deployment.fleet.restart('entry-b-1')
    await deployment.waitForReady()
  })

  test.it('of an entry during a store outage cuts no request', async () => {
    await deployment.waitFor('the restarted entry serves', async () => {
      const answers = await Promise.all([0, 1].map(entry => deployment.complete({ entry, tokens: 2 }).answer))
      return answers.every(answer => answer.outcome === 'whole')
    })
    await deployment.check()
    await deployment.fleet.store.setFaults({ outage: 'hang' })
    const streams = deployment.completeAll(4, { entry: 0, tokens: 80 })
    await Promise.all(streams.map(stream => stream.firstText))
    assert.equal(await deployment.fleet.getProcess('entry-a-1').drain(drainLimitMs), true)
    await deployment.fleet.store.setFaults({ outage: 'none' })
    const counts = await deployment.check()
    assert.equal(counts.answeredOnce, counts.asked)
  })
})
