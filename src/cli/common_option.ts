/**
 * Options that every command takes.
 */
import * as commands from './command.js'

export const urlVariable = 'MULBERRYFLOW_URL'
export const credentialVariable = 'MULBERRYFLOW_CREDENTIAL'

export const commonOptions: readonly commands.Option[] = [
  { name: 'url', value: 'url', kind: 'text', description: `Administration API of any entry (or ${urlVariable})` },
  { name: 'credential', value: 'secret', kind: 'text', description: `Credential of the team (or ${credentialVariable})` },
  { name: 'operation', value: 'id', kind: 'text', description: 'Identifies the operation, to repeat one whose outcome is unknown' },
  { name: 'json', kind: 'flag', description: 'Print JSON' }
]
