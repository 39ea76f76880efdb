/**
 * `model`: the models that the servers serve.
 */
import * as commands from '../command.js'
import * as named from './named_section.js'

export const modelCommands: readonly commands.Command[] = [
  {
    path: ['model', 'create'],
    summary: 'Create a model with the standard limits, except those given',
    arguments: [{ name: 'name', description: 'Name of the model' }],
    options: [
      { name: 'prompt-tokens', value: 'count', kind: 'number', description: 'Longest prompt' },
      { name: 'output-tokens', value: 'count', kind: 'number', description: 'Longest output' },
      { name: 'first-token-ms', value: 'ms', kind: 'number', description: 'Target for the first token' },
      { name: 'between-tokens-ms', value: 'ms', kind: 'number', description: 'Target between two tokens' }
    ],
    run: (context, input) => named.create(context, 'models', input.getArgument('name'), commands.omitUndefined({
      maximumPromptTokens: input.getNumber('prompt-tokens'),
      maximumOutputTokens: input.getNumber('output-tokens'),
      firstTokenTargetMs: input.getNumber('first-token-ms'),
      betweenTokensTargetMs: input.getNumber('between-tokens-ms')
    }))
  },
  named.createSetCommand('models', 'model'),
  named.createListCommand('models', 'model', [
    named.createColumn('PROMPT', 'maximumPromptTokens'), named.createColumn('OUTPUT', 'maximumOutputTokens'),
    named.createColumn('FIRST MS', 'firstTokenTargetMs'), named.createColumn('BETWEEN MS', 'betweenTokensTargetMs')
  ]),
  named.createShowCommand('models', 'model'),
  named.createDeleteCommand('models', 'model', 'delete', 'Delete a model')
]
