/**
 * TCP forwarder between two processes on loopback that can reset connections or make them silent.
 */
import * as net from 'node:net'
import * as identities from '../src/contracts/identity.js'

/** What happens to new connections: forwarded, closed by a reset, or accepted without a byte passing, or none back. */
export type CutMode = 'forward' | 'reset' | 'silent' | 'one_way'

interface Pair {
  readonly near: net.Socket
  readonly far: net.Socket
  isSilent: boolean
  /** Whether nothing comes back. */
  isOneWay: boolean
  /** Whether bytes were swallowed; an orderly end would then make the rest look whole. */
  hasSwallowed: boolean
}

export class Cut {
  private readonly pairs = new Set<Pair>()
  private readonly server = net.createServer(socket => this.accept(socket))
  private mode: CutMode = 'forward'
  private delayMs = 0
  private address: net.AddressInfo | null = null
  private isClosed = false

  constructor (private readonly target: identities.Address) {}

  /** Connections that are open on both sides. */
  get openCount (): number {
    return this.pairs.size
  }

  /** Starts to listen and returns the port; port 0 takes a free one. */
  listen (host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, () => resolve((this.server.address() as net.AddressInfo).port))
    })
  }

  /** Resets the open connections. New ones go on as before. */
  resetOpen (): void {
    for (const pair of [...this.pairs]) {
      this.reset(pair)
    }
  }

  /** Makes the open connections silent for good: what either side sends is swallowed, and nothing is closed. */
  silenceOpen (): void {
    for (const pair of this.pairs) {
      pair.isSilent = true
    }
  }

  /** Resets the open connections and all new ones until `restore`. */
  cut (): void {
    this.mode = 'reset'
    this.resetOpen()
  }

  /** Makes the open connections and all new ones silent until `restore`; these stay silent after it. */
  silence (): void {
    this.mode = 'silent'
    this.silenceOpen()
  }

  /** Lets requests through on open and new connections and swallows the answers until `restore`. */
  cutOneWay (): void {
    this.mode = 'one_way'
    for (const pair of this.pairs) {
      pair.isOneWay = true
    }
  }

  /** Holds up each chunk of bytes by the time in milliseconds until `restore`. */
  delay (delayMs: number): void {
    this.delayMs = delayMs
  }

  /** Forwards new connections again, without delay. */
  restore (): void {
    this.mode = 'forward'
    this.delayMs = 0
  }

  /** Resets the open connections and refuses new ones, as where the process has ended, until `acceptAgain`. */
  refuse (): void {
    this.address = this.server.address() as net.AddressInfo | null ?? this.address
    this.server.close()
    this.resetOpen()
  }

  acceptAgain (): void {
    if (!this.server.listening && this.address !== null && !this.isClosed) {
      this.server.listen(this.address.port, this.address.address)
    }
  }

  close (): Promise<void> {
    this.isClosed = true
    this.resetOpen()
    return new Promise(resolve => this.server.close(() => resolve()))
  }

  private accept (near: net.Socket): void {
    near.setNoDelay(true)
    if (this.mode === 'reset') {
      near.on('error', () => {})
      resetSocket(near)
      return
    }
    const far = net.connect({ host: this.target.host, port: this.target.port, noDelay: true, allowHalfOpen: true })
    const pair = { near, far, isSilent: this.mode === 'silent', isOneWay: this.mode === 'one_way', hasSwallowed: false }
    this.pairs.add(pair)
    this.forward(pair, near, far)
    this.forward(pair, far, near)
  }

  private forward (pair: Pair, from: net.Socket, to: net.Socket): void {
    let isHolding = false
    const afterHeld: Array<() => void> = []
    // Node reports the end of a paused socket at once, ahead of bytes that are held up here.
    const inOrder = (action: () => void): void => {
      if (isHolding && from.errored === null) {
        afterHeld.push(action)
      } else {
        action()
      }
    }
    from.on('data', chunk => {
      if (pair.isSilent || (pair.isOneWay && from === pair.far)) {
        pair.hasSwallowed = true
        return
      }
      if (this.delayMs > 0) {
        from.pause()
        isHolding = true
        setTimeout(() => {
          isHolding = false
          this.pass(chunk, from, to)
          for (const action of afterHeld.splice(0)) {
            action()
          }
        }, this.delayMs)
        return
      }
      this.pass(chunk, from, to)
    })
    from.on('end', () => {
      // A reset that is found together with the last bytes is reported as an end; the connection then has no other side any more.
      const wasReset = from.remoteAddress === undefined
      inOrder(() => {
        if (!pair.isSilent && (pair.hasSwallowed || wasReset)) {
          this.reset(pair)
        } else if (!pair.isSilent) {
          to.end()
        }
      })
    })
    from.on('error', () => {})
    from.on('close', () => inOrder(() => this.noteClosed(pair, from, to)))
  }

  private pass (chunk: Buffer, from: net.Socket, to: net.Socket): void {
    if (to.write(chunk)) {
      from.resume()
      return
    }
    from.pause()
    to.once('drain', () => from.resume())
  }

  private noteClosed (pair: Pair, closed: net.Socket, other: net.Socket): void {
    if (other.destroyed) {
      this.pairs.delete(pair)
    } else if (!pair.isSilent && closed.errored !== null) {
      resetSocket(other)
    } else if (!pair.isSilent) {
      other.end()
    }
  }

  private reset (pair: Pair): void {
    this.pairs.delete(pair)
    resetSocket(pair.near)
    resetSocket(pair.far)
  }
}

/**
 * Resets a connection. One whose end is still being sent is closed instead: Node never finishes its reset, and the
 * process does not exit.
 */
export function resetSocket (socket: net.Socket): void {
  if (socket.writableEnded && !socket.writableFinished) {
    socket.destroy()
    return
  }
  socket.resetAndDestroy()
}
