/**
 * Reads the settings file of a process, which is written in YAML.
 */
import * as fs from 'node:fs/promises'
import * as yaml from 'yaml'
import * as z from 'zod'
import * as failures from '../contracts/failure.js'
import * as settings from '../contracts/settings.js'

type Environment = Readonly<Record<string, string | undefined>>

const environmentPrefix = 'env:'

/**
 * Reads and checks a settings file. A credential of the form `env:NAME` is taken from the environment.
 * The failure's message has one line for each mistake, with file, path, expected and found.
 */
export async function readSettings (
  path: string, environment: Environment = process.env
): Promise<failures.Result<settings.Settings>> {
  let text: string
  try {
    text = await fs.readFile(path, 'utf8')
  } catch (error) {
    return failUnreadable(path, error)
  }
  return parseSettings(path, text, environment)
}

/** Parses and checks the text of a settings file; `path` is used in messages only. */
export function parseSettings (
  path: string, text: string, environment: Environment
): failures.Result<settings.Settings> {
  let value: unknown
  try {
    value = yaml.parse(text, { prettyErrors: true })
  } catch (error) {
    return failUnreadable(path, error)
  }
  const resolved = resolveCredential(value, environment)
  const parsed = settings.Settings.safeParse(resolved)
  if (parsed.success) {
    return failures.succeed(parsed.data)
  }
  return failures.fail(createFailure(path, resolved, parsed.error))
}

function failUnreadable<Value> (path: string, error: unknown): failures.Result<Value> {
  const text = error instanceof Error ? error.message.trim() : String(error)
  return failures.fail(failures.createFailure('not_run', 'settings_unreadable', [path, text]))
}

/** Replaces `env:NAME` by the variable's value. If the variable is not set, the credential counts as missing. */
function resolveCredential (value: unknown, environment: Environment): unknown {
  if (typeof value !== 'object' || value === null || !('credential' in value)) {
    return value
  }
  const { credential } = value
  if (typeof credential !== 'string' || !credential.startsWith(environmentPrefix)) {
    return value
  }
  return { ...value, credential: environment[credential.slice(environmentPrefix.length)] }
}

function createFailure (path: string, value: unknown, error: z.ZodError): failures.Failure {
  const lines: string[] = []
  for (const issue of error.issues) {
    for (const { place, expected, found } of describeIssue(issue, value)) {
      lines.push(failures.createFailure('not_run', 'settings_invalid', [path, place, expected, found]).message)
    }
  }
  return { verdict: 'not_run', code: 'settings_invalid', message: lines.join('\n') }
}

interface SettingsMistake {
  readonly place: string
  readonly expected: string
  readonly found: string
}

function describeIssue (issue: z.core.$ZodIssue, value: unknown): readonly SettingsMistake[] {
  const place = issue.path.map(String).join('.')
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({ place: place === '' ? key : `${place}.${key}`, expected: 'no such option', found: `"${key}"` }))
  }
  const found = describeValue(place, getValueAt(value, issue.path))
  return [{ place, expected: describeExpectation(issue), found }]
}

function describeExpectation (issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return issue.expected === 'int' ? 'a whole number' : `a value of type ${issue.expected}`
    case 'too_small':
      return `${issue.inclusive === false ? 'more than' : 'at least'} ${issue.minimum}${describeUnit(issue.origin)}`
    case 'too_big':
      return `${issue.inclusive === false ? 'less than' : 'at most'} ${issue.maximum}${describeUnit(issue.origin)}`
    case 'invalid_value':
      return `one of ${issue.values.map(String).join(', ')}`
    case 'invalid_format':
      return issue.format === 'regex' ? `text that matches ${issue.pattern ?? ''}` : `a valid ${issue.format}`
    case 'invalid_union':
      return issue.path.at(-1) === 'role' ? 'one of entry, agent' : issue.message
    default:
      return issue.message
  }
}

function describeUnit (origin: string): string {
  if (origin === 'string') {
    return ' characters'
  }
  return origin === 'array' ? ' items' : ''
}

function getValueAt (value: unknown, path: readonly PropertyKey[]): unknown {
  let current = value
  for (const part of path) {
    if (typeof current !== 'object' || current === null) {
      return undefined
    }
    current = (current as Record<PropertyKey, unknown>)[part]
  }
  return current
}

/** Describes the value found. A credential is never shown, only its type or length. */
function describeValue (place: string, value: unknown): string {
  if (value === undefined || value === null) {
    return 'nothing'
  }
  if (place === 'credential') {
    return typeof value === 'string' ? `a text of ${value.length} characters` : `a ${typeof value}`
  }
  return typeof value === 'object' ? (Array.isArray(value) ? 'a list' : 'a map') : JSON.stringify(value)
}
