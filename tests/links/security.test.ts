import * as assert from 'node:assert/strict'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as test from 'node:test'
import * as linkContexts from '../../src/links/link_context.js'
import * as failures from '../../src/contracts/failure.js'
import * as linkPools from '../../src/links/link_pool.js'
import * as listeners from '../../src/links/listener.js'
import * as nodeSystem from '../../src/host/node_system.js'
import * as traffics from '../../src/links/traffic.js'
import * as types from '../../src/links/types.js'

const timing: types.LinkTiming = {
  connectTimeoutMs: 5_000, heartbeatMs: 500, silenceMs: 5_000, sessionLeaseMs: 10_000, idleMs: 60_000, reconnectMs: 50, loadReportsPerSecond: 1
}

class StubPiggyback extends types.Piggyback {
  override stamp (): types.Stamp { return { tick: 1, version: 0 } }
  override accept (): void {}
}

/** A certificate authority that the openssl command creates in a folder. */
class CertificateAuthority {
  constructor (private readonly folder: string, private readonly name: string) {
    this.run('req', '-x509', '-newkey', 'ec', '-pkeyopt', 'ec_paramgen_curve:P-256', '-nodes', '-days', '1',
      '-subj', `/CN=${name}`, '-keyout', this.getFile('key'), '-out', this.getFile('pem'))
  }

  get certificate (): string {
    return fs.readFileSync(this.getFile('pem'), 'utf8')
  }

  issue (): types.Security {
    this.run('req', '-newkey', 'ec', '-pkeyopt', 'ec_paramgen_curve:P-256', '-nodes',
      '-subj', '/CN=process', '-keyout', this.getFile('process.key'), '-out', this.getFile('csr'))
    this.run('x509', '-req', '-days', '1', '-in', this.getFile('csr'), '-CA', this.getFile('pem'),
      '-CAkey', this.getFile('key'), '-CAcreateserial', '-out', this.getFile('process.pem'))
    return {
      authority: this.certificate,
      certificate: fs.readFileSync(this.getFile('process.pem'), 'utf8'),
      key: fs.readFileSync(this.getFile('process.key'), 'utf8')
    }
  }

  private getFile (kind: string): string {
    return path.join(this.folder, `${this.name}.${kind}`)
  }

  private run (...args: readonly string[]): void {
    childProcess.execFileSync('openssl', args, { stdio: 'pipe' })
  }
}

function createContext (node: string, security: types.Security | undefined, credential = 'a shared credential'): linkContexts.LinkContext {
  return {
    system: nodeSystem.createSilentSystem(),
    identity: { node, boot: 'b', role: 'entry', zone: 'z', region: 'r' },
    credential,
    timing,
    piggyback: new StubPiggyback(),
    traffic: new traffics.Traffic(),
    security
  }
}

test.describe('Mutual TLS between processes', { timeout: 60_000 }, () => {
  let folder: string
  let own: CertificateAuthority
  let other: CertificateAuthority
  let listener: listeners.Listener
  let calls: number
  let address: { readonly host: string, readonly port: number }
  test.before(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), 'mulberryflow-tls-'))
    own = new CertificateAuthority(folder, 'own')
    other = new CertificateAuthority(folder, 'other')
  })
  test.after(() => fs.rmSync(folder, { recursive: true }))
  test.beforeEach(async () => {
    calls = 0
    const handlers: types.Handlers = {
      'timeline.read': async () => {
        calls += 1
        return failures.succeed({ events: [] })
      }
    }
    listener = new listeners.Listener(createContext('listener', own.issue()), handlers, new types.SessionObserver())
    address = await listener.listen({ host: '127.0.0.1', port: 0 })
  })
  test.afterEach(() => listener.close())

  async function call (context: linkContexts.LinkContext, to = address): Promise<failures.Result<unknown>> {
    const pool = linkPools.createLinkPool(context)
    const result = await pool.get(to).call('timeline.read', { limit: 1 }, 5_000)
    pool.close()
    return result
  }

  async function expectRefusal (context: linkContexts.LinkContext): Promise<failures.Failure> {
    const failure = (await call(context)).swap().unsafeCoerce()
    assert.equal(failure.verdict, 'not_run')
    assert.equal(calls, 0)
    return failure
  }

  test.it('accepts calls of a process with a certificate of the deployment', async () => {
    const result = await call(createContext('client', own.issue()))
    assert.deepEqual(result.extract(), { events: [] })
  })

  test.it('accepts certificates of two authorities during a change of authority', async () => {
    const authority = own.certificate + other.certificate
    const handlers: types.Handlers = { 'timeline.read': async () => failures.succeed({ events: [] }) }
    const context = createContext('listener', { ...own.issue(), authority })
    const changing = new listeners.Listener(context, handlers, new types.SessionObserver())
    const to = await changing.listen({ host: '127.0.0.1', port: 0 })
    const result = await call(createContext('client', { ...other.issue(), authority }), to)
    changing.close()
    assert.deepEqual(result.extract(), { events: [] })
  })

  test.it('refuses a certificate of another authority', async () => {
    await expectRefusal(createContext('client', { ...other.issue(), authority: own.certificate }))
  })

  test.it('refuses a client without a certificate', async () => {
    await expectRefusal(createContext('client', { authority: own.certificate, certificate: '', key: '' }))
  })

  test.it('refuses a client without TLS', async () => {
    await expectRefusal(createContext('client', undefined))
  })

  test.it('refuses to connect to a listener of another authority', async () => {
    await expectRefusal(createContext('client', other.issue()))
  })

  test.it('still requires the credential of the deployment', async () => {
    const failure = await expectRefusal(createContext('client', own.issue(), 'another credential'))
    assert.equal(failure.code, 'credential_invalid')
  })
})
