/**
 * Stand-in of a plain service: collections such as bookings or reports, whose creation is not idempotent.
 */
import * as z from 'zod'
import * as headerLogs from './header_log.js'
import * as knobs from './knobs.js'
import * as outages from './outages.js'
import * as realClocks from './real_clock.js'
import * as webHosts from './web_host.js'

export const ServiceFaults = z.strictObject({
  outage: outages.Outage.default('none'),
  /** Working time of each call, in milliseconds. */
  delayMs: z.number().nonnegative().default(0),
  /** Number of following creations that are answered 500 without running. */
  failBeforeRun: z.number().int().nonnegative().default(0),
  /** Number of following creations that run and are then answered 500. */
  failAfterRun: z.number().int().nonnegative().default(0),
  /** Number of following creations that run and are never answered. */
  hangAfterRun: z.number().int().nonnegative().default(0),
  /** Number of following creations that run and whose connection is then closed without an answer. */
  closeAfterRun: z.number().int().nonnegative().default(0)
})
export type ServiceFaults = z.infer<typeof ServiceFaults>

interface Item {
  readonly id: string
  readonly content: unknown
}

/** One creation that ran. */
interface Run {
  readonly requestId: string
  readonly collection: string
  readonly body: string
}

export class Service {
  private readonly clock = new realClocks.RealClock()
  private readonly collections = new Map<string, Item[]>()
  private readonly runs: Run[] = []
  private readonly headers = new headerLogs.HeaderLog()
  private readonly faults: knobs.Knobs<typeof ServiceFaults>
  private readonly web = new webHosts.WebHost(exchange => this.admit(exchange))
  private received = 0
  private inFlight = 0

  constructor (faults: z.input<typeof ServiceFaults> = {}) {
    this.faults = new knobs.Knobs(ServiceFaults, faults)
    this.faults.addRoutes(this.web)
    this.web.route('GET', '/_state', exchange => exchange.sendJson(200, this.describe()))
    this.web.route('GET', '/health', exchange => exchange.sendJson(200, {}))
    this.web.route('GET', '/metrics', exchange => this.sendMetrics(exchange))
    this.web.route('GET', '/:collection', exchange => exchange.sendJson(200, this.getItems(exchange)))
    this.web.route('POST', '/:collection', exchange => this.create(exchange))
    this.web.route('GET', '/:collection/:id', exchange => this.read(exchange))
  }

  listen (host: string, port: number): Promise<number> {
    return this.web.listen(host, port)
  }

  close (): Promise<void> {
    return this.web.close()
  }

  private describe (): object {
    const runsById: Record<string, number> = {}
    const runsByBody: Record<string, number> = {}
    for (const run of this.runs) {
      runsById[run.requestId] = (runsById[run.requestId] ?? 0) + 1
      const key = `${run.collection} ${run.body}`
      runsByBody[key] = (runsByBody[key] ?? 0) + 1
    }
    const { received, inFlight } = this
    return { received, inFlight, runs: this.runs.length, runsById, runsByBody, ...this.headers.describe() }
  }

  private async admit (exchange: webHosts.Exchange): Promise<boolean> {
    const { outage, delayMs } = this.faults.current
    if (!outages.passOutage(exchange, outage, () => exchange.sendJson(503, { error: 'outage' }))) {
      return false
    }
    this.headers.record(exchange)
    this.received += 1
    this.inFlight += 1
    exchange.response.once('close', () => {
      this.inFlight -= 1
    })
    if (delayMs > 0) {
      await this.clock.sleep(delayMs)
    }
    return true
  }

  private sendMetrics (exchange: webHosts.Exchange): void {
    const name = 'http_requests_in_flight'
    exchange.send(200, 'text/plain; version=0.0.4', `# TYPE ${name} gauge\n${name} ${this.inFlight}\n`)
  }

  private getItems (exchange: webHosts.Exchange): Item[] {
    const collection = exchange.params['collection'] ?? ''
    let items = this.collections.get(collection)
    if (items === undefined) {
      items = []
      this.collections.set(collection, items)
    }
    return items
  }

  private read (exchange: webHosts.Exchange): void {
    const item = this.getItems(exchange).find(candidate => candidate.id === exchange.params['id'])
    if (item === undefined) {
      exchange.sendJson(404, { error: 'not found' })
      return
    }
    exchange.sendJson(200, item)
  }

  private create (exchange: webHosts.Exchange): void {
    if (this.faults.tryTake('failBeforeRun')) {
      exchange.sendJson(500, { error: 'failed before running' })
      return
    }
    const item = this.run(exchange)
    if (this.faults.tryTake('failAfterRun')) {
      exchange.sendJson(500, { error: 'failed after running' })
    } else if (this.faults.tryTake('closeAfterRun')) {
      exchange.drop()
    } else if (!this.faults.tryTake('hangAfterRun')) {
      exchange.sendJson(201, item)
    }
  }

  private run (exchange: webHosts.Exchange): Item {
    const items = this.getItems(exchange)
    const item = { id: String(items.length + 1), content: exchange.parseBody() }
    items.push(item)
    this.runs.push({
      requestId: exchange.getHeader('x-request-id') ?? '',
      collection: exchange.params['collection'] ?? '',
      body: exchange.body.toString('utf8')
    })
    return item
  }
}
