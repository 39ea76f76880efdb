/**
 * `workspace`: the tenants.
 */
import * as commands from '../command.js'
import * as configuration from '../../contracts/configuration.js'
import * as named from './named_section.js'

/** Options of an allowance, in tokens. */
export const allowanceOptions: readonly commands.Option[] = [
  { name: 'rate', value: 'tokens', kind: 'number', isRequired: true, description: 'Tokens per second across all VMs' },
  { name: 'burst', value: 'tokens', kind: 'number', isRequired: true, description: 'Tokens that may be used at once' }
]

export function readAllowance (input: commands.Input): Readonly<Record<string, number | undefined>> {
  return { tokensPerSecond: input.getNumber('rate'), burstTokens: input.getNumber('burst') }
}

function getAllowance (body: Readonly<Record<string, unknown>>): configuration.Allowance | undefined {
  return configuration.Allowance.safeParse(body.allowance).data
}

export const workspaceCommands: readonly commands.Command[] = [
  {
    path: ['workspace', 'create'],
    summary: 'Create a workspace',
    arguments: [{ name: 'name', description: 'Name of the workspace' }],
    options: [
      ...allowanceOptions,
      { name: 'title', value: 'text', kind: 'text', description: 'Title for people' },
      { name: 'model', value: 'name', kind: 'list', description: 'A model that the workspace may use; all if left out' },
      { name: 'service', value: 'name', kind: 'list', description: 'A plain service that it may use; all if left out' }
    ],
    run: (context, input) => named.create(context, 'workspaces', input.getArgument('name'), commands.omitUndefined({
      title: input.getText('title'),
      allowance: readAllowance(input),
      models: input.getList('model'),
      services: input.getList('service')
    }))
  },
  named.createListCommand('workspaces', 'workspace', [
    { heading: 'TOKENS/S', cell: body => getAllowance(body)?.tokensPerSecond },
    { heading: 'BURST', cell: body => getAllowance(body)?.burstTokens },
    named.createColumn('MODELS', 'models', 'all'),
    named.createColumn('TITLE', 'title')
  ]),
  named.createShowCommand('workspaces', 'workspace'),
  named.createDeleteCommand('workspaces', 'workspace', 'delete', 'Delete a workspace and its keys')
]
