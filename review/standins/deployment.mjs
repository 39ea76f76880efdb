/**
 * A small deployment: stand-ins of the store and the servers in this process, and gateways as the deploy file starts them.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as servers from './server.mjs'
import * as stores from './store.mjs'

const root = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..')
const readyTimeoutMs = 20_000
/** Port of the metrics in the deploy file, on the address of the machine. */
const metricsPort = 9464

export const key = '3d3zji9n73hh2b9wu3fe'
export const host = 'ficu95.example'

export class Deployment {
  store = new stores.Store()
  servers = []
  gateways = []
  version = 1
  #startedMs = performance.now()
  #lines = []
  #folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))

  constructor (recordFile) {
    this.recordFile = recordFile
    process.on('exit', () => this.#end())
    for (const signal of ['SIGINT', 'SIGTERM']) {
      process.on(signal, () => process.exit(2))
    }
  }

  record = text => {
    this.#lines.push(`${((performance.now() - this.#startedMs) / 1000).toFixed(4)} ${text}`)
  }

  async start (gatewayCount, specifications, settings = {}) {
    await this.store.start()
    this.putConfiguration()
    for (const [id, options] of Object.entries(specifications)) {
      const server = new servers.Server(id, options, this.record)
      await server.start()
      this.servers.push(server)
      this.store.put(`servers/${id}`, server.describe())
    }
    for (let number = 1; number <= gatewayCount; number += 1) {
      this.gateways.push(new Gateway(`front-z-a-${number}`, await findAddress(), this.store.address, this.#folder, settings))
    }
    for (const gateway of this.gateways) {
      gateway.start()
    }
    for (const gateway of this.gateways) {
      await gateway.waitUntilReady()
    }
    this.record(`${gatewayCount} gateways are ready`)
  }

  /** Writes a version of the configuration as the operator does. */
  putConfiguration (more = {}) {
    const stream = { host, kind: 'stream', timeout_ms: 14_000, goal_ms: 900, priority: 1, service: 'swell-llm', public: false, sticky: true, gap_aim_ms: 300 }
    const plain = { host, timeout_ms: 800, goal_ms: 300, priority: 2, service: 'rider-app', public: false }
    this.store.put('op/config', {
      version: this.version,
      routes: [
        { ...stream, name: 'spot-brief', prefix: '/brief/', attempts: 2, resumable: true },
        { ...stream, name: 'coast-digest', prefix: '/digest/', attempts: 1, resumable: false },
        { ...plain, name: 'slot-book', prefix: '/book/', kind: 'non_idempotent', attempts: 1 },
        { ...plain, name: 'session-read', prefix: '/read/', kind: 'idempotent', attempts: 2 }
      ],
      services: [
        { name: 'swell-llm', health_path: '/healthz', max_conns: 160, engine: { slots: 16, kv_tokens: 32_224, kv_bytes: 327_680, link_mbps: 1_600_000, handle_s: 0.5, switch_s: 6, pin_ms: 4_000, hold_ms: 2_000, models: [{ name: 'm' }] } },
        { name: 'rider-app', health_path: '/healthz', max_conns: 96 }
      ],
      limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
      tenants: [{ name: 'huka270', api_keys: [key], priority: 1, unit: 'tokens', plain_tokens: 200, rate_per_s: 470_000, burst: 470_000 }],
      ...more
    })
    this.version += 3
  }

  listRuns (id) {
    return this.servers.flatMap(({ runs }) => runs).filter(run => run.id === id)
  }

  finish (isBroken, verdict) {
    this.record(verdict)
    process.exit(isBroken ? 1 : 0)
  }

  #end () {
    for (const gateway of this.gateways) {
      gateway.kill()
    }
    fs.writeFileSync(this.recordFile, `${this.#lines.join('\n')}\n`)
    fs.rmSync(this.#folder, { recursive: true, force: true })
  }
}

class Gateway {
  #child
  #ended

  constructor (name, { ip, front, ready, control }, storeAddress, folder, settings) {
    this.name = name
    this.ip = ip
    this.port = front
    this.readyPort = ready
    this.file = path.join(folder, `${name}.conf`)
    this.log = path.join(folder, `${name}.log`)
    const bounds = {
      contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 8, lost_ms: 200, converge_ms: 2000, downgrade_ms: 250, outer_ms: 5000, budget_ratio: 0.2, budget_window_s: 10, budget_slack: 52, quota_window_s: 8, quota_over: 0.1, quota_slack: 190_000, recover_s: 12, require_fence: true, lease_ms: 3000, thaw_ms: 300
    }
    const fields = {
      node_name: name,
      role: 'gateway',
      machine_class: 'front',
      serves: 'front,control',
      ip,
      zone: 'z-a',
      region: 'z',
      'zones.z-a': 'z',
      'listen.front': `${ip}:${front}`,
      'listen.ready': `${ip}:${ready}`,
      'listen.control': `${ip}:${control}`,
      port_range: '7500,7515',
      seeds: '',
      bootstrap: true,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      ...Object.fromEntries(Object.entries(bounds).map(([bound, value]) => [`bounds.${bound}`, value])),
      'platform.addr': storeAddress,
      'platform.form': 'kv',
      'platform.writes_per_s': 400,
      'platform.reads_per_s': 2000,
      'platform.history_s': 20,
      'platform.value_bytes': 1_048_576,
      'platform.ttl_min_ms': 1000,
      ...settings
    }
    fs.writeFileSync(this.file, Object.entries(fields).map(([field, value]) => `${field}=${value}\n`).join(''))
  }

  /** Starts the process with the command of the deploy file. */
  start () {
    const deployFile = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')
    const [program, ...args] = /^run = "(.*)"$/m.exec(deployFile)[1].split(' ')
    const log = fs.openSync(this.log, 'a')
    this.#child = childProcess.spawn(program, args, {
      cwd: root, stdio: ['ignore', log, log], env: { PATH: process.env.PATH, HOME: process.env.HOME, MULBERRYFLOW_BOOT: this.file }
    })
    fs.closeSync(log)
    this.#ended = new Promise(resolve => this.#child.once('exit', resolve))
  }

  async waitUntilReady () {
    const untilMs = performance.now() + readyTimeoutMs
    while (performance.now() < untilMs) {
      if (await this.probe() === 200) {
        return
      }
      await pause(50)
    }
    process.stderr.write(fs.readFileSync(this.log, 'utf8'))
    process.exit(2)
  }

  async probe () {
    const answer = await fetch(`http://${this.ip}:${this.readyPort}/mulberryflow/readyz`).catch(() => undefined)
    return answer?.status
  }

  signal (name) {
    this.#child.kill(name)
  }

  kill () {
    if (this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null) {
      this.#child.kill('SIGKILL')
    }
  }

  get ended () {
    return this.#ended
  }

  get pid () {
    return this.#child.pid
  }

  readLog () {
    return fs.readFileSync(this.log, 'utf8')
  }
}

export function pause (delayMs) {
  return new Promise(resolve => setTimeout(resolve, delayMs))
}

/** Returns a loopback address on which the port of the metrics is free, and free ports there. */
async function findAddress () {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const ip = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`
    if (await tryListen(ip, metricsPort) !== undefined) {
      return { ip, front: await tryListen(ip, 0), ready: await tryListen(ip, 0), control: await tryListen(ip, 0) }
    }
  }
  throw new Error('no free loopback address')
}

function tryListen (ip, port) {
  return new Promise(resolve => {
    const server = net.createServer()
    server.once('error', () => resolve(undefined))
    server.listen(port, ip, () => {
      const { port: found } = server.address()
      server.close(() => resolve(found))
    })
  })
}
