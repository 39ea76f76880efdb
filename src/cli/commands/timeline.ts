/**
 * `timeline`: the events of all processes.
 */
import * as answers from '../../administration/answers.js'
import * as commands from '../command.js'
import * as failures from '../../contracts/failure.js'
import * as renderers from '../../timeline/render.js'

async function showTimeline (context: commands.Context, input: commands.Input): Promise<failures.Result<commands.Output>> {
  const request = input.getText('request')
  const limit = input.getNumber('limit') ?? 1_000
  const query = `limit=${limit}${request === undefined ? '' : `&request=${encodeURIComponent(request)}`}`
  const output = await commands.withClient(
    context,
    client => client.call('GET', `/admin/v1/timeline?${query}`, answers.TimelineAnswer),
    ({ events }) => renderers.renderTimeline(events)
  )
  const file = input.getText('html')
  if (file === undefined || output.isLeft()) {
    return output
  }
  const { json } = output.unsafeCoerce()
  await context.terminal.writeFile(file, renderers.renderTimelineHtml(answers.TimelineAnswer.parse(json).events))
  return failures.succeed({ json, text: `Written to ${file}` })
}

export const timelineCommands: readonly commands.Command[] = [
  {
    path: ['timeline'],
    summary: 'Draw the events of all processes in causal order',
    options: [
      { name: 'request', value: 'id', kind: 'text', description: 'Only events of this request' },
      { name: 'limit', value: 'count', kind: 'number', description: 'Most events of each process' },
      { name: 'html', value: 'file', kind: 'text', description: 'Write an HTML page to a file' }
    ],
    run: showTimeline
  }
]
