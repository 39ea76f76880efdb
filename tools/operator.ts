/**
 * Runs the operators' tool as a process, as a person would.
 */
import * as childProcess from 'node:child_process'
import * as path from 'node:path'
import * as url from 'node:url'
import * as util from 'node:util'
import * as yaml from 'yaml'

const execute = util.promisify(childProcess.execFile)
const program = path.join(url.fileURLToPath(new URL('..', import.meta.url)), 'src', 'cli', 'main.js')

/** Largest output of one command, in bytes. */
const outputBytes = 64 * 1024 * 1024

export class Operator {
  /** `administrationUrl` is that of any entry. */
  constructor (private readonly administrationUrl: string, private readonly credential: string) {}

  /** Runs a command and returns its standard output; rejects with its error output. */
  async run (...args: readonly string[]): Promise<string> {
    const { stdout } = await execute(process.execPath, [program, ...args], {
      env: this.environment, maxBuffer: outputBytes
    })
    return stdout
  }

  /** Runs a command with `--json` and returns what it printed. */
  async ask (...args: readonly string[]): Promise<any> {
    return JSON.parse(await this.run(...args, '--json'))
  }

  /** Adds sections that do not exist yet, as one change. */
  async addSections (sections: ReadonlyMap<string, object>): Promise<void> {
    const documents = [...sections].map(([section, body]) => yaml.stringify({ section, version: 0, body }))
    await this.runWithInput(documents.join('---\n'), 'config', 'set', '-')
  }

  private get environment (): NodeJS.ProcessEnv {
    return {
      ...process.env,
      MULBERRYFLOW_URL: this.administrationUrl,
      MULBERRYFLOW_CREDENTIAL: this.credential
    }
  }

  private async runWithInput (input: string, ...args: readonly string[]): Promise<void> {
    const child = childProcess.spawn(process.execPath, [program, ...args], {
      env: this.environment,
      stdio: ['pipe', 'ignore', 'pipe']
    })
    let errors = ''
    child.stderr.on('data', data => {
      errors += String(data)
    })
    child.stdin.end(input)
    const code = await new Promise(resolve => child.once('exit', resolve))
    if (code !== 0) {
      throw new Error(`mulberryflow ${args.join(' ')}: ${errors}`)
    }
  }
}
