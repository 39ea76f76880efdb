/**
 * Runs `mulberryflowd` as a process.
 */
import * as childProcess from 'node:child_process'
import * as events from 'node:events'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as yaml from 'yaml'

const program = url.fileURLToPath(new URL('../../src/daemon/main.js', import.meta.url))

export interface End {
  readonly code: number | null
  readonly errors: string
}

/** A running daemon with what it wrote to standard error. */
export class Daemon {
  private errors = ''
  private readonly ended: Promise<End>
  private readonly changes = new events.EventEmitter()

  constructor (readonly child: childProcess.ChildProcess) {
    child.stderr?.on('data', data => {
      this.errors += String(data)
      this.changes.emit('change')
    })
    this.ended = events.EventEmitter.once(child, 'close').then(([code]) => {
      this.changes.emit('change')
      return { code: code as number | null, errors: this.errors }
    })
  }

  end (): Promise<End> {
    return this.ended
  }

  /** Resolves when the daemon has written the text to its log; rejects if it ends before. */
  async untilLogged (text: string): Promise<void> {
    while (!this.errors.includes(text)) {
      if (this.child.exitCode !== null) {
        throw new Error(`ended with ${this.child.exitCode}: ${this.errors}`)
      }
      await events.EventEmitter.once(this.changes, 'change')
    }
  }
}

/** A folder for settings; the daemons that were started from it end with it. */
export class Folder {
  readonly path = fs.mkdtempSync(path.join(os.tmpdir(), 'mulberryflow-daemon-'))
  private readonly daemons: Daemon[] = []

  write (name: string, content: string | object): string {
    const file = path.join(this.path, name)
    fs.writeFileSync(file, typeof content === 'string' ? content : yaml.stringify(content))
    return file
  }

  start (file: string, environment: Readonly<Record<string, string>> = {}): Daemon {
    const child = childProcess.spawn(process.execPath, [program, '--settings', file], {
      env: { ...process.env, ...environment }, stdio: ['ignore', 'ignore', 'pipe']
    })
    const daemon = new Daemon(child)
    this.daemons.push(daemon)
    return daemon
  }

  async close (): Promise<void> {
    for (const daemon of this.daemons) {
      daemon.child.kill('SIGKILL')
      await daemon.end()
    }
    fs.rmSync(this.path, { recursive: true })
  }
}

/** Listens on a port that was free. */
export async function listen (): Promise<net.Server> {
  const server = net.createServer()
  server.listen(0, '127.0.0.1')
  await events.EventEmitter.once(server, 'listening')
  return server
}

export function getAddress (server: net.Server): { readonly host: string, readonly port: number } {
  return { host: '127.0.0.1', port: (server.address() as net.AddressInfo).port }
}

/** Returns addresses that were free a moment ago. */
export async function findAddresses (count: number): Promise<readonly { readonly host: string, readonly port: number }[]> {
  const servers: net.Server[] = []
  for (let index = 0; index < count; index += 1) {
    servers.push(await listen())
  }
  const addresses = servers.map(getAddress)
  for (const server of servers) {
    server.close()
    await events.EventEmitter.once(server, 'close')
  }
  return addresses
}
