/**
 * Binds an HTTP server to an address.
 */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as eventLoop from '../host/event_loop.js'
import * as identities from '../contracts/identity.js'

/** Resolves when the server listens; rejects if the address cannot be bound. */
export function listen (server: http.Server, address: identities.Address): Promise<void> {
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
