/**
 * `settings`: the settings files of the daemon.
 */
import * as commands from '../command.js'
import * as failures from '../../contracts/failure.js'
import * as identities from '../../contracts/identity.js'
import * as settingsFiles from '../../configuration/settings_file.js'
import * as settingsTables from '../../configuration/settings_table.js'
import * as tables from '../text_table.js'

async function checkSettings (context: commands.Context, input: commands.Input): Promise<failures.Result<commands.Output>> {
  const path = input.getArgument('file')
  let text: string
  try {
    text = await context.terminal.readFile(path)
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error)
    return failures.fail(failures.createFailure('not_run', 'settings_unreadable', [path, reason]))
  }
  const parsed = settingsFiles.parseSettings(path, text, context.terminal.environment)
  return parsed.map(({ role, node }) => ({ json: { file: path, role, node, valid: true }, text: `${path}: valid settings of ${role} "${node}"` }))
}

async function explainSettings (_context: commands.Context, input: commands.Input): Promise<failures.Result<commands.Output>> {
  const roles = input.getText('role') === undefined ? identities.Role.options : [identities.Role.parse(input.getText('role'))]
  const listed = roles.map(role => ({ role, options: settingsTables.listOptions(role) }))
  const text = listed.map(({ role, options }) => {
    const rows = options.map(({ path, type, standard, isRequired, description }) => [
      path, type, isRequired ? '(required)' : formatStandard(standard), description
    ])
    return `${role}:\n${tables.formatTable(['OPTION', 'TYPE', 'STANDARD', 'DESCRIPTION'], rows)}`
  })
  return failures.succeed({ json: listed, text: text.join('\n\n') })
}

function formatStandard (standard: unknown): string {
  return standard === undefined ? '' : JSON.stringify(standard)
}

export const settingsCommands: readonly commands.Command[] = [
  {
    path: ['settings', 'check'],
    summary: 'Check a settings file of the daemon',
    arguments: [{ name: 'file', description: 'YAML file; "-" for standard input' }],
    run: checkSettings
  },
  {
    path: ['settings', 'explain'],
    summary: 'List the options of the settings file',
    options: [{ name: 'role', value: 'role', kind: 'text', choices: identities.Role.options, description: 'Only those of one role' }],
    run: explainSettings
  }
]
