/**
 * Watches of the store stand-in: one line of JSON for each message, on a response that stays open.
 */
import * as storeCore from './store_core.js'
import * as storeGateway from './store_gateway.js'
import * as storeMessages from './store_messages.js'
import * as webHosts from './web_host.js'
import * as host from '../src/host/types.js'

export class StoreWatches {
  private readonly open = new Map<webHosts.Exchange, host.Stop>()

  constructor (private readonly core: storeCore.StoreCore) {}

  get count (): number {
    return this.open.size
  }

  /** Opens a watch on the exchange, with events from the wanted revision on. */
  start (exchange: webHosts.Exchange, request: storeMessages.WatchRequest['create_request']): void {
    exchange.response.writeHead(200, { 'content-type': 'application/json' })
    this.send(exchange, { header: storeMessages.createHeader(this.core.revision), created: true })
    if (request.start_revision > 0 && request.start_revision <= this.core.compactedRevision) {
      this.cancelCompacted(exchange)
      return
    }
    const fromRevision = request.start_revision > 0 ? request.start_revision : this.core.revision + 1
    const stop = this.core.watchSpan(storeGateway.toSpan(request), fromRevision, events => {
      this.send(exchange, { header: storeMessages.createHeader(this.core.revision), events: events.map(toEvent) })
    })
    this.open.set(exchange, stop)
    exchange.response.once('close', () => {
      this.open.delete(exchange)
      stop()
    })
  }

  /** Closes the connections of all watches. */
  closeAll (): void {
    for (const exchange of [...this.open.keys()]) {
      exchange.drop()
    }
  }

  /** Makes the open watches silent for good without closing them. */
  silenceAll (): void {
    for (const stop of this.open.values()) {
      stop()
    }
  }

  /** Events that the caller asked for are gone, so that it has to read anew. */
  private cancelCompacted (exchange: webHosts.Exchange): void {
    const header = storeMessages.createHeader(this.core.revision)
    const compactRevision = String(this.core.compactedRevision + 1)
    this.send(exchange, { header, canceled: true, compact_revision: compactRevision })
    exchange.response.end()
  }

  private send (exchange: webHosts.Exchange, result: object): void {
    exchange.response.write(`${JSON.stringify({ result })}\n`)
  }
}

function toEvent (event: host.StoreEvent): object {
  if (event.kind === 'delete') {
    const kv = { key: storeMessages.encodeText(event.key), mod_revision: String(event.modRevision) }
    return { type: 'DELETE', kv }
  }
  return { kv: storeMessages.createKeyValue({ ...event.entry, version: 1, lease: undefined }) }
}
