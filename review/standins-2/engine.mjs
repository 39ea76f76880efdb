/**
 * Stand-in of a model server: prefill, decode, reservations and orders, as the users' pages describe them. Prompts are read one after the other;
 * runs stream one event at each interval. It registers itself in the store and repeats its entry at each heartbeat.
 */
import * as http from 'node:http'

const heartbeatMs = 1_200
const holdMs = 2_000
const handleMs = 10_000
const switchMs = 6_000

export class Engine {
  /** What reached the server: `{ atMs, id, kind }`, kind `prefill`, `run` or the name of a call. */
  arrivals = []
  /** Runs that began: `{ atMs, id, end }`, end `complete`, `cut` or undefined while it runs. */
  runs = []
  crashes = []
  isDraining = false
  handles = new Map()
  holds = new Map()
  /** Called with the headers and the body of a run; returns what it does to the server: `crash`, `reset` (its answer is lost) or undefined. */
  onRun = () => undefined
  #born = 0
  #writes = 0
  #orders = 0
  #fence = 0
  #isSwitching = false
  #readUntilMs = 0
  #open = new Map()
  #sockets = new Set()
  #isUp = false
  #last = 0

  constructor (id, { store, service, zone, stage, engines, host, slots = 16, memoryTokens = 73_378, tokensPerMs = 33.3333, eventMs = 20, downMs = 2_500, log }) {
    Object.assign(this, { id, store, service, zone, stage, engines, host, slots, memoryTokens, tokensPerMs, eventMs, downMs, log })
    engines.push(this)
  }

