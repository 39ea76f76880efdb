/**
 * Access to the parser of a connection of Node's HTTP server, which Node.js does not document.
 */
import type * as http from 'node:http'
import type * as net from 'node:net'

interface SkippedRequest extends http.IncomingMessage {
  /** Lets the parser drop the body; it would stop reading the connection for a body that nobody reads. */
  _dump (): void
  upgrade: boolean
}

interface Parser {
  onIncoming?: (request: SkippedRequest) => number
}

/**
 * Skips the requests that the parser finds from now on. One read may hold some thousand requests, for each of which the parser's own listener would
 * keep a response until the connection ends.
 */
export function skipRequests (socket: net.Socket): void {
  const { parser } = socket as net.Socket & { readonly parser?: Parser | null }
  if (parser === undefined || parser === null) {
    return
  }
  parser.onIncoming = request => {
    // Node's own listener does both; a request with an upgrade would otherwise take the connection from the server.
    request.upgrade = false
    request._dump()
    return 0
  }
}
