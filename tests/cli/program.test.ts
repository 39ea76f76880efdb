import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as apiFixture from '../administration/fixture.js'
import * as completions from '../../src/cli/commands/completion.js'
import * as credentials from '../../src/configuration/credentials.js'
import * as fixture from '../configuration/fixture.js'
import * as http from 'node:http'
import * as events from 'node:events'
import * as net from 'node:net'
import * as programs from '../../src/cli/program.js'
import * as tables from '../../src/cli/table.js'
import * as terminals from '../../src/cli/terminal.js'

class FakeTerminal extends terminals.Terminal {
  readonly out: string[] = []
  readonly errors: string[] = []
  readonly files = new Map<string, string>()
  private secrets = 0

  constructor (override readonly environment: Readonly<Record<string, string | undefined>>) {
    super()
  }

  override write (text: string): void { this.out.push(text) }
  override writeError (text: string): void { this.errors.push(text) }
  override async readFile (path: string): Promise<string> {
    const text = this.files.get(path)
    if (text === undefined) {
      throw new Error(`no such file: ${path}`)
    }
    return text
  }

  override async writeFile (path: string, text: string): Promise<void> { this.files.set(path, text) }
  override createSecret (): string {
    this.secrets += 1
    return `secret-${this.secrets}`
  }

  override async sleep (): Promise<void> {}
}

