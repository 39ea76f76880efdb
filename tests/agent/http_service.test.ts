import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as clients from '../support/standin_client.js'
import * as httpServices from '../../src/agent/http_service.js'
import * as nodeSystems from '../../src/host/node_system.js'
import * as observers from './backend_observer.js'
import * as services from '../../standins/service.js'
import * as work from '../../src/contracts/work.js'

function createCall (change: Partial<work.ServiceCall> = {}): work.Task {
  const body = Buffer.from('{"a":1}').toString('base64')
  const headers = { 'content-type': 'application/json' }
  return { kind: 'call', call: { service: 's', method: 'POST', target: '/reports', headers, body, timeoutMs: 2_000, ...change } }
}

test.describe('HttpService', () => {
  const closing: (() => Promise<void>)[] = []

  async function open (faults: object = {}, answerBytes = 1_000): Promise<{ readonly service: httpServices.HttpService, readonly url: string }> {
    const standin = new services.Service(faults)
    const url = `http://127.0.0.1:${await standin.listen('127.0.0.1', 0)}`
    const clock = nodeSystems.createSilentSystem().clock
    const service = new httpServices.HttpService({ server: 's1', url, connectTimeoutMs: 1_000, maximumResponseBytes: answerBytes }, clock)
    closing.push(() => service.close(), () => standin.close())
    return { service, url }
  }

  const run = (service: httpServices.HttpService, change: Partial<work.ServiceCall> = {}): Promise<observers.CollectingObserver> => {
    return observers.runOrder(service, observers.createOrder(1, createCall(change)))
  }

  test.afterEach(async () => {
    for (const close of closing.splice(0)) {
      await close()
    }
  })

  test.it('passes a call and its answer through', async () => {
    const { service } = await open()
    const { completion } = await run(service)
    assert.equal(completion?.reason, 'answered')
    assert.equal(completion?.answer?.status, 201)
    assert.deepEqual(JSON.parse(Buffer.from(completion?.answer?.body ?? '', 'base64').toString()), { id: '1', content: { a: 1 } })
  })

  test.it('forwards the idempotency key, but no credentials', async () => {
    const { service, url } = await open()
    const headers = {
      Authorization: 'Bearer secret-key', Cookie: 'secret', 'Proxy-Authorization': 'secret', 'x-api-key': 'secret', 'Idempotency-Key': 'once'
    }
    await run(service, { headers })
    const state = (await clients.get(`${url}/_state`)).text
    assert.equal(state.includes('secret'), false)
    assert.equal(state.includes('once'), true)
  })

  test.it('sends a call once, even when the connection is lost after it ran', async () => {
    const { service, url } = await open({ closeAfterRun: 1 })
    const { failure, released } = await run(service)
    assert.deepEqual([failure?.verdict, released], ['may_have_run', true])
    assert.equal((await clients.get(`${url}/_state`)).json.runs, 1)
  })

  test.it('reports a call as may_have_run when the response times out', async () => {
    const { service } = await open({ hangAfterRun: 1 })
    const { failure } = await run(service, { timeoutMs: 100 })
    assert.deepEqual([failure?.code, failure?.verdict], ['link_timeout', 'may_have_run'])
  })

  test.it('reports a call as not_run when the service cannot be reached', async () => {
    const { service } = await open()
    await closing[1]?.()
    assert.equal((await run(service)).failure?.verdict, 'not_run')
  })

  test.it('limits the size of a response', async () => {
    const { service } = await open({}, 10)
    assert.equal((await run(service)).failure?.verdict, 'ran')
  })

  test.it('reports an aborted call as may_have_run', async () => {
    const { service } = await open({ hangAfterRun: 1 })
    const observer = new observers.CollectingObserver()
    const order = observers.createOrder(1, createCall())
    service.launch(order, observer)
    assert.equal(await service.abort(order), true)
    await observer.ended
    assert.deepEqual([observer.failure?.code, observer.failure?.verdict], ['server_failed', 'may_have_run'])
  })
})
