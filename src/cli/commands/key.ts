/**
 * `key`: the keys of a workspace. A new key is made here; only its hash leaves the tool.
 */
import * as answers from '../../administration/answers.js'
import * as changeRequests from '../../configuration/change_request.js'
import * as commands from '../command.js'
import * as credentials from '../../configuration/credentials.js'
import * as failures from '../../contracts/failure.js'
import * as named from './named_section.js'
import * as tables from '../text_table.js'

const workspaceArgument: commands.Argument = { name: 'workspace', description: 'Name of the workspace' }

function getPath (input: commands.Input): string {
  return `${named.getPath('workspaces', input.getArgument('workspace'))}/keys`
}

async function createKey (context: commands.Context, input: commands.Input): Promise<failures.Result<commands.Output>> {
  const key = `mfk_${context.terminal.createSecret()}`
  const body = commands.omitUndefined({
    id: input.getText('id'), label: input.getText('label'), hash: credentials.hashSecret(key)
  })
  const output = await commands.withClient(
    context, client => client.call('POST', getPath(input), answers.NewKey, { body }), () => ''
  )
  return output.map(({ json }) => {
    const { id, version, repeated } = answers.NewKey.parse(json)
    return {
      json: { id, key, version, repeated },
      text: `${tables.formatTable(['ID', 'KEY'], [[id, key]])}\nThe key is not shown again.`
    }
  })
}

function formatTime (ms: number | undefined): string {
  return ms === undefined ? '' : new Date(ms).toISOString()
}

export const keyCommands: readonly commands.Command[] = [
  {
    path: ['key', 'create'],
    summary: 'Give a workspace a key, which is shown once',
    uncertainHint: 'If "key list" shows a new key, withdraw it and create another.',
    arguments: [workspaceArgument],
    options: [
      { name: 'id', value: 'name', kind: 'text', description: 'Identifier of the key within the workspace' },
      { name: 'label', value: 'text', kind: 'text', description: 'Note for people' }
    ],
    run: createKey
  },
  {
    path: ['key', 'list'],
    summary: 'List the keys of a workspace',
    arguments: [workspaceArgument],
    run: (context, input) => commands.withClient(
      context,
      client => client.call('GET', getPath(input), answers.KeyList),
      ({ keys }) => tables.formatTable(['ID', 'STATE', 'CREATED', 'WITHDRAWN', 'LABEL'], keys.map(key => [
        key.id, key.withdrawnAtMs === undefined ? 'valid' : 'withdrawn',
        formatTime(key.createdAtMs), formatTime(key.withdrawnAtMs), key.label
      ]))
    )
  },
  {
    path: ['key', 'withdraw'],
    summary: 'Withdraw a key, for good',
    arguments: [workspaceArgument, { name: 'id', description: 'Identifier of the key' }],
    run: (context, input) => commands.withClient(
      context,
      client => client.call('DELETE', `${getPath(input)}/${encodeURIComponent(input.getArgument('id'))}`, changeRequests.Acceptance),
      named.describeAcceptance
    )
  }
]
