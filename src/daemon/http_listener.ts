/**
 * Binds an HTTP server to an address.
 */
import * as http from 'node:http'
import * as identities from '../contracts/identity.js'

/** Resolves when the server listens; rejects if the address cannot be bound. */
export function listen (server: http.Server, address: identities.Address): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(address.port, address.host, resolve)
  })
}
