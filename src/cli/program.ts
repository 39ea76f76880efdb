/**
 * The program: makes the parser and its help from the table of commands, and prints what a command returns.
 */
import * as commander from 'commander'
import * as clients from './client.js'
import * as commands from './command.js'
import * as commonOptions from './common_option.js'
import * as exitCodes from './exit_code.js'
import * as failures from '../contracts/failure.js'
import * as tables from './table.js'
import * as terminals from './terminal.js'

/** Runs one command line (without the program's name) and returns the exit code. */
export async function run (words: readonly string[], terminal: terminals.Terminal): Promise<number> {
  const program = new Program(terminal)
  return program.run(words)
}

class Program {
  private exitCode: number = exitCodes.exitCodes.done.code

  constructor (private readonly terminal: terminals.Terminal) {}

  async run (words: readonly string[]): Promise<number> {
    const parser = this.createParser()
    try {
      await parser.parseAsync([...words], { from: 'user' })
      return this.exitCode
    } catch (error) {
      if (error instanceof commander.CommanderError) {
        return error.exitCode === 0 ? exitCodes.exitCodes.done.code : exitCodes.exitCodes.usage.code
      }
      this.terminal.writeError(error instanceof Error ? error.message : String(error))
      return exitCodes.exitCodes.defect.code
    }
  }

  private createParser (): commander.Command {
    const root = this.createCommand('mulberryflow', 'Operate a mulberryflow deployment')
    root.addHelpText('after', `\nExit codes:\n${describeExitCodes()}`)
    const groups = new Map<string, commander.Command>()
    for (const command of tables.table) {
      const [first = '', second] = command.path
      if (second === undefined) {
        this.addCommand(root, first, command)
        continue
      }
      let group = groups.get(first)
      if (group === undefined) {
        group = this.createCommand(first, `Commands for ${first}`)
        groups.set(first, group)
        root.addCommand(group)
      }
      this.addCommand(group, second, command)
    }
    return root
  }

  private createCommand (name: string, summary: string): commander.Command {
    return new commander.Command(name).description(summary).exitOverride().configureOutput({
      writeOut: text => this.terminal.write(text.trimEnd()),
      writeErr: text => this.terminal.writeError(text.trimEnd())
    })
  }

  private addCommand (parent: commander.Command, name: string, command: commands.Command): void {
    const parser = this.createCommand(name, command.summary)
    for (const { name: argument, description, isOptional } of command.arguments ?? []) {
      parser.argument(isOptional === true ? `[${argument}]` : `<${argument}>`, description)
    }
    for (const option of [...command.options ?? [], ...commonOptions.commonOptions]) {
      parser.addOption(createOption(option))
    }
    parser.action(async () => {
      this.exitCode = await this.runCommand(command, readInput(command, parser))
    })
    parent.addCommand(parser)
  }

  private async runCommand (command: commands.Command, input: commands.Input): Promise<number> {
    const client = this.createClient(input)
    const result = await command.run({ terminal: this.terminal, getClient: () => client }, input)
    const isJson = input.isSet('json')
    return result.caseOf({
      Left: failure => this.printFailure(failure, isJson, describeUncertainty(command, client)),
      Right: output => {
        this.terminal.write(isJson ? JSON.stringify(output.json, undefined, 2) : output.text)
        return output.exitCode ?? exitCodes.exitCodes.done.code
      }
    })
  }

  private createClient (input: commands.Input): failures.Result<clients.Client> {
    const { environment } = this.terminal
    const credential = input.getText('credential') ?? environment[commonOptions.credentialVariable]
    if (credential === undefined || credential === '') {
      return failures.fail(failures.createFailure('not_run', 'operator_unknown'))
    }
    const url = input.getText('url') ?? environment[commonOptions.urlVariable]
    if (url === undefined || !URL.canParse(url)) {
      const mistake = `--url or ${commonOptions.urlVariable}: an address of the administration API is expected`
      return failures.fail(failures.createFailure('not_run', 'command_invalid', [mistake]))
    }
    const operation = input.getText('operation') ?? this.terminal.createSecret()
    return failures.succeed(new clients.Client({ url, credential, operation }, this.terminal))
  }

  private printFailure (failure: clients.Refused, isJson: boolean, hint: string): number {
    const isUncertain = failure.verdict === 'may_have_run'
    if (isJson) {
      this.terminal.writeError(JSON.stringify(isUncertain ? { error: failure, hint } : { error: failure }, undefined, 2))
      return exitCodes.getExitCode(failure)
    }
    this.terminal.writeError(failure.message)
    for (const line of clients.describeRefusal(failure)) {
      this.terminal.writeError(line)
    }
    if (isUncertain) {
      this.terminal.writeError(`The outcome is unknown. ${hint}`)
    }
    return exitCodes.getExitCode(failure)
  }
}

function describeUncertainty (command: commands.Command, client: failures.Result<clients.Client>): string {
  const operation = client.map(({ operation }) => operation).orDefault('')
  return command.uncertainHint ?? `Repeat the command with --operation ${operation}`
}

function createOption (option: commands.Option): commander.Option {
  const value = option.kind === 'flag' ? '' : ` <${option.value ?? option.name}>`
  const created = new commander.Option(`--${option.name}${value}`, option.description)
  if (option.isRequired === true) {
    created.makeOptionMandatory()
  }
  if (option.choices !== undefined) {
    created.choices(option.choices)
  }
  if (option.kind === 'number') {
    created.argParser(parseNumber)
  }
  if (option.kind === 'list') {
    created.argParser((text: string, earlier: readonly string[] | undefined) => [...earlier ?? [], text])
  }
  return created
}

function parseNumber (text: string): number {
  const value = Number(text)
  if (text.trim() === '' || !Number.isFinite(value)) {
    throw new commander.InvalidArgumentError('A number is expected.')
  }
  return value
}

function readInput (command: commands.Command, parser: commander.Command): commands.Input {
  const values: Record<string, string | undefined> = {}
  for (const [index, { name }] of (command.arguments ?? []).entries()) {
    values[name] = parser.processedArgs[index] as string | undefined
  }
  const options: Record<string, unknown> = {}
  for (const option of parser.options) {
    options[option.long?.slice(2) ?? ''] = parser.getOptionValue(option.attributeName())
  }
  return new commands.Input(values, options)
}

function describeExitCodes (): string {
  return Object.values(exitCodes.exitCodes).map(({ code, meaning }) => `  ${code}  ${meaning}`).join('\n')
}