  async start (port = 0) {
    this.#server = http.createServer((request, response) => this.#receive(request, response))
    this.#server.keepAliveTimeout = 30_000
    this.#server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
    await new Promise(resolve => this.#server.listen(port, this.host, resolve))
    this.#port = this.#server.address().port
    this.address = `${this.host}:${this.#port}`
    this.#born = Date.now()
    this.#writes = 0
    this.#isUp = true
    this.register()
    this.#beat ??= setInterval(() => this.#isUp && this.isListed && this.register(), heartbeatMs)
  }

  isListed = true
  #server
  #port
  #beat

  register () {
    if (this.store.isDown) {
      return
    }
    this.#writes += 1
    this.store.write(`servers/${this.id}`, {
      service: this.service,
      addr: this.address,
      zone: this.zone,
      version: 1,
      slots: this.slots,
      state: this.isDraining ? 'draining' : 'ready',
      stage: this.stage,
      models: [{ name: 'm', version: 1, adapters: [] }],
      cold_left_ms: 0,
      born: this.#born,
      seq: this.#writes
    })
  }

  /** Reports `draining`; serves for `serveMs` more, then ends. Returns when the store has acknowledged the report. */
  drain (serveMs) {
    this.isDraining = true
    this.register()
    setTimeout(() => {
      this.isListed = false
      this.store.remove(`servers/${this.id}`)
      this.#stop()
    }, serveMs)
    return performance.now()
  }

  /** Ends as a process that crashes, and is back under the same identifier after some seconds. */
  crash () {
    if (!this.#isUp) {
      return
    }
    this.crashes.push(performance.now())
    this.log(`${this.id} crashes with ${this.#open.size} runs`)
    this.#stop()
    setTimeout(() => !this.isClosed && this.start(this.#port), this.downMs)
  }

  close () {
    this.isClosed = true
    clearInterval(this.#beat)
    this.#stop()
  }

  #stop () {
    this.#isUp = false
    this.#server.close()
    for (const socket of this.#sockets) {
      socket.resetAndDestroy()
    }
    this.handles.clear()
    this.holds.clear()
    this.#open.clear()
    this.#readUntilMs = 0
  }

  get #usedTokens () {
    this.#expireHolds()
    let used = 0
    for (const { tokens } of [...this.#open.values(), ...this.holds.values()]) {
      used += tokens
    }
    return used
  }

  get #usedSlots () {
    this.#expireHolds()
    return this.#open.size + this.holds.size
  }

  #expireHolds () {
    for (const [id, { endsMs }] of this.holds) {
      if (endsMs <= performance.now()) {
        this.holds.delete(id)
      }
    }
  }

  #receive (request, response) {
    const pieces = []
    request.on('data', piece => pieces.push(piece))
    request.on('end', () => this.#answer(request, response, Buffer.concat(pieces).toString()))
  }

  #answer (request, response, body) {
    const { headers, url } = request
    if (this.isDraining) {
      response.setHeader('Server-Leaving', '1')
      response.setHeader('Connection', 'close')
    }
    if (headers['request-id'] !== undefined) {
      response.setHeader('Request-Id', headers['request-id'])
    }
    if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id) {
      refuse(response, 421)
      return
    }
    if (url.startsWith('/mulberryflow/')) {
      this.#call(request, response, url.split('/'), body)
      return
    }
    const kind = headers.stage === 'prefill' ? 'prefill' : 'run'
    this.arrivals.push({ atMs: performance.now(), id: headers['request-id'], kind })
    this.log(`${headers['request-id']} reaches ${this.id} (${kind})`)
    if ((kind === 'prefill') !== (this.stage === 'prefill')) {
      refuse(response, 421)
    } else if (this.#isSwitching) {
      refuse(response, 503)
    } else if (kind === 'prefill') {
      this.#prefill(headers, response)
    } else {
      this.#run(request, response, body)
    }
  }

  #call (request, response, [, , name, id], body) {
    this.arrivals.push({ atMs: performance.now(), id: undefined, kind: name })
    if (name === 'report') {
      send(response, 200, {
        stage: this.stage,
        models: [{ name: 'm', version: 1, adapters: [] }],
        busy: this.#isSwitching,
        seq: this.#orders,
        waiting: 0,
        running: this.#open.size,
        kv_used: this.#usedTokens,
        kv_total: this.memoryTokens,
        handles: this.handles.size,
        born: this.#born
      })
    } else if (name === 'hold-take') {
      const { tokens, ttl_ms: ttlMs } = JSON.parse(body)
      if (this.stage !== 'decode' || this.#usedSlots >= this.slots || this.#usedTokens + tokens > this.memoryTokens) {
        refuse(response, 503)
        return
      }
      this.#last += 1
      this.holds.set(`${this.id}-${this.#last}`, { tokens, endsMs: performance.now() + Math.min(ttlMs, holdMs) })
      send(response, 200, { hold: `${this.id}-${this.#last}` })
    } else if (name === 'hold-drop') {
      this.holds.delete(id)
      send(response, 200, {})
    } else if (name === 'kv-handle') {
      this.handles.delete(id)
      send(response, 200, {})
    } else if (name === 'order') {
      this.#order(response, JSON.parse(body))
    } else {
      send(response, 404, {})
    }
  }

  #order (response, { op, stage, holder, fence, expected }) {
    if (op !== 'stage' || holder === undefined || fence === undefined) {
      send(response, 400, {})
    } else if (fence < this.#fence) {
      send(response, 412, {})
    } else if (this.#isSwitching || (expected !== undefined && expected !== this.#orders)) {
      send(response, 409, {})
    } else {
      this.#fence = fence
      if (stage === this.stage) {
        send(response, 200, {})
        return
      }
      this.#orders += 1
      this.#isSwitching = true
      this.log(`${this.id} is ordered to ${stage} by ${holder}`)
      setTimeout(() => {
        this.#isSwitching = false
        this.stage = stage
        this.register()
      }, switchMs)
      send(response, 202, {})
    }
  }

  #prefill (headers, response) {
    const tokens = readTokens(headers)[0]
    const readyMs = this.#read(tokens, this.tokensPerMs)
    setTimeout(() => {
      if (response.destroyed) {
        return
      }
      this.#last += 1
      const handle = `${this.#born}-${this.#last}`
      this.handles.set(handle, headers['request-id'])
      setTimeout(() => this.handles.delete(handle), handleMs)
      send(response, 200, { kv_handle: handle, tokens, version: 1 })
    }, readyMs)
  }

  /** Returns the time until a prompt is read behind those before it. */
  #read (tokens, tokensPerMs) {
    const nowMs = performance.now()
    this.#readUntilMs = Math.max(nowMs, this.#readUntilMs) + tokens / tokensPerMs
    return this.#readUntilMs - nowMs
  }

  #run (request, response, body) {
    const { headers } = request
    const [promptTokens, outputTokens] = readTokens(headers)
    const tokens = promptTokens + outputTokens
    const hasHold = headers.hold !== undefined && this.holds.delete(headers.hold)
    if (!hasHold && (this.#usedSlots >= this.slots || this.#usedTokens + promptTokens > this.memoryTokens)) {
      refuse(response, 503)
      return
    }
    let waitMs = 10
    if (headers['kv-source'] !== undefined) {
      const [address, handle] = headers['kv-source'].split('/')
      const source = this.engines.find(engine => engine.address === address)
      if (source === undefined || !source.handles.delete(handle)) {
        refuse(response, 503)
        return
      }
    } else {
      waitMs = this.#read(promptTokens, this.tokensPerMs / 2)
    }
    const run = { atMs: performance.now(), id: headers['request-id'], end: undefined }
    this.#open.set(run, { tokens })
    response.on('close', () => {
      this.#open.delete(run)
      run.end ??= 'cut'
    })
    setTimeout(() => this.#begin(run, request, response, body, outputTokens), waitMs)
  }

  #begin (run, { headers, url, socket }, response, body, outputTokens) {
    if (response.destroyed) {
      return
    }
    this.runs.push(run)
    this.log(`${run.id} runs at ${this.id}`)
    const fate = this.onRun(headers, body, url)
    if (fate === 'crash') {
      this.crash()
      return
    }
    if (fate === 'reset') {
      this.log(`${run.id} loses its answer at ${this.id}`)
      socket.resetAndDestroy()
      return
    }
    response.writeHead(200, { 'Server-Stamp': `stamp.${this.id}`, 'Content-Type': 'text/event-stream' })
    let event = Number(headers['last-event-id'] ?? 0)
    const next = () => {
      if (response.destroyed) {
        return
      }
      event += 1
      response.write(`id: ${event}\ndata: token ${event}\n\n`)
      if (event < outputTokens) {
        setTimeout(next, this.eventMs)
        return
      }
      run.end = 'complete'
      response.end()
    }
    next()
  }
}

function readTokens (headers) {
  return String(headers['token-count']).split(',').map(Number)
}

function refuse (response, status) {
  response.writeHead(status, status === 421 ? { 'content-length': 0 } : { 'Not-Run': '1', 'content-length': 0 }).end()
}

function send (response, status, message) {
  const text = JSON.stringify(message)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
}
