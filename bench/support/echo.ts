/**
 * Round trips to a process that does nothing but answer: what the machine itself takes for them.
 */
import * as childProcess from 'node:child_process'
import * as net from 'node:net'

/** Size of a message, in bytes. */
const messageBytes = 300

export class Echo {
  private readonly message = Buffer.alloc(messageBytes)

  private constructor (private readonly child: childProcess.ChildProcess, private readonly socket: net.Socket) {}

  static async start (): Promise<Echo> {
    const child = childProcess.fork(new URL('../echo_peer.js', import.meta.url), { stdio: 'inherit' })
    const port = await new Promise<number>(resolve => child.once('message', sent => resolve(sent as number)))
    const socket = net.connect({ port, host: '127.0.0.1', noDelay: true })
    await new Promise(resolve => socket.once('connect', resolve))
    return new Echo(child, socket)
  }

  /** Returns the time of one round trip, in milliseconds. */
  async measure (): Promise<number> {
    const started = performance.now()
    const answered = new Promise(resolve => this.socket.once('data', resolve))
    this.socket.write(this.message)
    await answered
    return performance.now() - started
  }

  stop (): void {
    this.socket.destroy()
    this.child.disconnect()
  }
}
