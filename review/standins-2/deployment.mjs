/**
 * A small deployment: gateways as the deploy file starts them, with the stand-ins of store and servers in this process, and callers.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as engines from './engine.mjs'
import * as stores from './store.mjs'

const root = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..')
const zones = ['zone-a', 'zone-b', 'zone-c']
const startTimeoutMs = 30_000
export const key = 'key-of-tenant-one'
export const host = 'desk.example'

/** Bounds of `wanjiru-ledger` and `falomir-edge`. */
export const bounds = { contactMs: 3_000, drainMs: 2_000 }

export class Deployment {
  store = new stores.Store()
  engines = []
  gateways = []
  folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
  #startMs = performance.now()
  #lines = []
  #requests = 0

  constructor (recordFile) {
    this.recordFile = recordFile
  }

  /** Adds a line to the record. */
  log = text => {
    this.#lines.push(`${(this.elapsedMs / 1000).toFixed(3)} ${text}`)
  }

  get elapsedMs () {
    return performance.now() - this.#startMs
  }

  addEngine (id, stage, more = {}) {
    const zone = zones[this.engines.length % zones.length]
    return new engines.Engine(id, {
      store: this.store, service: 'models', zone, stage, engines: this.engines, host: '127.0.20.1', log: this.log, ...more
    })
  }

  async start (gatewayCount, { routes, services, tenants }) {
    await this.store.start('127.0.20.2')
    this.store.write('op/config', {
      version: 3,
      routes,
      services,
      limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
      tenants: tenants ?? [{ name: 'tenant-one', api_keys: [key], unit: 'tokens', plain_tokens: 200, rate_per_s: 1_000_000, burst: 1_000_000 }]
    })
    for (const engine of this.engines) {
      await engine.start()
    }
    for (let number = 1; number <= gatewayCount; number += 1) {
      await this.#addGateway(number)
    }
    for (const gateway of this.gateways) {
      this.#startGateway(gateway)
    }
    const limitMs = performance.now() + startTimeoutMs
    while (!(await Promise.all(this.gateways.map(gateway => this.isReady(gateway)))).every(Boolean)) {
      if (performance.now() > limitMs) {
        throw new Error('the gateways did not start')
      }
      await sleep(100)
    }
    this.log('all gateways are ready')
  }

