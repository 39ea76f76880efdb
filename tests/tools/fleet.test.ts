import * as assert from 'node:assert/strict'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as test from 'node:test'
import * as url from 'node:url'
import * as childRegistry from '../../tools/child_registry.js'
import * as clients from '../support/standin_client.js'
import * as configuration from '../../src/contracts/configuration.js'
import * as fleets from '../../tools/fleet.js'
import * as fleetPlans from '../../tools/fleet_plan.js'

const support = url.fileURLToPath(new URL('../support/', import.meta.url))
const daemon = path.join(support, 'fake_daemon.js')
const plan: fleetPlans.FleetPlan = {
  zones: [{ zone: 'a', entries: 1, prefill: 1, service: 1 }, { zone: 'b', decode: 1 }],
  decodeEngine: { slots: 3 },
  cutsAgents: true,
  daemon
}

function isAlive (pid: number): boolean {
  try {
    process.kill(pid, 0)
    return true
  } catch {
    return false
  }
}

/** Waits until the kernel shows the process in a state, such as T for stopped. */
async function waitForState (pid: number, state: RegExp): Promise<void> {
  const read = (): string => fs.readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1] as string
  while (!state.test(read())) {
    await new Promise(resolve => setImmediate(resolve))
  }
}

test.describe('Fleet', () => {
  test.describe('started', () => {
    let fleet: fleets.Fleet

    test.before(async () => {
      fleet = await fleets.startFleet(plan)
    })

    test.after(() => fleet.stop())

    test.it('puts every VM into the list, with the forwarder before each agent', async () => {
      const machines = (await clients.get(`${fleet.machines.url}/vms`)).json
      const ids = machines.map((machine: { id: string }) => machine.id).sort()
      assert.deepEqual(ids, ['decode-b-1', 'entry-a-1', 'prefill-a-1', 'service-a-1'])
      const decode = fleet.getServer('decode-b-1')
      const listed = machines.find((machine: { id: string }) => machine.id === 'decode-b-1')
      assert.deepEqual([listed.host, listed.controlPort], [decode.vm.host, decode.agentAddress.port])
      assert.notEqual(decode.agentAddress.port, decode.addresses.control.port)
    })

    test.it('describes itself for the configuration', () => {
      const sections = fleet.listSections()
      assert.deepEqual([...sections.keys()], [
        'models/model', 'services/bookings', 'servers/prefill-a-1', 'servers/service-a-1', 'servers/decode-b-1'
      ])
      const { role, zone, slots } = sections.get('servers/decode-b-1') as configuration.Server
      assert.deepEqual([role, zone, slots], ['decode', 'b', 3])
    })

    test.it('reads and sets the state of stand-ins, also after a restart', async () => {
      const { standin } = fleet.getServer('prefill-a-1')
      await standin.setFaults({ failNext: 1 })
      await assert.rejects(standin.setFaults({ failNxt: 1 }))
      const { boot } = await standin.readState()
      await fleet.restart('prefill-a-1.server')
      assert.notEqual((await standin.readState()).boot, boot)
    })

    test.it('kills, freezes, resumes, drains and restarts daemons', async () => {
      const entry = fleet.getProcess('entry-a-1')
      entry.freeze()
      await waitForState(entry.pid as number, /^T/)
      entry.resume()
      await waitForState(entry.pid as number, /^[SR]/)
      assert.equal(await entry.drain(), true)
      assert.deepEqual([entry.isRunning, entry.exitCode], [false, 0])
      await fleet.restart('entry-a-1')
      assert.equal(entry.isRunning, true)
      await fleet.killServerVm('service-a-1')
      assert.equal(fleet.getProcess('service-a-1.agent').isRunning, false)
      assert.equal(fleet.getProcess('service-a-1.server').isRunning, false)
    })

    test.it('leaves no process behind when stopped, frozen ones included', async () => {
      const pids = fleet.listProcesses().map(process => process.pid as number)
      fleet.getProcess('decode-b-1.agent').freeze()
      await fleet.stop()
      assert.deepEqual(pids.filter(isAlive), [])
    })
  })

  test.it('shows the log of a daemon that fails to start, keeps all logs, and ends the others', async () => {
    process.env['BROKEN_NODE'] = 'entry-a-1'
    const started = fleets.startFleet(plan)
    const error = await started.then(() => assert.fail('The fleet started'), (error: Error) => error)
    delete process.env['BROKEN_NODE']
    assert.match(error.message, /entry-a-1 is not ready: it ended with code 3.\nbroken on purpose/)
    const folder = error.message.match(/kept in (\S+)$/)?.[1] ?? ''
    assert.ok(fs.existsSync(path.join(folder, 'entry-a-1.log')))
    childRegistry.removeFolder(folder)
    assert.equal(childRegistry.countChildren(), 0)
  })

  test.it('ends everything when the launcher is interrupted', async () => {
    const holder = childProcess.spawn(process.execPath, [path.join(support, 'fleet_holder.js'), daemon], { stdio: ['ignore', 'pipe', 'inherit'] })
    const lines = readline.createInterface({ input: holder.stdout })
    const line = await new Promise<string>(resolve => lines.once('line', resolve))
    const ended = new Promise(resolve => holder.once('exit', resolve))
    holder.kill('SIGINT')
    await ended
    const pids = JSON.parse(line) as number[]
    while (pids.some(isAlive)) {
      await new Promise(resolve => setImmediate(resolve))
    }
    assert.equal(pids.length, 5)
  })
})
