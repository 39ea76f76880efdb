/**
 * What the commands for workspaces, servers, services, models and teams share.
 */
import * as yaml from 'yaml'
import * as answers from '../../administration/answers.js'
import * as changeRequests from '../../configuration/change_request.js'
import * as clients from '../client.js'
import * as commands from '../command.js'
import * as configuration from '../../contracts/configuration.js'
import * as documents from '../../configuration/document.js'
import * as failures from '../../contracts/failure.js'
import * as tables from '../text_table.js'

export type Kind = 'workspaces' | 'models' | 'servers' | 'services' | 'teams'

/** A column of the list: heading and cell. */
export interface Column {
  readonly heading: string
  readonly cell: (body: Readonly<Record<string, unknown>>) => tables.Cell
}

export function getPath (kind: Kind, name: string): string {
  return `/admin/v1/${kind}/${encodeURIComponent(name)}`
}

export function describeAcceptance ({ version, sections, repeated }: changeRequests.Acceptance): string {
  const names = sections.map(section => `${section.name}@${section.version}`).join(', ')
  return `${repeated ? 'Changed before' : 'Changed'}: ${names} (configuration version ${version})`
}

/** Puts a section, replacing the current one. */
export function put (
  context: commands.Context, kind: Kind, name: string, body: unknown
): Promise<failures.Result<commands.Output>> {
  return commands.withClient(
    context, client => client.call('PUT', getPath(kind, name), changeRequests.Acceptance, { body }), describeAcceptance
  )
}

/** Creates a section that must not exist yet. */
export function create (
  context: commands.Context, kind: Kind, name: string, body: unknown
): Promise<failures.Result<commands.Output>> {
  return commands.withClient(
    context,
    client => client.call('PUT', getPath(kind, name), changeRequests.Acceptance, { body, version: 0 }),
    describeAcceptance
  )
}

export function createListCommand (kind: Kind, word: string, columns: readonly Column[]): commands.Command {
  return {
    path: [word, 'list'],
    summary: `List the ${kind}`,
    run: context => commands.withClient(context, client => list(client, kind), ({ sections }) => {
      const rows = sections.map(({ name, owner, version, body }) => [
        documents.getLocalName(name), ...columns.map(column => column.cell(asRecord(body))), owner, version
      ])
      return tables.formatTable([word.toUpperCase(), ...columns.map(column => column.heading), 'OWNER', 'VERSION'], rows)
    })
  }
}

export function createShowCommand (kind: Kind, word: string): commands.Command {
  return {
    path: [word, 'show'],
    summary: `Show a ${word}`,
    arguments: [{ name: 'name', description: `Name of the ${word}` }],
    run: (context, input) => commands.withClient(
      context,
      client => client.call('GET', getPath(kind, input.getArgument('name')), answers.SectionAnswer),
      section => yaml.stringify(section).trimEnd()
    )
  }
}

export function createDeleteCommand (kind: Kind, word: string, verb: string, summary: string): commands.Command {
  return {
    path: [word, verb],
    summary,
    arguments: [{ name: 'name', description: `Name of the ${word}` }],
    run: (context, input) => commands.withClient(
      context,
      client => client.call('DELETE', getPath(kind, input.getArgument('name')), changeRequests.Acceptance),
      describeAcceptance
    )
  }
}

/** `set`: the section's body from a YAML file. */
export function createSetCommand (kind: Kind, word: string): commands.Command {
  return {
    path: [word, 'set'],
    summary: `Create or replace a ${word} from a YAML file`,
    arguments: [
      { name: 'name', description: `Name of the ${word}` },
      { name: 'file', description: 'YAML file with the body; "-" for standard input' }
    ],
    run: async (context, input) => {
      const read = await readYaml(context, input.getArgument('file'))
      return read.isLeft()
        ? failures.fail(read.swap().unsafeCoerce())
        : put(context, kind, input.getArgument('name'), read.unsafeCoerce())
    }
  }
}

/** Reads a YAML file of one document. */
export async function readYaml (context: commands.Context, path: string): Promise<failures.Result<unknown>> {
  try {
    return failures.succeed(yaml.parse(await context.terminal.readFile(path)))
  } catch (error) {
    return failures.fail(failures.createFailure('not_run', 'body_malformed', [error instanceof Error ? error.message : path]))
  }
}

function list (client: clients.Client, kind: configuration.SectionKind): Promise<failures.Result<{ sections: answers.SectionAnswer[] }>> {
  return client.call('GET', `/admin/v1/${kind}`, answers.SectionBodies)
}

function asRecord (body: unknown): Readonly<Record<string, unknown>> {
  return typeof body === 'object' && body !== null ? body as Record<string, unknown> : {}
}

/** Returns a cell for a member; lists are joined, what is left out is `standard`. */
export function createColumn (heading: string, member: string, standard = ''): Column {
  return {
    heading,
    cell: body => {
      const value = body[member]
      if (Array.isArray(value)) {
        return value.join(',')
      }
      return typeof value === 'number' || typeof value === 'string' || typeof value === 'boolean' ? value : standard
    }
  }
}
