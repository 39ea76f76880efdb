/**
 * `explain`: where a request would go now, as gateways decide.
 */
import * as undici from 'undici'
import * as z from 'zod'
import * as answers from '../../administration/answers.js'
import * as commands from '../command.js'
import * as commonOptions from '../common_option.js'
import * as exitCodes from '../exit_code.js'
import * as explanations from '../../gateway/explanation/explanation.js'
import * as failures from '../../contracts/failure.js'
import * as texts from '../explanation_text.js'

/** Longest wait for a gateway's answer, in milliseconds. */
const answerTimeoutMs = 5_000

/** What one gateway answered. */
interface GatewayAnswer {
  readonly address: string
  readonly result: failures.Result<explanations.Explanation>
}

async function explain (context: commands.Context, input: commands.Input): Promise<failures.Result<commands.Output>> {
  const url = input.getText('url') ?? context.terminal.environment[commonOptions.urlVariable]
  const addresses = input.getList('gateway') ?? (url === undefined ? [] : [url])
  const origins = addresses.map(address => address.includes('://') ? address : `http://${address}`)
  if (origins.length === 0 || !origins.every(origin => URL.canParse(origin))) {
    return failures.fail(failures.createFailure('not_run', 'command_invalid', ['--gateway: the address of a gateway\'s inner listener is expected']))
  }
  const parameters = createParameters(input)
  const query = explanations.Query.safeParse(readParameters(parameters))
  if (!query.success) {
    return failures.fail(failures.createFailure('not_run', 'command_invalid', [z.prettifyError(query.error).replaceAll('\n', ' ')]))
  }
  const answered = await Promise.all(origins.map(async (origin, index): Promise<GatewayAnswer> => (
    { address: addresses[index] ?? origin, result: await ask(origin, parameters) }
  )))
  return failures.succeed({
    json: { gateways: answered.map(({ address, result }) => result.caseOf<unknown>({ Left: error => ({ address, error }), Right: explanation => ({ address, explanation }) })) },
    text: answered.map(({ address, result }) => result.caseOf({
      Left: ({ message }) => `Gateway at ${address}: ${message}`, Right: texts.describeExplanation
    })).join('\n\n'),
    exitCode: findExitCode(answered)
  })
}

/** Returns the parameters of the query; their names are those of its schema. */
function createParameters (input: commands.Input): URLSearchParams {
  const single = {
    path: input.getArgument('path'),
    method: input.getText('method'),
    host: input.getText('host'),
    workspace: input.getText('workspace'),
    keyHash: input.getText('key-hash'),
    promptTokens: input.getNumber('prompt'),
    outputTokens: input.getNumber('output'),
    expectedTokens: input.getNumber('expected'),
    timeoutMs: input.getNumber('timeout')
  }
  const parameters = new URLSearchParams()
  for (const [name, value] of Object.entries(single)) {
    if (value !== undefined) {
      parameters.append(name, String(value))
    }
  }
  for (const part of input.getList('part') ?? []) {
    parameters.append('parts', part)
  }
  return parameters
}

function readParameters (parameters: URLSearchParams): unknown {
  return { ...Object.fromEntries(parameters), parts: parameters.getAll('parts') }
}

async function ask (origin: string, parameters: URLSearchParams): Promise<GatewayAnswer['result']> {
  let status: number
  let text: string
  try {
    const target = `${origin.replace(/\/$/, '')}${explanations.explanationPath}?${parameters.toString()}`
    const answer = await undici.request(target, { headersTimeout: answerTimeoutMs, bodyTimeout: answerTimeoutMs })
    status = answer.statusCode
    text = await answer.body.text()
  } catch (error) {
    return failures.fail(failures.createFailure('not_run', 'gateway_unreachable', [origin, error instanceof Error ? error.message : String(error)]))
  }
  const json = tryParse(text)
  const explanation = explanations.Explanation.safeParse(json)
  if (status === 200 && explanation.success) {
    return failures.succeed(explanation.data)
  }
  const refusal = answers.Refusal.safeParse(json)
  return failures.fail(refusal.success
    ? refusal.data.error
    : failures.createFailure('not_run', 'gateway_unreachable', [origin, `status ${status} without an explanation`]))
}

/** An unreachable gateway counts more than one that refuses. */
function findExitCode (answered: readonly GatewayAnswer[]): number {
  const codes = answered.map(({ result }) => result.caseOf<number>({ Left: exitCodes.getExitCode, Right: () => exitCodes.exitCodes.done.code }))
  return codes.includes(exitCodes.exitCodes.unavailable.code) ? exitCodes.exitCodes.unavailable.code : Math.max(...codes)
}

function tryParse (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

export const explainCommands: readonly commands.Command[] = [
  {
    path: ['explain'],
    summary: 'Show where a request would go now and why, without sending it; no credential is needed',
    arguments: [{ name: 'path', description: 'Path of the request, as in /draft/1' }],
    options: [
      { name: 'gateway', value: 'address', kind: 'list', description: `Inner listener of a gateway, as IP:PORT (default: --url or ${commonOptions.urlVariable})` },
      { name: 'method', value: 'method', kind: 'text', description: 'Method of the request' },
      { name: 'host', value: 'name', kind: 'text', description: 'Host of the request, where routes of several hosts fit the path' },
      { name: 'workspace', value: 'name', kind: 'text', description: 'Workspace that sends the request' },
      { name: 'key-hash', value: 'digits', kind: 'text', description: 'Its key instead: 8 or more leading digits of the key\'s SHA-256, in hexadecimal' },
      { name: 'prompt', value: 'tokens', kind: 'number', description: 'Size of the prompt (default: the sum of its parts)' },
      { name: 'part', value: 'id:tokens', kind: 'list', description: 'Part of the prompt, in order' },
      { name: 'output', value: 'tokens', kind: 'number', description: 'Most output tokens' },
      { name: 'expected', value: 'tokens', kind: 'number', description: 'Output tokens that the caller expects' },
      { name: 'timeout', value: 'ms', kind: 'number', description: 'Time-out of the caller' }
    ],
    run: explain
  }
]
