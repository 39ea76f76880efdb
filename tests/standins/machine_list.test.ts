import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as machineLists from '../../standins/machine_list.js'
import * as clients from '../support/standin_client.js'

const machine = { id: 'vm1', host: '127.0.0.2', zone: 'a', state: 'live', role: 'entry', controlPort: 7000 }

test.describe('Machine list stand-in', () => {
  let list: machineLists.MachineList
  let url: string

  test.beforeEach(async () => {
    list = new machineLists.MachineList()
    url = `http://127.0.0.1:${await list.listen('127.0.0.1', 0)}`
  })

  test.afterEach(() => list.close())

  test.it('lists what was put until it is deleted', async () => {
    await clients.send('PUT', `${url}/vms/vm1`, machine)
    assert.deepEqual((await clients.get(`${url}/vms`)).json, [machine])
    await clients.send('DELETE', `${url}/vms/vm1`)
    assert.deepEqual((await clients.get(`${url}/vms`)).json, [])
  })

  test.it('does not show a change before the lag has passed', async () => {
    await clients.post(`${url}/_faults`, { lagMs: 1e9 })
    await clients.send('PUT', `${url}/vms/vm1`, machine)
    assert.deepEqual((await clients.get(`${url}/vms`)).json, [])
    await clients.post(`${url}/_faults`, { lagMs: 0 })
    assert.deepEqual((await clients.get(`${url}/vms`)).json, [machine])
  })

  test.it('refuses a VM that does not match the schema', async () => {
    assert.equal((await clients.send('PUT', `${url}/vms/vm1`, { ...machine, state: 'gone' })).status, 400)
  })
})
