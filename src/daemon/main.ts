#!/usr/bin/env node
/**
 * The daemon: one process of the system, of the role that its settings name.
 *
 * SIGTERM and SIGINT drain; a second one ends at once.
 */
import * as v8Settings from './v8_settings.js'
import * as commander from 'commander'
import * as daemonProcesses from './daemon_process.js'
import * as exitCodeTable from './exit_code.js'
import * as failures from '../contracts/failure.js'
import * as nodeSystem from '../host/node_system.js'
import * as processBases from './process_base.js'
import * as settings from '../contracts/settings.js'
import * as settingsFiles from '../configuration/settings_file.js'

const { exitCodes } = exitCodeTable

async function main (): Promise<void> {
  const program = new commander.Command('mulberryflowd')
    .description('Runs one process of mulberryflow')
    .requiredOption('--settings <file>', 'settings in YAML; see "mulberryflow settings explain"')
    .parse()
  const file = program.opts<{ readonly settings: string }>().settings
  const read = await settingsFiles.readSettings(file)
  const options = read.isRight() ? read.extract() as settings.Settings : exitWith(exitCodes.settings.code, read.extract())
  const security = await processBases.readSecurity(options)
  if (security.isLeft()) {
    exitWith(exitCodes.settings.code, security.extract())
  }
  const system = nodeSystem.createNodeSystem(options.node, options.log)
  const base = new processBases.ProcessBase(system, options, security.toMaybe().extract())
  const daemon = await createDaemon(base, options)
  handleSignals(daemon)
  await daemon.start().catch((error: unknown) => {
    system.log.error('cannot start', { error: String(error) })
    process.exit(exitCodes.address.code)
  })
  v8Settings.collectGarbage()
}

/** Loads the modules of the role, and only those, and creates its process. */
async function createDaemon (
  base: processBases.ProcessBase, options: settings.Settings
): Promise<daemonProcesses.DaemonProcess> {
  if (options.role === 'entry') {
    const entryProcesses = await import('./entry_process.js')
    return entryProcesses.createEntryProcess(base, options)
  }
  const agentProcesses = await import('./agent_process.js')
  return agentProcesses.createAgentProcess(base, options)
}

function handleSignals (daemon: daemonProcesses.DaemonProcess): void {
  let signals = 0
  const stop = (): void => {
    signals += 1
    if (signals > 1) {
      process.exit(exitCodes.forced.code)
    }
    daemon.drain().then(() => daemon.close()).then(
      () => process.exit(exitCodes.drained.code),
      () => process.exit(exitCodes.failed.code)
    )
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}

function exitWith (code: number, reason: unknown): never {
  const failure = failures.Failure.safeParse(reason)
  process.stderr.write(`${failure.success ? failure.data.message : String(reason)}\n`)
  process.exit(code)
}

await main()
