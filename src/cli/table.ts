/**
 * The table of commands.
 */
import * as allowances from './commands/allowance.js'
import * as commands from './command.js'
import * as completions from './commands/completion.js'
import * as configs from './commands/config.js'
import * as explains from './commands/explain.js'
import * as keys from './commands/key.js'
import * as models from './commands/model.js'
import * as servers from './commands/server.js'
import * as services from './commands/service.js'
import * as settings from './commands/settings.js'
import * as statuses from './commands/status.js'
import * as teams from './commands/team.js'
import * as timelines from './commands/timeline.js'
import * as workspaces from './commands/workspace.js'

export const table: readonly commands.Command[] = [
  ...workspaces.workspaceCommands,
  ...keys.keyCommands,
  ...allowances.allowanceCommands,
  ...servers.serverCommands,
  ...services.serviceCommands,
  ...models.modelCommands,
  ...teams.teamCommands,
  ...configs.configCommands,
  ...statuses.statusCommands,
  ...timelines.timelineCommands,
  ...explains.explainCommands,
  ...settings.settingsCommands,
  completions.createCompletionCommand(() => table)
]
