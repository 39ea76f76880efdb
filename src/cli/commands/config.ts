/**
 * `config`: the sections of the configuration as YAML files.
 */
import * as yaml from 'yaml'
import * as z from 'zod'
import * as answers from '../../administration/answers.js'
import * as changeRequests from '../../configuration/change_request.js'
import * as clients from '../client.js'
import * as commands from '../command.js'
import * as differences from '../../configuration/difference.js'
import * as failures from '../../contracts/failure.js'
import * as named from './named_section.js'
import * as tables from '../text_table.js'

const sectionArgument: commands.Argument = { name: 'section', description: 'Name of the section, as in workspaces/a' }

/** One section in a file. The owner is for reading only. */
const SectionFile = z.strictObject({
  section: z.string().min(1),
  owner: z.string().optional(),
  /** Version that the body is made from; 0 for a new section. */
  version: z.number().int().nonnegative(),
  body: z.unknown().optional(),
  delete: z.literal(true).optional()
})
type SectionFile = z.infer<typeof SectionFile>

function getPath (section: string): string {
  return `/admin/v1/sections/${section.split('/').map(encodeURIComponent).join('/')}`
}

function formatSection ({ name, owner, version, body }: answers.SectionAnswer): string {
  return yaml.stringify({ section: name, owner, version, body }).trimEnd()
}

async function getSection (context: commands.Context, input: commands.Input): Promise<failures.Result<commands.Output>> {
  const output = await commands.withClient(
    context, client => client.call('GET', getPath(input.getArgument('section')), answers.SectionAnswer), formatSection
  )
  const file = input.getText('output')
  if (file === undefined || output.isLeft()) {
    return output
  }
  const { json, text } = output.unsafeCoerce()
  await context.terminal.writeFile(file, `${text}\n`)
  return failures.succeed({ json, text: `Written to ${file}` })
}

/** Reads the sections of a file: one YAML document each. */
async function readSections (context: commands.Context, path: string): Promise<failures.Result<readonly SectionFile[]>> {
  let text: string
  try {
    text = await context.terminal.readFile(path)
  } catch (error) {
    return failMalformed(error instanceof Error ? error.message : path)
  }
  const sections: SectionFile[] = []
  for (const [index, document] of yaml.parseAllDocuments(text).entries()) {
    const [error] = document.errors
    if (error !== undefined) {
      return failMalformed(error.message)
    }
    const parsed = SectionFile.safeParse(document.toJS())
    if (!parsed.success) {
      const details = `${path}, document ${index + 1}: ${z.prettifyError(parsed.error)}`
      return failures.fail(failures.createFailure('not_run', 'body_invalid', [details]))
    }
    sections.push(parsed.data)
  }
  return failures.succeed(sections)
}

function failMalformed<Value> (reason: string): failures.Result<Value> {
  return failures.fail(failures.createFailure('not_run', 'body_malformed', [reason]))
}

async function setSections (context: commands.Context, input: commands.Input): Promise<failures.Result<commands.Output>> {
  const read = await readSections(context, input.getArgument('file'))
  if (read.isLeft()) {
    return failures.fail(read.swap().unsafeCoerce())
  }
  const edits: changeRequests.Edit[] = read.unsafeCoerce().map(({ section, version, body, delete: isDeleted }) =>
    isDeleted === true ? { name: section, expectedVersion: version } : { name: section, expectedVersion: version, body: body ?? {} })
  return commands.withClient(
    context,
    client => client.call('POST', '/admin/v1/changes', changeRequests.Acceptance, { body: { operation: client.operation, edits } }),
    named.describeAcceptance
  )
}

function formatDifferences (list: readonly changeRequests.Difference[]): string {
  if (list.length === 0) {
    return 'No differences.'
  }
  return list.map(({ path, before, after }) => {
    const place = path === '' ? '(section)' : path
    return `${place}:\n${formatSide('-', before)}${formatSide('+', after)}`.trimEnd()
  }).join('\n')
}

function formatSide (sign: string, value: unknown): string {
  return value === undefined ? '' : `  ${sign} ${JSON.stringify(value)}\n`
}

