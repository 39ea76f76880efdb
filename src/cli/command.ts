/**
 * The shape of a command. The table of commands drives the parser, the help and the shell completion.
 */
import * as clients from './client.js'
import * as failures from '../contracts/failure.js'
import * as terminals from './terminal.js'

export interface Argument {
  readonly name: string
  readonly description: string
  readonly isOptional?: boolean
}

export interface Option {
  /** Long name without dashes. */
  readonly name: string
  readonly description: string
  /** `list` may be given several times; `flag` takes no value. */
  readonly kind: 'text' | 'number' | 'list' | 'flag'
  /** Name of the value in the help. */
  readonly value?: string
  readonly isRequired?: boolean
  readonly choices?: readonly string[]
}

/** What a command prints. */
export interface Output {
  /** For `--json`. */
  readonly json: unknown
  /** For people. */
  readonly text: string
  /** Absent: done. */
  readonly exitCode?: number
}

export interface Context {
  readonly terminal: terminals.Terminal
  /** Creates the client from the common options; fails if the credential is missing. */
  getClient (): failures.Result<clients.Client>
}

/** A command's arguments and options as the parser has read them. */
export class Input {
  constructor (
    private readonly values: Readonly<Record<string, string | undefined>>,
    private readonly options: Readonly<Record<string, unknown>>
  ) {}

  /** Returns an argument; the parser has refused a command without a required one. */
  getArgument (name: string): string {
    return this.values[name] ?? ''
  }

  getText (name: string): string | undefined {
    const value = this.options[name]
    return typeof value === 'string' ? value : undefined
  }

  getNumber (name: string): number | undefined {
    const value = this.options[name]
    return typeof value === 'number' ? value : undefined
  }

  getList (name: string): readonly string[] | undefined {
    const value = this.options[name]
    return Array.isArray(value) ? value.map(String) : undefined
  }

  isSet (name: string): boolean {
    return this.options[name] === true
  }
}

export interface Command {
  /** Words of the command, as in `workspace create`. */
  readonly path: readonly string[]
  readonly summary: string
  /** What to do when the outcome is unknown and repeating the operation does not settle it. */
  readonly uncertainHint?: string
  readonly arguments?: readonly Argument[]
  readonly options?: readonly Option[]
  readonly run: (context: Context, input: Input) => Promise<failures.Result<Output>>
}

/** Runs a call of the API and makes the output from its answer. */
export async function withClient<Value> (
  context: Context,
  call: (client: clients.Client) => Promise<failures.Result<Value>>,
  describe: (value: Value) => string
): Promise<failures.Result<Output>> {
  const client = context.getClient()
  if (client.isLeft()) {
    return failures.fail(client.swap().unsafeCoerce())
  }
  const result = await call(client.unsafeCoerce())
  return result.map(value => ({ json: value, text: describe(value) }))
}

/** Returns the object without members that are undefined. */
export function omitUndefined (members: Readonly<Record<string, unknown>>): Record<string, unknown> {
  const kept: Record<string, unknown> = {}
  for (const [name, value] of Object.entries(members)) {
    if (value !== undefined) {
      kept[name] = value
    }
  }
  return kept
}
