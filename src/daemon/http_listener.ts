/**
 * Binds an HTTP server to an address.
 */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as eventLoop from '../host/event_loop.js'
import * as identities from '../contracts/identity.js'

/** Header that closes the connection of a request with a body, which is not read: the caller could send it without end. */
export function closeBehindBody (request: http.IncomingMessage): { readonly Connection?: 'close' } {
  const { 'content-length': length, 'transfer-encoding': coding } = request.headers
  return coding !== undefined || Number(length ?? 0) > 0 ? { Connection: 'close' } : {}
}

/** Returns a listener that closes the connection behind the answer to a request with a body. */
export function closingBehindBodies (listener: http.RequestListener): http.RequestListener {
  return (request, response) => {
    if (closeBehindBody(request).Connection !== undefined) {
      response.shouldKeepAlive = false
    }
    listener(request, response)
  }
}

/** Closes the connection on which the last request came longest ago whenever more than `maximum` are open. */
export function boundConnections (server: http.Server, maximum: number): void {
  const sockets = new Set<net.Socket>()
  server.on('connection', (socket: net.Socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    const [oldest] = sockets
    if (sockets.size > maximum && oldest !== undefined) {
      sockets.delete(oldest)
      oldest.destroy()
    }
  })
  server.on('request', ({ socket }: http.IncomingMessage) => {
    if (sockets.delete(socket)) {
      sockets.add(socket)
    }
  })
}

/** Resolves when the server listens; rejects if the address cannot be bound. No more than `maximumConnections` are kept open. */
export function listen (server: http.Server, address: identities.Address, maximumConnections = Infinity): Promise<void> {
  boundConnections(server, maximumConnections)
  server.on('timeout', expireIdle)
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(address.port, address.host, resolve)
  })
}

/** Closes a connection whose idle time-out is over, unless a request came just before: Node.js would reset it with the request. */
function expireIdle (socket: net.Socket): void {
  const { bytesRead } = socket
  eventLoop.afterSocketReads(() => {
    if (socket.bytesRead === bytesRead) {
      socket.destroy()
    }
  })
}
