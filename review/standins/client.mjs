/**
 * Stand-in of a client: one connection that carries requests one after the other, and what came back on it byte by byte.
 */
import * as net from 'node:net'
import * as deployments from './deployment.mjs'

/** One way between a client and a gateway, as on the sheet of the deployment. */
const clientMs = 1

const streamHeaders = ['Model: m', 'Token-Count: 320,40', 'Prompt-Prefix: 5c1e07a2:200,91bd3f06:120']

/** Text of a request; streams need `isStream`. */
export function writeRequest (id, path, { isStream = false, body = '', deadlineMs = isStream ? 14_000 : 1_500, more = [], method = body === '' ? 'GET' : 'POST' } = {}) {
  const lines = [
    `${method} ${path} HTTP/1.1`, `Host: ${deployments.host}`, `Request-Id: ${id}`, `Api-Key: ${deployments.key}`, `Deadline-Ms: ${deadlineMs}`,
    ...(isStream ? streamHeaders : []), ...(body === '' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]), ...more
  ]
  return `${lines.join('\r\n')}\r\n\r\n${body}`
}

export class Connection {
  /** How the connection ended: `open`, `end` (orderly) or an error code. */
  state = 'open'
  #socket
  #received = Buffer.alloc(0)
  #wake = () => {}

  constructor ({ ip, port }) {
    this.#socket = net.connect({ host: ip, port, noDelay: true, allowHalfOpen: true })
    this.#socket.on('data', chunk => setTimeout(() => {
      this.#received = Buffer.concat([this.#received, chunk])
      this.#wake()
    }, clientMs))
    this.#socket.on('end', () => this.#end('end'))
    this.#socket.on('error', error => this.#end(error.code ?? 'error'))
  }

  write (text) {
    setTimeout(() => this.#socket.write(text), clientMs)
  }

  /**
   * Sends a request and returns its answer: `status`, `headers`, `body`, and whether it is complete by its framing; an answer with
   * neither a length nor chunks is complete if its connection ended orderly.
   */
  async send (text) {
    this.write(text)
    while (true) {
      const answer = this.#parse()
      if (answer.isComplete || this.state !== 'open') {
        if (answer.length > 0) {
          this.#received = this.#received.subarray(answer.length)
        }
        return answer
      }
      await new Promise(resolve => {
        this.#wake = resolve
      })
    }
  }

  close () {
    setTimeout(() => this.#socket.destroy(), clientMs)
  }

  #end (state) {
    setTimeout(() => {
      if (this.state === 'open') {
        this.state = state
        this.#wake()
        this.close()
      }
    }, clientMs)
  }

  #parse () {
    const text = this.#received.toString('latin1')
    const end = text.indexOf('\r\n\r\n')
    if (end < 0) {
      return { status: 0, headers: new Map(), body: '', isComplete: false, length: 0, framing: 'none' }
    }
    const [first, ...lines] = text.slice(0, end).split('\r\n')
    const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
    const status = Number(first.split(' ')[1])
    const rest = text.slice(end + 4)
    const length = headers.get('content-length')
    if (length !== undefined) {
      const body = rest.slice(0, Number(length))
      return { status, headers, body, isComplete: body.length === Number(length), length: end + 4 + body.length, framing: 'length' }
    }
    if (/chunked/i.test(headers.get('transfer-encoding') ?? '')) {
      const { body, length: used, isComplete } = decodeChunks(rest)
      return { status, headers, body, isComplete, length: end + 4 + used, framing: 'chunks' }
    }
    return { status, headers, body: rest, isComplete: this.state === 'end', length: end + 4 + rest.length, framing: 'connection' }
  }
}

function decodeChunks (text) {
  let body = ''
  let at = 0
  while (true) {
    const line = text.indexOf('\r\n', at)
    const size = line < 0 ? NaN : parseInt(text.slice(at, line), 16)
    if (Number.isNaN(size) || text.length < line + 2 + size + 2) {
      return { body, length: text.length, isComplete: false }
    }
    if (size === 0) {
      return { body, length: line + 4, isComplete: true }
    }
    body += text.slice(line + 2, line + 2 + size)
    at = line + 2 + size + 2
  }
}

/** Numbers of the events in the body of a stream. */
export function listEvents (body) {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number))
}
