import * as assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as test from 'node:test'
import * as commandPages from '../../src/cli/command_page.js'
import * as apiFixture from '../administration/fixture.js'
import * as fixture from '../configuration/fixture.js'
import * as programs from '../../src/cli/program.js'
import * as terminals from '../../src/cli/terminal.js'

class PageTerminal extends terminals.Terminal {
  readonly lines: string[] = []
  override readonly environment = { MULBERRYFLOW_CREDENTIAL: fixture.administratorCredential }
  constructor (private readonly text: string) {
    super()
  }

  override write (text: string): void { this.lines.push(text) }
  override writeError (text: string): void { this.lines.push(text) }
  override async readFile (): Promise<string> { return this.text }
  override async writeFile (): Promise<void> {}
  override createSecret (): string { return 'operation' }
  override async sleep (): Promise<void> {}
}

test.describe('docs/COMMANDS.md', () => {
  test.it('is what the table of commands makes', () => {
    const page = fs.readFileSync(new URL('../../../docs/COMMANDS.md', import.meta.url), 'utf8')
    assert.equal(page, commandPages.createCommandPage())
  })
})

test.describe('docs/CONFIGURATION.md', () => {
  test.it('has examples that the tool accepts as one change', async () => {
    const page = fs.readFileSync(new URL('../../../docs/CONFIGURATION.md', import.meta.url), 'utf8')
    const examples = [...page.matchAll(/```yaml\n([^]*?)```/g)].map(match => match[1] ?? '')
    const api = await apiFixture.startApi(new fixture.Network().addEntry())
    try {
      const terminal = new PageTerminal(examples.join('---\n'))
      const code = await programs.run(['config', 'set', 'page.yaml', '--url', api.url], terminal)
      assert.equal(code, 0, terminal.lines.join('\n'))
      assert.equal(api.entry.replica.document.listSections().length, 8)
    } finally {
      await api.close()
    }
  })
})