test.describe('mulberryflow', () => {
  let api: apiFixture.Api
  let terminal: FakeTerminal
  test.beforeEach(async () => {
    api = await apiFixture.startApi(new fixture.Network().addEntry())
    terminal = new FakeTerminal({ MULBERRYFLOW_URL: api.url, MULBERRYFLOW_CREDENTIAL: fixture.administratorCredential })
  })
  test.afterEach(() => api.close())

  async function run (line: string, exitCode = 0): Promise<string> {
    terminal.out.length = 0
    terminal.errors.length = 0
    const code = await programs.run(line.split(' '), terminal)
    assert.equal(code, exitCode, [...terminal.out, ...terminal.errors].join('\n'))
    const text = [...terminal.out, ...terminal.errors].join('\n')
    assert.equal(text.includes(fixture.administratorCredential), false, 'a credential was printed')
    return text
  }

  const document = (): fixture.Process['replica']['document'] => api.entry.replica.document

  test.describe('workspace, key and allowance', () => {
    test.it('create, list, show and change', async () => {
      await run('workspace create acme --rate 100 --burst 1000 --title Acme')
      assert.match(await run('workspace list'), /^WORKSPACE.*\nacme +100 +1000 +all +Acme +root +1$/)
      await run('allowance set acme --rate 5 --burst 6')
      assert.match(await run('allowance show acme'), /acme +5 +6/)
      assert.match(await run('workspace show acme'), /tokensPerSecond: 5/)
      await run('workspace create acme --rate 1 --burst 1', 5)
      await run('workspace delete acme')
      await run('workspace show acme', 6)
    })

    test.it('show a key once and withdraw it', async () => {
      await run('workspace create acme --rate 100 --burst 1000')
      const { id, key } = JSON.parse(await run('key create acme --label first --json'))
      assert.equal(document().findKey(credentials.hashSecret(key))?.workspace, 'acme')
      assert.match(await run('key list acme'), new RegExp(`${id} +valid .*first`))
      await run(`key withdraw acme ${id}`)
      const list = await run('key list acme')
      assert.match(list, /withdrawn/)
      assert.equal(list.includes(key), false)
    })
  })

  test.describe('server, service, model and team', () => {
    test.it('are made from options and files', async () => {
      await run('model create draft --output-tokens 100')
      await run('server add s1 --role decode --zone a --agent 127.0.0.1:9001 --model draft --pieces 160 --checks-fencing')
      assert.deepEqual(document().getServer('s1')?.agent, { host: '127.0.0.1', port: 9001 })
      assert.equal(document().getServer('s1')?.checksFencing, true)
      await run('server leave s1')
      assert.match(await run('server list'), /s1 +decode +leaving +a +draft/)
      terminal.files.set('filing.yaml', 'routes:\n  - prefix: /reports\n    methods: [GET, POST]\n    idempotent: false\n')
      await run('service set filing filing.yaml')
      assert.match(await run('service list'), /filing +\/reports/)
      await run('model delete draft', 3)
      await run('server remove s1')
      await run('model delete draft')
      await run('server add s1 --role decode --zone a --agent nowhere', 2)
      await run('server add s1 --role queen --zone a --agent 127.0.0.1:1', 2)
    })

    test.it('let a team work with its credential only on its own sections', async () => {
      const { credential } = JSON.parse(await run('team create drafting --section workspaces/draft-* --json'))
      await run(`workspace create draft-a --rate 1 --burst 1 --credential ${credential}`)
      const refused = await run(`workspace create other --rate 1 --burst 1 --credential ${credential}`, 4)
      assert.match(refused, /may not change/)
      assert.equal(refused.includes(credential), false)
      await run('workspace list --credential wrong', 4)
    })
  })

  test.describe('config', () => {
    test.it('takes sections out as YAML and in again, as a whole', async () => {
      await run('workspace create acme --rate 100 --burst 1000')
      await run('config get workspaces/acme --output a.yaml')
      const text = terminal.files.get('a.yaml') ?? ''
      assert.match(text, /^section: workspaces\/acme\nowner: root\nversion: 1\n/)
      terminal.files.set('a.yaml', `${text.replace('burstTokens: 1000', 'burstTokens: 2000')}---\nsection: models/m\nversion: 0\nbody: {}\n`)
      assert.match(await run('config diff workspaces/acme --file a.yaml'), /allowance.burstTokens:\n {2}- 1000\n {2}\+ 2000/)
      await run('config set a.yaml')
      assert.notEqual(document().getModel('m'), undefined)
      assert.match(await run('config diff workspaces/acme --from 1'), /burstTokens/)
      assert.match(await run('config history workspaces/acme'), /2 +2 .*root .*allowance.burstTokens/)
      assert.match(await run('config list --prefix work'), /workspaces\/acme +root +2$/)
      assert.match(await run('config set a.yaml', 5), /workspaces\/acme@2 by root: allowance.burstTokens: 1000 -> 2000/)
      terminal.files.set('gone.yaml', 'section: models/m\nversion: 1\ndelete: true\n')
      await run('config set gone.yaml')
      assert.equal(document().getModel('m'), undefined)
    })

    test.it('lists every mistake', async () => {
      terminal.files.set('bad.yaml', 'section: workspaces/a\nversion: 0\nbody: {allowance: {tokensPerSecond: -1}}\n')
      const text = await run('config set bad.yaml', 3)
      assert.match(text, /at allowance.tokensPerSecond/)
      assert.match(text, /at allowance.burstTokens/)
      terminal.files.set('bad.yaml', 'section: [\n')
      await run('config set bad.yaml', 3)
      await run('config set missing.yaml', 3)
    })
  })

  test.describe('status and timeline', () => {
    test.it('show processes and events', async () => {
      assert.match(await run('status'), /entry-1 +entry +a +ready +0 +0 +requests=2/)
      assert.match(await run('timeline --request r1'), /request.received/)
      await run('timeline --html t.html')
      assert.match(terminal.files.get('t.html') ?? '', /<html/)
    })
  })

  test.describe('settings', () => {
    const valid = [
      'role: agent', 'node: a1', 'zone: z', 'control: {host: 127.0.0.1, port: 1}', 'health: {host: 127.0.0.1, port: 2}',
      'credential: env:SECRET', 'server: s1', 'backend: {kind: engine, url: "http://127.0.0.1:3", role: decode}'
    ].join('\n')

    test.it('are checked without showing the credential', async () => {
      terminal = new FakeTerminal({ SECRET: 'a-secret-of-the-deployment' })
      terminal.files.set('s.yaml', valid)
      assert.match(await run('settings check s.yaml'), /valid settings of agent "a1"/)
      terminal.files.set('s.yaml', valid.replace('env:SECRET', 'shortsecret'))
      const text = await run('settings check s.yaml', 9)
      assert.match(text, /s.yaml: at "credential": expected at least 16 characters, found a text of 11 characters/)
      assert.equal(text.includes('shortsecret'), false)
    })

    test.it('name file, path, expected and found of every mistake', async () => {
      terminal.files.set('s.yaml', valid.replace('port: 2', 'port: x').replace('zone: z', 'gnome: z').replace('kind: engine', 'kind: motor'))
      assert.deepEqual((await run('settings check s.yaml', 9)).split('\n').sort(), [
        's.yaml: at "backend.kind": expected one of engine, service, found "motor".',
        's.yaml: at "credential": expected a value of type string, found nothing.',
        's.yaml: at "gnome": expected no such option, found "gnome".',
        's.yaml: at "health.port": expected a value of type number, found "x".',
        's.yaml: at "zone": expected a value of type string, found nothing.'
      ])
    })

    test.it('are explained from their schemas', async () => {
      assert.match(await run('settings explain --role agent'), /backend\.slots +integer +20 +Requests that the server works on at once/)
    })
  })

  test.describe('exit codes', () => {
    test.it('tell usage, missing credential and an API that is away', async () => {
      await run('workspace create', 2)
      await run('workspace create a --rate x --burst 1', 2)
      await run('gardens', 2)
      terminal = new FakeTerminal({ MULBERRYFLOW_URL: api.url })
      await run('status', 4)
      const server = net.createServer().listen(0, '127.0.0.1')
      await events.EventEmitter.once(server, 'listening')
      const { port } = server.address() as net.AddressInfo
      server.close()
      await events.EventEmitter.once(server, 'close')
      terminal = new FakeTerminal({ MULBERRYFLOW_URL: `http://127.0.0.1:${port}`, MULBERRYFLOW_CREDENTIAL: 'c' })
      await run('status', 7)
    })

    test.it('settle a call whose answer is lost by repeating its operation', async () => {
      let lost = 1
      const proxy = http.createServer((request, response) => {
        request.pipe(http.request(api.url + (request.url ?? ''), { method: request.method, headers: request.headers }, answer => {
          if (lost > 0) {
            lost -= 1
            request.socket.destroy()
            answer.resume()
            return
          }
          response.writeHead(answer.statusCode ?? 0, answer.headers)
          answer.pipe(response)
        }))
      }).listen(0, '127.0.0.1')
      await events.EventEmitter.once(proxy, 'listening')
      const url = `http://127.0.0.1:${(proxy.address() as net.AddressInfo).port}`
      try {
        assert.match(await run(`workspace create a --rate 1 --burst 1 --url ${url}`), /Changed before: workspaces\/a@1/)
        lost = 10
        assert.match(await run(`workspace create b --rate 1 --burst 1 --url ${url}`, 8), /--operation secret-2/)
        assert.match(await run('workspace create b --rate 1 --burst 1 --operation secret-2'), /Changed before/)
        assert.equal(api.entry.replica.version, 2)
      } finally {
        proxy.closeAllConnections()
        proxy.close()
      }
    })
  })

  test.describe('completion', () => {
    test.it('knows every command', () => {
      const script = completions.createBashScript(tables.table)
      for (const { path } of tables.table) {
        assert.equal(script.includes(`"${path.join(' ')}") words="`), true, path.join(' '))
      }
    })
  })
})
