import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as deployments from './deployment.js'

/** Working time of a call that a fault hits on its way, in milliseconds. */
const slowCallMs = 800

test.describe('Calls that may not be repeated', () => {
  let deployment: deployments.Deployment

  test.before(async () => {
    deployment = await deployments.Deployment.start({
      zones: [{ zone: 'a', entries: 1, service: 1 }, { zone: 'b', entries: 1, service: 1, prefill: 1, decode: 1 }]
    })
  })

  test.after(() => deployment.stop())

  async function setServiceFaults (faults: object): Promise<void> {
    for (const { vm, standin } of deployment.fleet.servers) {
      if (vm.role === 'service') {
        await standin.setFaults(faults)
      }
    }
  }

  const countRuns = async (body: object): Promise<number> => (await deployment.readRuns())[`bookings ${JSON.stringify(body)}`] ?? 0

  async function countReceived (): Promise<number> {
    let received = 0
    for (const { vm, standin } of deployment.fleet.servers) {
      received += vm.role === 'service' ? (await standin.readState()).received : 0
    }
    return received
  }

  /** Repeats a call through the other entry until it is settled; every answer must be honest. */
  async function repeat (body: object, idempotencyKey: string, entry: number): Promise<void> {
    await deployment.waitFor('the repeated call is settled', async () => {
      const answer = await deployment.call(body, { entry, idempotencyKey }).answer
      assert.notEqual(answer.verdict === 'not_run' && await countRuns(body) > 0, true, JSON.stringify(answer))
      return answer.status === 201 || answer.code === 'idempotency_unknown'
    })
    assert.equal(await countRuns(body), 1)
  }

  test.it('run once when the caller repeats them through another entry after an answer', async () => {
    const body = { slot: 'answered' }
    const first = await deployment.call(body, { entry: 0, idempotencyKey: 'answered' }).answer
    const second = await deployment.call(body, { entry: 1, idempotencyKey: 'answered' }).answer
    assert.deepEqual([first.status, second.status, second.text], [201, 201, first.text])
    assert.equal(await countRuns(body), 1)
    await deployment.check()
  })

  for (const fault of ['closeAfterRun', 'hangAfterRun', 'failAfterRun'] as const) {
    test.it(`run once when the server loses the answer (${fault}) and the caller repeats them`, async () => {
      const body = { slot: fault }
      await setServiceFaults({ [fault]: 1, delayMs: 0 })
      const exchange = deployment.call(body, { entry: 0, idempotencyKey: fault })
      await deployment.waitFor('the call has run', async () => await countRuns(body) === 1)
      if (fault === 'hangAfterRun') {
        exchange.leave()
      } else {
        assert.notEqual((await exchange.answer).verdict, 'not_run')
      }
      await setServiceFaults({ [fault]: 0 })
      const again = await deployment.call(body, { entry: 1, idempotencyKey: fault }).answer
      assert.notEqual(again.verdict, 'not_run')
      assert.equal(await countRuns(body), 1)
      await deployment.check()
    })
  }

  test.it('run once when the first answer was lost with its caller', async () => {
    const body = { slot: 'left' }
    await setServiceFaults({ delayMs: slowCallMs })
    const received = await countReceived()
    const exchange = deployment.call(body, { entry: 0, idempotencyKey: 'left' })
    await deployment.waitFor('the call has arrived', async () => await countReceived() > received)
    exchange.leave()
    await setServiceFaults({ delayMs: 0 })
    await repeat(body, 'left', 1)
    await deployment.check()
  })

  test.it('run once when the entry dies in the middle and the server then leaves', async () => {
    const body = { slot: 'killed' }
    await setServiceFaults({ delayMs: slowCallMs })
    const received = await countReceived()
    deployment.call(body, { entry: 0, idempotencyKey: 'killed' })
    await deployment.waitFor('the call has arrived', async () => await countReceived() > received)
    await deployment.fleet.getProcess('entry-a-1').kill()
    await setServiceFaults({ delayMs: 0 })
    await deployment.waitFor('the call has run', async () => await countRuns(body) === 1)
    await deployment.fleet.listVm('service-a-1', 'leaving')
    const again = await deployment.call(body, { entry: 1, idempotencyKey: 'killed' }).answer
    assert.notEqual(again.verdict, 'not_run', JSON.stringify(again))
    assert.equal(await countRuns(body), 1)
    await deployment.fleet.restart('entry-a-1')
    await deployment.waitForReady()
    await deployment.check(1)
  })

  test.it('run at most once when the store is down and an entry dies', async () => {
    await deployment.fleet.store.setFaults({ outage: 'refuse' })
    const body = { slot: 'outage' }
    const first = await deployment.call(body, { entry: 0, idempotencyKey: 'outage' }).answer
    await deployment.fleet.getProcess('entry-a-1').kill()
    const second = await deployment.call(body, { entry: 1, idempotencyKey: 'outage' }).answer
    const runs = await countRuns(body)
    assert.ok(runs <= 1)
    assert.equal([first, second].some(({ verdict }) => verdict === 'not_run') && runs > 0, false)
    await deployment.fleet.store.setFaults({ outage: 'none' })
    await deployment.fleet.restart('entry-a-1')
    await deployment.waitForReady()
    await deployment.check()
  })
})
