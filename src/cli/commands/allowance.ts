/**
 * `allowance`: what a workspace may use.
 */
import * as changeRequests from '../../configuration/change_request.js'
import * as commands from '../command.js'
import * as configuration from '../../contracts/configuration.js'
import * as named from './named_section.js'
import * as tables from '../text_table.js'
import * as workspaces from './workspace.js'

const workspaceArgument: commands.Argument = { name: 'workspace', description: 'Name of the workspace' }

function getPath (input: commands.Input): string {
  return `${named.getPath('workspaces', input.getArgument('workspace'))}/allowance`
}

export const allowanceCommands: readonly commands.Command[] = [
  {
    path: ['allowance', 'set'],
    summary: 'Change the allowance of a workspace',
    arguments: [workspaceArgument],
    options: workspaces.allowanceOptions,
    run: (context, input) => commands.withClient(
      context,
      client => client.call('PUT', getPath(input), changeRequests.Acceptance, { body: workspaces.readAllowance(input) }),
      named.describeAcceptance
    )
  },
  {
    path: ['allowance', 'show'],
    summary: 'Show the allowance of a workspace',
    arguments: [workspaceArgument],
    run: (context, input) => commands.withClient(
      context,
      client => client.call('GET', getPath(input), configuration.Allowance),
      ({ tokensPerSecond, burstTokens }) => tables.formatTable(
        ['WORKSPACE', 'TOKENS/S', 'BURST'], [[input.getArgument('workspace'), tokensPerSecond, burstTokens]]
      )
    )
  }
]