  async #addGateway (number) {
    const ip = `127.0.20.${10 + number}`
    const [front, ready, control, metrics] = await Promise.all([findPort(ip), findPort(ip), findPort(ip), findPort(ip)])
    this.gateways.push({ name: `front-${number}`, ip, front, ready, control, metrics, zone: zones[(number - 1) % zones.length] })
  }

  #startGateway (gateway) {
    const { name, ip, front, ready, control, metrics, zone } = gateway
    const file = path.join(this.folder, `${name}.conf`)
    const fields = {
      node_name: name,
      role: 'gateway',
      machine_class: 'front',
      serves: 'front,control',
      ip,
      zone,
      region: 'region',
      ...Object.fromEntries(zones.map(each => [`zones.${each}`, 'region'])),
      'listen.front': `${ip}:${front}`,
      'listen.ready': `${ip}:${ready}`,
      'listen.control': `${ip}:${control}`,
      'listen.metrics': `${ip}:${metrics}`,
      port_range: '7500,7515',
      seeds: this.gateways.map(each => `${each.ip}:${each.control}`).join(','),
      'limits.memory_mb': 350,
      'limits.max_fds': 4_100,
      heartbeat_ms: 1_200,
      'bounds.contact_ms': bounds.contactMs,
      'bounds.drain_ms': bounds.drainMs,
      'bounds.grace_s': 8,
      'bounds.lost_ms': 200,
      'bounds.converge_ms': 2_000,
      'bounds.budget_ratio': 0.2,
      'bounds.budget_window_s': 10,
      'bounds.budget_slack': 52,
      'bounds.quota_window_s': 8,
      'bounds.quota_over': 0.1,
      'bounds.quota_slack': 190_000,
      'bounds.lease_ms': 3_000,
      'platform.addr': this.store.address,
      'platform.ttl_min_ms': 1_000
    }
    fs.writeFileSync(file, Object.entries(fields).map(([field, value]) => `${field}=${value}\n`).join(''))
    const out = fs.openSync(path.join(this.folder, `${name}.log`), 'a')
    gateway.process = childProcess.spawn('node', ['--max-old-space-size=120', 'platform/start.cjs'], {
      cwd: root, stdio: ['ignore', out, out], env: { PATH: process.env.PATH, HOME: process.env.HOME, MULBERRYFLOW_BOOT: file }
    })
    fs.closeSync(out)
  }

  isReady ({ ip, ready }) {
    return new Promise(resolve => {
      const request = http.get({ host: ip, port: ready, path: '/mulberryflow/readyz', agent: false, timeout: 500 }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('error', () => resolve(false))
      request.on('timeout', () => request.destroy())
    })
  }

  /** Sends a request on a new connection, as a caller does; resolves with what the caller got. */
  send ({ gateway = this.gateways[0], path: target, prompt, counts, body = '', deadlineMs = 14_000, label = '' }) {
    this.#requests += 1
    const id = `q${String(this.#requests).padStart(5, '0')}`
    const headers = {
      Host: host, 'Request-Id': id, Model: 'm', 'Token-Count': counts, 'Prompt-Prefix': prompt, 'Deadline-Ms': deadlineMs, 'Api-Key': key, Connection: 'close', 'Content-Length': Buffer.byteLength(body)
    }
    this.log(`${id} sent to ${gateway.name} ${target} ${label}`)
    return new Promise(resolve => {
      const sentMs = performance.now()
      let text = ''
      const finish = (status, isComplete) => {
        clearTimeout(timer)
        request.destroy()
        this.log(`${id} answered ${status} ${isComplete ? 'whole' : 'broken off'} after ${Math.round(performance.now() - sentMs)} ms, ${text.split('\n\n').length - 1} events`)
        resolve({ id, status, isComplete, text, elapsedMs: performance.now() - sentMs })
      }
      const request = http.request({ host: gateway.ip, port: gateway.front, path: target, method: 'POST', headers, agent: false }, response => {
        response.on('data', piece => {
          text += piece
        })
        response.on('end', () => finish(response.statusCode, response.complete))
        response.on('error', () => finish(response.statusCode, false))
      })
      const timer = setTimeout(() => finish(0, false), deadlineMs)
      request.on('error', () => finish(0, false))
      request.end(body)
    })
  }

  /** Ends all processes and writes the record. */
  async close () {
    for (const { process: child } of this.gateways) {
      if (child !== undefined && child.exitCode === null) {
        const ended = new Promise(resolve => child.once('exit', resolve))
        child.kill('SIGKILL')
        await ended
      }
    }
    for (const engine of this.engines) {
      engine.close()
    }
    this.store.close()
    fs.writeFileSync(this.recordFile, `${this.#lines.join('\n')}\n`)
    if (process.env.KEEP === undefined) {
      fs.rmSync(this.folder, { recursive: true })
    }
  }
}

export function sleep (ms) {
  return new Promise(resolve => setTimeout(resolve, ms))
}

/** Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function main (recordFile, play) {
  const deployment = new Deployment(recordFile)
  let code = 2
  try {
    code = await play(deployment, process.env.TROUBLE !== '0') ? 1 : 0
  } catch (error) {
    deployment.log(`could not run: ${error.stack}`)
  }
  deployment.log(`exit ${code}`)
  await deployment.close()
  process.exit(code)
}

function findPort (ip) {
  return new Promise(resolve => {
    const server = net.createServer()
    server.listen(0, ip, () => {
      const { port } = server.address()
      server.close(() => resolve(port))
    })
  })
}
