/**
 * HTTP listener shared by the stand-ins. Handlers get the raw request and response, so that a fault may
 * leave a request without an answer or close its connection.
 */
import * as http from 'node:http'
import * as net from 'node:net'
import * as h3 from 'h3/node'

export type Method = 'GET' | 'HEAD' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
export type Handler = (exchange: Exchange) => void | Promise<void>

/** Paths that faults leave alone: the controls of the stand-in itself. */
const controlPrefix = '/_'

/** One request with its whole body, and its response. */
export class Exchange {
  readonly url: URL

  constructor (
    readonly request: http.IncomingMessage,
    readonly response: http.ServerResponse,
    readonly params: Readonly<Record<string, string>>,
    readonly body: Buffer
  ) {
    this.url = new URL(request.url ?? '/', 'http://standin')
  }

  get isControl (): boolean {
    return this.url.pathname.startsWith(controlPrefix)
  }

  getHeader (name: string): string | undefined {
    const value = this.request.headers[name]
    return Array.isArray(value) ? value.join(', ') : value
  }

  /** Returns the body as JSON; `undefined` if it is not JSON. */
  parseBody (): unknown {
    try {
      return JSON.parse(this.body.toString('utf8'))
    } catch {
      return undefined
    }
  }

  sendJson (status: number, value: unknown): void {
    this.send(status, 'application/json', JSON.stringify(value))
  }

  send (status: number, type: string, text: string): void {
    if (this.response.headersSent || this.response.destroyed) {
      return
    }
    this.response.writeHead(status, { 'content-type': type, 'content-length': Buffer.byteLength(text) })
    this.response.end(text)
  }

  /** Closes the connection without an answer. */
  drop (): void {
    this.request.socket.destroy()
  }
}

/** Decides what happens to a request before its handler runs; false if it took the request over. */
export type Gate = (exchange: Exchange) => Promise<boolean>

export class WebHost {
  private readonly app = new h3.H3()
  private readonly server = http.createServer(h3.toNodeHandler(this.app))

  constructor (private readonly gate: Gate = async () => true) {}

  route (method: Method, path: string, handler: Handler): void {
    this.app.on(method, path, event => {
      const params = event.context.params ?? {}
      return h3.fromNodeHandler((request, response) => {
        return this.run(request as http.IncomingMessage, response as http.ServerResponse, params, handler)
      })(event)
    })
  }

  /** Starts to listen and returns the port; port 0 takes a free one. */
  listen (host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, () => resolve((this.server.address() as net.AddressInfo).port))
    })
  }

  /** Stops listening and closes every connection. */
  close (): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve())
      this.server.closeAllConnections()
    })
  }

  private async run (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    params: Readonly<Record<string, string>>,
    handler: Handler
  ): Promise<void> {
    const closed = new Promise<void>(resolve => response.once('close', resolve))
    const body = await readBody(request)
    if (body === undefined) {
      return
    }
    const exchange = new Exchange(request, response, params, body)
    if (exchange.isControl || await this.gate(exchange)) {
      await handler(exchange)
    }
    // The framework ends the response of a handler that returns.
    await closed
  }
}

/** Returns the whole body; `undefined` if the caller went away before its end. */
function readBody (request: http.IncomingMessage): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    request.on('data', chunk => chunks.push(chunk as Buffer))
    request.once('end', () => resolve(Buffer.concat(chunks)))
    request.once('close', () => resolve(undefined))
    request.once('error', () => resolve(undefined))
  })
}