/** Compares a file's section with the one in force. */
async function compareFile (client: clients.Client, file: SectionFile): Promise<failures.Result<z.infer<typeof answers.DifferenceAnswer>>> {
  const current = await client.call('GET', getPath(file.section), answers.SectionAnswer)
  return current.map(({ version, body }) => ({
    from: version, to: file.version, differences: [...differences.findDifferences(body, file.body)]
  }))
}

async function showDifference (context: commands.Context, input: commands.Input): Promise<failures.Result<commands.Output>> {
  const path = input.getText('file')
  const describe = (answer: z.infer<typeof answers.DifferenceAnswer>): string => formatDifferences(answer.differences)
  const section = input.getArgument('section')
  if (path === undefined) {
    const from = input.getNumber('from') ?? 0
    const to = input.getNumber('to')
    const query = `from=${from}${to === undefined ? '' : `&to=${to}`}`
    return commands.withClient(
      context, client => client.call('GET', `${getPath(section)}/diff?${query}`, answers.DifferenceAnswer), describe
    )
  }
  const read = await readSections(context, path)
  if (read.isLeft()) {
    return failures.fail(read.swap().unsafeCoerce())
  }
  const file = read.unsafeCoerce().find(candidate => candidate.section === section)
  if (file === undefined) {
    return failures.fail(failures.createFailure('not_run', 'section_unknown', [section]))
  }
  return commands.withClient(context, client => compareFile(client, file), describe)
}

function formatHistory ({ changes }: z.infer<typeof answers.HistoryAnswer>): string {
  const rows = changes.map(change => [
    change.sectionVersion, change.version, new Date(change.atMs).toISOString(), change.team, change.operation,
    change.deleted ? 'deleted' : change.differences.map(({ path }) => path === '' ? '(section)' : path).join(',')
  ])
  return tables.formatTable(['VERSION', 'CONFIGURATION', 'AT', 'TEAM', 'OPERATION', 'CHANGED'], rows)
}

export const configCommands: readonly commands.Command[] = [
  {
    path: ['config', 'list'],
    summary: 'List the sections with owners and versions',
    options: [{ name: 'prefix', value: 'text', kind: 'text', description: 'Only sections whose names start so' }],
    run: (context, input) => commands.withClient(
      context,
      client => client.call('GET', `/admin/v1/sections?prefix=${encodeURIComponent(input.getText('prefix') ?? '')}`, answers.SectionList),
      ({ sections }) => tables.formatTable(['SECTION', 'OWNER', 'VERSION'], sections.map(({ name, owner, version }) => [name, owner, version]))
    )
  },
  {
    path: ['config', 'get'],
    summary: 'Show a section as YAML, with its owner and version',
    arguments: [sectionArgument],
    options: [{ name: 'output', value: 'file', kind: 'text', description: 'Write to a file' }],
    run: getSection
  },
  {
    path: ['config', 'set'],
    summary: 'Change the sections of a YAML file as a whole; each document has section, version and body, or delete: true',
    arguments: [{ name: 'file', description: 'YAML file; "-" for standard input' }],
    run: setSections
  },
  {
    path: ['config', 'diff'],
    summary: 'Compare two versions of a section, or the one in force with a file',
    arguments: [sectionArgument],
    options: [
      { name: 'from', value: 'version', kind: 'number', description: 'Earlier version; 0 for none' },
      { name: 'to', value: 'version', kind: 'number', description: 'Later version; the one in force if left out' },
      { name: 'file', value: 'file', kind: 'text', description: 'Compare the section in force with this file' }
    ],
    run: showDifference
  },
  {
    path: ['config', 'history'],
    summary: 'List the latest changes of a section',
    arguments: [sectionArgument],
    options: [{ name: 'limit', value: 'count', kind: 'number', description: 'Most changes listed' }],
    run: (context, input) => commands.withClient(
      context,
      client => client.call('GET', `${getPath(input.getArgument('section'))}/history?limit=${input.getNumber('limit') ?? 20}`, answers.HistoryAnswer),
      formatHistory
    )
  }
]
