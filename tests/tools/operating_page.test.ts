import * as assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as test from 'node:test'
import * as apiFixture from '../administration/fixture.js'
import * as catalog from '../../src/metrics/catalog.js'
import * as diagnosticTable from '../../src/contracts/diagnostics.js'
import * as fixture from '../configuration/fixture.js'
import * as pages from '../../tools/operating_page.js'
import * as programs from '../../src/cli/program.js'
import * as terminals from '../../src/cli/terminal.js'

const page = fs.readFileSync(new URL('../../../docs/OPERATING.md', import.meta.url), 'utf8')

class PageTerminal extends terminals.Terminal {
  readonly lines: string[] = []
  private secrets = 0
  constructor (override readonly environment: Readonly<Record<string, string>>) {
    super()
  }

  override write (text: string): void { this.lines.push(text) }
  override writeError (text: string): void { this.lines.push(text) }
  override async readFile (path: string): Promise<string> {
    const files = [...page.matchAll(/```yaml\n(# (\S+)\n[^]*?)```/g)]
    return files.find(match => match[2] === path)?.[1] ?? assert.fail(`the page shows no ${path}`)
  }

  override async writeFile (): Promise<void> {}
  override createSecret (): string {
    this.secrets += 1
    return `secret-of-the-page-${this.secrets}`
  }

  override async sleep (): Promise<void> {}
}

function listCommands (): readonly string[] {
  const blocks = [...page.matchAll(/```sh\n([^]*?)```/g)].map(match => match[1] ?? '')
  return blocks.join('').split('\n').filter(line => line.startsWith('mulberryflow '))
}

test.describe('docs/OPERATING.md', () => {
  test.it('has the tables that the code makes', () => {
    assert.equal(pages.updatePage(page), page)
  })

  test.it('has commands that work, in their order', async () => {
    const api = await apiFixture.startApi(new fixture.Network().addEntry())
    const terminal = new PageTerminal({
      MULBERRYFLOW_URL: api.url,
      MULBERRYFLOW_CREDENTIAL: fixture.administratorCredential,
      DEPLOYMENT_CREDENTIAL: 'credential of the deployment'
    })
    try {
      assert.ok(listCommands().length > 0)
      for (const command of listCommands()) {
        const code = await programs.run(command.split(' ').slice(1), terminal)
        assert.equal(code, 0, `${command}\n${terminal.lines.join('\n')}`)
      }
    } finally {
      await api.close()
    }
  })

  test.it('names only metrics and codes that exist', () => {
    const names = [...page.matchAll(/mulberryflow_([a-z_]+)/g)].map(match => match[1] ?? '')
    assert.deepEqual(names.filter(name => !Object.hasOwn(catalog.metrics, name)), [])
    const alerts = page.slice(page.indexOf('Alerts to set'))
    const codes = [...alerts.matchAll(/`([a-z]+_[a-z_]+|internal)`/g)].map(match => match[1] ?? '')
    assert.deepEqual(codes.filter(code => !code.startsWith('mulberryflow_') && !Object.hasOwn(diagnosticTable.diagnostics, code)), [])
  })
})
