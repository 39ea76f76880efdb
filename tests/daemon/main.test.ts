import * as assert from 'node:assert/strict'
import * as events from 'node:events'
import * as net from 'node:net'
import * as test from 'node:test'
import * as exitCodeTable from '../../src/daemon/exit_code.js'
import * as fixture from './fixture.js'
import * as machineLists from '../../standins/machine_list.js'
import * as stores from '../../standins/store.js'

const { exitCodes } = exitCodeTable
const credential = 'credential of the deployment'

test.describe('mulberryflowd', { timeout: 60_000 }, () => {
  let folder: fixture.Folder
  test.beforeEach(() => {
    folder = new fixture.Folder()
  })
  test.afterEach(() => folder.close())

  async function createAgent (): Promise<Record<string, unknown>> {
    const [control, health, backend] = await fixture.findAddresses(3)
    return {
      role: 'agent',
      node: 'filing-1',
      zone: 'zone-a',
      server: 'filing-1',
      credential,
      control,
      health,
      backend: { kind: 'service', role: 'service', url: `http://127.0.0.1:${backend?.port}`, memoryPieces: 0 }
    }
  }

  async function createEntry (storeUrl: string, machinesUrl: string): Promise<Record<string, unknown>> {
    const [control, callers, administration] = await fixture.findAddresses(3)
    return {
      role: 'entry',
      node: 'entry-1',
      zone: 'zone-a',
      credential,
      control,
      callers,
      administration,
      store: { urls: [storeUrl] },
      machines: { url: machinesUrl },
      administratorHash: 'a'.repeat(64),
      timing: { balancerLagMs: 1 }
    }
  }

  async function fail (content: string | object, code: number, environment = {}): Promise<string> {
    const end = await folder.start(folder.write('settings.yaml', content), environment).end()
    assert.equal(end.code, code, end.errors)
    return end.errors
  }

  test.describe('mistakes in the settings', () => {
    test.it('are listed with file, path, expected and found', async () => {
      const settings = { ...await createAgent(), zone: 7, timing: { heartbeatMs: -1 }, colour: 'blue' }
      const lines = (await fail(settings, exitCodes.settings.code)).trim().split('\n')
      const file = `${folder.path}/settings.yaml`
      assert.deepEqual(new Set(lines), new Set([
        `${file}: at "zone": expected a value of type string, found 7.`,
        `${file}: at "timing.heartbeatMs": expected more than 0, found -1.`,
        `${file}: at "colour": expected no such option, found "colour".`
      ]))
    })

    test.it('include a session lease that a silent connection would outlast', async () => {
      const settings = { ...await createAgent(), timing: { heartbeatMs: 500, silenceMs: 800, sessionLeaseMs: 2_000 } }
      const errors = await fail(settings, exitCodes.settings.code)
      assert.match(errors, /at "timing.sessionLeaseMs": expected at least 2300, found 2000/)
    })

    test.it('name a role that does not exist', async () => {
      assert.match(await fail({ role: 'clerk' }, exitCodes.settings.code), /at "role": expected one of entry, agent, found "clerk"/)
    })

    test.it('name the file that cannot be read or is not YAML', async () => {
      assert.match(await fail('role: [', exitCodes.settings.code), /settings\.yaml" cannot be read: /)
      const { code, errors } = await folder.start(`${folder.path}/absent.yaml`).end()
      assert.equal(code, exitCodes.settings.code)
      assert.match(errors, /absent\.yaml" cannot be read: ENOENT/)
    })

    test.it('never show a credential', async () => {
      const settings = { ...await createAgent(), credential: 'env:SHORT' }
      const errors = await fail(settings, exitCodes.settings.code, { SHORT: 'tooshort' })
      assert.match(errors, /at "credential": expected at least 16 characters, found a text of 8 characters/)
      assert.equal(errors.includes('tooshort'), false)
    })

    test.it('name a certificate that cannot be read', async () => {
      const file = `${folder.path}/absent.pem`
      const settings = { ...await createAgent(), security: { authority: file, certificate: file, key: file } }
      assert.match(await fail(settings, exitCodes.settings.code), /absent\.pem" cannot be read: .*ENOENT/)
    })
  })

  test.describe('an address in use', () => {
    for (const name of ['control', 'health'] as const) {
      test.it(`ends an agent: ${name}`, async () => {
        const taken = await fixture.listen()
        const address = fixture.getAddress(taken)
        const errors = await fail({ ...await createAgent(), [name]: address }, exitCodes.address.code).finally(() => taken.close())
        assert.match(errors, new RegExp(`cannot start.*EADDRINUSE.*${address.port}|EADDRINUSE.*${address.port}.*cannot start`))
      })
    }
  })

  test.describe('SIGTERM', () => {
    test.it('drains an agent', async () => {
      const daemon = folder.start(folder.write('agent.yaml', await createAgent()))
      await daemon.untilLogged('agent started')
      daemon.child.kill('SIGTERM')
      const { code, errors } = await daemon.end()
      assert.equal(code, exitCodes.drained.code, errors)
      assert.match(errors, /draining/)
    })

    test.describe('of an entry', () => {
      let store: stores.Store
      let machines: machineLists.MachineList
      let settings: Record<string, unknown>
      test.beforeEach(async () => {
        store = new stores.Store()
        machines = new machineLists.MachineList()
        const storePort = await store.listen('127.0.0.1', 0)
        const machinesPort = await machines.listen('127.0.0.1', 0)
        settings = await createEntry(`http://127.0.0.1:${storePort}`, `http://127.0.0.1:${machinesPort}/vms`)
      })
      test.afterEach(async () => {
        await machines.close()
        await store.close()
      })

      async function start (): Promise<fixture.Daemon> {
        const daemon = folder.start(folder.write('entry.yaml', settings))
        await daemon.untilLogged('"ready"')
        return daemon
      }

      test.it('drains it', async () => {
        const daemon = await start()
        daemon.child.kill('SIGTERM')
        const { code, errors } = await daemon.end()
        assert.equal(code, exitCodes.drained.code, errors)
      })

      test.it('is not held up by a connection on which nothing was asked', async () => {
        const daemon = await start()
        const { host, port } = settings['administration'] as { readonly host: string, readonly port: number }
        const socket = net.connect(port, host)
        await events.EventEmitter.once(socket, 'connect')
        socket.write('GET /healthz HTTP/1.1\r\n')
        const closed = events.EventEmitter.once(socket, 'close')
        socket.on('error', () => {})
        daemon.child.kill('SIGTERM')
        await closed
        const { code, errors } = await daemon.end()
        assert.equal(code, exitCodes.drained.code, errors)
      })

      test.it('is an address in use when the administration listener cannot open', async () => {
        const taken = await fixture.listen()
        const errors = await fail({ ...settings, administration: fixture.getAddress(taken) }, exitCodes.address.code)
          .finally(() => taken.close())
        assert.match(errors, /EADDRINUSE/)
      })
    })
  })
})
