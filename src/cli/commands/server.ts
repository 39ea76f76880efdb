/**
 * `server`: the backend servers.
 */
import * as changeRequests from '../../configuration/change_request.js'
import * as commands from '../command.js'
import * as configuration from '../../contracts/configuration.js'
import * as failures from '../../contracts/failure.js'
import * as identities from '../../contracts/identity.js'
import * as named from './named_section.js'

const options: readonly commands.Option[] = [
  { name: 'role', value: 'role', kind: 'text', isRequired: true, choices: configuration.Server.shape.role.options, description: 'What the server does' },
  { name: 'zone', value: 'zone', kind: 'text', isRequired: true, description: 'Availability zone' },
  { name: 'agent', value: 'host:port', kind: 'text', isRequired: true, description: 'Control listener of the agent beside the server' },
  { name: 'region', value: 'region', kind: 'text', description: 'Region' },
  { name: 'model', value: 'name', kind: 'list', description: 'A model that the server serves' },
  { name: 'service', value: 'name', kind: 'list', description: 'A plain service that the server serves' },
  { name: 'slots', value: 'count', kind: 'number', description: 'Requests that the server works on at once' },
  { name: 'pieces', value: 'count', kind: 'number', description: 'Pieces of engine memory' },
  { name: 'prefill-rate', value: 'tokens', kind: 'number', description: 'Tokens prefilled a second' },
  { name: 'link-rate', value: 'bytes', kind: 'number', description: 'Rate of the link for KV cache, in bytes a second' },
  { name: 'checks-fencing', kind: 'flag', description: 'The server refuses orders with an old fencing number' }
]

/** Reads `host:port`; an address in IPv6 is in brackets. */
function parseAddress (text: string): failures.Result<identities.Address> {
  const match = /^\[?([^\]]+?)\]?:(\d{1,5})$/.exec(text)
  const parsed = identities.Address.safeParse({ host: match?.[1], port: Number(match?.[2]) })
  return parsed.success
    ? failures.succeed(parsed.data)
    : failures.fail(failures.createFailure('not_run', 'command_invalid', [`--agent: expected host:port, found "${text}"`]))
}

async function addServer (context: commands.Context, input: commands.Input): Promise<failures.Result<commands.Output>> {
  const agent = parseAddress(input.getText('agent') ?? '')
  if (agent.isLeft()) {
    return failures.fail(agent.swap().unsafeCoerce())
  }
  return named.create(context, 'servers', input.getArgument('name'), commands.omitUndefined({
    role: input.getText('role'),
    zone: input.getText('zone'),
    region: input.getText('region'),
    agent: agent.unsafeCoerce(),
    models: input.getList('model'),
    services: input.getList('service'),
    slots: input.getNumber('slots'),
    memoryPieces: input.getNumber('pieces'),
    prefillTokensPerSecond: input.getNumber('prefill-rate'),
    linkBytesPerSecond: input.getNumber('link-rate'),
    checksFencing: input.isSet('checks-fencing') ? true : undefined
  }))
}

export const serverCommands: readonly commands.Command[] = [
  {
    path: ['server', 'add'],
    summary: 'Add a backend server',
    arguments: [{ name: 'name', description: 'Name of the server' }],
    options,
    run: addServer
  },
  named.createListCommand('servers', 'server', [
    named.createColumn('ROLE', 'role'), named.createColumn('STATE', 'state'), named.createColumn('ZONE', 'zone'),
    named.createColumn('MODELS', 'models'), named.createColumn('SERVICES', 'services')
  ]),
  named.createShowCommand('servers', 'server'),
  named.createSetCommand('servers', 'server'),
  {
    path: ['server', 'leave'],
    summary: 'Mark a server as leaving: it gets no new work',
    arguments: [{ name: 'name', description: 'Name of the server' }],
    run: (context, input) => commands.withClient(
      context,
      client => client.call('POST', `${named.getPath('servers', input.getArgument('name'))}/leave`, changeRequests.Acceptance),
      named.describeAcceptance
    )
  },
  named.createDeleteCommand('servers', 'server', 'remove', 'Remove a server')
]
