/**
 * What the product adds to a request: latency against direct calls of the stand-ins in the same run, and bare round
 * trips between two processes beside it; processor time per request and token, and what idle processes cost.
 */
import * as undici from 'undici'
import * as echoes from './support/echo.js'
import * as fleetProcesses from '../tools/fleet_process.js'
import * as fleets from '../tools/fleet.js'
import * as operators from '../tools/operator.js'
import * as percentiles from './support/percentile.js'
import * as usages from './support/process_usage.js'

const plan = {
  zones: [{ zone: 'zone-a', entries: 1, prefill: 1, decode: 1, service: 1 }],
  engine: { prefillOverheadMs: 1, stepMs: 2, stepMsPerRequest: 0, slots: 64, prefillTokensPerSecond: 100_000, memoryPieces: 2000 }
}

const warmUps = 300
const samples = 500
const loadRequests = 1500
const loadWidth = 32
const loadTokens = 64
const idleMs = 8000
const workspace = 'bench'

interface Latency {
  readonly p50: number
  readonly p99: number
}

interface Sample {
  readonly firstTokenMs: number
  readonly totalMs: number
}

async function main (): Promise<void> {
  const fleet = await fleets.startFleet(plan, async started => {
    await createOperator(started).addSections(started.listSections())
  })
  try {
    console.log(JSON.stringify(await measure(fleet), undefined, 2))
  } finally {
    await fleet.stop()
  }
}

function createOperator (fleet: fleets.Fleet): operators.Operator {
  return new operators.Operator(fleet.entries[0]?.administrationUrl ?? '', fleet.secrets.administrator)
}

async function measure (fleet: fleets.Fleet): Promise<object> {
  const operator = createOperator(fleet)
  await operator.run('workspace', 'create', workspace, '--rate', '100000000', '--burst', '1000000000')
  const { key } = await operator.ask('key', 'create', workspace, '--id', 'bench')
  const headers = { authorization: `Bearer ${key}`, 'content-type': 'application/json' }
  const through = new Caller(fleet.entries[0]?.callersUrl ?? '', headers)
  const [prefill, decode, service] = fleet.servers
  const direct = new DirectCaller(prefill?.standin.url ?? '', decode?.standin.url ?? '', service?.standin.url ?? '')
  const echo = await echoes.Echo.start()
  await alternate(direct, through, echo, warmUps)
  const latencies = await alternate(direct, through, echo, samples)
  echo.stop()
  const load = await measureLoad(fleet, through)
  const idle = await measureIdle(fleet)
  return { latencies, load, idle }
}

/** One way to reach the servers. */
abstract class Way {
  abstract complete (tokens: number): Promise<Sample>
  /** Returns the time of a call of the plain service, in milliseconds. */
  abstract call (): Promise<number>
}

class Caller extends Way {
  constructor (private readonly url: string, private readonly headers: Record<string, string>) {
    super()
  }

  override complete (tokens: number): Promise<Sample> {
    const body = { model: 'model', prompt: 'A prompt of the benchmark', max_tokens: tokens, stream: true }
    return stream(`${this.url}/v1/completions`, this.headers, body)
  }

  override async call (): Promise<number> {
    return time(() => read(`${this.url}/bookings`, this.headers))
  }
}

/** Joins prefill and decode by itself, as a caller without the product would have to. */
class DirectCaller extends Way {
  private requests = 0

  constructor (
    private readonly prefillUrl: string, private readonly decodeUrl: string, private readonly serviceUrl: string
  ) {
    super()
  }

  override async complete (tokens: number): Promise<Sample> {
    const started = performance.now()
    const common = { model: 'model', prompt: 'A prompt of the benchmark' }
    const response = await undici.request(`${this.prefillUrl}/v1/completions`, {
      method: 'POST',
      headers: this.createHeaders(),
      body: JSON.stringify({ ...common, max_tokens: 1, kv_transfer_params: { do_remote_decode: true } })
    })
    const prefilled: any = await response.body.json()
    const spentMs = performance.now() - started
    const transfer = { ...prefilled.kv_transfer_params, do_remote_prefill: true }
    const body = { ...common, max_tokens: tokens, stream: true, kv_transfer_params: transfer }
    const decoded = await stream(`${this.decodeUrl}/v1/completions`, this.createHeaders(), body)
    return { firstTokenMs: spentMs + decoded.firstTokenMs, totalMs: spentMs + decoded.totalMs }
  }

  override async call (): Promise<number> {
    return time(() => read(`${this.serviceUrl}/bookings`, this.createHeaders()))
  }

  private createHeaders (): Record<string, string> {
    this.requests += 1
    return { 'content-type': 'application/json', 'x-request-id': `direct-${this.requests}` }
  }
}

async function stream (url: string, headers: Record<string, string>, body: object): Promise<Sample> {
  const started = performance.now()
  const response = await undici.request(url, { method: 'POST', headers, body: JSON.stringify(body) })
  if (response.statusCode !== 200) {
    throw new Error(`${response.statusCode} ${await response.body.text()}`)
  }
  const ended = new Promise(resolve => response.body.once('end', resolve))
  const first = await new Promise<number>(resolve => response.body.once('data', () => resolve(performance.now())))
  response.body.resume()
  await ended
  return { firstTokenMs: first - started, totalMs: performance.now() - started }
}

