/**
 * The tables of docs/OPERATING.md, made from the tables of the code. The text between them is written by hand.
 */
import * as catalog from '../src/metrics/catalog.js'
import * as cliExitCodes from '../src/cli/exit_code.js'
import * as codeAdvice from './code_advice.js'
import * as daemonExitCodes from '../src/daemon/exit_code.js'
import * as exitCodes from '../src/contracts/exit_code.js'
import * as settingsTables from '../src/configuration/settings_table.js'

const tables: Readonly<Record<string, () => readonly string[]>> = {
  'settings-entry': () => listSettings('entry'),
  'settings-agent': () => listSettings('agent'),
  'exit-codes-daemon': () => listExitCodes(daemonExitCodes.exitCodes),
  'exit-codes-tool': () => listExitCodes(cliExitCodes.exitCodes),
  metrics: listMetrics,
  codes: codeAdvice.listAdvice
}

/** Returns the page with its tables made anew: each stands between `<!-- name -->` and `<!-- /name -->`. */
export function updatePage (page: string): string {
  let updated = page
  for (const [name, createTable] of Object.entries(tables)) {
    const pattern = new RegExp(`(<!-- ${name} -->\\n)[^]*?(<!-- /${name} -->)`)
    if (!pattern.test(updated)) {
      throw new Error(`The page has no place for the table "${name}"`)
    }
    const table = createTable().join('\n')
    updated = updated.replace(pattern, (_, start: string, end: string) => `${start}\n${table}\n\n${end}`)
  }
  return updated
}

function listSettings (role: 'entry' | 'agent'): readonly string[] {
  const lines = ['| option | type | standard | |', '| --- | --- | --- | --- |']
  for (const { path, type, standard, isRequired, description } of settingsTables.listOptions(role)) {
    const value = standard === undefined ? '' : `\`${JSON.stringify(standard)}\``
    lines.push(`| \`${path}\` | ${type.replaceAll('|', '\\|')} | ${isRequired ? 'required' : value} | ${description} |`)
  }
  return lines
}

function listExitCodes (codes: Readonly<Record<string, exitCodes.ExitCode>>): readonly string[] {
  const rows = Object.values(codes).map(({ code, meaning }) => `| ${code} | ${meaning} |`)
  return ['| code | meaning |', '| --- | --- |', ...rows]
}

function listMetrics (): readonly string[] {
  const lines = ['| metric | kind | labels | |', '| --- | --- | --- | --- |']
  for (const [name, { kind, labels, help }] of Object.entries(catalog.metrics)) {
    lines.push(`| \`mulberryflow_${name}\` | ${kind} | ${labels.join(', ')} | ${help} |`)
  }
  return lines
}
