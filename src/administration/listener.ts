/**
 * The listener of the administration API.
 */
import * as events from 'node:events'
import * as h3 from 'h3/node'
import * as http from 'node:http'
import * as net from 'node:net'
import * as applications from './application.js'
import * as httpListeners from '../daemon/http_listener.js'
import * as identities from '../contracts/identity.js'
import * as memoryBounds from '../host/memory_bounds.js'

export interface ListenerLimits {
  /** Memory of this process, in megabytes. */
  readonly memoryMb: number
  /** Descriptors of this process. */
  readonly descriptors: number
  /** All headers of a request, in bytes. */
  readonly headerBytes: number
  /** Headers of a request. */
  readonly headerCount: number
  /** Longest time for a request to arrive, in milliseconds. */
  readonly bodyTimeoutMs: number
}

/** Longest time that calls under way, and connections without a whole request, hold up closing, in milliseconds. */
const closeTimeoutMs = 2_000

export class AdministrationListener {
  private readonly server: http.Server

  constructor (private readonly options: applications.ApplicationOptions, limits: ListenerLimits) {
    const handler = httpListeners.closingBehindBodies(h3.toNodeHandler(applications.createApplication(options)) as http.RequestListener)
    this.server = http.createServer({
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.bodyTimeoutMs,
      requestTimeout: limits.bodyTimeoutMs,
      connectionsCheckingInterval: Math.max(100, limits.bodyTimeoutMs / 10)
    }, handler)
    this.server.maxHeadersCount = limits.headerCount
    httpListeners.boundConnections(this.server, memoryBounds.createConnectionBounds(limits).operators)
  }

  /** Listens and returns the port, which is chosen if the address has port 0. */
  async listen (address: Pick<identities.Address, 'host'> & { readonly port: number }): Promise<number> {
    this.server.listen(address.port, address.host)
    await events.EventEmitter.once(this.server, 'listening')
    return (this.server.address() as net.AddressInfo).port
  }

  /** Closes the listener once the calls under way have been answered, or cuts what takes too long. */
  async close (): Promise<void> {
    const closed = events.EventEmitter.once(this.server, 'close')
    this.server.close()
    this.server.closeIdleConnections()
    const stopTimer = this.options.clock.after(closeTimeoutMs, () => this.server.closeAllConnections())
    await closed
    stopTimer()
  }
}