async function read (url: string, headers: Record<string, string>): Promise<void> {
  const response = await undici.request(url, { headers })
  await response.body.text()
  if (response.statusCode !== 200) {
    throw new Error(`${response.statusCode} from ${url}`)
  }
}

async function time (work: () => Promise<void>): Promise<number> {
  const started = performance.now()
  await work()
  return performance.now() - started
}

/** Takes turns between the two ways and bare round trips, so that all see the same machine. */
async function alternate (direct: Way, through: Way, echo: echoes.Echo, count: number): Promise<object> {
  const firstTokens = { direct: [] as number[], through: [] as number[] }
  const calls = { direct: [] as number[], through: [] as number[] }
  const echoMs: number[] = []
  for (let index = 0; index < count; index += 1) {
    firstTokens.direct.push((await direct.complete(2)).firstTokenMs)
    firstTokens.through.push((await through.complete(2)).firstTokenMs)
    calls.direct.push(await direct.call())
    calls.through.push(await through.call())
    echoMs.push(await echo.measure())
  }
  return { firstTokenMs: compare(firstTokens), plainCallMs: compare(calls), bareRoundTripMs: summarize(echoMs) }
}

function compare (times: { readonly direct: number[], readonly through: number[] }): object {
  const direct = summarize(times.direct)
  const through = summarize(times.through)
  return { direct, through, added: { p50: through.p50 - direct.p50, p99: through.p99 - direct.p99 } }
}

function summarize (values: readonly number[]): Latency {
  return { p50: percentiles.getPercentile(values, 0.5), p99: percentiles.getPercentile(values, 0.99) }
}

/** Runs a closed loop of streamed completions and accounts the processor time of the product's processes. */
async function measureLoad (fleet: fleets.Fleet, through: Way): Promise<object> {
  const before = readUsages(fleet)
  const started = performance.now()
  let left = loadRequests
  const work = async (): Promise<void> => {
    while (left > 0) {
      left -= 1
      await through.complete(loadTokens)
    }
  }
  await Promise.all(Array.from({ length: loadWidth }, work))
  const seconds = (performance.now() - started) / 1000
  const after = readUsages(fleet)
  const perProcess: Record<string, object> = {}
  for (const [id, usage] of after) {
    const cpuMs = usage.cpuMs - (before.get(id)?.cpuMs ?? 0)
    perProcess[id] = {
      cpuMsPerRequest: cpuMs / loadRequests,
      cpuMicrosecondsPerToken: cpuMs * 1000 / (loadRequests * loadTokens),
      requestsPerSecondPerCore: loadRequests / (cpuMs / 1000),
      residentMb: usage.residentMb
    }
  }
  return { requestsPerSecond: loadRequests / seconds, tokensPerRequest: loadTokens, perProcess }
}

async function measureIdle (fleet: fleets.Fleet): Promise<object> {
  const before = readUsages(fleet)
  const bytesBefore = await readControlBytes(fleet)
  await new Promise(resolve => setTimeout(resolve, idleMs))
  const after = readUsages(fleet)
  const bytesAfter = await readControlBytes(fleet)
  const result: Record<string, object> = {}
  for (const [id, usage] of after) {
    result[id] = {
      corePercent: (usage.cpuMs - (before.get(id)?.cpuMs ?? 0)) / idleMs * 100,
      controlBytesPerSecond: ((bytesAfter.get(id) ?? 0) - (bytesBefore.get(id) ?? 0)) / (idleMs / 1000),
      residentMb: usage.residentMb
    }
  }
  return result
}

function listDaemons (fleet: fleets.Fleet): readonly fleetProcesses.FleetProcess[] {
  return [...fleet.entries, ...fleet.servers].map(node => node.process)
}

function readUsages (fleet: fleets.Fleet): ReadonlyMap<string, usages.ProcessUsage> {
  const result = new Map<string, usages.ProcessUsage>()
  for (const daemon of listDaemons(fleet)) {
    if (daemon.pid !== undefined) {
      result.set(daemon.id, usages.readProcessUsage(daemon.pid))
    }
  }
  return result
}

async function readControlBytes (fleet: fleets.Fleet): Promise<ReadonlyMap<string, number>> {
  const result = new Map<string, number>()
  for (const entry of fleet.entries) {
    result.set(entry.process.id, await readGauge(`${entry.administrationUrl}/metrics`))
  }
  for (const server of fleet.servers) {
    const { host, port } = server.addresses.health
    result.set(server.process.id, await readGauge(`http://${host}:${port}/metrics`))
  }
  return result
}

async function readGauge (url: string): Promise<number> {
  const response = await undici.request(url)
  const text = await response.body.text()
  let sum = 0
  for (const match of text.matchAll(/^mulberryflow_link_bytes\{purpose="control",direction="\w+"\} ([\d.e+]+)$/gm)) {
    sum += Number(match[1])
  }
  return sum
}

await main()
process.exit(0)
