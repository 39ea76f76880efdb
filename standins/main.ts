/**
 * Runs one stand-in as a process: prints one line of JSON with its address once it listens, and ends on SIGTERM.
 */
import * as commander from 'commander'
import * as engines from './engine.js'
import * as machineLists from './machine_list.js'
import * as services from './service.js'
import * as stores from './store.js'

/** What every stand-in offers to its process. */
interface Standin {
  listen (host: string, port: number): Promise<number>
  close (): Promise<void>
}

type Factory = (options: object) => Standin

/** Exit code of a crash that a fault asked for. */
const crashExitCode = 70

const factories: Readonly<Record<string, Factory>> = {
  engine: options => new engines.Engine(options, () => process.exit(crashExitCode)),
  store: options => new stores.Store(options),
  service: options => new services.Service(options),
  machines: options => new machineLists.MachineList(options)
}

interface Flags {
  readonly host: string
  readonly port: string
  readonly options: string
}

async function run (kind: string, flags: Flags): Promise<void> {
  const standin = factories[kind]?.(JSON.parse(flags.options) as object)
  if (standin === undefined) {
    throw new commander.InvalidArgumentError(`Unknown kind "${kind}".`)
  }
  const port = await standin.listen(flags.host, Number(flags.port))
  process.once('SIGTERM', () => {
    standin.close().finally(() => process.exit(0))
  })
  process.stdout.write(`${JSON.stringify({ kind, host: flags.host, port })}\n`)
}

const program = new commander.Command('standin')
program
  .argument('<kind>', Object.keys(factories).join(', '))
  .option('--host <address>', 'IP address to listen on', '127.0.0.1')
  .option('--port <port>', 'port to listen on; 0 takes a free one', '0')
  .option('--options <json>', 'options of the stand-in', '{}')
  .action(run)
await program.parseAsync()
