/**
 * The page docs/API.md, made from the table of routes and the table of diagnostics.
 */
import * as z from 'zod'
import * as callerPages from './caller_page.js'
import * as diagnosticTable from '../contracts/diagnostics.js'
import * as openRouteTable from './open_route.js'
import * as routes from './route.js'
import * as tables from './table.js'

/** The parts of a JSON schema that the page shows. */
interface Described {
  readonly properties?: Readonly<Record<string, Described>> | undefined
  readonly required?: readonly string[] | undefined
  readonly type?: string | undefined
  readonly enum?: readonly unknown[] | undefined
  readonly default?: unknown
  readonly items?: Described | undefined
}

const introduction = `# Administration API

Made from the table of routes, as is \`/admin/v1/openapi.json\`, which has the full schemas.

Every entry VM serves the API on its listener \`administration\`. Any entry will do: a change is one transaction of the
platform's store.

## Conventions

- **Credential**: \`Authorization: Bearer <credential>\`, of a team or of the administrators. Only SHA-256 hashes are kept;
  they are compared in constant time. Without a known credential every route but the open ones answers 401.
- **Version**: the \`ETag\` of an answer is the section's version. A change names the version that it replaces with
  \`If-Match: "<version>"\`; \`If-Match: "0"\` or \`If-None-Match: *\` stands for a section that must not exist. Routes marked
  *required* refuse a change without it (428); on routes marked *optional* the current version is replaced.
- **Operation**: \`Idempotency-Key\` names the operation of a change (in \`POST /admin/v1/changes\` the body does). A repeated
  call with the same key, through any entry, returns the first outcome with \`"repeated": true\`. The outcome is kept for an
  hour. The same key with another change is refused.
- **Refusals** have one shape:
  \`{"error": {"code", "message", "verdict", "retryAfterMs"?, "mistakes"?: [{"section", "path", "message"}], "stale"?: [...]}}\`.
  The verdict \`not_run\` says that nothing was changed and nothing will be; \`may_have_run\` is settled by repeating the call
  with the same operation. \`mistakes\` lists every mistake; \`stale\` tells what others have changed since the version named.
  \`Retry-After\` (seconds) is set where a time is known.
- **Reads** are answered from this entry's copy of the configuration, which may be a moment behind a change that was made
  through another entry.
- **Secrets**: bodies of \`keys/*\` and \`teams/*\` are shown only to those who may change them.
`

/** Returns the whole page. */
export function createApiPage (): string {
  const parts = [callerPages.callerPart, introduction, '## Routes without credential', '', '| route | |', '| --- | --- |']
  for (const { path, summary } of Object.values(openRouteTable.openRoutes)) {
    parts.push(`| \`GET ${path}\` | ${summary} |`)
  }
  parts.push('', `Every other route may also answer: ${formatCodes(tables.commonCodes)}; with a method other than GET: ${formatCodes(tables.bodyCodes)}.`)
  let group = ''
  for (const route of tables.table) {
    if (route.group !== group) {
      group = route.group
      parts.push('', `## ${group}`)
    }
    parts.push('', ...describeRoute(route))
  }
  parts.push('', ...describeCodes(), '')
  return parts.join('\n')
}

function describeRoute (route: routes.Route): readonly string[] {
  const lines = [`### \`${route.method} ${route.path}\``, '', route.summary, '']
  if (route.version !== 'none') {
    lines.push(`- \`If-Match\`: ${route.version}`)
  }
  if (route.query !== undefined) {
    lines.push(`- query: ${describeSchema(route.query, 'input')}`)
  }
  if (route.bodyDescription !== undefined) {
    lines.push(`- body: ${describeSchema(route.bodyDescription, 'input')}`)
  }
  lines.push(`- answer ${route.status}: ${describeSchema(route.answer, 'output')}`)
  if (route.codes.length > 0) {
    lines.push(`- refusals: ${formatCodes(route.codes)}`)
  }
  return lines
}

function formatCodes (codes: readonly diagnosticTable.DiagnosticCode[]): string {
  return codes.map(code => `\`${code}\` (${diagnosticTable.diagnostics[code].status})`).join(', ')
}

function describeSchema (schema: z.ZodType, io: 'input' | 'output'): string {
  const described = z.toJSONSchema(schema, { io, unrepresentable: 'any' }) as Described
  if (described.properties === undefined) {
    return 'the body of the section'
  }
  return Object.entries(described.properties).map(([name, member]) => {
    const isOptional = described.required?.includes(name) !== true
    const standard = member.default === undefined || typeof member.default === 'object' ? '' : ` = ${JSON.stringify(member.default)}`
    return `\`${name}\`${isOptional ? '?' : ''} ${describeType(member)}${standard}`
  }).join(', ')
}

function describeType (schema: Described): string {
  if (schema.enum !== undefined) {
    return schema.enum.map(String).join(' \\| ')
  }
  if (schema.type === 'array') {
    return `list of ${describeType(schema.items ?? {})}`
  }
  if (schema.properties !== undefined) {
    return `{${Object.keys(schema.properties).join(', ')}}`
  }
  return schema.type ?? 'any'
}

function describeCodes (): readonly string[] {
  const lines = [
    '## Codes', '',
    'Every code of the product, also those that callers and processes see. The category tells where the cause lies.', '',
    '| code | status | category | message |', '| --- | --- | --- | --- |'
  ]
  for (const [code, { status, category, text }] of Object.entries(diagnosticTable.diagnostics)) {
    lines.push(`| \`${code}\` | ${status} | ${category} | ${text} |`)
  }
  return lines
}
