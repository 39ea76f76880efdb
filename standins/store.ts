/**
 * Stand-in of the platform's key-value service, over HTTP.
 */
import * as z from 'zod'
import * as knobs from './knobs.js'
import * as outages from './outages.js'
import * as realClocks from './real_clock.js'
import * as storeCore from './store_core.js'
import * as storeFaults from './store_faults.js'
import * as storeGateway from './store_gateway.js'
import * as storeMessages from './store_messages.js'
import * as storeWatch from './store_watch.js'
import * as webHosts from './web_host.js'

/** How often expired leases are looked for, in milliseconds. */
const leaseCheckMs = 50

type CallKind = 'read' | 'write'

export class Store {
  private readonly clock = new realClocks.RealClock()
  private readonly core: storeCore.StoreCore
  private readonly gateway: storeGateway.StoreGateway
  private readonly watches: storeWatch.StoreWatches
  private readonly counts = new storeFaults.CallCounts(this.clock)
  private readonly budgets = {
    read: new storeFaults.CallBudget(this.clock),
    write: new storeFaults.CallBudget(this.clock)
  }

  private readonly faults: knobs.Knobs<typeof storeFaults.StoreFaults>
  private readonly web = new webHosts.WebHost(exchange => this.admit(exchange))
  private readonly stopLeaseCheck = this.clock.every(leaseCheckMs, () => this.core.expireLeases())

  /** `historyLength` is the number of commits whose events are kept for watches. */
  constructor (faults: z.input<typeof storeFaults.StoreFaults> = {}, historyLength?: number) {
    this.core = new storeCore.StoreCore(this.clock, historyLength)
    this.gateway = new storeGateway.StoreGateway(this.core)
    this.watches = new storeWatch.StoreWatches(this.core)
    this.faults = new knobs.Knobs(storeFaults.StoreFaults, faults)
    this.faults.addRoutes(this.web, () => this.applyFaults())
    this.web.route('GET', '/_state', exchange => exchange.sendJson(200, this.describe()))
    this.addKeyRoutes()
    this.addLeaseRoutes()
    this.web.route('POST', '/v3/watch', exchange => this.watch(exchange))
  }

  listen (host: string, port: number): Promise<number> {
    return this.web.listen(host, port)
  }

  close (): Promise<void> {
    this.stopLeaseCheck()
    return this.web.close()
  }

  private describe (): object {
    return { revision: this.core.revision, calls: this.counts.describe(), openWatches: this.watches.count }
  }

  private applyFaults (): void {
    const { outage, staleReads } = this.faults.current
    this.gateway.setStale(staleReads !== 'none')
    if (outage === 'hang') {
      this.watches.silenceAll()
    } else if (outage === 'refuse' || outage === 'close') {
      this.watches.closeAll()
    }
  }

  private async admit (exchange: webHosts.Exchange): Promise<boolean> {
    const { outage, delayMs } = this.faults.current
    if (delayMs > 0) {
      await this.clock.sleep(delayMs)
    }
    return outages.passOutage(exchange, outage, () => {
      sendAnswer(exchange, { refused: 'unavailable', message: 'etcdserver: no leader' })
    })
  }

  private addKeyRoutes (): void {
    this.addCall('/v3/kv/range', storeMessages.RangeRequest, () => 'read', request => this.readRange(request))
    this.addCall('/v3/kv/put', storeMessages.PutRequest, () => 'write', request => {
      return this.gateway.put({ request_put: request })
    })
    this.addCall('/v3/kv/deleterange', storeMessages.DeleteRequest, () => 'write', request => {
      return this.gateway.put({ request_delete_range: request })
    })
    this.addCall('/v3/kv/txn', storeMessages.TxnRequest, getTxnKind, request => this.gateway.commit(request))
  }

  private addLeaseRoutes (): void {
    const revoke = (request: z.infer<typeof storeMessages.LeaseRequest>): storeGateway.Answer => {
      return this.gateway.revokeLease(String(request.ID))
    }
    this.addCall('/v3/lease/grant', storeMessages.LeaseGrantRequest, () => 'write', request => {
      return this.gateway.grantLease(request.TTL)
    })
    this.addCall('/v3/lease/keepalive', storeMessages.LeaseRequest, () => 'write', request => {
      return this.gateway.renewLease(String(request.ID))
    })
    this.addCall('/v3/lease/revoke', storeMessages.LeaseRequest, () => 'write', revoke)
    this.addCall('/v3/kv/lease/revoke', storeMessages.LeaseRequest, () => 'write', revoke)
  }

  private addCall<Schema extends z.ZodType> (
    path: string,
    schema: Schema,
    getKind: (request: z.infer<Schema>) => CallKind,
    operate: (request: z.infer<Schema>) => storeGateway.Answer
  ): void {
    this.web.route('POST', path, exchange => {
      const request = this.accept(exchange, schema, getKind)
      if (request === undefined) {
        return
      }
      const answer = operate(request)
      if (getKind(request) === 'write' && !storeGateway.isRefusal(answer) && this.takeLostAnswer(exchange)) {
        return
      }
      sendAnswer(exchange, answer)
    })
  }

  private readRange (request: storeMessages.RangeRequest): object {
    const isStale = this.faults.current.staleReads === 'all' || request.serializable
    return isStale ? this.gateway.readStale(request) : this.gateway.readRange(request)
  }

  /** Checks a call and counts it; answers it itself and returns `undefined` when it is refused. */
  private accept<Schema extends z.ZodType> (
    exchange: webHosts.Exchange, schema: Schema, getKind: (request: z.infer<Schema>) => CallKind
  ): z.infer<Schema> | undefined {
    const parsed = schema.safeParse(exchange.parseBody())
    if (!parsed.success) {
      sendAnswer(exchange, { refused: 'invalidArgument', message: z.prettifyError(parsed.error) })
      return undefined
    }
    const kind = getKind(parsed.data)
    this.counts.addCall(kind, exchange.url.pathname)
    const { readsPerSecond, writesPerSecond } = this.faults.current
    if (!this.budgets[kind].tryTake(kind === 'read' ? readsPerSecond : writesPerSecond)) {
      this.counts.add('refused')
      sendAnswer(exchange, { refused: 'resourceExhausted', message: 'etcdserver: too many requests' })
      return undefined
    }
    return parsed.data
  }

  private takeLostAnswer (exchange: webHosts.Exchange): boolean {
    if (!this.faults.tryTake('lostAnswers')) {
      return false
    }
    this.counts.add('lost')
    if (this.faults.current.lostAnswerKind === 'close') {
      exchange.drop()
    }
    return true
  }

  private watch (exchange: webHosts.Exchange): void {
    const request = this.accept(exchange, storeMessages.WatchRequest, () => 'read')
    if (request !== undefined) {
      this.watches.start(exchange, request.create_request)
    }
  }
}

function getTxnKind (request: storeMessages.TxnRequest): CallKind {
  const operations = [...request.success, ...request.failure]
  return operations.every(operation => 'request_range' in operation) ? 'read' : 'write'
}

function sendAnswer (exchange: webHosts.Exchange, answer: storeGateway.Answer): void {
  if (storeGateway.isRefusal(answer)) {
    exchange.sendJson(storeMessages.statusCodes[answer.refused].status, storeMessages.createErrorBody(answer))
    return
  }
  exchange.sendJson(200, answer)
}
