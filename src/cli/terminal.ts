/**
 * What the tool needs of the machine it runs on.
 */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs/promises'
import * as timers from 'node:timers/promises'

export abstract class Terminal {
  abstract readonly environment: Readonly<Record<string, string | undefined>>
  /** Writes a line to standard output. */
  abstract write (text: string): void
  /** Writes a line to standard error. */
  abstract writeError (text: string): void
  /** Reads a file, or standard input for `-`. */
  abstract readFile (path: string): Promise<string>
  abstract writeFile (path: string, text: string): Promise<void>
  /** Creates a secret with 256 random bits, in URL-safe characters. */
  abstract createSecret (): string
  abstract sleep (delayMs: number): Promise<void>
}

const secretBytes = 32

export class ProcessTerminal extends Terminal {
  override readonly environment = process.env

  override write (text: string): void {
    process.stdout.write(`${text}\n`)
  }

  override writeError (text: string): void {
    process.stderr.write(`${text}\n`)
  }

  override async readFile (path: string): Promise<string> {
    if (path !== '-') {
      return fs.readFile(path, 'utf8')
    }
    const chunks: Buffer[] = []
    for await (const chunk of process.stdin) {
      chunks.push(chunk as Buffer)
    }
    return Buffer.concat(chunks).toString('utf8')
  }

  override async writeFile (path: string, text: string): Promise<void> {
    await fs.writeFile(path, text)
  }

  override createSecret (): string {
    return crypto.randomBytes(secretBytes).toString('base64url')
  }

  override async sleep (delayMs: number): Promise<void> {
    await timers.setTimeout(delayMs)
  }
}
