/**
 * `service`: the plain services and their routes.
 */
import * as commands from '../command.js'
import * as configuration from '../../contracts/configuration.js'
import * as named from './named_section.js'

function listPrefixes (body: Readonly<Record<string, unknown>>): string {
  const routes = configuration.Service.shape.routes.safeParse(body.routes).data ?? []
  return routes.map(route => route.prefix).join(',')
}

export const serviceCommands: readonly commands.Command[] = [
  named.createSetCommand('services', 'service'),
  named.createListCommand('services', 'service', [{ heading: 'ROUTES', cell: listPrefixes }]),
  named.createShowCommand('services', 'service'),
  named.createDeleteCommand('services', 'service', 'delete', 'Delete a service')
]
