/**
 * `status`: the processes of the deployment.
 */
import * as z from 'zod'
import * as answers from '../../administration/answers.js'
import * as commands from '../command.js'
import * as tables from '../text_table.js'

const secondMs = 1_000

function format ({ version, processes }: z.infer<typeof answers.StatusList>): string {
  const rows = processes.map(({ identity, state, configurationVersion, uptimeMs, figures }) => [
    identity.node, identity.role, identity.zone, state, configurationVersion, Math.round(uptimeMs / secondMs),
    Object.entries(figures).map(([name, value]) => `${name}=${value}`).join(' ')
  ])
  const table = tables.formatTable(['NODE', 'ROLE', 'ZONE', 'STATE', 'CONFIGURATION', 'UP S', 'FIGURES'], rows)
  return `${table}\nConfiguration version: ${version}`
}

export const statusCommands: readonly commands.Command[] = [
  {
    path: ['status'],
    summary: 'Show the state of every process',
    run: context => commands.withClient(context, client => client.call('GET', '/admin/v1/status', answers.StatusList), format)
  }
]
