/**
 * One child process of a fleet, with what faults do to it.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as readline from 'node:readline'
import * as childRegistry from './child_registry.js'

/** How long a process may take to end after SIGTERM before it is killed, in milliseconds. */
const standardEndMs = 10_000
/** Characters at the end of the log that an error message shows. */
const shownLogLength = 2_000

export class FleetProcess {
  private child: childProcess.ChildProcess | undefined
  private ended: Promise<void> = Promise.resolve()
  private lines: readline.Interface | undefined

  /** `args` go to Node. Error output is appended to the log file, and standard output unless it is read. */
  constructor (
    readonly id: string,
    private readonly args: readonly string[],
    readonly logFile: string,
    private readonly isOutputRead: boolean,
    /** Variables beside those of this process. */
    private readonly environment: Readonly<Record<string, string>> = {}
  ) {}

  get pid (): number | undefined {
    return this.child?.pid
  }

  get isRunning (): boolean {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
  }

  /** Exit code of the last life; `undefined` while running, and after a signal. */
  get exitCode (): number | undefined {
    return this.child?.exitCode ?? undefined
  }

  /** Starts the process, with further arguments if given. */
  start (more: readonly string[] = []): void {
    const log = fs.openSync(this.logFile, 'a')
    const child = childProcess.spawn(process.execPath, [...this.args, ...more], {
      stdio: ['ignore', this.isOutputRead ? 'pipe' : log, log],
      env: { ...process.env, ...this.environment }
    })
    fs.closeSync(log)
    childRegistry.addChild(child)
    this.ended = new Promise(resolve => child.once('exit', () => resolve()))
    this.lines = child.stdout === null ? undefined : readline.createInterface({ input: child.stdout })
    this.child = child
  }

  /** Resolves with the first line of output, if that is read; rejects if the process ends before. */
  readLine (): Promise<string> {
    return new Promise((resolve, reject) => {
      this.lines?.once('line', resolve)
      this.ended.then(() => reject(this.createError('ended before it was ready')))
    })
  }

  /** Ends the process at once, also when it is frozen. */
  kill (): Promise<void> {
    this.child?.kill('SIGKILL')
    return this.ended
  }

  /** Asks the process to end gracefully, without waiting for it. */
  terminate (): void {
    this.child?.kill('SIGTERM')
  }

  /** Asks the process to end gracefully; kills it after `limitMs` milliseconds. Returns whether it ended by itself. */
  async drain (limitMs = standardEndMs): Promise<boolean> {
    this.terminate()
    let isKilled = false
    const timer = setTimeout(() => {
      isKilled = true
      this.child?.kill('SIGKILL')
    }, limitMs)
    await this.ended
    clearTimeout(timer)
    return !isKilled
  }

  /** Stops the process from running without ending it. */
  freeze (): void {
    this.child?.kill('SIGSTOP')
  }

  resume (): void {
    this.child?.kill('SIGCONT')
  }

  /** Tells the process that its settings have changed. */
  reload (): void {
    this.child?.kill('SIGHUP')
  }

  /** Returns an error that shows the end of the process's log. */
  createError (what: string): Error {
    const log = fs.existsSync(this.logFile) ? fs.readFileSync(this.logFile, 'utf8') : ''
    return new Error(`Process ${this.id} ${what}.\n${log.slice(-shownLogLength)}`)
  }
}
