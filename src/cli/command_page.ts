/**
 * The page docs/COMMANDS.md, made from the table of commands.
 */
import * as commands from './command.js'
import * as commonOptions from './common_option.js'
import * as exitCodes from './exit_code.js'
import * as tables from './table.js'

const introduction = `# Commands of the operators' tool

This page is made from the table of commands (\`npm run build && node dist/tools/write_command_page.js\`); a test fails when it
is out of date. \`mulberryflow <command> --help\` prints the same. The tool speaks to the administration API of any entry.

Without \`--json\` a command prints text for people; with it, JSON: the answer on standard output, or \`{"error": ...}\` on
standard error. A credential that was given to the tool is never printed; a new key or credential is shown once.
\`source <(mulberryflow completion)\` completes words and options in bash.
`

/** Returns the whole page. */
export function createCommandPage (): string {
  const parts = [introduction, '## Options of every command', '', ...describeOptions(commonOptions.commonOptions)]
  parts.push('', '## Exit codes', '', '| code | meaning |', '| --- | --- |')
  for (const { code, meaning } of Object.values(exitCodes.exitCodes)) {
    parts.push(`| ${code} | ${meaning} |`)
  }
  parts.push('', '## Commands')
  for (const command of tables.table) {
    parts.push('', ...describeCommand(command))
  }
  return `${parts.join('\n')}\n`
}

function describeCommand (command: commands.Command): readonly string[] {
  const names = (command.arguments ?? []).map(({ name }) => `<${name}>`)
  const lines = [`### \`mulberryflow ${[...command.path, ...names].join(' ')}\``, '', `${command.summary}.`]
  const rows = [
    ...(command.arguments ?? []).map(({ name, description }) => `- \`<${name}>\`: ${description}`),
    ...describeOptions(command.options ?? [])
  ]
  return rows.length === 0 ? lines : [...lines, '', ...rows]
}

function describeOptions (options: readonly commands.Option[]): readonly string[] {
  return options.map(option => {
    const value = option.kind === 'flag' ? '' : ` <${option.value ?? option.name}>`
    const notes = [
      ...(option.isRequired === true ? ['required'] : []),
      ...(option.kind === 'list' ? ['may be repeated'] : []),
      ...(option.choices === undefined ? [] : [option.choices.join(', ')])
    ]
    return `- \`--${option.name}${value}\`: ${option.description}${notes.length === 0 ? '' : ` (${notes.join('; ')})`}`
  })
}
