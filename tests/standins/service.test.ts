import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as services from '../../standins/service.js'
import * as clients from '../support/standin_client.js'

test.describe('Service stand-in', () => {
  let service: services.Service
  let url: string

  test.beforeEach(async () => {
    service = new services.Service()
    url = `http://127.0.0.1:${await service.listen('127.0.0.1', 0)}`
  })

  test.afterEach(() => service.close())

  const submit = (id: string): Promise<clients.Reply> => {
    return clients.post(`${url}/reports`, { project: 'wells' }, { 'x-request-id': id })
  }
  const getState = async (): Promise<any> => (await clients.get(`${url}/_state`)).json

  test.it('keeps what was created', async () => {
    const created = await submit('r1')
    assert.equal(created.status, 201)
    assert.deepEqual((await clients.get(`${url}/reports`)).json, [created.json])
    assert.deepEqual((await clients.get(`${url}/reports/${created.json.id}`)).json, created.json)
    assert.equal((await clients.get(`${url}/reports/99`)).status, 404)
  })

  test.it('counts every run by request and body', async () => {
    await submit('r1')
    await submit('r1')
    await submit('r2')
    const state = await getState()
    assert.deepEqual(state.runsById, { r1: 2, r2: 1 })
    assert.deepEqual(state.runsByBody, { 'reports {"project":"wells"}': 3 })
  })

  test.it('remembers every header value', async () => {
    await clients.post(`${url}/reports`, {}, { authorization: 'Bearer leaked' })
    assert.deepEqual((await getState()).headers.authorization, ['Bearer leaked'])
  })

  test.it('tells apart failures before and after the run', async () => {
    await clients.post(`${url}/_faults`, { failBeforeRun: 1 })
    assert.equal((await submit('before')).status, 500)
    await clients.post(`${url}/_faults`, { failAfterRun: 1 })
    assert.equal((await submit('after')).status, 500)
    await clients.post(`${url}/_faults`, { closeAfterRun: 1 })
    await assert.rejects(submit('closed'))
    assert.equal((await submit('good')).status, 201)
    assert.deepEqual((await getState()).runsById, { after: 1, closed: 1, good: 1 })
  })
})
