/**
 * `team`: who may change which sections. A new credential is made here; only its hash leaves the tool.
 */
import * as commands from '../command.js'
import * as credentials from '../../configuration/credentials.js'
import * as failures from '../../contracts/failure.js'
import * as named from './named_section.js'
import * as tables from '../text_table.js'

async function createTeam (context: commands.Context, input: commands.Input): Promise<failures.Result<commands.Output>> {
  const credential = input.getText('hash') === undefined ? `mft_${context.terminal.createSecret()}` : undefined
  const name = input.getArgument('name')
  const output = await named.create(context, 'teams', name, {
    credentialHash: input.getText('hash') ?? credentials.hashSecret(credential ?? ''),
    sections: input.getList('section')
  })
  if (credential === undefined) {
    return output
  }
  return output.map(({ json }) => ({
    json: { ...(json as object), team: name, credential },
    text: `${tables.formatTable(['TEAM', 'CREDENTIAL'], [[name, credential]])}\nThe credential is not shown again.`
  }))
}

export const teamCommands: readonly commands.Command[] = [
  {
    path: ['team', 'create'],
    summary: 'Create a team; its new credential is shown once',
    uncertainHint: 'If "team list" shows the team, delete it and create it again.',
    arguments: [{ name: 'name', description: 'Name of the team' }],
    options: [
      { name: 'section', value: 'pattern', kind: 'list', isRequired: true, description: 'Section that the team may change, or prefix ending in "*"' },
      { name: 'hash', value: 'sha256', kind: 'text', description: 'SHA-256 of a credential that exists already' }
    ],
    run: createTeam
  },
  named.createListCommand('teams', 'team', [named.createColumn('SECTIONS', 'sections')]),
  named.createShowCommand('teams', 'team'),
  named.createDeleteCommand('teams', 'team', 'delete', 'Delete a team')
]
