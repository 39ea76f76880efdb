/**
 * Table of the options of the settings file, generated from their schemas.
 */
import * as z from 'zod'
import * as identities from '../contracts/identity.js'
import * as settings from '../contracts/settings.js'

export interface SettingsOption {
  /** Path in the file, parts joined by dots. */
  readonly path: string
  readonly type: string
  /** Default value; `undefined` for an option that is required or has no default. */
  readonly standard: unknown
  readonly isRequired: boolean
  readonly description: string
}

/** The parts of a JSON schema that the table uses. */
interface SchemaNode {
  readonly type?: string | undefined
  readonly const?: unknown
  readonly enum?: readonly unknown[] | undefined
  readonly default?: unknown
  readonly description?: string | undefined
  readonly properties?: Readonly<Record<string, SchemaNode>> | undefined
  readonly required?: readonly string[] | undefined
  readonly items?: SchemaNode | undefined
}

/** Lists the options for a role in the order of the schema. */
export function listOptions (role: identities.Role): readonly SettingsOption[] {
  const schema = role === 'entry' ? settings.EntrySettings : settings.AgentSettings
  const options: SettingsOption[] = []
  collectOptions('', z.toJSONSchema(schema, { io: 'input' }) as SchemaNode, true, options)
  return options
}

function collectOptions (prefix: string, schema: SchemaNode, isParentRequired: boolean, options: SettingsOption[]): void {
  for (const [name, member] of Object.entries(schema.properties ?? {})) {
    const path = prefix + name
    const isRequired = isParentRequired && (schema.required?.includes(name) ?? false)
    if (member.properties !== undefined) {
      collectOptions(`${path}.`, member, isRequired, options)
      continue
    }
    options.push({
      path,
      type: describeType(member),
      standard: member.default,
      isRequired,
      description: member.description ?? schema.description ?? ''
    })
  }
}

function describeType (schema: SchemaNode): string {
  if (schema.const !== undefined) {
    return String(schema.const)
  }
  if (schema.enum !== undefined) {
    return schema.enum.map(String).join(' | ')
  }
  if (schema.type === 'array') {
    return `list of ${describeType(schema.items ?? {})}`
  }
  return schema.type ?? 'any'
}
